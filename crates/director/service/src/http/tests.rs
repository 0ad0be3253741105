//! Tests of the module `http`.
use super::*;
use test_case::test_case;

#[test_case(ErrorKind::ConnectionReset, Failed::Broken ; "a reset may be the network's")]
#[test_case(ErrorKind::ConnectionRefused, Failed::Unreachable ; "nobody listens")]
#[test_case(ErrorKind::TimedOut, Failed::Unreachable ; "nobody answers")]
fn dials_that_fail(kind: ErrorKind, failed: Failed) {
    assert_eq!(undialled(kind), failed);
}
