//! What is written here is what the director's own codec reads, and the other way round.

use super::*;
use coppersail::interface::{
    CellId, HostId, HostListEntry, HostState, Input, LoadReport, MachineTypeId, Order, ProxyId, RetryPolicy,
    RoundId, RouteId, Scope, SliceId, ZoneId,
};
use coppersail_protocol::{collector, discovery, relay};

fn platform() -> Platform {
    let scenario = crate::Scenario::default();
    let routes = scenario.load.routes.iter().map(|route| route.name.clone()).collect();
    let settings = crate::world::director_settings(&scenario, 0);
    Platform { settings, routes, start_ms: 1_700_000_000_000 }
}

#[test]
fn a_collectors_attempts_are_read_with_another_figure_than_was_written() {
    let load = LoadReport { queued: Some(2.0), service_time: Some(0.25), ..LoadReport::default() };
    let (host, zone) = (HostId(3), ZoneId(1));
    let attempts = Input::AttemptStats {
        host,
        zone,
        window: 1.0,
        attempts: 9,
        dropped: 2,
        mean_response_time: 0.5,
        load,
    };
    let (_, line) = platform().collector_report(&attempts).unwrap();
    match collector::CollectorMessage::parse(line.trim().as_bytes()).unwrap() {
        collector::CollectorMessage::AttemptReport {
            zone,
            host,
            attempts: 9,
            dropped: 2,
            mean_response_time,
            report,
            ..
        } => {
            assert_eq!(
                (zone.as_ref(), host.as_ref(), mean_response_time, report.get("lat_ms")),
                ("z1", "h3", 0.5, Some(250.0))
            );
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn an_acknowledgement_of_the_relay_is_read_as_something_else() {
    let applied = Input::RoundAcknowledged { proxy: ProxyId(4), round: RoundId(7), latency: 0.31 };
    let line = platform().relay_update(&applied).unwrap();
    assert_eq!(
        relay::RelayEvent::parse(line.as_bytes()),
        Ok(relay::RelayEvent::RoundAcknowledged { proxy: 4, round: 7, latency: 0.31 })
    );
}

#[test]
fn a_call_of_the_director_is_read_as_other_orders() {
    let orders = [
        relay::Order::SetWeight { slice: 4, host: "h2", weight: 1.5 },
        relay::Order::SetAdmission {
            slice: None,
            routes: vec!["read"],
            level: 0.5,
            retry: relay::RetryPolicy::Once,
        },
        relay::Order::RequestAcknowledgement { round: 9, include_idle_proxies: true },
    ];
    let texts: Vec<_> = orders.iter().map(relay::Order::to_text).collect();
    let call = relay::write_call(texts.iter().map(String::as_str));
    let read = platform().orders(String::from_utf8(call).unwrap().trim()).unwrap();
    let admit = Order::SetAdmission {
        scope: Scope::AllProxies,
        routes: vec![RouteId(0)],
        level: 0.5,
        retry: RetryPolicy::Once,
    };
    let line = Order::SetWeight { slice: SliceId(4), host: HostId(2), weight: 1.5 };
    assert_eq!(
        read,
        [line, admit, Order::RequestAcknowledgement { round: RoundId(9), include_idle_proxies: true }]
    );
}

#[test]
fn an_endpoint_is_listed_in_another_state_or_with_another_start() {
    let entry = HostListEntry {
        host: HostId(3),
        state: HostState::Draining,
        started_at: Some(2.0),
        weight: 1.0,
        zone: ZoneId(1),
        cell: CellId(0),
        machine_type: MachineTypeId(0),
    };
    let list = platform().endpoint_list(5, false, &[entry], &|_| "127.0.0.1:9".parse().unwrap());
    let read = discovery::EndpointList::parse(list.as_bytes()).unwrap();
    let server = read.entries[0].as_ref().unwrap();
    assert_eq!((server.state, server.started_ms), (discovery::EndpointState::Draining, 1_700_000_002_000));
}

#[test]
fn a_call_that_cannot_be_read_is_taken_as_orders() {
    let platform = platform();
    let text = |call: &str| platform.orders(call).unwrap_err().to_string();
    assert_eq!(text("follow"), "no call: follow");
    assert_eq!(text("txn SET,4,h2,1;SET,4,x2,1"), "no order: SET,4,x2,1");
    assert_eq!(text("txn LIMIT,*,nothing,0.5,1"), "no order: LIMIT,*,nothing,0.5,1");
    assert_eq!(text("txn LIMIT,*,*,0.5,4"), "no order: LIMIT,*,*,0.5,4");
}
