//! Change analysis on random fleets and on constructed reports: which changes are rejected and how soon.

use coppersail::interface::{HostId, RouteId, SliceId};
use coppersail_change_analysis::{ChangeAnalysis, ChangeScope, ServicePart, TrialId};
use test_case::test_case;

#[path = "../examples/fleet_model/mod.rs"]
mod fleet_model;
use fleet_model::{Fleet, Noise};

fn is_touched(slice: u16) -> bool {
    slice < 30
}

#[test_case(Noise::Independent, 0.1, 1 ; "half as much, with independent losses")]
#[test_case(Noise::Drifting, 0.25, 0 ; "with drifting losses")]
#[test_case(Noise::FleetOutage, 0.25, 1 ; "during an outage of the fleet")]
fn five_points_of_service_lost_in_a_fifth_of_the_slices_are_found_within_30_seconds(
    noise: Noise,
    harm: f64,
    max_missed: usize,
) {
    let missed = (0..20).filter(|seed| {
        let mut fleet = Fleet::new(*seed, noise, 1.5);
        let touch = fleet.touch_one_in(5);
        let outcome = fleet.run_trial(&touch, &|slice, _, _| if is_touched(slice) { harm } else { 0.0 }, 60);
        outcome.undone.is_none() || outcome.first_finding.is_none_or(|(at, _)| at > 30.0)
    });
    assert!(missed.count() <= max_missed);
}

#[test_case(Noise::Independent ; "with independent losses")]
#[test_case(Noise::Drifting ; "with drifting losses")]
#[test_case(Noise::FleetOutage ; "during an outage of the fleet")]
fn a_harmless_change_is_not_undone(noise: Noise) {
    let undone = (0..100).filter(|seed| {
        let mut fleet = Fleet::new(*seed, noise, 1.5);
        let touch = fleet.touch_one_in(5);
        fleet.run_trial(&touch, &|_, _, _| 0.0, 60).undone.is_some()
    });
    assert!(undone.count() <= 1);
}

#[test]
fn an_outage_of_the_fleet_does_not_mask_harm() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(seed, Noise::FleetOutage, 1.5);
        let touch = fleet.touch_one_in(5);
        let outcome = fleet.run_trial(&touch, &|slice, _, _| if is_touched(slice) { 0.2 } else { 0.0 }, 60);
        let (at, found) = outcome.first_finding.expect("found");
        assert!(at <= 30.0 && found.untouched.is_some(), "seed {seed}: {at} s, {found}");
        assert!(outcome.undone.is_some(), "seed {seed}");
    }
}

/// The change touches every slice, so nothing distinguishes its effect from a fault of the fleet.
#[test]
fn a_harmless_change_without_control_group_survives_an_outage_of_the_fleet() {
    let (mut suspended, mut undone) = (0, 0);
    for seed in 0..100 {
        let mut fleet = Fleet::new(seed, Noise::FleetOutage, 1.5);
        let touch = fleet.touch_one_in(1);
        let outcome = fleet.run_trial(&touch, &|_, _, _| 0.0, 60);
        suspended += usize::from(outcome.first_finding.is_some());
        undone += usize::from(
            outcome.undone.is_some() || outcome.first_finding.is_some() && outcome.resumed_at.is_none(),
        );
    }
    assert!(suspended > 90 && undone <= 1, "{suspended} suspended, {undone} undone");
}

#[test_case(Noise::Drifting, 0.05 ; "five points")]
#[test_case(Noise::FleetOutage, 0.1 ; "ten points during an outage")]
#[test_case(Noise::FleetOutage, 0.5 ; "fifty points during an outage")]
fn a_harmful_change_without_control_group_is_suspended_within_30_seconds_and_undone_when_resumed(
    noise: Noise,
    harm: f64,
) {
    for seed in 0..20 {
        let mut fleet = Fleet::new(seed, noise, 1.5);
        let touch = fleet.touch_one_in(1);
        let outcome = fleet.run_trial(&touch, &|_, _, _| harm, 60);
        let (at, found) = outcome.first_finding.expect("found");
        assert!(at <= 30.0 && found.is_uncertain(), "seed {seed}: {at} s, {found}");
        assert!(outcome.undone.is_some(), "seed {seed}: {:?}", outcome.resumed_at);
    }
}

