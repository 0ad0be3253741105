//! The command line: invalid arguments, and the table of many runs.

use std::process::Command;

#[test]
fn invalid_arguments_end_with_one_line_and_status_2() {
    for arguments in [
        &["--seed"][..],
        &["--days", "0"],
        &["--days", "2", "--seed", "1"],
        &["--days", "2", "--threads", "7"],
        &["--days", "9", "--from", "18446744073709551615"],
        &["--seed", "x"],
        &["--sead", "1"],
        &[],
    ] {
        let output =
            Command::new(env!("CARGO_BIN_EXE_coppersail-simulator")).args(arguments).output().unwrap();
        let text = String::from_utf8(output.stderr).unwrap();
        assert_eq!((output.status.code(), text.lines().count()), (Some(2), 1), "{arguments:?}: {text}");
    }
}

#[test]
fn the_table_of_many_runs_starts_with_their_number() {
    let output = Command::new(env!("CARGO_BIN_EXE_coppersail-simulator"))
        .args(["--days", "1", "--from", "7"])
        .output()
        .unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(text.starts_with("days                1\n") && text.contains("no rule broken"), "{text}");
    assert_eq!(output.status.code(), Some(0));
}
