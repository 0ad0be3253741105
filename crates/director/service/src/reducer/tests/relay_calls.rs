//! The queue of calls with a relay that answers late, incorrectly or not at all.

use super::{new_relay_address, queue_with, relay_address, sent_calls, unlimited, weight_order};
use crate::reducer::outbox::Outbox;
use crate::reducer::relay_calls::{RelayCalls, RelayOrder, WriteRequest};
use crate::reducer::{Effect, LinkId};
use coppersail::interface::SliceId;
use test_case::test_case;

#[test]
fn unanswered_call_delays_the_next_one() {
    let (mut calls, mut outbox) = queue_with(&[&[weight_order(1, 1, 1.0)], &[weight_order(2, 2, 0.5)]]);
    assert_eq!(sent_calls(&outbox), ["txn SET,1,h1,1"]);
    calls.poll(0.01, unlimited, &mut outbox);
    assert_eq!(sent_calls(&outbox).len(), 1, "the first is not answered yet");
    let in_force = calls.answer(0.02, LinkId(1), b"OK 1", &mut outbox);
    assert_eq!(in_force, [weight_order(1, 1, 1.0)]);
    calls.poll(0.02, unlimited, &mut outbox);
    assert_eq!(sent_calls(&outbox)[1..], ["txn SET,2,h2,0.5"]);
}

#[test_case(&[b"OK 2"], 2, 0, 0 ; "all accepted")]
#[test_case(&[b"OK 1", b"OK 0"], 1, 1, 0 ; "the second rejected")]
#[test_case(&[b"OK 0", b"OK 0"], 0, 1, 0 ; "the first rejected")]
#[test_case(&[b"OK 0", b"OK 2"], 2, 0, 0 ; "a corrupt answer that rejects the first")]
#[test_case(&[b"OK 1", b"OK 1"], 2, 0, 0 ; "a corrupt answer that rejects the second")]
#[test_case(&[b"OK 3"], 0, 0, 1 ; "more than the call has is unreadable")]
#[test_case(&[b"OK -1"], 0, 0, 1 ; "a negative number is unreadable")]
#[test_case(&[b"ValidationError"], 0, 0, 1 ; "invalid once may be a corrupt answer")]
fn rejected_order_or_corrupt_answer_loses_no_valid_order(
    answers: &[&[u8]],
    accepted: u64,
    rejected: u64,
    retries: u64,
) {
    let (mut calls, mut outbox) = queue_with(&[&[weight_order(1, 1, 1.0), weight_order(1, 2, 0.5)]]);
    calls.enqueue(vec![weight_order(2, 1, 1.0)]);
    let mut in_force = 0;
    for answer in answers {
        assert!(
            !sent_calls(&outbox).concat().contains("SET,2"),
            "no later call is sent before it is acknowledged"
        );
        in_force += calls.answer(0.01, LinkId(1), answer, &mut outbox).len() as u64;
        calls.poll(0.01, unlimited, &mut outbox);
    }
    let counts = &outbox.counters;
    assert_eq!((in_force, counts.orders_taken, counts.orders_refused), (accepted, accepted, rejected));
    assert_eq!(counts.calls_repeated, retries);
}

#[test]
fn call_that_is_invalid_twice_is_dropped() {
    let (mut calls, mut outbox) = queue_with(&[&[weight_order(1, 1, 1.0)], &[weight_order(2, 1, 1.0)]]);
    calls.answer(0.01, LinkId(1), b"ValidationError", &mut outbox);
    calls.poll(0.01, unlimited, &mut outbox);
    calls.connected(0.01, LinkId(2));
    calls.poll(0.01, unlimited, &mut outbox);
    calls.answer(0.02, LinkId(2), b"ValidationError", &mut outbox);
    calls.poll(0.02, unlimited, &mut outbox);
    assert_eq!(sent_calls(&outbox), ["txn SET,1,h1,1", "txn SET,1,h1,1", "txn SET,2,h1,1"]);
}

#[test]
fn call_over_the_size_limit_is_split() {
    let text = "x".repeat(25_000);
    let long: Vec<RelayOrder> =
        (0..5).map(|k| RelayOrder { text: text.clone(), ..weight_order(1, k, 1.0) }).collect();
    let (_, outbox) = queue_with(&[&long]);
    assert_eq!((sent_calls(&outbox)[0].len(), outbox.counters.calls_sent), (4 + 2 * 25_000 + 1, 1));
}

