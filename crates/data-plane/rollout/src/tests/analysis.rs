//! The analysis pauses faulty versions, and no others.
use super::initial_state;
use crate::analysis::{FleetCapacity, RolloutAnalysis};
use crate::evidence::{Counts, EvidenceReport, EvidenceRow, OutcomeKind, REPORT_WINDOW};
use crate::{Ms, Verdict};
use assert_matches::assert_matches;

/// The fault rates of one version.
#[derive(Clone, Copy)]
struct Rates {
    late: f64,
    lost: f64,
    duplicate: f64,
}

const fn rates(late: f64, lost: f64, duplicate: f64) -> Rates {
    Rates { late, lost, duplicate }
}

fn fleet(new_slots: f64, old_slots: f64) -> FleetCapacity {
    FleetCapacity { new_slots, control_slots: old_slots, new_hosts: 4 }
}

/// Random counts of `attempts` attempts with these fault rates.
fn counts(rng: &mut fastrand::Rng, attempts: u32, bad: Rates) -> Counts {
    let mut counts = Counts::default();
    for _ in 0..attempts {
        counts.all[OutcomeKind::Offered as usize] += 1;
        let kind = match rng.f64() {
            at if at < bad.lost => OutcomeKind::Lost,
            at if at < bad.late + bad.lost => OutcomeKind::Late,
            _ => OutcomeKind::Good,
        };
        let at = (format!("h{}", rng.u8(0..4)), 1);
        match kind {
            OutcomeKind::Lost => counts.lost_at.push(at),
            OutcomeKind::Late => counts.slow_at.push(at),
            _ => {}
        }
        counts.all[kind as usize] += 1;
        counts.all[OutcomeKind::DuplicateResponse as usize] += u32::from(rng.f64() < bad.duplicate);
    }
    counts
}

/// The fault rates of the new and the old version at a time, at an edge, on a route.
type FaultModel = fn(Ms, usize, &str) -> (Rates, Rates);

/// Simulates twelve edges in three zones with two routes for `seconds`. Returns the last verdict, or when (ms) and why
/// the rollout was paused.
fn simulate_rollout(seed: u64, seconds: u64, fault_model: FaultModel) -> Result<Verdict, (Ms, String)> {
    let (mut rng, plan) = (fastrand::Rng::with_seed(seed), initial_state().plan());
    let mut analysis = RolloutAnalysis::new(&plan, 1);
    let mut last = Verdict::Wait("nothing yet".into());
    for window in 0..seconds * 1000 / REPORT_WINDOW {
        let now = window * REPORT_WINDOW;
        for edge in 0..12 {
            let row = |route: &str, rng: &mut fastrand::Rng| {
                let (new, old) = fault_model(now, edge, route);
                let (new, old) = (counts(rng, 1, new), counts(rng, 6, old));
                EvidenceRow {
                    plan: "p".into(),
                    number: 1,
                    window,
                    route: route.into(),
                    revision: 1,
                    new,
                    control: old,
                }
            };
            let rows = vec![row("book", &mut rng), row("look", &mut rng)];
            let report = EvidenceReport {
                edge: edge.to_string(),
                incarnation: 1,
                zone: format!("z{}", edge % 3),
                rows,
            };
            analysis.ingest(now + 700, "p", &report);
        }
        last = analysis.evaluate(now + 1000, 1, fleet(1.0, 6.0), |_, _| Some(false));
        if let Verdict::Pause(reason) = last {
            return Err((now, reason));
        }
    }
    Ok(last)
}

/// The fault rates of a version without a fault of its own.
const BASELINE: Rates = rates(0.03, 0.0, 0.0);

