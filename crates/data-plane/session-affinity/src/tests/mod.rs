//! Takeovers, state losses, partitions and capacity limits in a cluster of four nodes; tokens and signing keys.
mod cluster;

use crate::token::{SessionToken, SigningKeys, SigningKeysError, TokenError};
use crate::{preferred_endpoint, AffinitySettings, Decision, Outcome, ParseSessionIdError, SessionId};
use assert_matches::assert_matches;
use cluster::{executed, response, Cluster, CREATED_AT};

#[test]
fn concurrent_claims_by_two_nodes_send_the_request_once() {
    let mut cluster = Cluster::new(AffinitySettings::default());
    let (one, two) = (cluster.request(1, 1, "a", 7), cluster.request(1, 2, "a", 7));
    cluster.with_node(1, |node, now| node.admit(now, one));
    cluster.with_node(4, |node, now| node.admit(now, two));
    cluster.deliver_all();
    cluster.advance(1_000);
    assert_eq!(cluster.sent.len(), 1);
    assert_matches!(cluster.answers.values().next(), Some(Some(Decision::Rejected | Decision::InFlight)));
}

#[test]
fn a_session_that_moves_back_and_forth_keeps_its_response() {
    let mut cluster = Cluster::new(AffinitySettings::default());
    cluster.send(1, 0, "a");
    cluster.complete(1, 0, executed());
    for n in 1..=10 {
        cluster.now += 100;
        let id = if n % 2 == 0 { 1 } else { 4 };
        cluster.send(id, n, "a");
        assert_eq!(cluster.answers[&n], Some(Decision::Replay(response())));
        assert!(
            cluster.nodes[&id].owns(SessionId([1, 0])) && !cluster.nodes[&(5 - id)].owns(SessionId([1, 0]))
        );
    }
    assert_eq!(cluster.sent.len(), 1);
    assert_eq!(
        (cluster.nodes[&4].counters().takeovers, cluster.nodes[&1].counters().sessions_superseded),
        (5, 5)
    );
}

#[test]
fn an_attempt_in_flight_ends_at_the_previous_owner() {
    let mut cluster = Cluster::new(AffinitySettings::default());
    cluster.send(1, 1, "a");
    cluster.send(4, 2, "a");
    assert_eq!(cluster.answers[&2], Some(Decision::InFlight));
    // A request with another key doesn't wait for the one in flight.
    cluster.send(4, 3, "b");
    assert_eq!(cluster.sent, [(1, 1), (4, 3)]);
    cluster.complete(1, 1, executed());
    assert_eq!(cluster.answers[&1], None);
    cluster.send(4, 4, "a");
    assert_eq!(cluster.answers[&4], Some(Decision::Replay(response())));
    assert!(
        cluster.nodes[&1].view(cluster.now, SessionId([1, 0])).is_some_and(|shown| !shown.owner),
        "it is still a replica"
    );
}

#[test]
fn an_outcome_is_unknown_after_the_owner_is_killed_in_flight() {
    let mut cluster = Cluster::new(AffinitySettings::default());
    cluster.send(1, 1, "a");
    cluster.kill(1);
    cluster.send(4, 2, "a");
    assert_eq!(cluster.answers[&2], Some(Decision::InFlight));
    cluster.advance(6_000);
    cluster.send(4, 3, "a");
    assert_eq!((&cluster.answers[&3], cluster.sent.len()), (&Some(Decision::Unknown), 1));
    cluster.send(4, 4, "b");
    assert_eq!(cluster.sent.last(), Some(&(4, 4)), "two replicas are enough for the next one");
}

