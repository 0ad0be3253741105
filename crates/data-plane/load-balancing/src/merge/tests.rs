//! Tests of merging updates that arrive in any order.
use super::*;

fn endpoint(id: &str, address: &str, heartbeat_sequence: u64) -> EndpointUpdate {
    EndpointUpdate {
        id: id.into(),
        service: "b".into(),
        address: address.into(),
        heartbeat_sequence,
        capacity: 2,
        ..EndpointUpdate::default()
    }
}

fn registry(endpoints: Vec<EndpointUpdate>) -> EndpointRegistry {
    let mut registry = EndpointRegistry::new("north");
    registry.merge(&Update { endpoints, ..Update::default() }, 0);
    registry
}

fn unlisted(id: &str) -> UnusableEndpoint {
    UnusableEndpoint { id: id.into(), cause: UnusableCause::Unlisted }
}

#[test]
fn an_endpoint_missing_from_the_snapshot_of_a_node_in_warm_up_is_kept_until_the_warm_up_ends() {
    let mut registry = registry(vec![endpoint("i-1", "10.0.0.1:80", 1), endpoint("i-2", "10.0.0.2:80", 1)]);
    let endpoints = vec![endpoint("i-1", "10.0.0.1:80", 2)];
    registry.merge(
        &Update { is_snapshot: true, uptime_ms: 1_000, endpoints: endpoints.clone(), ..Update::default() },
        100,
    );
    assert!(registry.endpoint("i-2").is_some());
    let changes = registry.merge(&Update::default(), 4_100);
    assert_eq!(changes.unusable, [unlisted("i-2")]);
    registry.merge(&Update { is_snapshot: true, uptime_ms: 60_000, ..Update::default() }, 4_200);
    assert!(registry.endpoint("i-1").is_some(), "a snapshot without endpoints drops none");
}

#[test]
fn a_snapshot_of_nothing_but_removed_endpoints_drops_only_these() {
    let mut registry = registry(vec![endpoint("i-1", "10.0.0.1:80", 1), endpoint("i-2", "10.0.0.2:80", 1)]);
    let removed = EndpointUpdate { state: EndpointState::Removed, ..endpoint("i-2", "10.0.0.2:80", 2) };
    let snapshot =
        Update { is_snapshot: true, uptime_ms: 60_000, endpoints: vec![removed], ..Update::default() };
    let changes = registry.merge(&snapshot, 100);
    assert_eq!(changes.unusable, [UnusableEndpoint { id: "i-2".into(), cause: UnusableCause::Removed }]);
    assert!(registry.endpoint("i-1").is_some());
}

#[test]
fn a_snapshot_in_parts_drops_only_endpoints_that_no_part_lists() {
    let known = ["i-1", "i-2", "i-3"].map(|id| endpoint(id, "10.0.0.1:80", 1));
    let mut registry = registry(known.to_vec());
    let part = |is_snapshot, incomplete, id| Update {
        is_snapshot,
        incomplete,
        uptime_ms: 60_000,
        endpoints: vec![endpoint(id, "10.0.0.1:80", 2)],
        ..Update::default()
    };
    registry.merge(&part(true, true, "i-1"), 100);
    assert_eq!(
        registry.merge(&Update { incomplete: true, ..Update::default() }, 200).unusable,
        [],
        "the snapshot is still incomplete"
    );
    let changes = registry.merge(&part(false, false, "i-3"), 300);
    assert_eq!(changes.unusable, [unlisted("i-2")]);
    assert_eq!(
        registry.merge(&part(false, false, "i-3"), 400).unusable,
        [],
        "a later incremental update is not a snapshot"
    );
}

