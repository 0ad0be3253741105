//! Tests of the module `http_client`.
use super::*;
use test_case::test_case;

#[test_case(ErrorKind::ConnectionReset, RequestError::Broken ; "a reset that the network may cause")]
#[test_case(ErrorKind::ConnectionRefused, RequestError::Unreachable ; "no listener")]
#[test_case(ErrorKind::TimedOut, RequestError::Unreachable ; "no answer")]
fn a_failed_connect_is_classified(kind: ErrorKind, expected: RequestError) {
    assert_eq!(connect_error(kind), expected);
}

/// These texts appear in the log.
#[test_case(RequestError::Unreachable, "unreachable")]
#[test_case(RequestError::Broken, "broken")]
#[test_case(RequestError::Unreadable, "unreadable")]
fn a_failed_request_is_named_in_the_log(error: RequestError, expected: &str) {
    assert_eq!(error.to_string(), expected);
}
