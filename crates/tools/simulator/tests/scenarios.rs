//! The hard cases by name: scripts of faults at fixed times, judged by all rules.
use coppersail_simulator::{play, Day, Fault, Moment, Ms, Seeds, Way, What, Who};

const PLACES: [Who; 3] = [Who::Place(0), Who::Place(1), Who::Place(2)];
const SOMEBODY: [Who; 3] = [Who::Primary, Who::Backup, Who::Witness];

fn at(at: Ms, who: Who, what: What) -> Fault {
    Fault::new(at, who, what)
}

/// The day keeps all rules; each of its faults that is of the core has come.
fn keeps(day: &Day) {
    let outcome = play(day, true);
    let left: Vec<_> = outcome.tally.faults.iter().filter(|(_, (_, left))| *left > 0).collect();
    assert_eq!(outcome.broken, None, "{}\n{:#?}", outcome.story.join("\n"), day.faults);
    assert!(left.is_empty(), "these did not come: {left:?}\n{}", outcome.story.join("\n"));
}

fn day(seed: u64, machines: usize, faults: Vec<Fault>) -> Day {
    let length = faults.iter().map(|f| f.at).max().unwrap_or(0) + 8000;
    Day { seed, machines, length, faults, ..Day::default() }
}

/// An order to each of the first three machines, and a host that leaves, every two seconds.
fn life(from: Ms, to: Ms) -> Vec<Fault> {
    let steps = (from..to).step_by(2000).enumerate();
    let all = steps.flat_map(|(n, t)| {
        let orders =
            PLACES.into_iter().enumerate().map(move |(p, who)| at(t + 50 * p as Ms, who, What::Order));
        orders.chain([at(t + 500, Who::Place(0), What::HostLeaves(n))])
    });
    all.collect()
}

fn cut(way: Way, ms: Ms) -> What {
    What::Cut { with: Vec::new(), way, ms, clients: false }
}

fn twenty_seconds(way: Way) {
    for (seed, who) in SOMEBODY.into_iter().enumerate() {
        let mut faults = life(9000, 32_000);
        faults.push(at(10_000, who, cut(way, 20_000)));
        keeps(&day(seed as u64 + 1, 3 + seed, faults));
    }
}

#[test]
fn twenty_seconds_cut_off_both_ways() {
    twenty_seconds(Way::Both);
}

#[test]
fn twenty_seconds_heard_by_nobody() {
    twenty_seconds(Way::Sends);
}

#[test]
fn twenty_seconds_hearing_nobody() {
    twenty_seconds(Way::Hears);
}

#[test]
fn cut_then_the_others_restarted_then_told_of_the_cut_ones() {
    for (seed, machines) in [(1, 3), (2, 5)] {
        let cut_off = if machines == 3 { vec![0] } else { vec![0, 1] };
        let others = cut_off.len()..machines;
        let with = cut_off[1..].iter().map(|p| Who::Place(*p)).collect();
        let what = What::Cut { with, way: Way::Both, ms: 20_000, clients: true };
        let mut faults = life(9000, 32_000);
        faults.push(at(10_000, Who::Place(0), what));
        faults.extend(others.clone().map(|p| at(14_000, Who::Place(p), What::Kill { down: 500 })));
        let seeds = || Seeds::Of(cut_off.clone());
        faults.extend(others.clone().map(|p| at(18_000, Who::Place(p), What::Hup { seeds: seeds() })));
        faults.extend(
            others.clone().map(|p| at(22_000, Who::Place(p), What::Reseed { down: 500, seeds: seeds() })),
        );
        keeps(&Day { forced: true, survive: cut_off.len(), ..day(seed, machines, faults) });
    }
}

#[test]
fn two_takeovers_in_a_second() {
    for seed in 1..=2 {
        // The second meets whoever took over from the first, within a second after it began to act.
        let mut faults = life(9000, 16_000);
        faults.push(at(10_000, Who::Primary, What::Kill { down: 9000 }));
        faults.push(at(11_600 + 400 * seed, Who::Primary, What::Power { down: 9000 }));
        let machines = 5;
        keeps(&Day { forced: true, survive: 2, ..day(seed, machines, faults) });
    }
}

#[test]
fn a_freeze_between_the_sync_and_the_answer() {
    for (seed, ms) in [(1, 700), (2, 2500), (3, 9000)] {
        let mut faults = life(9000, 24_000);
        faults.push(at(10_000, Who::Primary, What::Freeze { ms }).when(Moment::Answer));
        faults.extend((0..10).map(|n| at(10_300 + 400 * n, Who::Place(n as usize % 3), What::Again)));
        keeps(&day(seed, 3, faults));
    }
}

