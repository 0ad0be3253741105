//! Tests of the module `logger`.
use super::*;

#[test]
fn a_flood_of_warnings_is_limited_and_counted() {
    let mut budget = WarningBudget { second: 0, written: 0, suppressed: 0 };
    let written = (0..MAX_WARNINGS_PER_SECOND + 7).filter(|_| budget.take(3).is_some()).count();
    assert_eq!((written as u32, budget.take(4)), (MAX_WARNINGS_PER_SECOND, Some(7)));
}

#[test]
fn a_line_is_text_or_json() {
    assert_eq!(format_line(false, 1.5, "WARN", Some(7), "a\nb"), "1.500 WARN a b");
    assert_eq!(
        format_line(true, 1.5, "INFO", Some(7), "a\"b"),
        r#"{"at":1.500,"level":"INFO","change":7,"text":"a\"b"}"#
    );
}