#[test]
fn the_previous_owner_reclaims_at_once_after_the_claimant_is_killed() {
    let mut cluster = Cluster::new(AffinitySettings::default());
    cluster.send(1, 1, "a");
    cluster.complete(1, 1, executed());
    cluster.with_node(4, |node, now| node.touch(now, SessionId([1, 0]), CREATED_AT, &[1, 2, 3]));
    cluster.deliver_all();
    cluster.kill(4);
    cluster.now += 10;
    cluster.send(1, 2, "a");
    cluster.send(1, 3, "b");
    assert_eq!(
        (&cluster.answers[&2], cluster.sent.last()),
        (&Some(Decision::Replay(response())), Some(&(1, 3)))
    );
}

#[test]
fn a_replica_that_restarts_has_its_record_restored() {
    let mut cluster = Cluster::new(AffinitySettings::default());
    cluster.send(4, 1, "a");
    cluster.complete(4, 1, executed());
    cluster.kill(1);
    cluster.send(2, 2, "a");
    assert_eq!(cluster.answers[&2], Some(Decision::Replay(response())));
    cluster.restart(1);
    cluster.now += 10;
    cluster.send(4, 3, "a");
    assert_eq!(
        (cluster.answers[&3].clone(), cluster.nodes[&4].counters().replicas_restored),
        (Some(Decision::Replay(response())), 1)
    );
    // With that record restored, another replica may fail.
    cluster.kill(2);
    cluster.now += 10;
    cluster.send(3, 4, "a");
    assert_eq!(cluster.answers[&4], Some(Decision::Replay(response())));
}

#[test]
fn requests_are_rejected_after_two_replicas_lost_the_session() {
    let mut cluster = Cluster::new(AffinitySettings::default());
    cluster.send(4, 1, "a");
    cluster.complete(4, 1, Outcome::Unknown);
    for id in [1, 2] {
        cluster.kill(id);
        cluster.restart(id);
    }
    cluster.now += 10;
    cluster.send(3, 2, "a");
    assert_eq!((&cluster.answers[&2], cluster.sent.len()), (&Some(Decision::SessionLost), 1));
}

#[test]
fn only_the_majority_side_of_a_partition_sends() {
    let mut cluster = Cluster::new(AffinitySettings::default());
    cluster.send(1, 1, "a");
    cluster.complete(1, 1, executed());
    cluster.partition = vec![1];
    cluster.send(1, 2, "b");
    assert!(cluster.sent.len() == 1 && !cluster.answers.contains_key(&2));
    cluster.advance(1_000);
    assert_eq!(cluster.answers[&2], Some(Decision::Rejected), "never sent");
    cluster.send(1, 3, "a");
    assert_eq!(
        cluster.answers[&3],
        Some(Decision::Replay(response())),
        "a repeat gets the recorded response"
    );
    cluster.send(2, 4, "b");
    assert_eq!(cluster.sent.last(), Some(&(2, 4)));
    cluster.complete(2, 4, executed());
    cluster.partition.clear();
    cluster.now += 10;
    cluster.send(1, 5, "b");
    assert_eq!(cluster.answers[&5], Some(Decision::Rejected), "it learns only now that it is superseded");
    cluster.send(1, 6, "b");
    assert_eq!((&cluster.answers[&6], cluster.sent.len()), (&Some(Decision::Replay(response())), 2));
}

#[test]
fn a_request_is_sent_again_only_if_it_was_not_executed() {
    let mut cluster = Cluster::new(AffinitySettings::default());
    cluster.send(1, 1, "a");
    cluster.complete(1, 1, Outcome::Unknown);
    cluster.send(4, 2, "a");
    assert_eq!((&cluster.answers[&2], cluster.sent.len()), (&Some(Decision::Unknown), 1));
    cluster.send(4, 3, "b");
    cluster.complete(4, 3, Outcome::NotExecuted);
    cluster.now += 1;
    cluster.send(1, 4, "b");
    assert_eq!(cluster.sent.last(), Some(&(1, 4)));
}

