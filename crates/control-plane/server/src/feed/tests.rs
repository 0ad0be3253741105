//! Tests of the module `feed`.
use super::*;

fn host(ident: &str, calls: u64, stage: EndpointState) -> EndpointUpdate {
    EndpointUpdate {
        id: ident.into(),
        heartbeat_sequence: calls,
        state: stage,
        reported_by: "a".into(),
        ..EndpointUpdate::default()
    }
}

#[test]
fn a_current_follower_gets_nothing_and_one_of_another_feed_a_snapshot() {
    let mut feed = ChangeFeed::new(7);
    feed.put_endpoint(&host("i", 1, EndpointState::Ready));
    feed.put_config(&ConfigDocument { revision: 9, body: "x".into() });
    let update = feed.updates_since(0, 0);
    assert!(update.is_snapshot && update.endpoints.len() == 1 && update.config.is_some());
    assert_eq!(feed.updates_since(7, update.sequence).endpoints.len(), 0);
    assert!(feed.updates_since(6, 1).is_snapshot, "another life of the centre");
    assert!(feed.updates_since(7, 99).is_snapshot, "a number that was never given");
}

#[test]
fn updates_out_of_order_keep_the_newest_version() {
    let mut feed = ChangeFeed::new(7);
    assert!(feed.put_config(&ConfigDocument { revision: 9, body: "nine".into() }));
    assert!(!feed.put_config(&ConfigDocument { revision: 8, body: "eight".into() }));
    assert!(feed.put_owner("s", 4, 1, "i", 12) && !feed.put_owner("s", 4, 1, "j", 11));
}

#[test]
fn a_draining_endpoint_never_becomes_ready_again_and_late_heartbeats_change_nothing() {
    let mut feed = ChangeFeed::new(7);
    feed.put_endpoint(&host("i", 5, EndpointState::Draining));
    assert!(!feed.put_endpoint(&host("i", 4, EndpointState::Ready)));
    feed.put_endpoint(&host("i", 6, EndpointState::Ready));
    assert_eq!(feed.endpoint("i").unwrap().state, EndpointState::Draining);
    assert!(!feed.put_endpoint(&host("i", 7, EndpointState::Draining)), "a beat alone is no news");
}
