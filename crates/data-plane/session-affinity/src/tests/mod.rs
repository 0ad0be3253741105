//! Crossings, losses, partitions and capacity, on four nodes; and tokens.
mod cluster;

use crate::token::{SessionToken, SigningKeys, SigningKeysError, TokenError};
use crate::{preferred_endpoint, AffinitySettings, Decision, Outcome, ParseSessionIdError, SessionId};
use assert_matches::assert_matches;
use cluster::{executed, response, Cluster, CREATED_AT};

#[test]
fn two_nodes_that_claim_at_once_send_it_once() {
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
fn a_session_that_crosses_back_and_forth_keeps_its_response() {
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
    // Another key needn't wait for it.
    cluster.send(4, 3, "b");
    assert_eq!(cluster.sent, [(1, 1), (4, 3)]);
    cluster.complete(1, 1, executed());
    assert_eq!(cluster.answers[&1], None);
    cluster.send(4, 4, "a");
    assert_eq!(cluster.answers[&4], Some(Decision::Replay(response())));
    assert!(
        cluster.nodes[&1].view(cluster.now, SessionId([1, 0])).is_some_and(|shown| !shown.owner),
        "a replica still"
    );
}

#[test]
fn an_owner_killed_in_flight_leaves_an_unknown_outcome() {
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
fn a_claimant_killed_after_its_claim_delays_nobody() {
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
    // So the next one may go.
    cluster.kill(2);
    cluster.now += 10;
    cluster.send(3, 4, "a");
    assert_eq!(cluster.answers[&4], Some(Decision::Replay(response())));
}

#[test]
fn a_session_that_two_replicas_lost_is_refused() {
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
    assert_eq!(cluster.answers[&3], Some(Decision::Replay(response())), "a repeat gets what is known");
    cluster.send(2, 4, "b");
    assert_eq!(cluster.sent.last(), Some(&(2, 4)));
    cluster.complete(2, 4, executed());
    cluster.partition.clear();
    cluster.now += 10;
    cluster.send(1, 5, "b");
    assert_eq!(cluster.answers[&5], Some(Decision::Rejected), "it hears now that it was left");
    cluster.send(1, 6, "b");
    assert_eq!((&cluster.answers[&6], cluster.sent.len()), (&Some(Decision::Replay(response())), 2));
}

#[test]
fn an_unknown_outcome_is_not_retried_and_a_rejection_is() {
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
fn a_repeat_is_answered_by_what_is_recorded_of_the_first() {
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
fn idle_sessions_are_evicted_and_those_in_flight_never() {
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
    // The one that was evicted may have run, so it does not count as new.
    let request = cluster.request(1, 5, "a", 7);
    cluster.with_node(4, |node, now| node.admit(now, request));
    cluster.deliver_all();
    assert_eq!((&cluster.answers[&5], cluster.sent.len()), (&Some(Decision::SessionLost), 3));
}

#[test]
fn a_thousand_sessions_cross_at_one_moment() {
    let mut cluster = Cluster::new(AffinitySettings::default());
    let request_all = |cluster: &mut Cluster, id, first_ticket| {
        for session in 0..1_000 {
            let request = cluster.request(session, first_ticket + session, "a", 7);
            cluster.with_node(id, |node, now| node.admit(now, request));
        }
        cluster.deliver_all();
    };
    request_all(&mut cluster, 1, 0);
    for request_id in 0..900 {
        cluster.complete(1, request_id, executed());
    }
    // The rest is at endpoints when the node is killed.
    cluster.kill(1);
    cluster.now += 10;
    request_all(&mut cluster, 4, 10_000);
    let kept = (10_000..11_000)
        .filter(|request_id| cluster.answers[request_id] == Some(Decision::Replay(response())))
        .count();
    let in_flight =
        (10_000..11_000).filter(|request_id| cluster.answers[request_id] == Some(Decision::InFlight)).count();
    assert_eq!((kept, in_flight, cluster.sent.len()), (900, 100, 1_000));
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
    assert_eq!(cluster.nodes[&4].endpoint(id, "ledger"), None, "nothing waits for it");
    cluster.deliver_all();
    assert_eq!(cluster.nodes[&4].endpoint(id, "ledger"), Some("i-1"));
    // Its endpoint belongs to the old version: another is selected, and recorded after the crossing.
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
    // A late lookup at the old node does not take it back.
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
    assert_eq!(read(&during, &text, CREATED_AT), Ok((token, false)), "known, to be signed anew");
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
fn keys_that_are_too_short_are_refused_with_what_was_expected() {
    let refused = |keys| SigningKeys::new(keys).err().expect("refused");
    assert_eq!(refused(vec![]), SigningKeysError::NoKeys);
    let too_short = refused(vec![vec![1; 32], vec![1; 31]]);
    assert_eq!(too_short, SigningKeysError::TooShort { index: 1, found: 31 });
    // The edge puts these after "sessions: expected".
    assert_eq!(refused(vec![]).to_string(), "a key at least");
    assert_eq!(too_short.to_string(), "keys of 32 bytes or more");
}

#[test]
fn a_text_that_is_no_session_id_is_refused() {
    for text in ["", "00000000000000010000000000000ab", "+0000000000000010000000000000abc"] {
        assert_eq!(text.parse::<SessionId>(), Err(ParseSessionIdError { found: text.into() }));
    }
}
