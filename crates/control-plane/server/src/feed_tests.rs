//! Tests of the module `feed`.
use crate::feed::ChangeFeed;
use coppersail_peer_protocol::{ConfigDocument, EndpointState, EndpointUpdate};

fn endpoint(id: &str, heartbeat_sequence: u64, state: EndpointState) -> EndpointUpdate {
    EndpointUpdate {
        id: id.into(),
        heartbeat_sequence,
        state,
        reported_by: "a".into(),
        ..EndpointUpdate::default()
    }
}

#[test]
fn a_heartbeat_redirected_to_another_member_leaves_one_reporter_in_both_feeds() {
    for (first, other) in [("a", "b"), ("b", "a")] {
        let heartbeat_at = |reported_by: &str, sequence| EndpointUpdate {
            reported_by: reported_by.into(),
            ..endpoint("i", sequence, EndpointState::Ready)
        };
        let (mut here, mut there) = (ChangeFeed::new(7), ChangeFeed::new(8));
        here.put_endpoint(&heartbeat_at(first, 1));
        there.put_endpoint(&heartbeat_at(other, 1));
        // The updates of both cross on their way.
        let (ours, theirs) = (here.updates_since(0, 0), there.updates_since(0, 0));
        here.merge(&theirs);
        there.merge(&ours);
        assert_eq!(here.endpoint("i"), there.endpoint("i"));
        // Its next heartbeat goes there.
        there.put_endpoint(&heartbeat_at(other, 2));
        here.merge(&there.updates_since(0, 0));
        assert_eq!(here.endpoint("i").unwrap().reported_by, other);
    }
}

#[test]
fn a_heartbeat_redirected_to_another_member_does_not_clear_a_suspicion() {
    let mut feed = ChangeFeed::new(7);
    feed.put_endpoint(&EndpointUpdate { suspect: true, ..endpoint("i", 4, EndpointState::Ready) });
    assert!(!feed
        .put_endpoint(&EndpointUpdate { reported_by: "b".into(), ..endpoint("i", 4, EndpointState::Ready) }));
    assert!(feed
        .put_endpoint(&EndpointUpdate { reported_by: "b".into(), ..endpoint("i", 5, EndpointState::Ready) }));
    assert!(!feed.endpoint("i").unwrap().suspect);
}

#[test]
fn a_current_follower_gets_nothing_and_one_of_another_feed_a_snapshot() {
    let mut feed = ChangeFeed::new(7);
    feed.put_endpoint(&endpoint("i", 1, EndpointState::Ready));
    feed.put_config(&ConfigDocument { revision: 9, body: "x".into() });
    let update = feed.updates_since(0, 0);
    assert!(update.is_snapshot && update.endpoints.len() == 1 && update.config.is_some());
    assert_eq!(feed.updates_since(7, update.sequence).endpoints.len(), 0);
    assert!(feed.updates_since(6, 1).is_snapshot, "another start of the member");
    assert!(feed.updates_since(7, 99).is_snapshot, "a sequence number that was never given");
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
    feed.put_endpoint(&endpoint("i", 5, EndpointState::Draining));
    assert!(!feed.put_endpoint(&endpoint("i", 4, EndpointState::Ready)));
    feed.put_endpoint(&endpoint("i", 6, EndpointState::Ready));
    assert_eq!(feed.endpoint("i").unwrap().state, EndpointState::Draining);
    assert!(!feed.put_endpoint(&endpoint("i", 7, EndpointState::Draining)), "a heartbeat alone is no update");
}
