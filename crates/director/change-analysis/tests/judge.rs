//! The judge on fleets of chance: what it finds, how soon, and what it leaves alone.

use coppersail::interface::{HostId, RouteId, SliceId};
use coppersail_change_analysis::{Judge, Part, Touch, TrialId};
use test_case::test_case;

#[path = "../examples/model/mod.rs"]
mod model;
use model::{Fleet, Noise};

fn touched(slice: u16) -> bool {
    slice < 30
}

#[test_case(Noise::Even, 0.1, 1 ; "half as much, among losses by chance")]
#[test_case(Noise::Rough, 0.25, 0 ; "among losses that wander")]
#[test_case(Noise::Trouble, 0.25, 1 ; "beside a trouble of the whole fleet")]
fn five_points_of_service_lost_in_a_fifth_of_it_are_found_within_30_seconds(
    noise: Noise,
    harm: f64,
    missed: usize,
) {
    let late = (0..20).filter(|seed| {
        let mut fleet = Fleet::new(*seed, noise, 1.5);
        let touch = fleet.part(5);
        let outcome = fleet.play(&touch, &|slice, _, _| if touched(slice) { harm } else { 0.0 }, 60);
        outcome.undone.is_none() || outcome.back.is_none_or(|(at, _)| at > 30.0)
    });
    assert!(late.count() <= missed);
}

#[test_case(Noise::Even ; "by chance")]
#[test_case(Noise::Rough ; "by losses that wander")]
#[test_case(Noise::Trouble ; "by a trouble of the whole fleet")]
fn a_harmless_change_is_not_condemned(noise: Noise) {
    let wrongly = (0..100).filter(|seed| {
        let mut fleet = Fleet::new(*seed, noise, 1.5);
        let touch = fleet.part(5);
        fleet.play(&touch, &|_, _, _| 0.0, 60).undone.is_some()
    });
    assert!(wrongly.count() <= 1);
}

#[test]
fn harm_does_not_hide_behind_a_trouble_of_the_whole_fleet() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(seed, Noise::Trouble, 1.5);
        let touch = fleet.part(5);
        let outcome = fleet.play(&touch, &|slice, _, _| if touched(slice) { 0.2 } else { 0.0 }, 60);
        let (at, found) = outcome.back.expect("found");
        assert!(at <= 30.0 && found.untouched.is_some(), "seed {seed}: {at} s, {found}");
        assert!(outcome.undone.is_some(), "seed {seed}");
    }
}

/// The change touches everything, so nothing tells it from the fleet.
#[test]
fn a_harmless_change_to_everything_outlives_a_trouble_of_the_whole_fleet() {
    let (mut set_aside, mut undone) = (0, 0);
    for seed in 0..100 {
        let mut fleet = Fleet::new(seed, Noise::Trouble, 1.5);
        let touch = fleet.part(1);
        let outcome = fleet.play(&touch, &|_, _, _| 0.0, 60);
        set_aside += usize::from(outcome.back.is_some());
        undone += usize::from(outcome.undone.is_some() || outcome.back.is_some() && outcome.again.is_none());
    }
    assert!(set_aside > 90 && undone <= 1, "{set_aside} set aside, {undone} undone");
}

#[test_case(Noise::Rough, 0.05 ; "five points")]
#[test_case(Noise::Trouble, 0.1 ; "ten points beside a trouble")]
#[test_case(Noise::Trouble, 0.5 ; "fifty points beside a trouble")]
fn a_harmful_change_to_everything_is_out_of_force_soon_and_undone_when_its_harm_comes_back(
    noise: Noise,
    harm: f64,
) {
    for seed in 0..20 {
        let mut fleet = Fleet::new(seed, noise, 1.5);
        let touch = fleet.part(1);
        let outcome = fleet.play(&touch, &|_, _, _| harm, 60);
        let (at, found) = outcome.back.expect("found");
        assert!(at <= 30.0 && found.unsure(), "seed {seed}: {at} s, {found}");
        assert!(outcome.undone.is_some(), "seed {seed}: {:?}", outcome.again);
    }
}

#[test]
fn harm_on_the_rare_route_alone_is_found_and_named() {
    let mut fleet = Fleet::new(1, Noise::Rough, 1.5);
    fleet.routes = vec![0.96, 0.04];
    let touch = fleet.part(5);
    let harm = |slice, route, _| if touched(slice) && route == 1 { 0.8 } else { 0.0 };
    let (at, found) = fleet.play(&touch, &harm, 60).undone.expect("found");
    assert_eq!(found.part, Part::Route(RouteId(1)));
    assert!(at <= 60.0, "{at} s");
}

#[test]
fn harm_that_shows_late_is_found() {
    let mut fleet = Fleet::new(2, Noise::Rough, 1.5);
    let touch = fleet.part(5);
    let harm = |slice, _, since| if touched(slice) && since >= 20.0 { 0.2 } else { 0.0 };
    let (at, _) = fleet.play(&touch, &harm, 60).undone.expect("found");
    assert!((20.0..40.0).contains(&at), "{at} s");
}

#[test]
fn a_route_that_is_touched_everywhere_is_compared_with_the_others() {
    let mut fleet = Fleet::new(3, Noise::Trouble, 1.5);
    let touch = Touch { routes: [RouteId(1)].into(), ..Touch::default() };
    let (_, found) = fleet.play(&touch, &|_, route, _| 0.2 * route as f64, 60).undone.expect("found");
    assert!(found.untouched.is_some());
    for seed in 0..20 {
        let mut fleet = Fleet::new(seed, Noise::Trouble, 1.5);
        assert!(fleet.play(&touch, &|_, _, _| 0.0, 60).undone.is_none(), "seed {seed}");
    }
}