#[test]
fn interleaved_parts_of_another_feed_do_not_count_towards_a_snapshot() {
    let known = ["i-1", "i-2", "i-3"].map(|id| endpoint(id, "10.0.0.1:80", 1));
    let mut registry = registry(known.to_vec());
    let part = |feed_id, is_snapshot, incomplete, id| Update {
        feed_id,
        is_snapshot,
        incomplete,
        uptime_ms: 60_000,
        endpoints: vec![endpoint(id, "10.0.0.1:80", 2)],
        ..Update::default()
    };
    registry.merge(&part(7, true, true, "i-1"), 100);
    registry.merge(&part(8, true, true, "i-2"), 200);
    // The first node's feed resumes and lists two of the three endpoints. The other feed restarts its
    // snapshot and lists a different pair.
    assert_eq!(registry.merge(&part(7, false, false, "i-3"), 300).unusable, [unlisted("i-2")]);
    registry.merge(&part(8, true, true, "i-1"), 400);
    assert_eq!(registry.merge(&part(8, false, false, "i-3"), 500).unusable, []);
}

#[test]
fn a_removed_endpoint_is_not_restored_and_a_suspect_one_loses_a_reused_address() {
    let mut registry = registry(vec![endpoint("i-1", "10.0.0.1:80", 1)]);
    let suspect = EndpointUpdate { suspect: true, ..endpoint("i-1", "10.0.0.1:80", 1) };
    registry.merge(&Update { endpoints: vec![suspect], ..Update::default() }, 4);
    registry.merge(&Update { endpoints: vec![endpoint("i-2", "10.0.0.1:80", 1)], ..Update::default() }, 5);
    assert!(
        !registry.endpoint("i-1").unwrap().usable(1_000_000) && registry.endpoint("i-2").unwrap().usable(5)
    );
    let removed = EndpointUpdate { state: EndpointState::Removed, ..endpoint("i-1", "10.0.0.1:80", 2) };
    registry.merge(&Update { endpoints: vec![removed], ..Update::default() }, 10);
    registry.merge(&Update { endpoints: vec![endpoint("i-1", "10.0.0.1:80", 9)], ..Update::default() }, 11);
    assert!(registry.endpoint("i-1").is_none());
}

#[test]
fn a_lower_fencing_token_changes_no_owner_and_a_suspected_owner_is_trusted_again() {
    let mut registry = registry(vec![endpoint("i-1", "10.0.0.1:80", 1), endpoint("i-2", "10.0.0.2:80", 1)]);
    let update = |rows| Update {
        assignments: vec![AssignmentUpdate { service: "b".into(), slice_count: 4, rows }],
        ..Update::default()
    };
    assert!(registry.merge(&update(vec![(3, 3, "i-1".into(), 7).into()]), 0).owners_changed);
    assert!(!registry.merge(&update(vec![(3, 3, "i-2".into(), 6).into()]), 0).owners_changed);
    assert_eq!(registry.owner("b", 65_535, 0).map(|id| &**id), Some("i-1"));
    registry.suspect_owner("b", 65_535, "i-1", 0);
    assert!(registry.owner("b", 65_535, 10).is_none() && registry.owner("b", 65_535, 400).is_some());
    assert!(
        registry.merge(&update(vec![(3, 3, "".into(), 8).into()]), 0).owners_changed
            && registry.owner("b", 65_535, 400).is_none()
    );
}

#[test]
fn a_late_update_with_another_slice_count_changes_no_owner() {
    let mut registry = registry(vec![endpoint("i-1", "10.0.0.1:80", 1), endpoint("i-2", "10.0.0.2:80", 1)]);
    let update = |slice_count, rows| Update {
        assignments: vec![AssignmentUpdate { service: "b".into(), slice_count, rows }],
        ..Update::default()
    };
    registry.merge(&update(8, vec![(0, 7, "i-1".into(), 9).into()]), 0);
    assert!(!registry.merge(&update(4, vec![(0, 3, "i-2".into(), 8).into()]), 0).owners_changed);
    assert!(!registry.merge(&update(4, vec![]), 0).owners_changed);
    assert_eq!(registry.owner("b", 65_535, 0).map(|id| &**id), Some("i-1"));
    assert!(registry.merge(&update(16, vec![(0, 15, "i-2".into(), 10).into()]), 0).owners_changed);
    assert_eq!(registry.owner("b", 65_535, 0).map(|id| &**id), Some("i-2"));
}
