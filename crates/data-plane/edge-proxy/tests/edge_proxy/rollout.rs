//! Tests of a rollout at an edge with endpoints of two revisions.
use crate::stand_ins::*;
use coppersail_peer_protocol::{EndpointState, EndpointUpdate, RolloutsAsOf, Update};
use coppersail_rollout::evidence::OutcomeKind;
use coppersail_rollout::lifecycle::{RolloutCommand, RolloutState};
use std::time::Instant;

const PLAN: &str = r#"{"service": "plain", "from": {"revision": "v1"}, "to": {"revision": "v2"}, "member": "Session",
    "steps": [{"share": 0.5}, {"share": 1}]}"#;

fn running() -> RolloutState {
    RolloutState::submit("friday", PLAN, None).unwrap()
}

fn with_revision(host: &ScriptedHost, revision: &str) -> EndpointUpdate {
    EndpointUpdate { version: revision.into(), ..host.endpoint_update(EndpointState::Ready, 1) }
}

/// An update with the current rollouts of a leader of this term.
fn update_of_leader(rollouts: Vec<RolloutState>, term: u64) -> Update {
    let rollouts_as_of = Some(RolloutsAsOf { term, age_ms: 0 });
    Update { rollouts, rollouts_as_of, requested_at: Some(Instant::now()), ..Update::default() }
}

async fn edge_with_two_revisions(old: &ScriptedHost, new: &ScriptedHost) -> TestEdge {
    let test_edge = start_edge(&[]).await;
    // Applied before the first update of a leader, so that the leader's time is not before the start of the
    // edge.
    test_edge.edge.apply_update(Update {
        endpoints: vec![with_revision(old, "v1"), with_revision(new, "v2")],
        ..Update::default()
    });
    test_edge
}

async fn send(test_edge: &TestEdge, path: &str, session: u32) -> String {
    let headers = format!("Session: s{session}\r\nConnection: close\r\n");
    test_edge.send_raw(request(path, &session.to_string(), &headers).as_bytes()).await
}

#[test]
fn sessions_keep_their_variant_and_a_pause_returns_all_to_the_control_group() {
    run_test(|| async {
        let old = scripted_host("i-old", |_, head| HostAction::Respond(sealed_response(head, "old"))).await;
        let new = scripted_host("i-new", |_, head| HostAction::Respond(sealed_response(head, "new"))).await;
        let test_edge = edge_with_two_revisions(&old, &new).await;
        test_edge.edge.apply_update(update_of_leader(vec![running()], 1));
        let mut got_new = Vec::new();
        for n in 0..40 {
            got_new.push(send(&test_edge, "/once/", n).await.ends_with("new"));
        }
        let new_count = got_new.iter().filter(|new| **new).count();
        assert!((8..32).contains(&new_count), "{new_count}");
        for n in 0..40 {
            assert_eq!(
                send(&test_edge, "/again/", n).await.ends_with("new"),
                got_new[n as usize],
                "session {n}"
            );
        }
        let paused = running().apply_command(0, RolloutCommand::Pause, "").unwrap().unwrap();
        test_edge.edge.apply_update(update_of_leader(vec![paused.clone()], 1));
        test_edge.edge.apply_update(update_of_leader(vec![running()], 1));
        let before = new.request_count();
        for n in 0..20 {
            assert!(send(&test_edge, "/once/", n).await.ends_with("old"), "{n}");
        }
        assert_eq!(new.request_count(), before);
        // After the end of the rollout, both are ordinary endpoints.
        test_edge.edge.apply_update(update_of_leader(
            vec![paused.apply_command(0, RolloutCommand::End, "").unwrap().unwrap()],
            1,
        ));
        assert!(!test_edge.edge.rollouts.is_active());
    });
}