/// Feeds seconds of even sums; `lost` of ten calls by slice.
fn seconds(judge: &mut Judge, from: usize, many: usize, lost: impl Fn(u16) -> u64) -> Vec<TrialId> {
    let mut found = Vec::new();
    for second in from..from + many {
        for slice in 0..10 {
            judge.demand(SliceId(slice), RouteId(0), 10, lost(slice));
            judge.tries(HostId(slice.into()), 10, lost(slice), 0.1);
        }
        found.extend(judge.close((second + 1) as f64).into_iter().map(|(id, _)| id));
    }
    found
}

fn of(slices: &[u16]) -> Touch {
    Touch { slices: slices.iter().map(|slice| SliceId(*slice)).collect(), ..Touch::default() }
}

#[test]
fn of_two_trials_the_harmful_one_is_named_and_the_other_keeps_its_measure() {
    let mut judge = Judge::new(1.0, vec![1.0], 1.0);
    seconds(&mut judge, 0, 20, |_| 0);
    judge.watch(TrialId(1), of(&[0, 1]), 0.0);
    judge.watch(TrialId(2), of(&[2, 3]), 0.0);
    let found = seconds(&mut judge, 20, 20, |slice| if slice == 2 || slice == 3 { 3 } else { 0 });
    assert!(!found.is_empty() && found.iter().all(|id| *id == TrialId(2)), "{found:?}");
}

#[test]
fn of_two_that_touch_the_same_the_later_one_goes_first() {
    let mut judge = Judge::new(1.0, vec![1.0], 1.0);
    seconds(&mut judge, 0, 20, |_| 0);
    judge.watch(TrialId(1), of(&[0, 1]), 0.0);
    judge.watch(TrialId(2), of(&[0, 1]), 0.0);
    let found = seconds(&mut judge, 20, 6, |slice| if slice < 2 { 5 } else { 0 });
    assert_eq!(found.first(), Some(&TrialId(2)));
    assert!(!found.contains(&TrialId(1)), "looked at anew");
}

#[test]
fn a_loss_that_was_announced_is_no_harm() {
    let mut judge = Judge::new(1.0, vec![1.0], 1.0);
    seconds(&mut judge, 0, 20, |_| 0);
    judge.watch(TrialId(1), of(&[0, 1]), 40.0);
    assert_eq!(seconds(&mut judge, 20, 30, |slice| if slice < 2 { 3 } else { 0 }), vec![]);
}

#[test]
fn sums_that_stop_make_a_trial_that_nobody_believes() {
    let mut judge = Judge::new(1.0, vec![1.0], 1.0);
    seconds(&mut judge, 0, 20, |_| 0);
    assert!(judge.baseline());
    judge.watch(TrialId(1), of(&[0]), 0.0);
    seconds(&mut judge, 20, 10, |_| 0);
    assert_eq!(judge.close(80.0), vec![]);
    assert!(!judge.believed(TrialId(1), 60.0));
    seconds(&mut judge, 80, 25, |_| 0);
    assert!(judge.believed(TrialId(1), 60.0));
}

#[test]
fn where_most_hosts_are_touched_the_rest_is_no_measure() {
    let mut judge = Judge::new(1.0, vec![1.0], 1.0);
    seconds(&mut judge, 0, 20, |_| 0);
    let hosts = (0..5).map(HostId).collect();
    judge.watch(TrialId(1), Touch { hosts, ..of(&[0, 1, 2, 3, 4]) }, 0.0);
    // What is left to the others drowns them as well: still it is the change's doing.
    let found = seconds(&mut judge, 20, 20, |_| 3);
    assert_eq!(found.first(), Some(&TrialId(1)));
}

#[test]
fn one_set_aside_is_tried_again_only_when_all_has_been_well_for_a_while_and_against_the_same_time() {
    let mut judge = Judge::new(1.0, vec![1.0], 1.0);
    seconds(&mut judge, 0, 20, |_| 0);
    let all: Vec<u16> = (0..10).collect();
    judge.watch(TrialId(1), of(&all), 0.0);
    assert_eq!(seconds(&mut judge, 20, 8, |_| 3).first(), Some(&TrialId(1)));
    judge.set_aside(TrialId(1));
    // The fleet goes on losing calls, pauses, and loses again: nothing is found against what is not in force.
    assert_eq!(seconds(&mut judge, 28, 100, |_| 3), vec![]);
    seconds(&mut judge, 128, 6, |_| 0);
    assert!(!judge.calm(TrialId(1)));
    seconds(&mut judge, 134, 3, |_| 3);
    seconds(&mut judge, 137, 8, |_| 0);
    assert!(!judge.calm(TrialId(1)), "a pause is no calm");
    seconds(&mut judge, 145, 8, |_| 0);
    assert!(judge.calm(TrialId(1)));
    judge.resume(TrialId(1));
    assert!(!judge.calm(TrialId(1)) && judge.heard(TrialId(1)) == 0);
    // A minute of trouble lies behind it by now, but it is compared with the time before it was first in force.
    let found = seconds(&mut judge, 153, 8, |_| 1);
    assert_eq!(found.first(), Some(&TrialId(1)));
}

#[test]
fn slices_that_come_to_it_later_count_from_the_same_time_before() {
    let mut judge = Judge::new(1.0, vec![1.0], 1.0);
    seconds(&mut judge, 0, 20, |_| 0);
    judge.watch(TrialId(1), of(&[0]), 0.0);
    seconds(&mut judge, 20, 3, |_| 0);
    judge.touches(TrialId(1), [SliceId(1)]);
    assert_eq!(
        seconds(&mut judge, 23, 20, |slice| if slice == 1 { 3 } else { 0 }).first(),
        Some(&TrialId(1))
    );
}