#[test]
fn harm_to_a_rare_route_alone_is_attributed_to_that_route() {
    let mut fleet = Fleet::new(1, Noise::Drifting, 1.5);
    fleet.route_shares = vec![0.96, 0.04];
    let touch = fleet.touch_one_in(5);
    let harm = |slice, route, _| if is_touched(slice) && route == 1 { 0.8 } else { 0.0 };
    let (at, found) = fleet.run_trial(&touch, &harm, 60).undone.expect("found");
    assert_eq!(found.part, ServicePart::Route(RouteId(1)));
    assert!(at <= 60.0, "{at} s");
}

#[test]
fn harm_with_a_late_onset_is_found() {
    let mut fleet = Fleet::new(2, Noise::Drifting, 1.5);
    let touch = fleet.touch_one_in(5);
    let harm = |slice, _, since| if is_touched(slice) && since >= 20.0 { 0.2 } else { 0.0 };
    let (at, _) = fleet.run_trial(&touch, &harm, 60).undone.expect("found");
    assert!((20.0..40.0).contains(&at), "{at} s");
}

#[test]
fn a_touched_route_has_the_other_routes_as_control_group() {
    let mut fleet = Fleet::new(3, Noise::FleetOutage, 1.5);
    let touch = ChangeScope { routes: [RouteId(1)].into(), ..ChangeScope::default() };
    let (_, found) = fleet.run_trial(&touch, &|_, route, _| 0.2 * route as f64, 60).undone.expect("found");
    assert!(found.untouched.is_some());
    for seed in 0..20 {
        let mut fleet = Fleet::new(seed, Noise::FleetOutage, 1.5);
        assert!(fleet.run_trial(&touch, &|_, _, _| 0.0, 60).undone.is_none(), "seed {seed}");
    }
}

/// Reports `count` seconds with ten calls for each of ten slices, of which `lost` gives the lost calls.
/// Returns the rejected trials.
fn run_seconds(
    analysis: &mut ChangeAnalysis,
    from: usize,
    count: usize,
    lost: impl Fn(u16) -> u64,
) -> Vec<TrialId> {
    let mut rejected = Vec::new();
    for second in from..from + count {
        for slice in 0..10 {
            analysis.report_calls(SliceId(slice), RouteId(0), 10, lost(slice));
            analysis.report_attempts(HostId(slice.into()), 10, lost(slice), 0.1);
        }
        rejected.extend(analysis.close_periods((second + 1) as f64).into_iter().map(|(id, _)| id));
    }
    rejected
}

fn slices(numbers: &[u16]) -> ChangeScope {
    ChangeScope { slices: numbers.iter().map(|number| SliceId(*number)).collect(), ..ChangeScope::default() }
}

#[test]
fn of_two_disjoint_trials_only_the_harmful_one_is_rejected() {
    let mut analysis = ChangeAnalysis::new(1.0, vec![1.0], 1.0);
    run_seconds(&mut analysis, 0, 20, |_| 0);
    analysis.start_trial(TrialId(1), slices(&[0, 1]), 0.0);
    analysis.start_trial(TrialId(2), slices(&[2, 3]), 0.0);
    let found = run_seconds(&mut analysis, 20, 20, |slice| if slice == 2 || slice == 3 { 3 } else { 0 });
    assert!(!found.is_empty() && found.iter().all(|id| *id == TrialId(2)), "{found:?}");
}

#[test]
fn of_two_overlapping_trials_the_later_one_is_rejected_first() {
    let mut analysis = ChangeAnalysis::new(1.0, vec![1.0], 1.0);
    run_seconds(&mut analysis, 0, 20, |_| 0);
    analysis.start_trial(TrialId(1), slices(&[0, 1]), 0.0);
    analysis.start_trial(TrialId(2), slices(&[0, 1]), 0.0);
    let found = run_seconds(&mut analysis, 20, 6, |slice| if slice < 2 { 5 } else { 0 });
    assert_eq!(found.first(), Some(&TrialId(2)));
    assert!(!found.contains(&TrialId(1)), "its evidence begins anew");
}

