use crate::feed::ChangeFeed;
use coppersail_peer_protocol::{EndpointState, EndpointUpdate};

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
fn a_heartbeat_redirected_to_another_member_leaves_one_reporter_in_both_feeds() {
    for (first, other) in [("a", "b"), ("b", "a")] {
        let heartbeat_at = |via: &str, calls| EndpointUpdate {
            reported_by: via.into(),
            ..host("i", calls, EndpointState::Ready)
        };
        let (mut here, mut there) = (ChangeFeed::new(7), ChangeFeed::new(8));
        here.put_endpoint(&heartbeat_at(first, 1));
        there.put_endpoint(&heartbeat_at(other, 1));
        // Each tells the other before its own is told: the news have crossed.
        let (ours, theirs) = (here.updates_since(0, 0), there.updates_since(0, 0));
        here.merge(&theirs);
        there.merge(&ours);
        assert_eq!(here.endpoint("i"), there.endpoint("i"));
        // It goes on to beat there.
        there.put_endpoint(&heartbeat_at(other, 2));
        here.merge(&there.updates_since(0, 0));
        assert_eq!(here.endpoint("i").unwrap().reported_by, other);
    }
}

#[test]
fn a_heartbeat_redirected_to_another_member_does_not_clear_a_suspicion() {
    let mut feed = ChangeFeed::new(7);
    feed.put_endpoint(&EndpointUpdate { suspect: true, ..host("i", 4, EndpointState::Ready) });
    assert!(
        !feed.put_endpoint(&EndpointUpdate { reported_by: "b".into(), ..host("i", 4, EndpointState::Ready) })
    );
    assert!(
        feed.put_endpoint(&EndpointUpdate { reported_by: "b".into(), ..host("i", 5, EndpointState::Ready) })
    );
    assert!(!feed.endpoint("i").unwrap().suspect);
}
