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
fn a_host_that_was_sent_on_is_missed_by_neither_centre() {
    for (first, other) in [("a", "b"), ("b", "a")] {
        let heard = |via: &str, calls| EndpointUpdate {
            reported_by: via.into(),
            ..host("i", calls, EndpointState::Ready)
        };
        let (mut here, mut there) = (ChangeFeed::new(7), ChangeFeed::new(8));
        here.put_endpoint(&heard(first, 1));
        there.put_endpoint(&heard(other, 1));
        // Each tells the other before its own is told: the news have crossed.
        let (ours, theirs) = (here.updates_since(0, 0), there.updates_since(0, 0));
        here.merge(&theirs);
        there.merge(&ours);
        assert_eq!(here.endpoint("i"), there.endpoint("i"));
        // It goes on to beat there.
        there.put_endpoint(&heard(other, 2));
        here.merge(&there.updates_since(0, 0));
        assert_eq!(here.endpoint("i").unwrap().reported_by, other);
    }
}

#[test]
fn a_call_that_was_sent_on_does_not_end_a_silence() {
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
