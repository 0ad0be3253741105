//! The hard cases that need no fleet: what is bad is found, and what is sound is left alone.
use crate::analysis::{FleetCapacity, RolloutAnalysis};
use crate::evidence::{Counts, EvidenceReport, EvidenceRow, OutcomeKind, REPORT_SPAN};
use crate::lifecycle::{Phase, RolloutCommand, RolloutState, Since};
use crate::recorder::EvidenceRecorder;
use crate::selector::VariantSelector;
use crate::variant::Variant;
use crate::verdict::Verdict;
use crate::Ms;
use assert_matches::assert_matches;
use coppersail_config::rollout::RolloutPlan;

const BODY: &str = r#"{"service": "a", "from": {"revision": "1"}, "to": {"revision": "2"}, "ends": "3600s",
    "steps": [{"share": 0.05, "least": "10s", "evidence": 20}, {"share": 0.5, "least": "10s", "evidence": 20}]}"#;

fn stand() -> RolloutState {
    RolloutState::submit("p", BODY, None).unwrap()
}

fn fleet(new_slots: f64, old_slots: f64) -> FleetCapacity {
    FleetCapacity { new_slots, old_slots, new_hosts: 4 }
}

/// Out of so many tries: (late, lost, doubled).
fn counts(chance: &mut fastrand::Rng, tries: u32, bad: (f64, f64, f64)) -> Counts {
    let mut counts = Counts::default();
    for _ in 0..tries {
        counts.all[OutcomeKind::Offered as usize] += 1;
        let kind = match chance.f64() {
            at if at < bad.1 => OutcomeKind::Lost,
            at if at < bad.0 + bad.1 => OutcomeKind::Late,
            _ => OutcomeKind::Good,
        };
        let at = (format!("h{}", chance.u8(0..4)), 1);
        match kind {
            OutcomeKind::Lost => counts.lost_at.push(at),
            OutcomeKind::Late => counts.slow_at.push(at),
            _ => {}
        }
        counts.all[kind as usize] += 1;
        counts.all[OutcomeKind::Doubled as usize] += u32::from(chance.f64() < bad.2);
    }
    counts
}

/// What versions do at a time, at an edge, on a route.
type World = fn(Ms, usize, &str) -> ((f64, f64, f64), (f64, f64, f64));

/// Twelve edges in three zones, two routes, for so many seconds. When and why it was paused.
fn play(seed: u64, seconds: u64, world: World) -> Result<Verdict, (Ms, String)> {
    let (mut chance, plan) = (fastrand::Rng::with_seed(seed), stand().plan());
    let mut judge = RolloutAnalysis::new(&plan, 1);
    let mut last = Verdict::Wait("nothing yet".into());
    for span in 0..seconds * 1000 / REPORT_SPAN {
        let now = span * REPORT_SPAN;
        for edge in 0..12 {
            let row = |route: &str, chance: &mut fastrand::Rng| {
                let (new, old) = world(now, edge, route);
                let (new, old) = (counts(chance, 1, new), counts(chance, 6, old));
                EvidenceRow { plan: "p".into(), number: 1, span, route: route.into(), count: 1, new, old }
            };
            let rows = vec![row("book", &mut chance), row("look", &mut chance)];
            let report =
                EvidenceReport { edge: edge.to_string(), life: 1, area: format!("z{}", edge % 3), rows };
            judge.take(now + 700, "p", &report);
        }
        last = judge.judge(now + 1000, 1, fleet(1.0, 6.0), |_, _| Some(false));
        if let Verdict::Pause(why) = last {
            return Err((now, why));
        }
    }
    Ok(last)
}

const SOUND: (f64, f64, f64) = (0.03, 0.0, 0.0);

#[test]
fn bad_versions_are_found() {
    let worlds: [(&str, World, &str, Ms); 8] = [
        ("late", |_, _, _| ((0.25, 0.0, 0.0), SOUND), "late", 40_000),
        (
            "late after ten minutes",
            |t, _, _| (if t < 600_000 { SOUND } else { (0.25, 0.0, 0.0) }, SOUND),
            "late",
            640_000,
        ),
        (
            "late in one zone",
            |_, e, _| (if e % 3 == 1 { (0.3, 0.0, 0.0) } else { SOUND }, SOUND),
            "late",
            90_000,
        ),
        (
            "late on one route",
            |_, _, r| (if r == "book" { (0.3, 0.0, 0.0) } else { SOUND }, SOUND),
            "late",
            90_000,
        ),
        ("loses", |_, _, _| ((0.03, 0.02, 0.0), SOUND), "lost", 120_000),
        ("doubles one in 500", |_, _, _| ((0.03, 0.0, 0.002), SOUND), "twice", 300_000),
        (
            "late at evening load",
            |t, _, _| (if t < 300_000 { SOUND } else { (0.2, 0.0, 0.0) }, SOUND),
            "late",
            360_000,
        ),
        ("late while all are", |_, _, _| ((0.6, 0.0, 0.0), (0.3, 0.0, 0.0)), "late", 90_000),
    ];
    for (name, world, word, within) in worlds {
        for seed in 0..3 {
            let (at, why) = play(seed, 900, world).expect_err(name);
            assert!(at <= within && why.contains(word), "{name}, seed {seed}: {at} ms, {why}");
        }
    }
}

