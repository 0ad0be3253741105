//! Tests of the module `start_error`.
use super::*;
use coppersail_protocol::ParseError;
use std::env::VarError;
use test_case::test_case;

fn refused() -> io::Error {
    io::Error::other("not allowed")
}

/// Operators and other programs read these lines.
#[test_case(StartError::Runtime(refused()), "not allowed" ; "runtime")]
#[test_case(StartError::Signals(refused()), "signals cannot be taken" ; "signals")]
#[test_case(
    StartError::Config(ConfigFileError::NotSet(VarError::NotPresent)),
    "configuration: EDGE_CONFIG is not set" ; "no path")]
#[test_case(
    StartError::Config(ConfigFileError::Unreadable(refused())),
    "configuration: EDGE_CONFIG: not allowed" ; "unreadable configuration")]
#[test_case(
    StartError::Config(ConfigFileError::Invalid(ParseError::missing("seed"))),
    "configuration: field seed: missing" ; "invalid configuration")]
#[test_case(
    StartError::Settings("field settings.me: expected a number".into()),
    "configuration: field settings.me: expected a number" ; "settings")]
#[test_case(StartError::Listen(refused()), "configuration: field listen: not allowed" ; "listen")]
#[test_case(
    StartError::OperatorFile(OperatorFileError::EvaluationFailed { message: "a:1: no such field".to_string() }),
    "a:1: no such field" ; "operators' file")]
#[test_case(
    StartError::ChangeLog(OpenError::Locked { path: "/data/changes.log".into() }),
    "history: /data/changes.log: another process has it open" ; "change log")]
#[test_case(
    StartError::ChangeRecords("change 7: accepted twice".into()),
    "history: change 7: accepted twice" ; "change records")]
#[test_case(
    StartError::AdminSocket(refused()),
    "operators' file: field control.socket: not allowed" ; "admin socket")]
fn a_start_that_fails_prints_its_cause(error: StartError, expected: &str) {
    assert_eq!(error.to_string(), expected);
    assert_eq!(eyre::Report::from(error).to_string(), expected, "as the program prints it");
}
