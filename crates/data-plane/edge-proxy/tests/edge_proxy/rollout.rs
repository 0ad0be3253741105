//! A plan at an edge, among hosts of two revisions.
use crate::stand_ins::*;
use coppersail_peer_protocol::{EndpointState, EndpointUpdate, RolloutsAsOf, Update};
use coppersail_rollout::evidence::OutcomeKind;
use coppersail_rollout::lifecycle::{RolloutCommand, RolloutState};
use std::time::Instant;

const BODY: &str = r#"{"service": "plain", "from": {"revision": "v1"}, "to": {"revision": "v2"}, "member": "Session",
    "steps": [{"share": 0.5}, {"share": 1}]}"#;

fn stand() -> RolloutState {
    RolloutState::submit("friday", BODY, None).unwrap()
}

fn of(host: &Host, revision: &str) -> EndpointUpdate {
    EndpointUpdate { version: revision.into(), ..host.news(EndpointState::Ready, 1) }
}

/// What a primary says now.
fn told(plans: Vec<RolloutState>, epoch: u64) -> Update {
    let plans_seen = Some(RolloutsAsOf { term: epoch, age_ms: 0 });
    Update {
        rollouts: plans,
        rollouts_as_of: plans_seen,
        requested_at: Some(Instant::now()),
        ..Update::default()
    }
}

async fn two(old: &Host, new: &Host) -> Rig {
    let rig = rig(&[]).await;
    // Time enough that a proof of now does not lie before the edge's start.
    rig.edge.take(Update { endpoints: vec![of(old, "v1"), of(new, "v2")], ..Update::default() });
    rig
}

async fn ask(rig: &Rig, path: &str, n: u32) -> String {
    let more = format!("Session: s{n}\r\nConnection: close\r\n");
    rig.raw(request(path, &n.to_string(), &more).as_bytes()).await
}

#[test]
fn sessions_keep_their_version_and_a_pause_moves_all_back() {
    play(|| async {
        let old = host("i-old", |_, head| Act::Send(good(head, "old"))).await;
        let new = host("i-new", |_, head| Act::Send(good(head, "new"))).await;
        let rig = two(&old, &new).await;
        rig.edge.take(told(vec![stand()], 1));
        let mut first = Vec::new();
        for n in 0..40 {
            first.push(ask(&rig, "/once/", n).await.ends_with("new"));
        }
        let many = first.iter().filter(|new| **new).count();
        assert!((8..32).contains(&many), "{many}");
        for n in 0..40 {
            assert_eq!(ask(&rig, "/again/", n).await.ends_with("new"), first[n as usize], "session {n}");
        }
        let paused = stand().order(0, RolloutCommand::Pause, "").unwrap().unwrap();
        rig.edge.take(told(vec![paused.clone()], 1));
        rig.edge.take(told(vec![stand()], 1));
        let before = new.count();
        for n in 0..20 {
            assert!(ask(&rig, "/once/", n).await.ends_with("old"), "{n}");
        }
        assert_eq!(new.count(), before);
        // With the plan gone, both are hosts like any other.
        rig.edge.take(told(vec![paused.order(0, RolloutCommand::End, "").unwrap().unwrap()], 1));
        assert!(!rig.edge.steer.on());
    });
}

#[test]
fn a_doubled_booking_stops_this_edge_at_once_and_is_told() {
    play(|| async {
        let old = host("i-old", |_, head| Act::Send(good(head, "old"))).await;
        let new = host("i-new", |_, head| Act::Send([good(head, "new"), good(head, "new")].concat())).await;
        let rig = two(&old, &new).await;
        rig.edge.take(told(vec![stand()], 1));
        let mut at = 0;
        while new.count() == 0 {
            assert_eq!(status(&ask(&rig, "/once/", at).await), 200);
            at += 1;
        }
        for n in 0..20 {
            assert!(ask(&rig, "/once/", 100 + n).await.ends_with("old"));
        }
        assert_eq!(new.count(), 1);
        rig.edge.report();
        let rows: Vec<_> = rig.edge.steer.outbox.take().into_iter().flat_map(|r| r.rows).collect();
        assert_eq!(rows.iter().map(|r| r.new.of(OutcomeKind::Doubled)).max(), Some(1));
        assert_eq!(rows[0].route, "once");
    });
}

#[test]
fn what_may_have_run_is_never_tried_at_the_other_version() {
    play(|| async {
        let old = host("i-old", |_, head| Act::Send(good(head, "old"))).await;
        let new = host("i-new", |n, head| match n % 2 {
            0 => Act::Reset,
            _ => Act::Send(answer(head, "503 Busy", "Not-Run: full\r\n", "")),
        })
        .await;
        let rig = two(&old, &new).await;
        let whole = RolloutState { body: BODY.replace("0.5", "0.9"), ..stand() };
        rig.edge.take(told(vec![whole], 1));
        let (mut unknown, mut turned) = (0, 0);
        for n in 0..20 {
            let (seen, before) = (new.count(), old.count());
            let got = status(&ask(&rig, "/once/", n).await);
            match (new.count() - seen, got) {
                // It was reset at the new version: nobody else gets it.
                (1, 502) => {
                    unknown += 1;
                    assert_eq!(old.count(), before, "{n}");
                }
                // It was turned away unrun, and the sound version has run it.
                (1, 200) => {
                    turned += 1;
                    assert_eq!(old.count(), before + 1);
                }
                (0, 200) => {}
                other => panic!("{n}: {other:?}"),
            }
        }
        assert!(unknown > 3 && turned > 3, "{unknown} {turned}");
    });
}

#[test]
fn without_a_word_from_a_primary_nothing_goes_to_the_new_version() {
    play(|| async {
        let old = host("i-old", |_, head| Act::Send(good(head, "old"))).await;
        let new = host("i-new", |_, head| Act::Send(good(head, "new"))).await;
        let rig = two(&old, &new).await;
        rig.edge.take(Update { rollouts: vec![stand()], ..Update::default() });
        // A word that is older than the lease is none.
        let old_word = Some(RolloutsAsOf { term: 1, age_ms: 2_600 });
        rig.edge.take(Update {
            rollouts_as_of: old_word,
            requested_at: Some(Instant::now()),
            ..Update::default()
        });
        for n in 0..30 {
            assert!(ask(&rig, "/once/", n).await.ends_with("old"));
        }
        // Nor is one of a primary before the one last heard of.
        let last = Some(RolloutsAsOf { term: 2, age_ms: 2_600 });
        rig.edge.take(Update {
            rollouts_as_of: last,
            requested_at: Some(Instant::now()),
            ..Update::default()
        });
        rig.edge.take(told(vec![], 1));
        for n in 30..60 {
            assert!(ask(&rig, "/once/", n).await.ends_with("old"));
        }
        assert_eq!(new.count(), 0);
        rig.edge.take(told(vec![], 2));
        for n in 60..90 {
            ask(&rig, "/once/", n).await;
        }
        assert!(new.count() > 0);
    });
}