#[test]
fn sound_versions_are_left_alone() {
    let worlds: [(&str, World); 6] = [
        ("sound", |_, _, _| (SOUND, SOUND)),
        ("better", |_, _, _| ((0.01, 0.0, 0.0), (0.1, 0.01, 0.0))),
        ("trouble of all", |t, _, _| {
            let both = if t % 100_000 < 30_000 { (0.5, 0.02, 0.0) } else { SOUND };
            (both, both)
        }),
        ("a zone's trouble", |_, e, _| {
            let both = if e % 3 == 0 { (0.6, 0.05, 0.0) } else { SOUND };
            (both, both)
        }),
        ("both double", |_, _, _| ((0.03, 0.0, 0.01), (0.03, 0.0, 0.01))),
        ("within its bounds", |_, _, _| ((0.045, 0.0, 0.0), SOUND)),
    ];
    for (name, world) in worlds {
        // Of both doubling, the new one may have to be the first: it is paused then, and that is right.
        let paused = (0..10).filter(|seed| play(*seed, 300, world).is_err()).count();
        assert!(paused <= if name == "both double" { 5 } else { 0 }, "{name}: {paused}");
    }
    assert_matches!(play(1, 60, |_, _, _| (SOUND, SOUND)), Ok(Verdict::Sound));
    assert_matches!(play(1, 60, |_, _, _| ((0.5, 0.0, 0.0), (0.5, 0.0, 0.0))), Ok(Verdict::Wait(why)) if why.contains("itself"));
}

fn report(number: u64, span: u64, new: &[(OutcomeKind, u32)]) -> EvidenceReport {
    let mut row = EvidenceRow { plan: "p".into(), number, span, count: 1, ..EvidenceRow::default() };
    new.iter().for_each(|(kind, n)| row.new.all[*kind as usize] = *n);
    row.old.all[OutcomeKind::Good as usize] = 100;
    EvidenceReport { edge: "e".into(), rows: vec![row], ..EvidenceReport::default() }
}

#[test]
fn one_doubled_booking_is_enough_and_counts_once() {
    let mut judge = RolloutAnalysis::new(&stand().plan(), 1);
    let doubled = report(1, 1, &[(OutcomeKind::Good, 5), (OutcomeKind::Doubled, 1)]);
    assert!(judge.take(0, "p", &doubled) && !judge.take(1, "p", &doubled), "told twice");
    assert_matches!(judge.judge(1, 1, fleet(1.0, 1.0), |_, _| None), Verdict::Pause(_));
    assert_eq!(judge.sums.new.of(OutcomeKind::Doubled), 1);
    let mut later = RolloutAnalysis::new(&stand().plan(), 2);
    assert!(!later.take(0, "p", &doubled), "of before it was resumed");
}

#[test]
fn losses_at_a_host_that_dies_are_one() {
    let lost = |dead: bool| {
        let mut judge = RolloutAnalysis::new(&stand().plan(), 1);
        let mut told = report(1, 1, &[(OutcomeKind::Good, 5), (OutcomeKind::Lost, 8)]);
        told.rows[0].new.lost_at = (0..4).map(|n| (format!("h{n}"), 2)).collect();
        judge.take(0, "p", &told);
        assert_matches!(
            judge.judge(5_000, 1, fleet(1.0, 1.0), |_, _| None),
            Verdict::Wait(_),
            "not known yet"
        );
        judge.judge(8_000, 1, fleet(1.0, 1.0), |_, _| Some(dead))
    };
    assert_matches!(lost(true), Verdict::Wait(_));
    assert_matches!(lost(false), Verdict::Pause(why) if why.contains("lost"));
}

#[test]
fn one_host_is_not_the_version() {
    let late = |hosts: u32| {
        let mut judge = RolloutAnalysis::new(&stand().plan(), 1);
        for span in 0..20 {
            let mut told = report(1, span, &[(OutcomeKind::Good, 8), (OutcomeKind::Late, 4)]);
            let at = |n: u32| format!("h{}", (n + span as u32) % hosts);
            told.rows[0].new.slow_at = (0..4).map(|n| (at(n), 1)).collect();
            judge.take(span * REPORT_SPAN, "p", &told);
            if let Verdict::Pause(_) = judge.judge(span * REPORT_SPAN + 1, 1, fleet(1.0, 1.0), |_, _| None) {
                return true;
            }
        }
        false
    };
    assert!(late(4) && !late(1));
}