#[test]
fn a_repeat_is_answered_from_the_record_of_the_first_request() {
    let mut cluster =
        Cluster::new(AffinitySettings { max_requests_per_session: 2, ..AffinitySettings::default() });
    cluster.send(1, 1, "a");
    cluster.send(1, 2, "a");
    assert_eq!(cluster.answers[&2], Some(Decision::InFlight));
    cluster.complete(1, 1, executed());
    let other = cluster.request(1, 3, "a", 8);
    cluster.with_node(1, |node, now| node.admit(now, other));
    assert_eq!(cluster.answers[&3], Some(Decision::FingerprintMismatch));
    cluster.advance(cluster.settings.response_retention_ms);
    cluster.send(4, 4, "a");
    assert_eq!(cluster.answers[&4], Some(Decision::ResponseExpired));
    cluster.send(4, 5, "b");
    cluster.send(4, 6, "c");
    assert_eq!((&cluster.answers[&6], cluster.sent.len()), (&Some(Decision::TooManyRequests), 2));
}

#[test]
fn only_sessions_without_requests_in_flight_are_evicted() {
    let mut cluster = Cluster::new(AffinitySettings { max_sessions: 2, ..AffinitySettings::default() });
    for (request_id, session) in [(1, 1), (2, 2), (3, 3)] {
        let request = cluster.request(session, request_id, "a", 7);
        cluster.with_node(1, |node, now| node.admit(now, request));
        cluster.deliver_all();
    }
    cluster.advance(600);
    assert_eq!(
        (cluster.sent.len(), &cluster.answers[&3]),
        (2, &Some(Decision::Rejected)),
        "both sessions are in flight"
    );
    cluster.complete(1, 1, executed());
    let request = cluster.request(3, 4, "a", 7);
    cluster.with_node(1, |node, now| node.admit(now, request));
    cluster.deliver_all();
    assert_eq!(cluster.sent.last(), Some(&(1, 4)));
    // The evicted session's request may have been executed, so the session doesn't count as new.
    let request = cluster.request(1, 5, "a", 7);
    cluster.with_node(4, |node, now| node.admit(now, request));
    cluster.deliver_all();
    assert_eq!((&cluster.answers[&5], cluster.sent.len()), (&Some(Decision::SessionLost), 3));
}

#[test]
fn a_thousand_sessions_are_taken_over_at_once() {
    let mut cluster = Cluster::new(AffinitySettings::default());
    let request_all = |cluster: &mut Cluster, id, first_request_id| {
        for session in 0..1_000 {
            let request = cluster.request(session, first_request_id + session, "a", 7);
            cluster.with_node(id, |node, now| node.admit(now, request));
        }
        cluster.deliver_all();
    };
    request_all(&mut cluster, 1, 0);
    for request_id in 0..900 {
        cluster.complete(1, request_id, executed());
    }
    // The remaining requests are at endpoints when the node is killed.
    cluster.kill(1);
    cluster.now += 10;
    request_all(&mut cluster, 4, 10_000);
    let replayed = (10_000..11_000)
        .filter(|request_id| cluster.answers[request_id] == Some(Decision::Replay(response())))
        .count();
    let in_flight =
        (10_000..11_000).filter(|request_id| cluster.answers[request_id] == Some(Decision::InFlight)).count();
    assert_eq!((replayed, in_flight, cluster.sent.len()), (900, 100, 1_000));
}