#[test]
fn retry_without_channel_capacity_waits() {
    let (mut calls, mut outbox) = queue_with(&[&[weight_order(1, 1, 1.0)]]);
    calls.connection_down(0.001, LinkId(1), "broken", &mut outbox);
    let no_retries = |request: WriteRequest| if request.is_retry { 0 } else { 9 };
    calls.poll(0.001, no_retries, &mut outbox);
    assert_eq!(sent_calls(&outbox).len(), 1);
    let at = calls.next_timeout();
    calls.poll(at, unlimited, &mut outbox);
    calls.connected(at, LinkId(2));
    calls.poll(at, unlimited, &mut outbox);
    assert_eq!(sent_calls(&outbox), ["txn SET,1,h1,1", "txn SET,1,h1,1"]);
}

/// A call may have been decided for fewer proxies than have joined since. It is then sent in parts, if possible split
/// between tables.
#[test_case(1, &["txn SET,1,h1,1", "txn SET,1,h2,0;SET,2,h1,1;SET,2,h2,0"] ; "within a table that is longer than the part")]
#[test_case(2, &["txn SET,1,h1,1;SET,1,h2,0", "txn SET,2,h1,1;SET,2,h2,0"] ; "between tables")]
#[test_case(3, &["txn SET,1,h1,1;SET,1,h2,0", "txn SET,2,h1,1;SET,2,h2,0"] ; "before the table that does not fit whole")]
fn call_over_the_channel_capacity_is_split_between_tables(capacity: usize, expected: &[&str]) {
    let mut calls = RelayCalls::new(relay_address());
    let mut outbox = Outbox::default();
    calls.enqueue(vec![
        weight_order(1, 1, 1.0),
        weight_order(1, 2, 0.0),
        weight_order(2, 1, 1.0),
        weight_order(2, 2, 0.0),
    ]);
    calls.connected(0.0, LinkId(1));
    calls.poll(0.0, |_| capacity, &mut outbox);
    let answer = format!("OK {}", expected[0].matches("SET").count());
    calls.answer(0.01, LinkId(1), answer.as_bytes(), &mut outbox);
    calls.poll(0.01, unlimited, &mut outbox);
    assert_eq!(sent_calls(&outbox), expected);
}

#[test]
fn unreachable_relay_merges_the_queue() {
    let mut calls = RelayCalls::new(relay_address());
    let mut outbox = Outbox::default();
    for call in 0..40 {
        calls.enqueue(vec![weight_order(1, 1, f64::from(call)), weight_order(2, call % 2, 1.0)]);
    }
    calls.poll(0.0, unlimited, &mut outbox);
    calls.connected(0.0, LinkId(1));
    calls.poll(0.0, unlimited, &mut outbox);
    assert_eq!(
        sent_calls(&outbox),
        ["txn SET,2,h0,1;SET,2,h1,1;SET,1,h1,39"],
        "the last order of each target, grouped by slice"
    );
    assert_eq!(outbox.counters.calls_merged, 1);
}

#[test]
fn lost_connection_never_merges_the_unacknowledged_call() {
    let (mut calls, mut outbox) = queue_with(&[&[weight_order(1, 1, 1.0)]]);
    for call in 0..40 {
        calls.enqueue(vec![weight_order(1, 1, f64::from(call))]);
    }
    calls.connection_down(0.01, LinkId(1), "broken", &mut outbox);
    calls.poll(0.02, unlimited, &mut outbox);
    calls.connected(0.02, LinkId(2));
    calls.poll(0.02, unlimited, &mut outbox);
    assert_eq!(sent_calls(&outbox)[1..], ["txn SET,1,h1,1"], "the call is repeated without later orders");
    calls.answer(0.03, LinkId(2), b"OK 1", &mut outbox);
    calls.poll(0.03, unlimited, &mut outbox);
    assert_eq!(sent_calls(&outbox)[2..], ["txn SET,1,h1,39"]);
}

