//! News in any order.
use super::*;

fn host(ident: &str, address: &str, calls: u64) -> EndpointUpdate {
    let (ident, backend) = (ident.into(), "b".into());
    EndpointUpdate {
        id: ident,
        service: backend,
        address: address.into(),
        heartbeat_sequence: calls,
        capacity: 2,
        ..EndpointUpdate::default()
    }
}

fn book(hosts: Vec<EndpointUpdate>) -> EndpointRegistry {
    let mut book = EndpointRegistry::new("north");
    book.merge(&Update { endpoints: hosts, ..Update::default() }, 0);
    book
}

#[test]
fn a_young_centre_drops_nobody_at_once() {
    let mut book = book(vec![host("i-1", "10.0.0.1:80", 1), host("i-2", "10.0.0.2:80", 1)]);
    let hosts = vec![host("i-1", "10.0.0.1:80", 2)];
    book.merge(
        &Update { is_snapshot: true, uptime_ms: 1_000, endpoints: hosts.clone(), ..Update::default() },
        100,
    );
    assert!(book.endpoint("i-2").is_some());
    let changed = book.merge(&Update::default(), 4_100);
    assert_eq!(changed.left, ["i-2".into()]);
    book.merge(&Update { is_snapshot: true, uptime_ms: 60_000, ..Update::default() }, 4_200);
    assert!(book.endpoint("i-1").is_some(), "a centre that names nobody knows nothing");
}

#[test]
fn the_ended_stay_ended_and_addresses_change_hands() {
    let mut book = book(vec![host("i-1", "10.0.0.1:80", 1)]);
    let silent = EndpointUpdate { suspect: true, ..host("i-1", "10.0.0.1:80", 1) };
    book.merge(&Update { endpoints: vec![silent], ..Update::default() }, 4);
    book.merge(&Update { endpoints: vec![host("i-2", "10.0.0.1:80", 1)], ..Update::default() }, 5);
    assert!(!book.endpoint("i-1").unwrap().usable(1_000_000) && book.endpoint("i-2").unwrap().usable(5));
    let gone = EndpointUpdate { state: EndpointState::Removed, ..host("i-1", "10.0.0.1:80", 2) };
    book.merge(&Update { endpoints: vec![gone], ..Update::default() }, 10);
    book.merge(&Update { endpoints: vec![host("i-1", "10.0.0.1:80", 9)], ..Update::default() }, 11);
    assert!(book.endpoint("i-1").is_none());
}

#[test]
fn a_higher_fence_wins_and_a_doubted_row_comes_back() {
    let mut book = book(vec![host("i-1", "10.0.0.1:80", 1), host("i-2", "10.0.0.2:80", 1)]);
    let rows = |rows| Update {
        assignments: vec![AssignmentUpdate { service: "b".into(), slice_count: 4, rows }],
        ..Update::default()
    };
    assert!(book.merge(&rows(vec![(3, 3, "i-1".into(), 7).into()]), 0).rows);
    assert!(!book.merge(&rows(vec![(3, 3, "i-2".into(), 6).into()]), 0).rows);
    assert_eq!(book.owner("b", 65_535, 0).map(|ident| &**ident), Some("i-1"));
    book.suspect_owner("b", 65_535, "i-1", 0);
    assert!(book.owner("b", 65_535, 10).is_none() && book.owner("b", 65_535, 400).is_some());
    assert!(
        book.merge(&rows(vec![(3, 3, "".into(), 8).into()]), 0).rows
            && book.owner("b", 65_535, 400).is_none()
    );
}

#[test]
fn late_news_of_another_division_takes_no_row_back() {
    let mut book = book(vec![host("i-1", "10.0.0.1:80", 1), host("i-2", "10.0.0.2:80", 1)]);
    let rows = |slices, rows| Update {
        assignments: vec![AssignmentUpdate { service: "b".into(), slice_count: slices, rows }],
        ..Update::default()
    };
    book.merge(&rows(8, vec![(0, 7, "i-1".into(), 9).into()]), 0);
    assert!(!book.merge(&rows(4, vec![(0, 3, "i-2".into(), 8).into()]), 0).rows);
    assert!(!book.merge(&rows(4, vec![]), 0).rows);
    assert_eq!(book.owner("b", 65_535, 0).map(|ident| &**ident), Some("i-1"));
    assert!(book.merge(&rows(16, vec![(0, 15, "i-2".into(), 10).into()]), 0).rows);
    assert_eq!(book.owner("b", 65_535, 0).map(|ident| &**ident), Some("i-2"));
}
