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
    let route = |latency_target, value| Route {
        latency_target,
        deadline: 4.0 * latency_target,
        value,
        idempotency: Idempotency::Idempotent,
        is_write: false,
        zone_local: false,
    };
    Settings {
        peer_id: PeerId(0),
        director_count: 1,
        zone: None,
        zone_names: vec!["a".into(), "b".into()],
        machine_types: vec!["k".into()],
        routes: vec![route(1.0, 1.0), route(2.0, 5.0)],
        host_list_is_pushed: false,
        host_list_max_silence: 9.0,
        listed_weights: false,
        probes_allowed: true,
        peer_messages_allowed: false,
        cold_capacity_share: 0.2,
        slow_start_duration: 10.0,
        collapse_multiple: 2.5,
        collapse_time: 2.0,
        grace_period: 2.0,
        throttled_may_have_executed: false,
        removal_is_advisory: false,
        max_unserved_time: 5.0,
        slice_count: 100,
        proxy_count: 10,
        exclusive_ownership: false,
        admission_unit: AdmissionUnit::Fraction,
        default_retry_policy: RetryPolicy::IfNotExecuted,
        proxy_ejection_threshold: 5,
        message_overhead_lines: 10.0,
        channel_lines_per_s: 1000.0,
        channel_backlog_lines: 1000.0,
        max_messages_per_window: 20,
        message_window: 10.0,
        typical_transit_time: 0.3,
        max_transit_time: 1.0,
        report_interval: 1.0,
        max_write_in_flight_time: 5.0,
        hosts_cache_keys: true,
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

/// Host n owns `held[n]` slices, each with score 1 and a table that has only that host.
fn tables(held: &[usize]) -> Tables {
    let mut tables = Tables { mean_weight: 1.0, mean_speed: 15.0, ..Tables::default() };
    for (n, count) in held.iter().enumerate() {
        tables.views.insert(id(n), usable_view(n));
        for _ in 0..*count {
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

/// The number of slices that host n owns.
fn held(tables: &Tables, n: usize) -> f64 {
    tables.slice_counts()[&id(n)]
}

/// The desired tables that were sent to the channel.
fn desired_tables(outbox: &mut Outbox) -> Vec<(SliceId, PerHost)> {
    let messages = std::iter::from_fn(|| outbox.take_next_mailbox()).flat_map(|(_, messages)| messages);
    let table = |message| match message {
        Message::DesiredTable { slice, weights } => Some((slice, weights)),
        _ => None,
    };
    messages.filter_map(table).collect()
}
