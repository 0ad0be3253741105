//! Each rule that the ledger checks, on histories made up to break it and on the nearest that don't.
use coppersail_simulator::checks::{apart, rule, Fences, Ledger};

fn orders(numbers: &[u64]) -> Ledger {
    let mut ledger = Ledger::default();
    for (n, number) in numbers.iter().enumerate() {
        ledger.order(0, *number, format!("content {n}"), true);
    }
    ledger
}

#[test]
fn a_read_below_what_was_acknowledged_or_read_before_it_breaks() {
    let mut ledger = orders(&[3, 5, 9]);
    ledger.answered(10, 0, 200).unwrap();
    let before = ledger.floor();
    assert_eq!(ledger.read(before, 11, 200, "content 1").unwrap(), Some(5), "sent, perhaps in force");
    assert_eq!(ledger.read(before, 12, 200, "content 0").unwrap(), Some(3), "begun before that read's end");
    assert_eq!(ledger.read(ledger.floor(), 13, 200, "content 0").unwrap_err().0, rule::READ);
    assert_eq!(ledger.read(ledger.floor(), 13, 404, "").unwrap_err().0, rule::READ);
    assert_eq!(ledger.read(ledger.floor(), 13, 503, "").unwrap(), None);
}

#[test]
fn a_content_that_nobody_sent_breaks() {
    let mut ledger = orders(&[3]);
    assert_eq!(ledger.read(0, 1, 200, "content 8").unwrap_err().0, rule::SENT);
    assert_eq!(ledger.told("content 0", 4).unwrap_err().0, rule::SENT);
}

#[test]
fn two_contents_are_acknowledged_under_one_number_only_below_what_is_held() {
    let mut ledger = orders(&[5, 5]);
    ledger.answered(1, 0, 200).unwrap();
    assert_eq!(ledger.answered(2, 1, 200).unwrap_err().0, rule::ONE);

    let mut ledger = orders(&[5, 5, 9]);
    ledger.answered(1, 2, 200).unwrap();
    ledger.answered(2, 0, 200).unwrap();
    ledger.answered(3, 1, 200).unwrap();

    let mut ledger = orders(&[5, 5]);
    ledger.answered(1, 0, 200).unwrap();
    let higher = ledger.order(2, 9, "content 2".into(), true);
    ledger.answered(3, higher, 200).unwrap();
    assert_eq!(ledger.answered(4, 1, 200).unwrap_err().0, rule::ONE, "r5 has been held");
}

#[test]
fn an_edge_with_the_other_content_of_a_number_breaks() {
    let mut ledger = orders(&[5, 5]);
    assert_eq!(ledger.told("content 1", 5).unwrap(), 1);
    ledger.answered(1, 0, 200).unwrap();
    assert_eq!(ledger.told("content 1", 5).unwrap_err().0, rule::ONE);
}

#[test]
fn an_order_in_force_that_is_refused_breaks_and_one_refused_that_is_in_force() {
    let mut ledger = orders(&[5, 5]);
    ledger.answered(1, 0, 200).unwrap();
    ledger.answered(2, 0, 503).unwrap();
    assert_eq!(ledger.answered(3, 0, 409).unwrap_err().0, rule::AGAIN);
    ledger.answered(4, 1, 409).unwrap();

    let mut ledger = orders(&[5, 5]);
    ledger.answered(1, 0, 409).unwrap();
    assert_eq!(ledger.read(0, 2, 200, "content 0").unwrap_err().0, rule::REFUSED);
    assert_eq!(ledger.told("content 0", 5).unwrap_err().0, rule::REFUSED);
}

#[test]
fn a_proper_order_that_is_refused_breaks() {
    let mut ledger = orders(&[5]);
    assert_eq!(ledger.answered(1, 0, 409).unwrap_err().0, rule::CAUSE);
    let mut ledger = orders(&[5, 5]);
    assert_eq!(ledger.answered(1, 0, 400).unwrap_err().0, rule::CAUSE);
}

#[test]
fn an_invalid_order_that_is_acknowledged_or_in_force_breaks() {
    let mut ledger = Ledger::default();
    ledger.order(0, 5, "bad".into(), false);
    ledger.answered(1, 0, 400).unwrap();
    assert_eq!(ledger.answered(2, 0, 200).unwrap_err().0, rule::INVALID);
    assert_eq!(ledger.read(0, 2, 200, "bad").unwrap_err().0, rule::REFUSED);
    assert_eq!(ledger.told("bad", 5).unwrap_err().0, rule::REFUSED);
}

#[test]
fn fences_that_fall_or_go_to_two_hosts_break() {
    let row = |from, to, fence| vec![(from, to, fence, String::new())];
    let mut fences = Fences::default();
    fences.granted("s", "i-1", &row(0, 4095, 7)).unwrap();
    fences.granted("s", "i-1", &row(0, 4095, 7)).unwrap();
    fences.granted("s", "i-2", &row(4096, 8191, 7)).unwrap();
    fences.granted("t", "i-3", &row(0, 4095, 1)).unwrap();
    assert_eq!(fences.granted("s", "i-2", &row(4000, 4095, 7)).unwrap_err().0, rule::FENCE);
    assert_eq!(fences.granted("s", "i-1", &row(8176, 8191, 6)).unwrap_err().0, rule::FENCE);
}

#[test]
fn rows_that_meet_are_found() {
    assert_eq!(apart(&[(0, 9, 1)], &[(10, 19, 2)]), None);
    assert_eq!(apart(&[(0, 9, 1), (20, 29, 1)], &[(29, 40, 2)]), Some(29));
}
