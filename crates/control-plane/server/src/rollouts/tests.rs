//! Tests of the module `rollouts`.
use super::*;
use assert_matches::assert_matches;
use coppersail_rollout::evidence::{EvidenceRow, OutcomeKind};

const BODY: &str = r#"{"service": "a", "from": {"revision": "1"}, "to": {"revision": "2"},
        "steps": [{"share": 0.1, "least": "5s", "evidence": 0}, {"share": 1}]}"#;

fn config(service: &str) -> Config {
    let text = format!(
        r#"{{"revision": "r1", "routes": {{"columns": ["name", "domain", "backend"],
            "rows": [["x", "a.example", "{service}"]]}}, "backends": {{"columns": ["name"], "rows": [["{service}"]]}}}}"#
    );
    coppersail_config::config::parse(text.as_bytes()).unwrap()
}

fn advance(rollouts: &mut Rollouts, now: Ms, service: &str) -> Vec<RolloutChange> {
    let endpoints = Endpoints { all: &Vec::new, has_failed_since: &|_, _| None };
    rollouts.advance(now, Some(&config(service)), &endpoints)
}

fn doubled(number: u64) -> EvidenceReport {
    let mut row = EvidenceRow { plan: "p".into(), number, revision: 1, ..EvidenceRow::default() };
    row.new.all[OutcomeKind::DuplicateResponse as usize] = 1;
    EvidenceReport { edge: "e".into(), rows: vec![row], ..EvidenceReport::default() }
}

#[test]
fn overlapping_and_mismatched_plans_are_rejected() {
    let mut rollouts = Rollouts::default();
    assert_matches!(rollouts.submit(0, "p", BODY, Some(&config("b"))), Err(Rejection { status: 400, .. }));
    assert_matches!(rollouts.submit(0, "a/b", BODY, None), Err(Rejection { status: 400, .. }));
    assert_eq!(rollouts.submit(0, "p", BODY, Some(&config("a"))).unwrap().len(), 1);
    assert_matches!(rollouts.submit(1, "q", BODY, None), Err(Rejection { status: 409, reason }) if reason.contains("plan p"));
    assert_eq!(rollouts.submit(2, "p", BODY, None).unwrap().len(), 0, "sent again");
    rollouts.apply_command(3, "p", RolloutCommand::End).unwrap();
    assert_eq!(rollouts.submit(4, "q", BODY, None).unwrap().len(), 1);
}

#[test]
fn a_rollout_ends_when_its_service_is_removed() {
    let mut rollouts = Rollouts::default();
    rollouts.submit(0, "p", BODY, None).unwrap();
    let changes = advance(&mut rollouts, 1, "b");
    assert_eq!(state_of_entry(&changes[0].write).unwrap().phase, Phase::Ended);
    assert!(advance(&mut rollouts, 2, "b").is_empty());
}

#[test]
fn a_failover_before_the_commit_repeats_the_decision() {
    let mut first = Rollouts::default();
    let writes = first.submit(0, "p", BODY, None).unwrap();
    let state: BTreeMap<String, String> = writes.into_iter().collect();
    first.record_reports(1, true, &[doubled(1)]);
    // It decides, and fails before its decision is on both disks.
    assert_eq!(state_of_entry(&advance(&mut first, 2, "a")[0].write).unwrap().phase, Phase::Withdrawn);
    let mut second = Rollouts::default();
    // Reports that arrive in between are forwarded, and edges send theirs again.
    second.record_reports(3, false, &[doubled(1)]);
    let unforwarded = second.take_unforwarded_reports();
    assert_eq!(second.recover(10, state.iter()).len(), 1);
    assert!(advance(&mut second, 11, "a").is_empty());
    second.record_reports(12, true, &unforwarded);
    let changes = advance(&mut second, 13, "a");
    assert_eq!(state_of_entry(&changes[0].write).map(|s| (s.phase, s.number)), Some((Phase::Withdrawn, 2)));
    assert_eq!(serde_json::to_value(second.view(13, "p").unwrap()).unwrap()["phase"], "withdrawn");
}

#[test]
fn the_age_of_rollouts_grows_while_the_leader_is_not_reached() {
    let mut rollouts = Rollouts::default();
    assert_eq!(rollouts.as_of(5, None), None);
    rollouts.record_as_of(100, &Some(RolloutsAsOf { term: 3, age_ms: 20 }));
    rollouts.record_as_of(90, &Some(RolloutsAsOf { term: 2, age_ms: 0 }));
    assert_eq!(rollouts.as_of(500, None), Some(RolloutsAsOf { term: 3, age_ms: 420 }));
    assert_eq!(rollouts.as_of(500, Some(4)), Some(RolloutsAsOf { term: 4, age_ms: 0 }));
}
