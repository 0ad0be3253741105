//! The program as the bench runs it: replies on standard output, one line for each error on standard error.
use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(arguments: &[&str], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_coppersail-wirehost"))
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(input.as_bytes()).unwrap();
    child.wait_with_output().unwrap()
}

const CONFIGURE: &str = "CONFIGURE who=1 init-seed=2 discovery=pushed kinds=k zones=a,b classes.count=1 classes.0.name=r classes.0.aim-ns=1000000000 specifics.slices=2";

#[test]
fn an_unknown_argument_ends_the_program_with_status_2() {
    let output = run(&["--guard=off"], "");
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(text, "coppersail-wirehost: expected --guard=watch, --guard=on or nothing\n");
    assert!(output.stdout.is_empty());
}

#[test]
fn the_end_of_the_input_ends_the_program_with_status_0() {
    for arguments in [&[][..], &["--guard=watch"], &["--guard=on"]] {
        let output = run(arguments, "");
        assert_eq!((output.status.code(), output.stdout.len(), output.stderr.len()), (Some(0), 0, 0));
    }
}

#[test]
fn each_error_keeps_its_text() {
    let lines = [
        "STOP who=2",
        "ITEM sku=k host=h:1 w=1 block=0 rack-zone=a status=3",
        "MEMBERS who=1 scope=1 rev=1 members-list=2",
        "ITEM sku=k host=h:1 w=1 block=0 rack-zone=a status=3",
        "MEMBERS who=1 scope=1 rev=1 members-list=1",
        "ITEM sku=x host=h:1 w=1 block=0 rack-zone=a status=3",
        "MEMBERS who=1 scope=1 rev=1 members-list=1",
        "ITEM sku=k host=h:1 w=1 block=0 rack-zone=x status=3",
        "MEMBERS who=1 scope=1 rev=1 members-list=1",
        "ITEM sku=k host=h:1 w=-1 block=0 rack-zone=a status=3",
        "HEAT who=1 covers-ns=9 grade=x bad=0 many=4 table=0",
        "INTAKE who=1 proxy=1 grade=x many=1 bad=0 covers-ns=9",
        "CHECKED_IN who=1 proxy=1 rack-zone=x w=1 set=1",
        "PONG who=1 host=h:9 outcome=success time-taken-ns=1",
        "ROUNDUP who=1 time-taken-ns=5 rack-zone=x covers-ns=9 host=h:9 many=14 bad=1",
        "HELLO",
    ];
    let input = format!(
        "MARK sim-time-ns=5\n{CONFIGURE}\nCOMMIT\nMARK sim-time-ns=6\n{}\nCOMMIT\nMARK sim-time-ns=7\n",
        lines.join("\n")
    );
    let output = run(&[], &input);
    let known = "field who: expected an instance that was configured and not stopped";
    let expected = [
        &format!("line 5: STOP: {known}"),
        "line 6: ITEM: field (first word): expected a MEMBERS line before it",
        "line 7: MEMBERS: field members-list: expected 2 sound ITEM lines behind it, not 1",
        "line 10: ITEM: field sku: expected a kind of the settings, one of k",
        "line 12: ITEM: field rack-zone: expected a zone of the settings, one of a, b",
        "line 14: ITEM: field w: expected a size of 0 or more",
        "line 15: HEAT: field grade: expected a class of the settings, one of r",
        "line 16: INTAKE: field grade: expected a class of the settings, one of r",
        "line 17: CHECKED_IN: field rack-zone: expected a zone of the settings, one of a, b",
        "line 18: PONG: field host: expected a host that was listed",
        "line 19: ROUNDUP: field host: expected a host that was listed",
        "line 20: HELLO: field (first word): expected a known message",
        "line 22: (end of input): field COMMIT: expected the rest of the batch",
    ];
    let expected: String = expected.iter().map(|line| format!("coppersail-wirehost: {line}\n")).collect();
    assert_eq!(String::from_utf8(output.stderr).unwrap(), expected);
    assert_eq!(output.status.code(), Some(0));
    let replies = String::from_utf8(output.stdout).unwrap();
    assert_eq!(replies.lines().filter(|line| *line == "READY").count(), 2);
}
