//! A day that must break a rule does; it is shrunk to what breaks it, and the command tells of bad words in one line.
use coppersail_simulator::{play, shrink, Day, Fault, What, Who};
use std::process::Command;

#[test]
fn all_disks_lost_at_once_is_found_and_shrunk_to_just_that() {
    let lose = |place| Fault::new(9000, Who::Place(place), What::LoseDisk { down: 1000 });
    let mut faults: Vec<Fault> = (0..3).map(lose).collect();
    faults.push(Fault::new(6000, Who::Place(0), What::HostLeaves(1)));
    faults.push(Fault::new(7000, Who::Place(1), What::Again));
    faults.push(Fault::new(8000, Who::Place(2), What::Hup { seeds: coppersail_simulator::Seeds::Running }));
    let day = Day { length: 12_000, forced: true, faults, ..Day::default() };
    let broken = play(&day, false).broken.expect("all that was acknowledged is gone");
    let fewest = shrink(&day, broken.rule);
    // Two of three disks are as bad as all.
    assert_eq!(fewest.faults.len(), 2, "{:?}", fewest.faults);
    assert!(fewest.faults.iter().all(|f| matches!(f.what, What::LoseDisk { .. })));
    let story = play(&fewest, true).story.join("\n");
    assert!(story.contains("disk lost") && story.contains(broken.rule), "{story}");
}

#[test]
fn bad_words_end_with_one_line_and_status_2() {
    for words in [
        &["--seed"][..],
        &["--days", "0"],
        &["--days", "2", "--seed", "1"],
        &["--days", "2", "--threads", "7"],
        &["--days", "9", "--from", "18446744073709551615"],
        &["--seed", "x"],
        &["--sead", "1"],
        &[],
    ] {
        let out = Command::new(env!("CARGO_BIN_EXE_coppersail-simulator")).args(words).output().unwrap();
        let text = String::from_utf8(out.stderr).unwrap();
        assert_eq!((out.status.code(), text.lines().count()), (Some(2), 1), "{words:?}: {text}");
    }
}

#[test]
fn a_table_of_days_says_what_was_played() {
    let out = Command::new(env!("CARGO_BIN_EXE_coppersail-simulator"))
        .args(["--days", "1", "--from", "7"])
        .output()
        .unwrap();
    let text = String::from_utf8(out.stdout).unwrap();
    assert!(text.starts_with("days                1\n") && text.contains("no rule broken"), "{text}");
    assert_eq!(out.status.code(), Some(0));
}