#[test]
fn a_faulty_version_is_paused_in_time() {
    let cases: [(&str, FaultModel, &str, Ms); 8] = [
        ("late", |_, _, _| (rates(0.25, 0.0, 0.0), BASELINE), "late", 40_000),
        (
            "late after ten minutes",
            |t, _, _| (if t < 600_000 { BASELINE } else { rates(0.25, 0.0, 0.0) }, BASELINE),
            "late",
            640_000,
        ),
        (
            "late in one zone",
            |_, e, _| (if e % 3 == 1 { rates(0.3, 0.0, 0.0) } else { BASELINE }, BASELINE),
            "late",
            90_000,
        ),
        (
            "late on one route",
            |_, _, r| (if r == "book" { rates(0.3, 0.0, 0.0) } else { BASELINE }, BASELINE),
            "late",
            90_000,
        ),
        ("loses answers", |_, _, _| (rates(0.03, 0.02, 0.0), BASELINE), "lost", 120_000),
        ("executes one in 500 twice", |_, _, _| (rates(0.03, 0.0, 0.002), BASELINE), "twice", 300_000),
        (
            "late after five minutes",
            |t, _, _| (if t < 300_000 { BASELINE } else { rates(0.2, 0.0, 0.0) }, BASELINE),
            "late",
            360_000,
        ),
        (
            "late while both versions are",
            |_, _, _| (rates(0.6, 0.0, 0.0), rates(0.3, 0.0, 0.0)),
            "late",
            90_000,
        ),
    ];
    for (name, fault_model, word, within) in cases {
        for seed in 0..3 {
            let (at, reason) = simulate_rollout(seed, 900, fault_model).expect_err(name);
            assert!(at <= within && reason.contains(word), "{name}, seed {seed}: {at} ms, {reason}");
        }
    }
}

#[test]
fn a_sound_version_is_not_paused_by_other_faults() {
    let cases: [(&str, FaultModel); 6] = [
        ("sound", |_, _, _| (BASELINE, BASELINE)),
        ("better", |_, _, _| (rates(0.01, 0.0, 0.0), rates(0.1, 0.01, 0.0))),
        ("a fault in all zones", |t, _, _| {
            let both = if t % 100_000 < 30_000 { rates(0.5, 0.02, 0.0) } else { BASELINE };
            (both, both)
        }),
        ("a fault in one zone", |_, e, _| {
            let both = if e % 3 == 0 { rates(0.6, 0.05, 0.0) } else { BASELINE };
            (both, both)
        }),
        ("both execute twice", |_, _, _| (rates(0.03, 0.0, 0.01), rates(0.03, 0.0, 0.01))),
        ("within its bounds", |_, _, _| (rates(0.045, 0.0, 0.0), BASELINE)),
    ];
    for (name, fault_model) in cases {
        // If both versions execute requests twice and the new version does so first, it is rightly paused.
        let paused = (0..10).filter(|seed| simulate_rollout(*seed, 300, fault_model).is_err()).count();
        assert!(paused <= if name == "both execute twice" { 5 } else { 0 }, "{name}: {paused}");
    }
    assert_matches!(simulate_rollout(1, 60, |_, _, _| (BASELINE, BASELINE)), Ok(Verdict::Healthy));
    assert_matches!(simulate_rollout(1, 60, |_, _, _| (rates(0.5, 0.0, 0.0), rates(0.5, 0.0, 0.0))), Ok(Verdict::Wait(reason)) if reason.contains("itself"));
}

fn report(number: u64, window: u64, new: &[(OutcomeKind, u32)]) -> EvidenceReport {
    let mut row = EvidenceRow { plan: "p".into(), number, window, revision: 1, ..EvidenceRow::default() };
    new.iter().for_each(|(kind, n)| row.new.all[*kind as usize] = *n);
    row.control.all[OutcomeKind::Good as usize] = 100;
    EvidenceReport { edge: "e".into(), rows: vec![row], ..EvidenceReport::default() }
}

#[test]
fn a_duplicate_response_pauses_and_is_counted_once() {
    let mut analysis = RolloutAnalysis::new(&initial_state().plan(), 1);
    let duplicate = report(1, 1, &[(OutcomeKind::Good, 5), (OutcomeKind::DuplicateResponse, 1)]);
    assert!(
        analysis.ingest(0, "p", &duplicate) && !analysis.ingest(1, "p", &duplicate),
        "the second report of it is ignored"
    );
    assert_matches!(analysis.evaluate(1, 1, fleet(1.0, 1.0), |_, _| None), Verdict::Pause(_));
    assert_eq!(analysis.sums.new.of(OutcomeKind::DuplicateResponse), 1);
    let mut later = RolloutAnalysis::new(&initial_state().plan(), 2);
    assert!(!later.ingest(0, "p", &duplicate), "it belongs to the run before the resumption");
}

