//! Each invariant of orders and leases, on histories that violate it and on the nearest that do not.

use coppersail_simulator::invariants::{first_overlap, rule, FencingTokens, OrderHistory};

/// Valid orders with these numbers; their bodies are `content 0`, `content 1` and so on.
fn history_of(numbers: &[u64]) -> OrderHistory {
    let mut history = OrderHistory::default();
    for (index, number) in numbers.iter().enumerate() {
        history.add(0, *number, format!("content {index}"), true);
    }
    history
}

#[test]
fn a_stale_read_is_a_violation() {
    let mut history = history_of(&[3, 5, 9]);
    history.record_answer(10, 0, 200).unwrap();
    let min_number = history.min_number();
    assert_eq!(
        history.record_read(min_number, 11, 200, "content 1").unwrap(),
        Some(5),
        "sent, perhaps in force"
    );
    assert_eq!(
        history.record_read(min_number, 12, 200, "content 0").unwrap(),
        Some(3),
        "begun before that read's end"
    );
    assert_eq!(history.record_read(history.min_number(), 13, 200, "content 0").unwrap_err().rule, rule::READ);
    assert_eq!(history.record_read(history.min_number(), 13, 404, "").unwrap_err().rule, rule::READ);
    assert_eq!(history.record_read(history.min_number(), 13, 503, "").unwrap(), None);
}

#[test]
fn a_content_that_was_never_submitted_is_a_violation() {
    let mut history = history_of(&[3]);
    assert_eq!(history.record_read(0, 1, 200, "content 8").unwrap_err().rule, rule::UNKNOWN_CONTENT);
    assert_eq!(history.check_edge_config("content 0", 4).unwrap_err().rule, rule::UNKNOWN_CONTENT);
}

#[test]
fn two_acknowledged_contents_of_one_number_are_a_violation_unless_a_higher_one_may_be_in_force() {
    let mut history = history_of(&[5, 5]);
    history.record_answer(1, 0, 200).unwrap();
    assert_eq!(history.record_answer(2, 1, 200).unwrap_err().rule, rule::TWO_CONTENTS);

    let mut history = history_of(&[5, 5, 9]);
    history.record_answer(1, 2, 200).unwrap();
    history.record_answer(2, 0, 200).unwrap();
    history.record_answer(3, 1, 200).unwrap();

    let mut history = history_of(&[5, 5]);
    history.record_answer(1, 0, 200).unwrap();
    let higher = history.add(2, 9, "content 2".into(), true);
    history.record_answer(3, higher, 200).unwrap();
    assert_eq!(history.record_answer(4, 1, 200).unwrap_err().rule, rule::TWO_CONTENTS, "r5 has been held");
}

#[test]
fn an_edge_with_the_rejected_content_of_a_number_is_a_violation() {
    let mut history = history_of(&[5, 5]);
    assert_eq!(history.check_edge_config("content 1", 5).unwrap(), 1);
    history.record_answer(1, 0, 200).unwrap();
    assert_eq!(history.check_edge_config("content 1", 5).unwrap_err().rule, rule::TWO_CONTENTS);
}

#[test]
fn a_rejected_order_that_was_in_force_is_a_violation_and_so_is_the_reverse() {
    let mut history = history_of(&[5, 5]);
    history.record_answer(1, 0, 200).unwrap();
    history.record_answer(2, 0, 503).unwrap();
    assert_eq!(history.record_answer(3, 0, 409).unwrap_err().rule, rule::RESEND_REJECTED);
    history.record_answer(4, 1, 409).unwrap();

    let mut history = history_of(&[5, 5]);
    history.record_answer(1, 0, 409).unwrap();
    assert_eq!(history.record_read(0, 2, 200, "content 0").unwrap_err().rule, rule::REJECTED_IN_FORCE);
    assert_eq!(history.check_edge_config("content 0", 5).unwrap_err().rule, rule::REJECTED_IN_FORCE);
}

#[test]
fn a_rejection_of_a_valid_order_without_conflict_is_a_violation() {
    let mut history = history_of(&[5]);
    assert_eq!(history.record_answer(1, 0, 409).unwrap_err().rule, rule::REJECTED_WITHOUT_CAUSE);
    let mut history = history_of(&[5, 5]);
    assert_eq!(history.record_answer(1, 0, 400).unwrap_err().rule, rule::REJECTED_WITHOUT_CAUSE);
}

#[test]
fn an_invalid_order_that_is_acknowledged_or_in_force_is_a_violation() {
    let mut history = OrderHistory::default();
    history.add(0, 5, "bad".into(), false);
    history.record_answer(1, 0, 400).unwrap();
    assert_eq!(history.record_answer(2, 0, 200).unwrap_err().rule, rule::INVALID_ACKNOWLEDGED);
    assert_eq!(history.record_read(0, 2, 200, "bad").unwrap_err().rule, rule::REJECTED_IN_FORCE);
    assert_eq!(history.check_edge_config("bad", 5).unwrap_err().rule, rule::REJECTED_IN_FORCE);
}

#[test]
fn fencing_tokens_that_fall_or_go_to_two_endpoints_are_a_violation() {
    let lease = |first, last, token| vec![(first, last, token, String::new())];
    let mut tokens = FencingTokens::default();
    tokens.record_grant("s", "i-1", &lease(0, 4095, 7)).unwrap();
    tokens.record_grant("s", "i-1", &lease(0, 4095, 7)).unwrap();
    tokens.record_grant("s", "i-2", &lease(4096, 8191, 7)).unwrap();
    tokens.record_grant("t", "i-3", &lease(0, 4095, 1)).unwrap();
    assert_eq!(tokens.record_grant("s", "i-2", &lease(4000, 4095, 7)).unwrap_err().rule, rule::FENCING);
    assert_eq!(tokens.record_grant("s", "i-1", &lease(8176, 8191, 6)).unwrap_err().rule, rule::FENCING);
}

#[test]
fn overlapping_leases_are_found() {
    assert_eq!(first_overlap(&[(0, 9, 1)], &[(10, 19, 2)]), None);
    assert_eq!(first_overlap(&[(0, 9, 1), (20, 29, 1)], &[(29, 40, 2)]), Some(29));
}
