//! Other versions of the director read these bytes: the records are stored in the change log and are read at
//! each start. A different format would break rolling upgrades or stored data.
use coppersail_changes::{Change, EndReason, Keep, Record, Stage, Submission, Version};
use coppersail_operator_config::{Edits, Field, GuardMode, RouteRetryPolicy, Value};
use serde::{de::DeserializeOwned, Serialize};
use std::fmt::Debug;

/// The value serializes to exactly this text, and the text deserializes to an equal value.
fn assert_text<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: T, text: &str) {
    assert_eq!(serde_json::to_string(&value).unwrap(), text);
    assert_eq!(serde_json::from_str::<T>(text).unwrap(), value);
}

const SUBMISSION: &str = concat!(
    r#"{"base":3,"who":"ann","why":"slow","edits":{"hosts.h-1.weight":0.5,"guard.mode":null},"trial":30.0,"#,
    r#""expected_loss":2.5,"token":"t","draft":true,"file":[["changes.judge",true]]}"#,
);

fn submission() -> Submission {
    let edits = [(Field::HostWeight("h-1".into()), Some(Value::Number(0.5))), (Field::Guard, None)].into();
    Submission {
        base: Version(3),
        who: "ann".into(),
        why: "slow".into(),
        edits,
        trial: Some(30.0),
        expected_loss: 2.5,
        token: "t".into(),
        draft: true,
        file: Some(vec![(Field::Analysis, Value::Flag(true))]),
    }
}

