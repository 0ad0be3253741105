//! Three real control-plane nodes on loopback that are killed and lose their disks.
mod common;

use common::{settings, Core};
use coppersail_peer_protocol::{Update, WatchRequest};
use serde_json::{json, Value};
use std::time::{Duration, Instant};

#[test]
fn an_acknowledged_configuration_survives_the_loss_of_any_one_disk() {
    for lost in 0..3 {
        let mut core = Core::start(lost as u8);
        assert_eq!(core.replace(5, "/five/"), 200);
        (0..3).for_each(|n| core.kill(n));
        let is_stored = |n: &usize| {
            let found = coppersail_control_plane::store::read_copy(&core.data(*n)).unwrap();
            found.state.get("config").is_some_and(|c| c.contains("/five/"))
        };
        assert!((0..3).filter(is_stored).count() >= 2, "acknowledged with one disk only");
        std::fs::remove_dir_all(core.data(lost)).unwrap();
        (0..3).for_each(|n| core.run(n, false));
        assert_eq!(core.read(), settings(5, "/five/"), "disk {lost} lost after the acknowledgement");
        assert_eq!(core.replace(6, "/six/"), 200);
    }
}

#[test]
fn a_corrupt_folder_does_not_bootstrap_whatever_the_settings_say() {
    let mut core = Core::start(14);
    core.wait_until_ready();
    (0..3).for_each(|n| core.kill(n));
    let journal = std::fs::File::options().write(true).open(core.data(0).join("0.jnl")).unwrap();
    journal.set_len(0).unwrap();
    let corrupt_generation = core.generation(0);
    core.run(0, true);
    core.wait_until_ready();
    core.wait_until_written_after(0, corrupt_generation);
    core.kill(0);
    let found = coppersail_control_plane::store::read_copy(&core.data(0)).unwrap();
    let voter: coppersail_consensus::VoterState = serde_json::from_str(&found.metadata["witness"]).unwrap();
    let last_durable_term: coppersail_consensus::Term =
        serde_json::from_str(&found.metadata["floor"]).unwrap();
    let empty = (
        coppersail_consensus::Term::default(),
        coppersail_consensus::Term::default(),
        coppersail_consensus::LeadershipRecord::default(),
    );
    assert_eq!(
        (last_durable_term, voter.promised, voter.record),
        empty,
        "it bootstrapped again as one of the first voters"
    );
    assert!(voter.incarnation > 0, "it has the incarnation of the corrupt disk");
}

#[test]
fn revisions_out_of_order_leave_the_highest_also_after_a_failover() {
    let mut core = Core::start(10);
    assert_eq!(core.replace(7, "/seven/"), 200);
    assert_eq!(core.replace(4, "/four/"), 200, "an older one is acknowledged");
    assert_eq!(core.replace(7, "/seven/"), 200, "the same again is acknowledged");
    assert_eq!(core.replace(7, "/other/"), 409, "another content has that number");
    assert_eq!(core.read(), settings(7, "/seven/"));
    // The first member is the first leader.
    core.kill(0);
    assert_eq!(core.replace(6, "/six/"), 200);
    assert_eq!(core.read(), settings(7, "/seven/"));
    assert_eq!(core.replace(9, "/nine/"), 200);
    core.run(0, false);
    core.kill(1);
    assert_eq!(core.read(), settings(9, "/nine/"));
}

