//! Tests of the module `feed`.
use crate::feed::ChangeFeed;
use crate::followers::{AnswerOptions, FeedPosition};
use coppersail_peer_protocol::{ConfigDocument, EndpointState, EndpointUpdate, Update};

/// The unlimited update for a follower at this position.
fn updates_since(feed: &ChangeFeed, feed_id: u64, sequence: u64) -> Update {
    feed.updates_since(FeedPosition { feed_id, sequence }, AnswerOptions::default())
}

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
        // The updates of both members cross on the network.
        let (ours, theirs) = (updates_since(&here, 0, 0), updates_since(&there, 0, 0));
        here.merge(&theirs);
        there.merge(&ours);
        assert_eq!(here.endpoint("i"), there.endpoint("i"));
        // The next heartbeat goes to the second member.
        there.put_endpoint(&heartbeat_at(other, 2));
        here.merge(&updates_since(&there, 0, 0));
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
    let update = updates_since(&feed, 0, 0);
    assert!(update.is_snapshot && update.endpoints.len() == 1 && update.config.is_some());
    assert_eq!(updates_since(&feed, 7, update.sequence).endpoints.len(), 0);
    assert!(updates_since(&feed, 6, 1).is_snapshot, "the member has restarted");
    assert!(updates_since(&feed, 7, 99).is_snapshot, "a sequence number that was never given");
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

/// A feed of 60 endpoints, 512 shards with owners that change one by one, and a configuration.
fn populated_feed() -> ChangeFeed {
    let mut feed = ChangeFeed::new(7);
    for n in 0..60 {
        feed.put_endpoint(&endpoint(&format!("i-{n}"), 1, EndpointState::Ready));
    }
    for shard in 0..512 {
        feed.put_owner("s", 512, shard, &format!("i-{}", shard % 60), 1 + u64::from(shard));
    }
    feed.put_config(&ConfigDocument { revision: 3, body: "x".repeat(1000) });
    feed
}

#[test]
fn parts_keep_to_the_limit_and_add_up_to_the_feed() {
    let mut feed = populated_feed();
    let whole = updates_since(&feed, 0, 0);
    let mut copy = ChangeFeed::new(8);
    let mut position = FeedPosition { feed_id: 0, sequence: 0 };
    let mut options = AnswerOptions { known_revision: None, max_bytes: Some(6_000) };
    for part in 0.. {
        let update = feed.updates_since(position, options);
        assert!(serde_json::to_string(&update).unwrap().len() <= 6_000, "part {part}");
        assert_eq!((update.is_snapshot, update.config.is_some()), (part == 0, part == 0));
        assert!(update.sequence > position.sequence, "part {part} is no advance");
        position = FeedPosition { feed_id: update.feed_id, sequence: update.sequence };
        options.known_revision =
            update.config.as_ref().map(|config| config.revision).or(options.known_revision);
        copy.merge(&update);
        if !update.incomplete {
            break;
        }
        if part == 1 {
            // A change that is put while the parts are sent is in a later part.
            feed.put_endpoint(&endpoint("i-0", 2, EndpointState::Removed));
        }
    }
    let copied = updates_since(&copy, 0, 0);
    let is_removed = |endpoint: &&EndpointUpdate| endpoint.state == EndpointState::Removed;
    let removed: Vec<&str> = copied.endpoints.iter().filter(is_removed).map(|e| e.id.as_str()).collect();
    assert_eq!((removed, copied.endpoints.len()), (vec!["i-0"], whole.endpoints.len()));
    assert_eq!((copied.assignments, copied.config), (whole.assignments, whole.config));
}

#[test]
fn a_configuration_comes_before_older_changes_and_not_twice() {
    let mut feed = populated_feed();
    let first = AnswerOptions { known_revision: Some(2), max_bytes: Some(6_000) };
    let update = feed.updates_since(FeedPosition { feed_id: 0, sequence: 0 }, first);
    assert_eq!(update.config.map(|config| config.revision), Some(3));
    let position = FeedPosition { feed_id: 7, sequence: update.sequence };
    feed.put_config(&ConfigDocument { revision: 4, body: "y".into() });
    let next = feed.updates_since(position, AnswerOptions { known_revision: Some(3), ..first });
    assert_eq!((next.incomplete, next.config.map(|config| config.revision)), (true, Some(4)));
    let last = feed.updates_since(position, AnswerOptions { known_revision: Some(4), max_bytes: None });
    assert_eq!((last.incomplete, last.config), (false, None), "it has that one");
}

/// Guards against an edge that goes on using an endpoint which has signed off: it has known the endpoint from
/// another member, and would drop it only once the warm-up of this one is over.
#[test]
fn a_snapshot_names_the_removed_endpoints() {
    let mut feed = ChangeFeed::new(7);
    feed.put_endpoint(&endpoint("i-1", 1, EndpointState::Ready));
    feed.put_endpoint(&endpoint("i-2", 1, EndpointState::Removed));
    let update = updates_since(&feed, 6, 4);
    let states: Vec<_> = update.endpoints.iter().map(|e| (e.id.as_str(), e.state)).collect();
    assert!(update.is_snapshot);
    assert_eq!(states, [("i-1", EndpointState::Ready), ("i-2", EndpointState::Removed)]);
    feed.forget_endpoint("i-2");
    assert_eq!(updates_since(&feed, 6, 4).endpoints.len(), 1);
}

/// Otherwise an edge that lags would send requests to removed endpoints until it has all older changes.
#[test]
fn departures_come_with_every_part_until_their_turn() {
    let mut feed = populated_feed();
    feed.put_endpoint(&endpoint("i-5", 2, EndpointState::Draining));
    feed.put_endpoint(&endpoint("i-6", 2, EndpointState::Removed));
    let mut position = FeedPosition { feed_id: 7, sequence: 20 };
    let options = AnswerOptions { known_revision: Some(3), max_bytes: Some(6_000) };
    let mut parts = 0;
    while position.sequence < feed.sequence {
        let update = feed.updates_since(position, options);
        let departed = update.endpoints.iter().filter(|endpoint| endpoint.state > EndpointState::Ready);
        assert_eq!(departed.map(|endpoint| endpoint.id.as_str()).collect::<Vec<_>>(), ["i-5", "i-6"]);
        position.sequence = update.sequence;
        parts += 1;
    }
    assert!(parts > 3, "{parts} parts");
}

#[test]
fn a_change_longer_than_the_limit_is_sent_alone() {
    let mut feed = ChangeFeed::new(7);
    for n in 0..3 {
        feed.put_endpoint(&endpoint(&"i".repeat(500 + n), 1, EndpointState::Ready));
    }
    let options = AnswerOptions { max_bytes: Some(100), ..AnswerOptions::default() };
    let lengths = (0..3).map(|sequence| feed.updates_since(FeedPosition { feed_id: 7, sequence }, options));
    assert!(lengths.map(|update| update.endpoints.len()).eq([1, 1, 1]));
}