#[test]
fn a_freeze_between_asking_for_the_lease_and_the_answer() {
    for seed in 1..=8 {
        let mut faults = life(9000, 15_000);
        // The witnesses' answers are there when it goes on, and nothing of its successor.
        faults.push(at(10_000, Who::Primary, What::Freeze { ms: 2500 }).when(Moment::Call));
        faults.push(at(10_450, Who::Primary, cut(Way::Both, 5000)));
        keeps(&day(seed, 3, faults));
    }
}

#[test]
fn both_of_the_two_cut_from_the_witnesses_but_not_from_each_other() {
    for seed in 1..=2 {
        let what = What::Cut { with: vec![Who::Backup], way: Way::Both, ms: 20_000, clients: false };
        let mut faults = life(9000, 32_000);
        faults.push(at(10_000, Who::Primary, what));
        keeps(&Day { survive: 2, ..day(seed, 5, faults) });
    }
}

#[test]
fn the_backup_lost_while_the_next_is_brought_up() {
    for seed in 1..=2 {
        let mut faults = life(9000, 24_000);
        faults.push(at(10_000, Who::Backup, What::Power { down: 12_000 }));
        faults.push(at(11_250 + 50 * seed, Who::Backup, What::LoseDisk { down: 3000 }));
        keeps(&Day { forced: true, survive: 2, ..day(seed, 5, faults) });
    }
}

#[test]
fn the_primarys_disk_full_while_the_next_backup_is_brought_up() {
    for seed in 1..=2 {
        let mut faults = life(9000, 24_000);
        faults.push(at(10_000, Who::Backup, What::Power { down: 12_000 }));
        faults.push(at(11_100 + 100 * seed, Who::Primary, What::DiskFull { ms: 8000 }));
        keeps(&Day { survive: 2, ..day(seed, 5, faults) });
    }
}

fn replace(term: bool, gap: Ms) -> What {
    What::Replace { term, gap, seeds: Seeds::Running, reuse: false }
}

#[test]
fn a_witness_replaced_while_its_successors_snapshot_runs() {
    for seed in 1..=3 {
        let mut faults = vec![at(8000, Who::Place(0), What::Storm(300))];
        faults.extend(life(9000, 24_000));
        faults.push(at(12_000, Who::Place(seed as usize % 3), replace(false, 500)));
        faults.push(at(12_600 + 100 * seed, Who::Place(seed as usize % 3), replace(false, 500)));
        keeps(&day(seed, 3, faults));
    }
}

#[test]
fn the_leavers_kill_before_its_handover_is_over() {
    for (seed, late) in [1, 10, 60, 300].into_iter().enumerate() {
        for (n, who) in [Who::Primary, Who::Place(1)].into_iter().enumerate() {
            let mut faults = life(9000, 20_000);
            faults.push(at(10_000, who, What::Term { down: 3000 }));
            let mut day = day(seed as u64 * 2 + n as u64, 3, faults);
            // Who has left by then can't be killed.
            day.faults.push(at(10_000 + late, who, What::Kill { down: 4000 }));
            let outcome = play(&day, true);
            assert_eq!(outcome.broken, None, "{}", outcome.story.join("\n"));
        }
    }
}

#[test]
fn a_second_loss_a_second_after_sync_time() {
    for seed in 1..=3 {
        let mut faults = life(9000, 40_000);
        faults.push(at(10_000, Who::Primary, replace(seed == 2, 500)));
        faults.push(at(15_600, Who::Primary, What::LoseDisk { down: 500 }));
        faults.push(at(21_200, Who::Backup, What::LoseDisk { down: 500 }));
        faults.push(at(26_800, Who::Witness, replace(false, 500)));
        faults.push(at(32_400, Who::Primary, What::Power { down: 500 }));
        let closing = Some(What::DiskAndPowerAll { down: 500 });
        keeps(&Day { closing, ..day(seed, 3, faults) });
    }
}

#[test]
fn a_second_loss_just_after_sync_time_where_the_first_took_the_primary() {
    // Takeovers that are quick, and slow: both must leave time to mend the group.
    for n in [6, 12, 17, 18, 19] {
        let mut faults = life(9000, 26_000);
        faults.push(at(10_000 + 40 * n, Who::Place(0), replace(false, 236)));
        faults.push(at(14_300 + 40 * n, Who::Primary, What::Kill { down: 15_000 }));
        keeps(&Day { length: 29_000, ..day(n, 4, faults) });
    }
}

