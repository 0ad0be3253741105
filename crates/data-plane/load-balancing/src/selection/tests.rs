//! Tests of which endpoint is selected.
use super::*;
use crate::health::FailureKind;
use coppersail_peer_protocol::{AssignmentUpdate, EndpointState, EndpointUpdate, Update};

fn registry(endpoints: u32) -> EndpointRegistry {
    let endpoint = |n: u32| EndpointUpdate {
        id: format!("i-{n}"),
        service: "b".into(),
        address: format!("10.0.0.{n}:80"),
        zone: "north".into(),
        capacity: 2,
        heartbeat_sequence: 1,
        ..EndpointUpdate::default()
    };
    let mut registry = EndpointRegistry::new("north");
    registry.merge(&Update { endpoints: (0..endpoints).map(endpoint).collect(), ..Update::default() }, 0);
    registry
}

fn request(idempotent: bool) -> SelectionRequest<'static> {
    SelectionRequest {
        service: "b",
        key: None,
        idempotent,
        rank: 0,
        time_left: 1_000,
        drain_grace: 0,
        version: None,
        excluded: &[],
    }
}

#[test]
fn an_idle_endpoint_is_preferred_to_busy_ones_and_a_draining_one_is_never_selected() {
    let (mut registry, mut random) = (registry(4), fastrand::Rng::with_seed(7));
    for n in 0..3 {
        registry.endpoint_mut(&format!("i-{n}")).unwrap().load.in_flight = 2;
    }
    let selected =
        |registry: &EndpointRegistry, random: &mut _| select_endpoint(registry, &request(true), 0, random);
    assert_eq!(selected(&registry, &mut random), Selection::Endpoint("i-3".into()));
    let update = EndpointUpdate {
        id: "i-3".into(),
        address: "10.0.0.3:80".into(),
        state: EndpointState::Draining,
        ..EndpointUpdate::default()
    };
    registry.merge(&Update { endpoints: vec![update], ..Update::default() }, 0);
    assert!((0..50).all(|_| selected(&registry, &mut random) != Selection::Endpoint("i-3".into())));
}

#[test]
fn at_most_half_of_the_endpoints_are_ejected_when_all_fail() {
    let (mut registry, mut random) = (registry(4), fastrand::Rng::with_seed(7));
    for n in 0..4 {
        registry.endpoint_mut(&format!("i-{n}")).unwrap().health.record_failure(FailureKind::Unreachable, n);
    }
    for _ in 0..50 {
        let selection = select_endpoint(&registry, &request(false), 10, &mut random);
        assert!(
            selection == Selection::Endpoint("i-0".into()) || selection == Selection::Endpoint("i-1".into()),
            "{selection:?}"
        );
    }
}

#[test]
fn a_request_with_a_key_is_sent_only_to_the_owner_of_the_key() {
    let (mut registry, mut random) = (registry(4), fastrand::Rng::with_seed(7));
    let request = SelectionRequest { key: Some(40_000), ..request(true) };
    let assignments = vec![AssignmentUpdate {
        service: "b".into(),
        slice_count: 2,
        rows: vec![(1, 1, "i-2".into(), 1).into()],
    }];
    registry.merge(&Update { assignments, ..Update::default() }, 0);
    assert_eq!(select_endpoint(&registry, &request, 0, &mut random), Selection::Endpoint("i-2".into()));
    registry.mark_stale_address("i-2", 0);
    assert_eq!(select_endpoint(&registry, &request, 0, &mut random), Selection::NoLeaseHolder);
}

#[test]
fn a_less_important_request_is_rejected_first_under_overload() {
    let (mut registry, mut random) = (registry(1), fastrand::Rng::with_seed(7));
    registry.service_mut("b").unwrap().mean_latency = 400.0;
    let load = &mut registry.endpoint_mut("i-0").unwrap().load;
    load.record_latency(400, 1.0, 400.0);
    load.in_flight = 4;
    assert_eq!(select_endpoint(&registry, &request(true), 0, &mut random), Selection::Endpoint("i-0".into()));
    assert_eq!(
        select_endpoint(&registry, &SelectionRequest { rank: 3, ..request(true) }, 0, &mut random),
        Selection::Overloaded
    );
}