#[test]
fn losses_at_a_crashed_host_count_as_one() {
    let lost = |dead: bool| {
        let mut analysis = RolloutAnalysis::new(&initial_state().plan(), 1);
        let mut sent = report(1, 1, &[(OutcomeKind::Good, 5), (OutcomeKind::Lost, 8)]);
        sent.rows[0].new.lost_at = (0..4).map(|n| (format!("h{n}"), 2)).collect();
        analysis.ingest(0, "p", &sent);
        assert_matches!(
            analysis.evaluate(5_000, 1, fleet(1.0, 1.0), |_, _| None),
            Verdict::Wait(_),
            "whether the hosts died is not known yet"
        );
        analysis.evaluate(8_000, 1, fleet(1.0, 1.0), |_, _| Some(dead))
    };
    assert_matches!(lost(true), Verdict::Wait(_));
    assert_matches!(lost(false), Verdict::Pause(reason) if reason.contains("lost"));
}

#[test]
fn one_slow_host_does_not_pause_its_version() {
    let late = |hosts: u32| {
        let mut analysis = RolloutAnalysis::new(&initial_state().plan(), 1);
        for window in 0..20 {
            let mut sent = report(1, window, &[(OutcomeKind::Good, 8), (OutcomeKind::Late, 4)]);
            let at = |n: u32| format!("h{}", (n + window as u32) % hosts);
            sent.rows[0].new.slow_at = (0..4).map(|n| (at(n), 1)).collect();
            analysis.ingest(window * REPORT_WINDOW, "p", &sent);
            if let Verdict::Pause(_) =
                analysis.evaluate(window * REPORT_WINDOW + 1, 1, fleet(1.0, 1.0), |_, _| None)
            {
                return true;
            }
        }
        false
    };
    assert!(late(4) && !late(1));
}

#[test]
fn no_step_is_taken_while_reports_are_missing() {
    let mut analysis = RolloutAnalysis::new(&initial_state().plan(), 1);
    let good = [(OutcomeKind::Good, 30)];
    let of = |edge: &str, window| EvidenceReport { edge: edge.into(), ..report(1, window, &good) };
    analysis.ingest(0, "p", &of("e", 40));
    analysis.ingest(0, "p", &of("e", 5));
    assert_eq!(analysis.late_rows, 1);
    analysis.ingest(0, "p", &of("f", 40));
    assert_matches!(analysis.evaluate(9_000, 1, fleet(1.0, 1.0), |_, _| None), Verdict::Healthy);
    analysis.ingest(11_000, "p", &of("f", 45));
    assert_matches!(analysis.evaluate(11_500, 1, fleet(1.0, 1.0), |_, _| None), Verdict::Wait(reason) if reason.contains("silent"));
    assert_matches!(
        analysis.evaluate(11_500, 2, fleet(1.0, 1.0), |_, _| None),
        Verdict::Wait(_),
        "the evidence belongs to another step"
    );
}

#[test]
fn an_overloaded_new_version_is_paused_only_after_the_excuse_time() {
    let mut analysis = RolloutAnalysis::new(&initial_state().plan(), 1);
    for window in 0..30 {
        let mut sent = report(
            1,
            window,
            &[(OutcomeKind::Offered, 90), (OutcomeKind::Late, 60), (OutcomeKind::Good, 30)],
        );
        sent.rows[0].new.slow_at = (0..4).map(|n| (format!("h{n}"), 15)).collect();
        sent.rows[0].control.all[OutcomeKind::Offered as usize] = 100;
        analysis.ingest(window * REPORT_WINDOW, "p", &sent);
        let verdict = analysis.evaluate(window * REPORT_WINDOW + 1, 1, fleet(1.0, 9.0), |_, _| None);
        let paused = matches!(verdict, Verdict::Pause(_));
        assert!(!paused || window > 14, "its hosts get eight times their share of requests: {window}");
        if paused {
            return;
        }
    }
    panic!("not paused, although the overload lasts so long that the plan causes it");
}