#[test]
fn reports_that_come_late_or_not_at_all_are_not_health() {
    let mut judge = RolloutAnalysis::new(&stand().plan(), 1);
    let good = [(OutcomeKind::Good, 30)];
    let of = |edge: &str, span| EvidenceReport { edge: edge.into(), ..report(1, span, &good) };
    judge.take(0, "p", &of("e", 40));
    judge.take(0, "p", &of("e", 5));
    assert_eq!(judge.late, 1);
    judge.take(0, "p", &of("f", 40));
    assert_matches!(judge.judge(9_000, 1, fleet(1.0, 1.0), |_, _| None), Verdict::Sound);
    judge.take(11_000, "p", &of("f", 45));
    assert_matches!(judge.judge(11_500, 1, fleet(1.0, 1.0), |_, _| None), Verdict::Wait(why) if why.contains("silent"));
    assert_matches!(judge.judge(11_500, 2, fleet(1.0, 1.0), |_, _| None), Verdict::Wait(_), "another step's");
}

#[test]
fn a_version_with_too_few_hosts_waits() {
    let mut judge = RolloutAnalysis::new(&stand().plan(), 1);
    for span in 0..30 {
        let mut told =
            report(1, span, &[(OutcomeKind::Offered, 90), (OutcomeKind::Late, 60), (OutcomeKind::Good, 30)]);
        told.rows[0].new.slow_at = (0..4).map(|n| (format!("h{n}"), 15)).collect();
        told.rows[0].old.all[OutcomeKind::Offered as usize] = 100;
        judge.take(span * REPORT_SPAN, "p", &told);
        let verdict = judge.judge(span * REPORT_SPAN + 1, 1, fleet(1.0, 9.0), |_, _| None);
        let paused = matches!(verdict, Verdict::Pause(_));
        assert!(!paused || span > 14, "its hosts have eight times their part to do: {span}");
        if paused {
            return;
        }
    }
    panic!("it goes on for so long that it is the plan's own");
}

#[test]
fn a_step_and_a_pause_in_one_second_end_paused_in_both_orders() {
    let (plan, sound, bad) = (stand().plan(), Verdict::Sound, Verdict::Pause("late".into()));
    let stepped = stand().tick(&plan, 10_000, Since(0), &sound).unwrap();
    assert_eq!((stepped.step, stepped.number), (1, 2));
    let paused = stepped.tick(&plan, 10_400, Since(10_000), &bad).unwrap();
    assert_eq!((paused.phase, paused.number), (Phase::Withdrawn, 3));
    let first = stand().tick(&plan, 10_000, Since(0), &bad).unwrap();
    assert_eq!(first.tick(&plan, 10_400, Since(10_000), &sound), None);
    assert_matches!(first.order(400, RolloutCommand::Pass, ""), Err(_));
    // At an edge the later number counts, in whatever order they come.
    let mut sides = VariantSelector::default();
    sides.fresh(0);
    assert!(sides.take(&paused) && !sides.take(&stepped));
    assert!((0..200u32).all(|n| sides.choose(1, "a", "r", &n.to_le_bytes()).unwrap().side == Variant::Old));
}

#[test]
fn an_edge_cut_off_falls_back_and_returns_to_what_is_decided() {
    let full = BODY.replace("0.5", "1").replace("0.05", "0.9");
    let running = RolloutState::submit("p", &full, None).unwrap();
    let mut sides = VariantSelector::default();
    sides.take(&running);
    sides.fresh(1_000);
    let news = |sides: &VariantSelector, now| {
        (0..100u32)
            .filter(|n| sides.choose(now, "a", "r", &n.to_le_bytes()).unwrap().side == Variant::New)
            .count()
    };
    assert!(news(&sides, 3_400) > 70);
    assert_eq!(news(&sides, 3_500), 0, "cut off for longer than the lease");
    let paused = running.order(0, RolloutCommand::Pause, "").unwrap().unwrap();
    sides.take(&paused);
    sides.fresh(60_000);
    assert_eq!(news(&sides, 60_001), 0);
    let resumed = paused.order(0, RolloutCommand::Resume, "").unwrap().unwrap();
    sides.take(&resumed);
    assert!(news(&sides, 60_002) > 70);
    sides.stop("p", resumed.number);
    assert_eq!(news(&sides, 60_003), 0, "its own evidence is enough for it");
}

