//! Tests of the module `operator_file_reader`.
use super::*;
use test_case::test_case;

fn path() -> String {
    "operator.json".to_string()
}

fn not_found() -> io::Error {
    io::Error::new(io::ErrorKind::NotFound, "not there")
}

fn faults(count: usize) -> Vec<Fault> {
    let fault =
        |line| Fault { file: path(), line, field: "log".to_string(), expected: "text or json".to_string() };
    (1..=count).map(fault).collect()
}

/// Other programs and people read these texts.
#[test_case(
    OperatorFileError::NotFound { path: path(), source: not_found() },
    "operator.json: the file: expected a file (not there)" ; "not found")]
#[test_case(
    OperatorFileError::TooLarge { path: path() },
    "operator.json: the file: expected at most 4194304 bytes" ; "too large")]
#[test_case(
    OperatorFileError::NotText { path: path(), source: not_found() },
    "operator.json: the file: expected a text (not there)" ; "not text")]
#[test_case(
    OperatorFileError::NoEvaluator { path: path(), source: not_found() },
    "operator.json: the file: expected its evaluator (not there)" ; "no evaluator")]
#[test_case(
    OperatorFileError::EvaluatorNotStarted { path: path(), source: not_found() },
    "operator.json: the file: expected its evaluator to start (not there)" ; "evaluator not started")]
#[test_case(
    OperatorFileError::EvaluationTimeout { path: path() },
    "operator.json: the file: expected a file that is evaluated in 5 s" ; "evaluation timeout")]
#[test_case(
    OperatorFileError::EvaluationAborted { path: path() },
    "operator.json: the file: expected a file that can be evaluated within its bounds" ; "evaluation aborted")]
#[test_case(
    OperatorFileError::EvaluationFailed { message: "a:1: no such field".to_string() },
    "a:1: no such field" ; "evaluation failed")]
#[test_case(
    OperatorFileError::ResultNotText { path: path(), source: String::from_utf8(vec![0xff]).unwrap_err() },
    "operator.json: the file: expected text" ; "result not text")]
#[test_case(
    OperatorFileError::Invalid { faults: faults(2) },
    "operator.json:1: field log: expected text or json\noperator.json:2: field log: expected text or json"
    ; "two faults")]
fn an_unusable_file_is_reported_in_the_form_of_a_fault(error: OperatorFileError, expected: &str) {
    assert_eq!(error.to_string(), expected);
}
