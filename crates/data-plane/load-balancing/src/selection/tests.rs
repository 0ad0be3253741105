//! Tests of the module `pick`.
use super::*;
use crate::health::FailureSign;
use coppersail_peer_protocol::{AssignmentUpdate, EndpointState, EndpointUpdate, Update};

fn book(hosts: u32) -> EndpointRegistry {
    let host = |n: u32| EndpointUpdate {
        id: format!("i-{n}"),
        service: "b".into(),
        address: format!("10.0.0.{n}:80"),
        zone: "north".into(),
        capacity: 2,
        heartbeat_sequence: 1,
        ..EndpointUpdate::default()
    };
    let mut book = EndpointRegistry::new("north");
    book.merge(&Update { endpoints: (0..hosts).map(host).collect(), ..Update::default() }, 0);
    book
}

fn ask(repeatable: bool) -> SelectionRequest<'static> {
    SelectionRequest {
        service: "b",
        key: None,
        repeatable,
        rank: 0,
        left: 1_000,
        stays: 0,
        revision: None,
        tried: &[],
    }
}

#[test]
fn the_least_busy_is_picked_and_the_leaving_never() {
    let (mut book, mut chance) = (book(4), fastrand::Rng::with_seed(7));
    for n in 0..3 {
        book.endpoint_mut(&format!("i-{n}")).unwrap().load.own = 2;
    }
    let picked = |book: &EndpointRegistry, chance: &mut _| select_endpoint(book, &ask(true), 0, chance);
    assert_eq!(picked(&book, &mut chance), Selection::Endpoint("i-3".into()));
    let news = EndpointUpdate {
        id: "i-3".into(),
        address: "10.0.0.3:80".into(),
        state: EndpointState::Draining,
        ..EndpointUpdate::default()
    };
    book.merge(&Update { endpoints: vec![news], ..Update::default() }, 0);
    assert!((0..50).all(|_| picked(&book, &mut chance) != Selection::Endpoint("i-3".into())));
}

#[test]
fn half_of_the_hosts_stay_in_whatever_is_thought_of_them() {
    let (mut book, mut chance) = (book(4), fastrand::Rng::with_seed(7));
    for n in 0..4 {
        book.endpoint_mut(&format!("i-{n}")).unwrap().health.record_failure(FailureSign::Unreachable, n);
    }
    for _ in 0..50 {
        let choice = select_endpoint(&book, &ask(false), 10, &mut chance);
        assert!(
            choice == Selection::Endpoint("i-0".into()) || choice == Selection::Endpoint("i-1".into()),
            "{choice:?}"
        );
    }
}

#[test]
fn a_key_goes_to_its_holder_alone() {
    let (mut book, mut chance) = (book(4), fastrand::Rng::with_seed(7));
    let ask = SelectionRequest { key: Some(40_000), ..ask(true) };
    let slices = vec![AssignmentUpdate {
        service: "b".into(),
        slice_count: 2,
        rows: vec![(1, 1, "i-2".into(), 1).into()],
    }];
    book.merge(&Update { assignments: slices, ..Update::default() }, 0);
    assert_eq!(select_endpoint(&book, &ask, 0, &mut chance), Selection::Endpoint("i-2".into()));
    book.mark_stale_address("i-2", 0);
    assert_eq!(select_endpoint(&book, &ask, 0, &mut chance), Selection::NoLeaseHolder);
}

#[test]
fn a_lower_rank_stands_aside_first() {
    let (mut book, mut chance) = (book(1), fastrand::Rng::with_seed(7));
    book.service_mut("b").unwrap().usual = 400.0;
    let load = &mut book.endpoint_mut("i-0").unwrap().load;
    load.took(400, 1.0, 400.0);
    load.own = 4;
    assert_eq!(select_endpoint(&book, &ask(true), 0, &mut chance), Selection::Endpoint("i-0".into()));
    assert_eq!(
        select_endpoint(&book, &SelectionRequest { rank: 3, ..ask(true) }, 0, &mut chance),
        Selection::Overloaded
    );
}

#[test]
fn shares_are_kept_and_a_share_of_none_gets_none() {
    let shares = [("a".to_string(), 90.0), ("b".to_string(), 10.0), ("c".to_string(), 0.0)];
    let mut counts = [0; 3];
    for n in 0..10_000u32 {
        let id = format!("{:016x}", n.wrapping_mul(0x9e37_79b9));
        let name = service(&shares, id.as_bytes()).unwrap();
        counts[(name.as_bytes()[0] - b'a') as usize] += 1;
    }
    assert!((800..1_200).contains(&counts[1]) && counts[2] == 0, "{counts:?}");
}