#[test]
fn a_first_witness_that_left_takes_a_place_again() {
    for seed in 1..=2 {
        let mut faults = life(9000, 44_000);
        faults.push(at(10_000, Who::Place(3), replace(false, 1100)));
        faults.push(at(10_600, Who::Place(2), What::Term { down: 4800 }));
        faults.push(at(35_000, Who::Place(0), What::LoseDisk { down: 15_000 }));
        faults.push(at(35_600, Who::Place(4), What::Kill { down: 15_000 }));
        keeps(&Day { survive: 2, length: 52_000, ..day(seed, 5, faults) });
    }
}

#[test]
fn all_members_replaced_one_after_the_other_then_the_power_of_all() {
    for (seed, term) in [(1, false), (2, true)] {
        let mut faults = life(9000, 34_000);
        let places = (0..3).map(|p| at(10_000 + 8000 * p, Who::Place(p as usize), replace(term, 500)));
        faults.extend(places);
        keeps(&Day { closing: Some(What::PowerAll { down: 500 }), ..day(seed, 3, faults) });
    }
}

#[test]
fn a_member_that_comes_back_after_three_hundred_changes() {
    for (seed, who) in SOMEBODY.into_iter().enumerate() {
        let mut faults = life(9000, 40_000);
        faults.push(at(10_000, who, What::Power { down: 25_000 }));
        faults.push(at(14_000, Who::Place(0), What::Storm(300)));
        // Once it is back for `sync_time`, the others go.
        faults.push(at(40_500, Who::Primary, What::Power { down: 500 }));
        keeps(&day(seed as u64, 3, faults));
    }
}

#[test]
fn a_member_that_comes_back_after_being_replaced_with_its_old_disk() {
    for seed in 1..=3 {
        let mut faults = life(9000, 40_000);
        faults.push(at(10_000, Who::Place(seed as usize - 1), replace(false, 500)));
        faults.push(at(12_000, Who::Place(0), What::Storm(100)));
        faults.push(at(20_000, Who::Place(0), What::Return));
        faults.push(at(30_000, Who::Primary, What::Power { down: 500 }));
        keeps(&day(seed, 3, faults));
    }
}

#[test]
fn a_member_that_comes_at_anothers_address_and_one_whose_disk_moves() {
    for seed in 1..=2 {
        let mut faults = life(9000, 40_000);
        faults.push(at(10_000, Who::Place(0), replace(false, 500)));
        let reuse = What::Replace { term: false, gap: 500, seeds: Seeds::Running, reuse: true };
        faults.push(at(18_000, Who::Place(1), reuse));
        faults.push(at(26_000, Who::Primary, What::Move { down: 500 }));
        keeps(&day(seed, 3, faults));
    }
}

#[test]
fn an_order_sent_again_at_the_new_primary_before_and_after_its_takeover() {
    for seed in 1..=3 {
        let mut faults = vec![at(9999 - seed, Who::Primary, What::Order)];
        faults.push(at(10_000, Who::Primary, What::Kill { down: 6000 }));
        faults.extend((0..24).map(|n| at(10_100 + 130 * n, PLACES[n as usize % 3], What::Again)));
        keeps(&day(seed, 3, faults));
    }
}

#[test]
fn eight_orders_under_way_two_of_one_number() {
    for seed in 1..=4 {
        let mut faults = Vec::new();
        for t in [9000, 12_000, 15_000, 20_000, 22_000] {
            faults.extend([at(t, Who::Primary, What::Race), at(t + 1, Who::Primary, What::Storm(12))]);
        }
        faults.push(at(9000 + seed, Who::Primary, What::Noise { ms: 2000 }));
        faults.push(at(15_001 + seed, Who::Primary, What::Power { down: 1000 }));
        keeps(&day(seed, 3, faults));
    }
}

#[test]
fn sighup_in_the_middle_of_a_takeover() {
    for seed in 1..=2 {
        let mut faults = life(9000, 16_000);
        faults.push(at(10_000, Who::Place(0), What::Kill { down: 4000 }));
        for (n, who) in [Who::Place(1), Who::Place(2)].into_iter().cycle().take(12).enumerate() {
            faults.push(at(10_400 + 120 * n as Ms, who, What::Hup { seeds: Seeds::Newest }));
        }
        keeps(&day(seed, 3, faults));
    }
}

#[test]
fn closing_faults_right_after_an_acknowledgement() {
    let closings =
        [What::KillAll { down: 300 }, What::PowerAll { down: 1500 }, What::DiskAndPowerAll { down: 1500 }];
    for (n, closing) in closings.into_iter().enumerate() {
        for seed in 1..=2 {
            let day = Day { length: 9000, closing: Some(closing.clone()), ..Day::default() };
            keeps(&Day { seed: seed + 10 * n as u64, machines: 3 + n, ..day });
        }
    }
}