#[test]
fn each_field_keeps_its_path_and_each_value_its_bytes() {
    let name = || "n".to_string();
    let fields = [
        (Field::HostWeight(name()), r#""hosts.n.weight""#),
        (Field::HostDrained(name()), r#""hosts.n.drained""#),
        (Field::HostShutdown(name()), r#""hosts.n.leaves""#),
        (Field::ZoneWeight(name()), r#""zones.n.weight""#),
        (Field::RouteAdmissionLimit(name()), r#""routes.n.ceiling""#),
        (Field::RouteRetries(name()), r#""routes.n.again""#),
        (Field::AntiAffinity(7, name()), r#""apart.7.n""#),
        (Field::Trial, r#""changes.trial""#),
        (Field::Analysis, r#""changes.judge""#),
        (Field::Guard, r#""guard.mode""#),
    ];
    fields.into_iter().for_each(|(field, text)| assert_text(field, text));
    let values = [
        (Value::Flag(true), "true"),
        (Value::Flag(false), "false"),
        (Value::Number(1.0), "1.0"),
        (Value::RetryPolicy(RouteRetryPolicy::Never), r#""never""#),
        (Value::RetryPolicy(RouteRetryPolicy::IfNeverRan), r#""if-never-ran""#),
        (Value::RetryPolicy(RouteRetryPolicy::Once), r#""once""#),
        (Value::RetryPolicy(RouteRetryPolicy::Twice), r#""twice""#),
        (Value::Guard(GuardMode::Off), r#""off""#),
        (Value::Guard(GuardMode::Watch), r#""watch""#),
        (Value::Guard(GuardMode::On), r#""on""#),
    ];
    values.into_iter().for_each(|(value, text)| assert_text(value, text));
}

#[test]
fn each_stage_with_its_reason_keeps_its_bytes() {
    let (who, why) = (|| "ann".to_string(), || "w".to_string());
    let keeps = [
        (Keep::TrialPassed, r#""judged""#),
        (Keep::Confirmed { who: who() }, r#"{"confirmed":{"who":"ann"}}"#),
        (Keep::WithoutTrial, r#""untried""#),
        (Keep::IsUndo, r#""undoing""#),
    ];
    for (keep, text) in keeps {
        assert_text(Stage::Kept(keep), &format!(r#"{{"kept":{text}}}"#));
    }
    let reasons = [
        (EndReason::Harm { found: "f".into() }, r#"{"harm":{"found":"f"}}"#),
        (EndReason::ByOperator { who: who(), why: why() }, r#"{"asked":{"who":"ann","why":"w"}}"#),
        (EndReason::TooFewReports, r#""unjudged""#),
        (EndReason::ApplyTimeout, r#""unsettled""#),
        (EndReason::Restarted, r#""restarted""#),
        (EndReason::WriteFailed { why: why() }, r#"{"unwritten":{"why":"w"}}"#),
        (EndReason::Stale { why: why() }, r#"{"stale":{"why":"w"}}"#),
        (EndReason::NotRecovered, r#""never-calm""#),
    ];
    for (reason, text) in reasons {
        assert_text(Stage::Undone(reason.clone()), &format!(r#"{{"undone":{text}}}"#));
        assert_text(Stage::Dropped(reason), &format!(r#"{{"dropped":{text}}}"#));
    }
    let stages = [
        (Stage::Drafted, r#""drafted""#),
        (Stage::Checked, r#""checked""#),
        (Stage::Staged, r#""staged""#),
        (Stage::Applied, r#""applied""#),
        (Stage::Trial, r#""trial""#),
        (Stage::Suspended { found: "f".into() }, r#"{"aside":{"found":"f"}}"#),
    ];
    stages.into_iter().for_each(|(stage, text)| assert_text(stage, text));
}

#[test]
fn each_record_of_the_change_log_keeps_its_bytes() {
    let (number, wall, who, why) = (Version(4), 1.5, || "ann".to_string(), || "w".to_string());
    let document = vec![(Field::Trial, Value::Number(60.0))];
    let undo = Record::Undo {
        number,
        of: Version(2),
        wall,
        why: EndReason::TooFewReports,
        lost: vec![Field::Guard],
    };
    let table = [
        (
            Record::Founded { wall, document },
            r#"{"record":"founded","wall":1.5,"document":[["changes.trial",60.0]]}"#,
        ),
        (
            Record::Accepted { number, wall, submission: submission() },
            r#"{"record":"accepted","number":4,"wall":1.5,"submission":SUBMISSION}"#,
        ),
        (
            Record::Moved { number, wall, stage: Stage::Staged },
            r#"{"record":"moved","number":4,"wall":1.5,"stage":"staged"}"#,
        ),
        (undo, r#"{"record":"undo","number":4,"of":2,"wall":1.5,"why":"unjudged","lost":["guard.mode"]}"#),
        (
            Record::Frozen { wall, who: who(), why: why() },
            r#"{"record":"frozen","wall":1.5,"who":"ann","why":"w"}"#,
        ),
        (Record::Thawed { wall, who: who() }, r#"{"record":"thawed","wall":1.5,"who":"ann"}"#),
    ];
    for (record, text) in table {
        assert_text(record, &text.replace("SUBMISSION", SUBMISSION));
    }
}

#[test]
fn a_change_as_it_is_shown_keeps_its_bytes() {
    let before: Edits = [(Field::Analysis, None)].into();
    let (number, undoes) = (Version(4), Some(Version(2)));
    let change = Change { number, wall: 1.5, submission: submission(), stage: Stage::Trial, undoes, before };
    let text = concat!(
        r#"{"number":4,"wall":1.5,"submission":SUBMISSION,"stage":"trial","undoes":2,"#,
        r#""before":{"changes.judge":null}}"#,
    );
    assert_text(change, &text.replace("SUBMISSION", SUBMISSION));
}

#[test]
fn a_submission_of_an_older_version_without_optional_fields_still_parses() {
    let older = r#"{"base":3,"who":"ann","why":"slow","edits":{}}"#;
    let expected =
        Submission { base: Version(3), who: "ann".into(), why: "slow".into(), ..Submission::default() };
    assert_eq!(serde_json::from_str::<Submission>(older).unwrap(), expected);
    let none = concat!(
        r#"{"base":3,"who":"ann","why":"slow","edits":{},"trial":null,"expected_loss":0.0,"token":"","#,
        r#""draft":false,"file":null}"#,
    );
    assert_text(expected, none);
}