#[test]
fn a_duplicate_response_stops_the_new_version_immediately_and_is_reported() {
    run_test(|| async {
        let old = scripted_host("i-old", |_, head| HostAction::Respond(sealed_response(head, "old"))).await;
        let new = scripted_host("i-new", |_, head| {
            HostAction::Respond([sealed_response(head, "new"), sealed_response(head, "new")].concat())
        })
        .await;
        let test_edge = edge_with_two_revisions(&old, &new).await;
        test_edge.edge.apply_update(update_of_leader(vec![running()], 1));
        let mut at = 0;
        while new.request_count() == 0 {
            assert_eq!(status(&send(&test_edge, "/once/", at).await), 200);
            at += 1;
        }
        for n in 0..20 {
            assert!(send(&test_edge, "/once/", 100 + n).await.ends_with("old"));
        }
        assert_eq!(new.request_count(), 1);
        test_edge.edge.queue_evidence();
        let rows: Vec<_> = test_edge.edge.rollouts.outbox.take().into_iter().flat_map(|r| r.rows).collect();
        assert_eq!(rows.iter().map(|r| r.new.of(OutcomeKind::DuplicateResponse)).max(), Some(1));
        assert_eq!(rows[0].route, "once");
    });
}

#[test]
fn a_request_that_may_have_run_is_never_sent_to_the_other_version() {
    run_test(|| async {
        let old = scripted_host("i-old", |_, head| HostAction::Respond(sealed_response(head, "old"))).await;
        let new = scripted_host("i-new", |n, head| match n % 2 {
            0 => HostAction::ResetConnection,
            _ => HostAction::Respond(response(head, "503 Busy", "Not-Run: full\r\n", "")),
        })
        .await;
        let test_edge = edge_with_two_revisions(&old, &new).await;
        let most = RolloutState { body: PLAN.replace("0.5", "0.9"), ..running() };
        test_edge.edge.apply_update(update_of_leader(vec![most], 1));
        let (mut indeterminate, mut rejected) = (0, 0);
        for n in 0..20 {
            let (new_before, old_before) = (new.request_count(), old.request_count());
            let got = status(&send(&test_edge, "/once/", n).await);
            match (new.request_count() - new_before, got) {
                // The new version reset the connection: no other endpoint gets the request.
                (1, 502) => {
                    indeterminate += 1;
                    assert_eq!(old.request_count(), old_before, "{n}");
                }
                // The new version rejected the request, and the control group processed it.
                (1, 200) => {
                    rejected += 1;
                    assert_eq!(old.request_count(), old_before + 1);
                }
                (0, 200) => {}
                other => panic!("{n}: {other:?}"),
            }
        }
        assert!(indeterminate > 3 && rejected > 3, "{indeterminate} {rejected}");
    });
}

#[test]
fn without_a_lease_of_the_leader_no_request_goes_to_the_new_version() {
    run_test(|| async {
        let old = scripted_host("i-old", |_, head| HostAction::Respond(sealed_response(head, "old"))).await;
        let new = scripted_host("i-new", |_, head| HostAction::Respond(sealed_response(head, "new"))).await;
        let test_edge = edge_with_two_revisions(&old, &new).await;
        test_edge.edge.apply_update(Update { rollouts: vec![running()], ..Update::default() });
        // Information that is older than the duration of the lease does not renew it.
        let expired = Some(RolloutsAsOf { term: 1, age_ms: 2_600 });
        test_edge.edge.apply_update(Update {
            rollouts_as_of: expired,
            requested_at: Some(Instant::now()),
            ..Update::default()
        });
        for n in 0..30 {
            assert!(send(&test_edge, "/once/", n).await.ends_with("old"));
        }
        // Neither does information from a leader of an earlier term.
        let later_term = Some(RolloutsAsOf { term: 2, age_ms: 2_600 });
        test_edge.edge.apply_update(Update {
            rollouts_as_of: later_term,
            requested_at: Some(Instant::now()),
            ..Update::default()
        });
        test_edge.edge.apply_update(update_of_leader(vec![], 1));
        for n in 30..60 {
            assert!(send(&test_edge, "/once/", n).await.ends_with("old"));
        }
        assert_eq!(new.request_count(), 0);
        test_edge.edge.apply_update(update_of_leader(vec![], 2));
        for n in 60..90 {
            send(&test_edge, "/once/", n).await;
        }
        assert!(new.request_count() > 0);
    });
}