#[test]
fn the_endpoint_moves_with_the_session_and_a_rollout_replaces_it() {
    let mut cluster = Cluster::new(AffinitySettings::default());
    let id = SessionId([1, 0]);
    cluster.with_node(1, |node, now| node.touch(now, id, CREATED_AT, &[1, 2, 3]));
    cluster.deliver_all();
    cluster.with_node(1, |node, now| node.set_endpoint(now, id, "ledger", "i-1"));
    cluster.deliver_all();
    cluster.now += 10;
    cluster.with_node(4, |node, now| node.touch(now, id, CREATED_AT, &[1, 2, 3]));
    assert_eq!(
        cluster.nodes[&4].endpoint(id, "ledger"),
        None,
        "a request without a key does not wait for the claim"
    );
    cluster.deliver_all();
    assert_eq!(cluster.nodes[&4].endpoint(id, "ledger"), Some("i-1"));
    // The recorded endpoint runs the old version: another one is selected, and recorded by the new owner.
    let endpoint =
        preferred_endpoint(cluster.nodes[&4].endpoint(id, "ledger"), "i-2", |endpoint| endpoint != "i-1")
            .to_string();
    cluster.with_node(4, |node, now| node.set_endpoint(now, id, "ledger", &endpoint));
    cluster.with_node(1, |node, now| node.set_endpoint(now, id, "ledger", "i-1"));
    cluster.deliver_all();
    cluster.now += 2_000;
    cluster.with_node(2, |node, now| node.touch(now, id, CREATED_AT, &[1, 2, 3]));
    cluster.deliver_all();
    assert_eq!(cluster.nodes[&2].endpoint(id, "ledger"), Some("i-2"));
    // A delayed request without a key does not take the session back to its previous owner.
    cluster.with_node(4, |node, now| node.touch(now, id, CREATED_AT, &[1, 2, 3]));
    cluster.deliver_all();
    assert!(cluster.nodes[&2].owns(id) && !cluster.nodes[&4].owns(id));
}

#[test]
fn each_kind_of_invalid_token_is_distinguished() {
    let (old, new) = (vec![1; 32], vec![2; 32]);
    let before = SigningKeys::new(vec![old.clone()]).unwrap();
    let during = SigningKeys::new(vec![new.clone(), old]).unwrap();
    let after = SigningKeys::new(vec![new]).unwrap();
    let token =
        SessionToken { id: SessionId([1, 2]), peer_set: 3, created_at: CREATED_AT, signed_at: CREATED_AT };
    let text = before.sign(&token);
    let read = |keys: &SigningKeys, text: &str, now| keys.read(text, now, 1_000, 50);
    assert_eq!(
        read(&during, &text, CREATED_AT),
        Ok((token, false)),
        "valid, but to be signed again with the first key"
    );
    let text = during.sign(&token);
    assert_eq!(
        (read(&after, &text, CREATED_AT), read(&before, &text, CREATED_AT)),
        (Ok((token, true)), Err(TokenError::InvalidSignature))
    );
    assert_eq!(read(&after, &text, CREATED_AT - 51), Err(TokenError::FromFuture));
    assert_eq!(read(&after, &text, CREATED_AT - 50), Ok((token, true)));
    assert_eq!(read(&after, &text, CREATED_AT + 1_000), Err(TokenError::Expired));
    assert_eq!(read(&after, &text[..text.len() - 2], CREATED_AT), Err(TokenError::Malformed));
    assert_eq!(read(&after, "no token", CREATED_AT), Err(TokenError::Malformed));
    for at in 0..text.len() {
        let mut forged = text.clone().into_bytes();
        forged[at] = if forged[at] == b'A' { b'B' } else { b'A' };
        assert!(read(&after, std::str::from_utf8(&forged).unwrap(), CREATED_AT).is_err(), "changed at {at}");
    }
}

#[test]
fn short_keys_are_rejected_with_the_expected_length() {
    let error = |keys| SigningKeys::new(keys).err().expect("rejected");
    assert_eq!(error(vec![]), SigningKeysError::NoKeys);
    let too_short = error(vec![vec![1; 32], vec![1; 31]]);
    assert_eq!(too_short, SigningKeysError::TooShort { index: 1, found: 31 });
    // The edge proxy prints these after "sessions: expected".
    assert_eq!(error(vec![]).to_string(), "a key at least");
    assert_eq!(too_short.to_string(), "keys of 32 bytes or more");
}

#[test]
fn invalid_session_ids_are_rejected() {
    for text in ["", "00000000000000010000000000000ab", "+0000000000000010000000000000abc"] {
        assert_eq!(text.parse::<SessionId>(), Err(ParseSessionIdError { found: text.into() }));
    }
}
