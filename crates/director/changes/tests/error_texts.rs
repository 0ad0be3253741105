//! These texts are shown to operators; those of record errors are logged when the director refuses to start.
//! Each is one line and must not change.
use coppersail_changes::{ChangeLog, EndReason, Record, RecordError, Refusal, Stage, Submission, Version};

fn accepted(number: u64) -> Record {
    Record::Accepted { number: Version(number), wall: 0.0, submission: Submission::default() }
}

#[test]
fn each_refusal_keeps_its_text() {
    let (number, name) = (Version(4), || "ann".to_string());
    let field = "guard.mode".parse().unwrap();
    let table = [
        (Refusal::Frozen { who: name(), why: "w".into() }, "frozen by ann: w"),
        (
            Refusal::Conflict { field, holder: number, who: name(), stage: "kept" },
            "field guard.mode: held by change 4 of ann, kept, which its base does not know",
        ),
        (Refusal::BaseAhead { base: number, head: Version(3) }, "base 4: expected a version up to 3"),
        (Refusal::Invalid(vec!["a".into(), "b".into()]), "a; b"),
        (Refusal::NoEffect, "it changes nothing"),
        (Refusal::TooFewHosts("p".into()), "p"),
        (Refusal::TooMany(8), "8 changes are under way already; wait for one to end"),
        (Refusal::UnknownChange(number), "change 4: there is none of that number"),
        (
            Refusal::WrongStage { number, stage: "kept", wanted: "on trial" },
            "change 4: it is kept; expected one that is on trial",
        ),
        (Refusal::WriteFailed("disk full".into()), "the history cannot be written: disk full"),
    ];
    for (refusal, text) in table {
        assert_eq!(refusal.to_string(), text);
    }
}

#[test]
fn a_log_with_contradicting_records_is_refused_with_the_change_and_its_stages() {
    let (number, wall) = (Version(1), 0.0);
    let moved = |stage| Record::Moved { number, wall, stage };
    let undo = Record::Undo { number: Version(2), of: number, wall, why: EndReason::Restarted, lost: vec![] };
    let (from, to) = ("checked", "on trial");
    let table = [
        (vec![accepted(1), accepted(1)], RecordError::AcceptedTwice(number), "change 1 accepted twice"),
        (vec![moved(Stage::Staged)], RecordError::UnknownChange(number), "change 1 that was never accepted"),
        (
            vec![undo.clone()],
            RecordError::UnknownUndone(number),
            "undoing of change 1 that was never accepted",
        ),
        (
            vec![accepted(1), moved(Stage::Trial)],
            RecordError::InvalidTransition { number, from, to },
            "change 1 on trial that was checked",
        ),
        (
            vec![accepted(1), undo],
            RecordError::InvalidTransition { number, from, to: "undone" },
            "change 1 undone that was checked",
        ),
    ];
    for (records, expected, text) in table {
        let error = ChangeLog::recover(records).unwrap_err();
        assert_eq!((error.to_string().as_str(), error), (text, expected));
    }
}