#[test]
fn an_announced_loss_is_no_harm() {
    let mut analysis = ChangeAnalysis::new(1.0, vec![1.0], 1.0);
    run_seconds(&mut analysis, 0, 20, |_| 0);
    analysis.start_trial(TrialId(1), slices(&[0, 1]), 40.0);
    assert_eq!(run_seconds(&mut analysis, 20, 30, |slice| if slice < 2 { 3 } else { 0 }), vec![]);
}

#[test]
fn a_trial_without_reports_has_insufficient_evidence() {
    let mut analysis = ChangeAnalysis::new(1.0, vec![1.0], 1.0);
    run_seconds(&mut analysis, 0, 20, |_| 0);
    assert!(analysis.has_baseline());
    analysis.start_trial(TrialId(1), slices(&[0]), 0.0);
    run_seconds(&mut analysis, 20, 10, |_| 0);
    assert_eq!(analysis.close_periods(80.0), vec![]);
    assert!(!analysis.has_sufficient_reports(TrialId(1), 60.0));
    run_seconds(&mut analysis, 80, 25, |_| 0);
    assert!(analysis.has_sufficient_reports(TrialId(1), 60.0));
}

#[test]
fn a_change_to_most_hosts_has_no_control_group() {
    let mut analysis = ChangeAnalysis::new(1.0, vec![1.0], 1.0);
    run_seconds(&mut analysis, 0, 20, |_| 0);
    let hosts = (0..5).map(HostId).collect();
    analysis.start_trial(TrialId(1), ChangeScope { hosts, ..slices(&[0, 1, 2, 3, 4]) }, 0.0);
    // The load that moves away from the touched hosts overloads the others, so the change causes their loss
    // too.
    let found = run_seconds(&mut analysis, 20, 20, |_| 3);
    assert_eq!(found.first(), Some(&TrialId(1)));
}

#[test]
fn a_suspended_trial_recovers_only_after_a_lasting_calm_and_keeps_its_baseline() {
    let mut analysis = ChangeAnalysis::new(1.0, vec![1.0], 1.0);
    run_seconds(&mut analysis, 0, 20, |_| 0);
    let all: Vec<u16> = (0..10).collect();
    analysis.start_trial(TrialId(1), slices(&all), 0.0);
    assert_eq!(run_seconds(&mut analysis, 20, 8, |_| 3).first(), Some(&TrialId(1)));
    analysis.suspend(TrialId(1));
    // The fleet keeps losing calls, pauses, and loses again: a change that is out of force is not rejected.
    assert_eq!(run_seconds(&mut analysis, 28, 100, |_| 3), vec![]);
    run_seconds(&mut analysis, 128, 6, |_| 0);
    assert!(!analysis.has_recovered(TrialId(1)));
    run_seconds(&mut analysis, 134, 3, |_| 3);
    run_seconds(&mut analysis, 137, 8, |_| 0);
    assert!(!analysis.has_recovered(TrialId(1)), "a pause is no recovery");
    run_seconds(&mut analysis, 145, 8, |_| 0);
    assert!(analysis.has_recovered(TrialId(1)));
    analysis.resume(TrialId(1));
    assert!(!analysis.has_recovered(TrialId(1)) && analysis.observed_periods(TrialId(1)) == 0);
    // More than a minute of losses has passed, but the baseline is still the time before the change first
    // came into force.
    let found = run_seconds(&mut analysis, 153, 8, |_| 1);
    assert_eq!(found.first(), Some(&TrialId(1)));
}

#[test]
fn slices_added_to_a_trial_are_compared_with_its_original_baseline() {
    let mut analysis = ChangeAnalysis::new(1.0, vec![1.0], 1.0);
    run_seconds(&mut analysis, 0, 20, |_| 0);
    analysis.start_trial(TrialId(1), slices(&[0]), 0.0);
    run_seconds(&mut analysis, 20, 3, |_| 0);
    analysis.extend_scope(TrialId(1), [SliceId(1)]);
    assert_eq!(
        run_seconds(&mut analysis, 23, 20, |slice| if slice == 1 { 3 } else { 0 }).first(),
        Some(&TrialId(1))
    );
}