#[test]
fn an_invalid_configuration_is_rejected_and_applied_nowhere() {
    let core = Core::start(11);
    assert_eq!(core.replace(1, "/one/"), 200);
    let valid = settings(2, "/two/").to_string();
    let mut invalid: Vec<String> = (1..valid.len()).step_by(37).map(|n| valid[..n].to_string()).collect();
    invalid.push(valid.replace(r#""s"]]"#, r#""nobody"]]"#));
    invalid.push(valid.replace("1000ms", "601s"));
    invalid.push(valid.replace("400ms", "62s"));
    invalid.push(valid.replace("d.example", ""));
    for text in invalid {
        let (status, why) = core.order("POST", "/settings/replace", &text);
        assert!((400..500).contains(&status) && !why.contains('\n'), "{status} {why}: {text}");
    }
    assert_eq!(core.read(), settings(1, "/one/"));
}

#[test]
fn draining_is_known_everywhere_before_its_acknowledgement_and_late_heartbeats_change_nothing() {
    let core = Core::start(12);
    assert_eq!(core.replace(1, "/one/"), 200);
    let heartbeat = |stage: &str, calls: u64| {
        let body = json!({"backend": "s", "address": "127.0.0.1:9", "area": "a", "capacity": 2, "stage": stage, "callCount": calls});
        core.order("POST", "/servers/i-1/pulse", &body.to_string()).0
    };
    assert_eq!((heartbeat("ready", 3), heartbeat("emptying", 5), heartbeat("ready", 4)), (200, 200, 200));
    for ip in &core.ips {
        let watch = WatchRequest { edge: "e".into(), ..WatchRequest::default() };
        let update: Update = core.client.post(&format!("{ip}:7540"), "/follow", &watch).unwrap();
        let endpoint =
            update.endpoints.iter().find(|endpoint| endpoint.id == "i-1").expect("every node knows it");
        assert_eq!(endpoint.state, coppersail_peer_protocol::EndpointState::Draining);
    }
}

#[test]
fn a_rollout_survives_its_leader_and_one_duplicated_request_reported_anywhere_withdraws_it() {
    let mut core = Core::start(13);
    assert_eq!(core.replace(1, "/one/"), 200);
    let plan =
        r#"{"service": "s", "from": {"revision": "1"}, "to": {"revision": "2"}, "steps": [{"share": 0.1}]}"#;
    assert_eq!(core.order("POST", "/rollouts/friday", &plan.replace("\"s\"", "\"t\"")).0, 400);
    assert_eq!(core.order("POST", "/rollouts/friday", plan).0, 200);
    assert_eq!(core.order("POST", "/rollouts/other", plan).0, 409);
    core.kill(0);
    let read = || -> Value {
        let (status, text) = core.order("GET", "/rollouts/friday", "");
        assert_eq!(status, 200, "{text}");
        serde_json::from_str(&text).unwrap()
    };
    assert_eq!((read()["phase"].as_str(), read()["number"].as_u64()), (Some("running"), Some(1)));
    let mut row = coppersail_rollout::evidence::EvidenceRow {
        plan: "friday".into(),
        number: 1,
        revision: 1,
        ..Default::default()
    };
    row.new.all[coppersail_rollout::OutcomeKind::DuplicateResponse as usize] = 1;
    let report =
        coppersail_rollout::EvidenceReport { edge: "e".into(), rows: vec![row], ..Default::default() };
    // Sent to both remaining nodes. One of them is not the leader and forwards the report; the leader
    // receives it twice, and counts it once.
    for ip in &core.ips[1..] {
        let watch = WatchRequest {
            edge: "e".into(),
            rollout_reports: vec![report.clone()],
            ..WatchRequest::default()
        };
        let update: Update = core.client.post(&format!("{ip}:7540"), "/follow", &watch).unwrap();
        assert!(update.rollouts_as_of.is_some_and(|seen| seen.age_ms < 5_000), "{:?}", update.rollouts_as_of);
    }
    let end = Instant::now() + Duration::from_secs(20);
    while read()["phase"] != "withdrawn" {
        assert!(Instant::now() < end, "{}", read());
        core.long_poll(200);
    }
    assert_eq!(read()["new"]["doubled"], 1);
    assert_eq!(core.order("POST", "/rollouts/friday/undo", "").0, 200, "it is already withdrawn");
    assert_eq!(core.order("POST", "/rollouts/friday/end", "").0, 200);
    assert_eq!(core.order("POST", "/rollouts/friday/resume", "").0, 409);
}
