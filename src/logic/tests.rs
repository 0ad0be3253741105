//! Each test sets up the state that it needs and calls one function.

use super::*;

mod admission_control;
mod channel;
mod director;
mod hosts;
mod overrides;
mod owners;
mod standbys;
mod tables;

pub(crate) fn settings() -> Settings {
    let route = |slo_time, importance| Route {
        slo_time,
        time_limit: 4.0 * slo_time,
        importance,
        semantics: Semantics::Repeatable,
        mutating: false,
        own_zone_only: false,
    };
    Settings {
        me: PeerId(0),
        directors: 1,
        zone: None,
        zones: vec!["a".into(), "b".into()],
        kinds: vec!["k".into()],
        routes: vec![route(1.0, 1.0), route(2.0, 5.0)],
        list_is_pushed: false,
        ask_within: 9.0,
        listed_weights: false,
        may_probe: true,
        may_tell_peers: false,
        cold_from: 0.2,
        ramp_time: 10.0,
        fall_multiple: 2.5,
        fall_time: 2.0,
        grace: 2.0,
        throttled_may_have_run: false,
        gone_is_advice: false,
        unserved_most: 5.0,
        slices: 100,
        proxies: 10,
        exclusive: false,
        admission: Admission::Share,
        retry_default: Retry::IfNeverRan,
        ejects_after: 5,
        message_overhead: 10.0,
        lines_per_s: 1000.0,
        backlog_lines: 1000.0,
        messages_most: 20,
        messages_span: 10.0,
        transit: 0.3,
        transit_most: 1.0,
        report_interval: 1.0,
        in_flight_most: 5.0,
        warm_keys: true,
    }
}

fn params() -> Parameters {
    Parameters::new(&settings())
}

fn id(n: usize) -> HostId {
    HostId(n as u32)
}

fn usable_view(n: usize) -> HostView {
    HostView {
        ready: true,
        seniority: (0.0, n as u64),
        weight: 1.0,
        slow_start: 1.0,
        derating: 1.0,
        zone: ZoneId((n % 2) as u16),
        verified: true,
        ..HostView::default()
    }
}

/// Host n owns `held[n]` slices, each scoring 1 and standing in its table.
fn tables(held: &[usize]) -> Tables {
    let mut tables = Tables { mean_weight: 1.0, mean_speed: 15.0, ..Tables::default() };
    for (n, many) in held.iter().enumerate() {
        tables.views.insert(id(n), usable_view(n));
        for _ in 0..*many {
            let slice = Slice {
                owner: Some(id(n)),
                weights: PerHost::from([(id(n), 1.0)]),
                score: 1.0,
                calls: vec![0.0; 2],
                ..Slice::default()
            };
            tables.slices.insert(SliceId(tables.slices.len() as u16), slice);
        }
    }
    tables
}

fn held(tables: &Tables, n: usize) -> f64 {
    tables.slice_counts()[&id(n)]
}

/// The tables that the channel was asked for.
fn desired_tables(outbox: &mut Outbox) -> Vec<(SliceId, PerHost)> {
    let messages = std::iter::from_fn(|| outbox.take_next_mailbox()).flat_map(|(_, messages)| messages);
    let table = |message| match message {
        Message::DesiredTable { slice, weights } => Some((slice, weights)),
        _ => None,
    };
    messages.filter_map(table).collect()
}