#[test]
fn shares_grow_as_supersets() {
    let place = |n: u32| crate::share::place("a", "p", &n.to_le_bytes());
    let within = |share: f64| (0..5_000u32).filter(|n| place(*n) < share).collect::<Vec<_>>();
    let (few, many) = (within(0.05), within(0.25));
    assert!(few.iter().all(|n| many.contains(n)) && (200..300).contains(&few.len()), "{}", few.len());
}

#[test]
fn orders_given_twice_change_nothing_and_ended_plans_stay_ended() {
    let paused = stand().order(5, RolloutCommand::Pause, "by hand").unwrap().unwrap();
    assert_eq!(paused.order(5, RolloutCommand::Pause, "by hand"), Ok(None));
    let again = paused.order(5, RolloutCommand::Resume, "").unwrap().unwrap();
    assert_eq!((again.run, again.step, again.phase), (3, 0, Phase::Running));
    let ended = again.order(5, RolloutCommand::End, "").unwrap().unwrap();
    assert_matches!(ended.order(5, RolloutCommand::Resume, ""), Err(_));
    let mut sides = VariantSelector::default();
    sides.take(&ended);
    assert!(!sides.take(&again) && sides.is_empty());
    assert_eq!(RolloutState::submit("p", BODY, Some(&ended)).unwrap().number, 5);
    assert_matches!(RolloutState::submit("p", &BODY.replace("0.05", "0.06"), Some(&again)), Err(_));
    assert_eq!(RolloutState::submit("p", BODY, Some(&again)).unwrap(), again);
    // Forgotten, it is paused.
    let plan = stand().plan();
    let over = again.tick(&plan, 3_600_000, Since(0), &Verdict::Wait(String::new())).unwrap();
    assert_eq!(over.phase, Phase::Withdrawn);
}

#[test]
fn reports_are_bounded_and_told_again() {
    let mut ledger = EvidenceRecorder::new("10.0.0.1", 7, "z");
    for span in 0..20u64 {
        for n in 0..30u32 {
            let route = format!("route-{}", n % 3);
            let host = format!("host-{n}");
            ledger.note(
                span * REPORT_SPAN,
                "p",
                1,
                &route,
                Variant::Old,
                OutcomeKind::Good,
                Some(u64::from(n) * 20),
                Some(&host),
            );
        }
    }
    let mut rows = 0;
    while let Some(report) = ledger.report(60_000, 1_000) {
        let text = serde_json::to_string(&report).unwrap();
        assert!(text.len() <= 1_000, "{}", text.len());
        assert_eq!(serde_json::from_str::<EvidenceReport>(&text).unwrap(), report);
        rows += report.rows.len();
    }
    assert_eq!(rows, 60);
    assert!(ledger.report(60_000, 1_000).is_none());
    ledger.again();
    assert!(ledger.report(60_000, 1_000).is_some());
    (0..100)
        .for_each(|n| ledger.note(0, "p", 1, &n.to_string(), Variant::New, OutcomeKind::Good, None, None));
    assert!(ledger.report(REPORT_SPAN, 1 << 20).unwrap().rows.len() < 100, "routes beyond the bound are one");
}

#[test]
fn a_host_with_much_more_than_its_part_is_set_aside() {
    let (mut ledger, others) = (EvidenceRecorder::default(), ["a", "b", "c", "d"]);
    let host = |n: usize| if n.is_multiple_of(2) { "hot" } else { others[n / 2 % 4] };
    assert!((0..400).filter(|n| ledger.sent(0, host(*n), 2.0)).count() > 150);
    assert_eq!((0..400).filter(|n| ledger.sent(REPORT_SPAN, others[n % 4], 2.0)).count(), 0);
}

#[test]
fn faults_of_a_plan_are_one_line_each() {
    for (from, to, line) in [
        ("\"a\", \"from\"", "\"\", \"from\"", "service is \"\", expected text that isn't empty"),
        (
            "\"ends\": \"3600s\"",
            "\"ends\": \"0s\"",
            "ends is \"0s\", expected between a second and two weeks",
        ),
        ("\"ends\"", "\"end\"", "the whole is \"end\", expected no such setting"),
        ("\"share\": 0.5", "\"share\": 1.5", "steps[1].share is 1.5, expected a share of 1 at most"),
        (
            "{\"revision\": \"2\"}",
            "{\"backend\": \"b\"}",
            "to is {\"backend\":\"b\"}, expected another version than `from`, of the same kind",
        ),
    ] {
        assert_eq!(
            coppersail_config::rollout::parse(&BODY.replacen(from, to, 1)).unwrap_err().to_string(),
            line
        );
    }
    let _: RolloutPlan = stand().plan();
}
