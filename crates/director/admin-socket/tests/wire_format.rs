//! The exact bytes that operators' commands and a director exchange over a Unix socket. Builds of other versions read
//! them, so a change here breaks rolling upgrades or stored data.
use coppersail_admin_socket::{
    encode, parse_answer, parse_request, Answer, Difference, ParseError, Request, Status, Trial,
};
use coppersail_changes::{Change, Stage, Submission, Version};
use coppersail_operator_config::{Edits, Field, Value};
use serde::Serialize;
use std::fmt::Debug;

/// Asserts that the message is written as exactly this line, and that the line is parsed to an equal message.
fn assert_round_trip<T: Serialize + PartialEq + Debug>(
    parse: fn(&[u8]) -> Result<T, ParseError>,
    value: T,
    text: &str,
) {
    assert_eq!(String::from_utf8(encode(&value)).unwrap(), format!("{text}\n"));
    assert_eq!(parse(text.as_bytes()).unwrap(), value);
}

const SUBMISSION: &str = concat!(
    r#"{"base":3,"who":"ann","why":"w","edits":{"changes.judge":false,"guard.mode":null},"trial":null,"#,
    r#""expected_loss":0.0,"token":"","draft":false,"file":null}"#,
);

fn edits() -> Edits {
    [(Field::Analysis, Some(Value::Flag(false))), (Field::Guard, None)].into()
}

fn submission() -> Submission {
    let (base, edits) = (Version(3), edits());
    Submission { base, who: "ann".into(), why: "w".into(), edits, ..Submission::default() }
}

#[test]
fn each_request_on_the_socket_keeps_its_line() {
    let (number, who, why) = (Version(4), || "ann".to_string(), || "w".to_string());
    let table = [
        (Request::Status, r#"{"do":"status"}"#),
        (Request::Submit { submission: submission() }, r#"{"do":"submit","submission":SUBMISSION}"#),
        (
            Request::Diff { edits: edits() },
            r#"{"do":"diff","edits":{"changes.judge":false,"guard.mode":null}}"#,
        ),
        (Request::List { before: None }, r#"{"do":"list","before":null}"#),
        (Request::List { before: Some(number) }, r#"{"do":"list","before":4}"#),
        (Request::Show { number }, r#"{"do":"show","number":4}"#),
        (Request::Stage { number }, r#"{"do":"stage","number":4}"#),
        (Request::Confirm { number, who: who() }, r#"{"do":"confirm","number":4,"who":"ann"}"#),
        (
            Request::Extend { number, by: 30.0, who: who() },
            r#"{"do":"extend","number":4,"by":30.0,"who":"ann"}"#,
        ),
        (
            Request::Undo { number, who: who(), why: why() },
            r#"{"do":"undo","number":4,"who":"ann","why":"w"}"#,
        ),
        (Request::Freeze { who: who(), why: why() }, r#"{"do":"freeze","who":"ann","why":"w"}"#),
        (Request::Thaw { who: who() }, r#"{"do":"thaw","who":"ann"}"#),
    ];
    for (message, text) in table {
        assert_round_trip(parse_request, message, &text.replace("SUBMISSION", SUBMISSION));
    }
}

#[test]
fn each_answer_on_the_socket_keeps_its_line() {
    let (number, why) = (Version(4), || "w".to_string());
    let status = |frozen| Status {
        name: "d".into(),
        version: number,
        durable: true,
        frozen,
        baseline: false,
        trials: vec![Trial { number, remaining_seconds: 1.5, reports: 2, sufficient: true }],
        in_force: vec![(Field::Trial, Value::Number(60.0))],
        hosts: 5,
        slices: 6,
        proxies: 7,
    };
    let status_text = concat!(
        r#"{"is":"status","name":"d","version":4,"durable":true,"frozen":FROZEN,"baseline":false,"#,
        r#""trials":[{"number":4,"left":1.5,"heard":2,"believed":true}],"#,
        r#""in_force":[["changes.trial",60.0]],"hosts":5,"slices":6,"proxies":7}"#,
    );
    let change = || Change {
        number,
        wall: 1.5,
        submission: submission(),
        stage: Stage::Staged,
        undoes: None,
        before: Edits::new(),
    };
    let change_text =
        r#""number":4,"wall":1.5,"submission":SUBMISSION,"stage":"staged","undoes":null,"before":{}"#;
    let differs =
        vec![Difference { field: Field::Analysis, current: None, proposed: Some(Value::Flag(true)) }];
    let table = [
        (Answer::Status(Box::new(status(None))), status_text.replace("FROZEN", "null")),
        (
            Answer::Status(Box::new(status(Some(("ann".into(), why()))))),
            status_text.replace("FROZEN", r#"["ann","w"]"#),
        ),
        (Answer::Accepted { number, durable: true }, r#"{"is":"accepted","number":4,"durable":true}"#.into()),
        (Answer::Done, r#"{"is":"done"}"#.into()),
        (
            Answer::Diff { differs },
            r#"{"is":"diff","differs":[{"field":"changes.judge","is":null,"becomes":true}]}"#.into(),
        ),
        (
            Answer::Changes { changes: vec![change()], more: true },
            format!(r#"{{"is":"changes","changes":[{{{change_text}}}],"more":true}}"#),
        ),
        (Answer::Change(Box::new(change())), format!(r#"{{"is":"change",{change_text}}}"#)),
        (Answer::Rejected { reason: why() }, r#"{"is":"refused","why":"w"}"#.into()),
        (Answer::Unreadable { reason: why() }, r#"{"is":"unreadable","why":"w"}"#.into()),
    ];
    for (message, text) in table {
        assert_round_trip(parse_answer, message, &text.replace("SUBMISSION", SUBMISSION));
    }
}

#[test]
fn requests_of_an_older_version_without_optional_fields_still_parse() {
    assert_eq!(parse_request(br#"{"do":"list"}"#).unwrap(), Request::List { before: None });
    let older = br#"{"do":"submit","submission":{"base":3,"who":"ann","why":"w","edits":{}}}"#;
    let submission = Submission { edits: Edits::new(), ..submission() };
    assert_eq!(parse_request(older).unwrap(), Request::Submit { submission });
}
