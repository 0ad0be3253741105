//! Tests of the order of control-plane nodes, the response timeouts, and answers that are not used.
use super::*;
use assert_matches::assert_matches;

/// The candidates of an edge whose settings list two control-plane nodes.
fn two_configured() -> Candidates {
    let known_peers = vec!["10.0.0.1:99".into(), "10.0.0.2:99".into()];
    Candidates::new(&ProcessSettings {
        ip_address: "10.0.9.9".into(),
        peer_ports: (75, 80),
        known_peers,
        ..ProcessSettings::default()
    })
}

#[test]
fn a_failed_poll_moves_on_at_once_until_all_nodes_have_failed() {
    let mut candidates = two_configured();
    let first = candidates.current().unwrap().clone();
    assert!(candidates.poll_failed().is_zero());
    assert_ne!(candidates.current(), Some(&first));
    assert!(!candidates.poll_failed().is_zero());
    let addresses = vec!["10.0.0.7:75".into(), "10.0.0.1:75".into()];
    assert_matches!(
        candidates.accept(
            &mut WatchRequest::default(),
            Update { control_plane_addresses: addresses, ..Update::default() }
        ),
        Ok(_)
    );
    assert_eq!(candidates.current(), Some(&first));
    assert_eq!(candidates.addresses().count(), 3);
}

#[test]
fn an_isolated_answer_is_not_applied_and_only_adds_nodes_to_poll() {
    let mut candidates = two_configured();
    let mut request = WatchRequest { feed_id: 4, sequence: 40, ..WatchRequest::default() };
    let addresses = vec!["10.0.0.2:75".into()];
    let update =
        Update { feed_id: 5, sequence: 50, control_plane_addresses: addresses.clone(), ..Update::default() };
    assert_matches!(candidates.accept(&mut request, update.clone()), Ok(accepted) if accepted == update);
    assert_eq!((request.feed_id, request.sequence, &candidates.confirmed), (5, 50, &addresses));
    let next = candidates.addresses().find(|address| Some(*address) != candidates.current()).cloned();
    let isolated = Update {
        feed_id: 3,
        sequence: 99,
        isolated: true,
        control_plane_addresses: vec!["10.0.0.7:75".into()],
        ..Update::default()
    };
    assert_matches!(candidates.accept(&mut request, isolated), Err(delay) if delay.is_zero());
    // The feed position and the confirmed addresses are unchanged, and the next node is polled.
    assert_eq!((request.feed_id, request.sequence, &candidates.confirmed), (5, 50, &addresses));
    assert_eq!(candidates.current(), next.as_ref());
    assert!(
        candidates.addresses().count() == 3 && candidates.addresses().any(|address| address == "10.0.0.7:75")
    );
}

#[test]
fn the_response_timeout_is_short_at_first_and_grows_when_all_nodes_are_slow() {
    let mut candidates = two_configured();
    let mut timeouts = Vec::new();
    for _ in 0..40 {
        timeouts.push(candidates.response_timeout());
        candidates.poll_failed();
    }
    assert_eq!((timeouts[0], timeouts[1]), (FIRST_RESPONSE_TIMEOUT, FIRST_RESPONSE_TIMEOUT));
    assert!(
        timeouts.is_sorted()
            && timeouts[2] > FIRST_RESPONSE_TIMEOUT
            && *timeouts.last().unwrap() == POLL_TIMEOUT
    );
    candidates.poll_succeeded();
    assert_eq!(candidates.response_timeout(), FIRST_RESPONSE_TIMEOUT);
}

/// On a congested link, an edge moves from node to node. Without resuming, it would restart the snapshot each
/// time.
#[test]
fn a_partially_received_snapshot_is_resumed_at_its_node() {
    let mut candidates = two_configured();
    let mut request = WatchRequest::default();
    let part = |feed_id, sequence| Update { feed_id, sequence, incomplete: true, ..Update::default() };
    assert_matches!(candidates.accept(&mut request, part(4, 40)), Ok(_));
    candidates.poll_failed();
    candidates.resume(&mut request);
    assert_eq!(
        (request.feed_id, request.sequence),
        (4, 40),
        "the other node will recognize that the feed id is not its own"
    );
    assert_matches!(candidates.accept(&mut request, part(5, 7)), Ok(_));
    candidates.poll_failed();
    candidates.resume(&mut request);
    assert_eq!((request.feed_id, request.sequence), (4, 40));
    let complete = Update { feed_id: 4, sequence: 90, ..Update::default() };
    assert_matches!(candidates.accept(&mut request, complete), Ok(_));
    candidates.poll_failed();
    candidates.resume(&mut request);
    assert_eq!(
        (request.feed_id, request.sequence),
        (4, 90),
        "the other node restarts its feed, because its position was dropped after the complete update"
    );
}
