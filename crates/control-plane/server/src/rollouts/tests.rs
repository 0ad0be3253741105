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

fn tick(rollouts: &mut Rollouts, now: Ms, service: &str) -> Vec<(KeyValue, String)> {
    let hosts = Hosts { all: &Vec::new, dead: &|_, _| None };
    rollouts.tick(now, Some(&config(service)), &hosts)
}

fn doubled(number: u64) -> EvidenceReport {
    let mut row = EvidenceRow { plan: "p".into(), number, count: 1, ..EvidenceRow::default() };
    row.new.all[OutcomeKind::Doubled as usize] = 1;
    EvidenceReport { edge: "e".into(), rows: vec![row], ..EvidenceReport::default() }
}

#[test]
fn two_plans_on_one_service_and_plans_that_fit_nothing_are_refused() {
    let mut rollouts = Rollouts::default();
    assert_matches!(rollouts.submit(0, "p", BODY, Some(&config("b"))), Err(Rejection { status: 400, .. }));
    assert_matches!(rollouts.submit(0, "a/b", BODY, None), Err(Rejection { status: 400, .. }));
    assert_eq!(rollouts.submit(0, "p", BODY, Some(&config("a"))).unwrap().len(), 1);
    assert_matches!(rollouts.submit(1, "q", BODY, None), Err(Rejection { status: 409, reason }) if reason.contains("plan p"));
    assert_eq!(rollouts.submit(2, "p", BODY, None).unwrap().len(), 0, "sent again");
    rollouts.order(3, "p", RolloutCommand::End).unwrap();
    assert_eq!(rollouts.submit(4, "q", BODY, None).unwrap().len(), 1);
}

#[test]
fn a_plan_ends_with_its_service() {
    let mut rollouts = Rollouts::default();
    rollouts.submit(0, "p", BODY, None).unwrap();
    let changes = tick(&mut rollouts, 1, "b");
    assert_eq!(read(&changes[0].0).unwrap().phase, Phase::Ended);
    assert!(tick(&mut rollouts, 2, "b").is_empty());
}

#[test]
fn a_new_primary_knows_the_plan_and_finds_the_reason_again() {
    let mut first = Rollouts::default();
    let puts = first.submit(0, "p", BODY, None).unwrap();
    let held: BTreeMap<String, String> = puts.into_iter().collect();
    first.take(1, true, &[doubled(1)]);
    // It decides, and is lost before that is on both disks.
    assert_eq!(read(&tick(&mut first, 2, "a")[0].0).unwrap().phase, Phase::Withdrawn);
    let mut second = Rollouts::default();
    // What came in between is passed on, and edges tell again what they have.
    second.take(3, false, &[doubled(1)]);
    let again = second.relay();
    assert_eq!(second.took_over(10, held.iter()).len(), 1);
    assert!(tick(&mut second, 11, "a").is_empty());
    second.take(12, true, &again);
    let changes = tick(&mut second, 13, "a");
    assert_eq!(read(&changes[0].0).map(|s| (s.phase, s.number)), Some((Phase::Withdrawn, 2)));
    assert_eq!(serde_json::to_value(second.view(13, "p").unwrap()).unwrap()["phase"], "withdrawn");
}

#[test]
fn how_new_plans_are_is_what_the_primary_said_and_grows_old() {
    let mut rollouts = Rollouts::default();
    assert_eq!(rollouts.seen(5, None), None);
    rollouts.hear(100, &Some(RolloutsAsOf { term: 3, age_ms: 20 }));
    rollouts.hear(90, &Some(RolloutsAsOf { term: 2, age_ms: 0 }));
    assert_eq!(rollouts.seen(500, None), Some(RolloutsAsOf { term: 3, age_ms: 420 }));
    assert_eq!(rollouts.seen(500, Some(4)), Some(RolloutsAsOf { term: 4, age_ms: 0 }));
}
