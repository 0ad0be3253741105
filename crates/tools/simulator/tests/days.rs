//! Days by fixed seeds, and that a seed decides a day.
use coppersail_simulator::{play, Day};

#[test]
fn a_seed_decides_its_day() {
    let day = Day { length: 15_000, ..Day::by_seed(7) };
    let (one, other) = (play(&day, true), play(&day, true));
    assert!(one == other, "two plays of one seed differ");
    assert!(one.story.len() > 20);
}

fn days(seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let outcome = play(&Day::by_seed(seed), false);
        assert_eq!(outcome.broken, None, "cargo run --release -p coppersail-simulator -- --seed {seed}");
    }
}

/// A primary that is heard and hears nobody, with two backups: both stood, each took the other's copy, and dropped its own
/// bid by that, for as long as the cut lasted.
#[test]
fn two_backups_that_may_both_stand_do_not_hinder_each_other_for_ever() {
    for seed in [300_136, 300_185, 300_795] {
        days(seed..seed + 1);
    }
}

// Four tests, so that they run side by side.
#[test]
fn days_from_101() {
    days(101..103);
}

#[test]
fn days_from_201() {
    days(201..203);
}

#[test]
fn days_from_301() {
    days(301..303);
}

#[test]
fn days_from_401() {
    days(401..403);
}