#[test_case(true, &["txn SET,1,h1,1", "txn SET,2,h2,1;SET,2,h3,1"] ; "a queued call")]
#[test_case(false, &["txn SET,1,h1,1", "txn SET,2,h2,1;SET,2,h3,1"] ; "a call that is to be repeated")]
fn lost_slice_discards_its_queued_orders(acknowledged: bool, expected: &[&str]) {
    let (mut calls, mut outbox) = queue_with(&[
        &[weight_order(1, 1, 1.0)],
        &[weight_order(2, 2, 1.0), weight_order(1, 2, 1.0), weight_order(2, 3, 1.0)],
    ]);
    if acknowledged {
        calls.answer(0.01, LinkId(1), b"OK 1", &mut outbox);
    } else {
        calls.connection_down(0.01, LinkId(1), "broken", &mut outbox);
    }
    calls.discard_slice(SliceId(1));
    calls.poll(0.02, unlimited, &mut outbox);
    calls.connected(0.02, LinkId(2));
    calls.poll(0.02, unlimited, &mut outbox);
    assert_eq!(sent_calls(&outbox), expected);
}

#[test]
fn unknown_relay_state_delays_calls() {
    let (mut calls, mut outbox) = queue_with(&[&[weight_order(1, 1, 1.0)], &[weight_order(2, 1, 1.0)]]);
    calls.set_relay_state_known(0.01, false);
    calls.connection_down(0.1, LinkId(1), "broken", &mut outbox);
    calls.poll(1.5, unlimited, &mut outbox);
    assert_eq!(
        (sent_calls(&outbox).len(), calls.next_timeout()),
        (1, 1.6),
        "the wait starts again after a lost call"
    );
    calls.set_relay_state_known(1.55, true);
    calls.poll(1.55, unlimited, &mut outbox);
    assert_eq!(outbox.effects.last(), Some(&Effect::ConnectRelay(LinkId(2), relay_address())));
}

#[test_case(b"OK 1", &["txn SET,1,h1,1", "txn SET,2,h1,1"] ; "answered")]
#[test_case(b"O?", &["txn SET,1,h1,1", "txn SET,1,h1,1"] ; "with an unreadable answer")]
fn relay_move_finishes_the_call_in_flight_first(answer: &[u8], expected: &[&str]) {
    let (mut calls, mut outbox) = queue_with(&[&[weight_order(1, 1, 1.0)], &[weight_order(2, 1, 1.0)]]);
    calls.set_address(new_relay_address(), &mut outbox);
    assert_eq!(
        outbox.effects.last(),
        Some(&Effect::ConnectRelay(LinkId(2), new_relay_address())),
        "while the old one is in use"
    );
    calls.connected(0.01, LinkId(2));
    calls.poll(0.01, unlimited, &mut outbox);
    assert!(!outbox.effects.contains(&Effect::CloseRelay(LinkId(1))), "its answer is outstanding");
    calls.answer(0.02, LinkId(1), answer, &mut outbox);
    calls.poll(0.02, unlimited, &mut outbox);
    assert!(outbox.effects.contains(&Effect::CloseRelay(LinkId(1))));
    assert_eq!(sent_calls(&outbox), expected);
    assert!(matches!(outbox.effects.last(), Some(Effect::SendToRelay(LinkId(2), _))));
}

#[test]
fn unreachable_new_relay_leaves_the_old_one_in_use() {
    let (mut calls, mut outbox) = queue_with(&[&[weight_order(1, 1, 1.0)], &[weight_order(2, 1, 1.0)]]);
    calls.answer(0.01, LinkId(1), b"OK 1", &mut outbox);
    calls.set_address(new_relay_address(), &mut outbox);
    calls.connection_down(0.02, LinkId(2), "refused", &mut outbox);
    calls.poll(0.02, unlimited, &mut outbox);
    assert!(
        matches!(outbox.effects.last(), Some(Effect::SendToRelay(LinkId(1), _))),
        "the new address does not answer"
    );
    calls.poll(0.2, unlimited, &mut outbox);
    let redial = Effect::ConnectRelay(LinkId(3), new_relay_address());
    let redials = outbox.effects.iter().filter(|effect| **effect == redial);
    assert_eq!(redials.count(), 1, "it is connected to again");
}
