//! Calls to the relay whose answers are lost, unreadable or rejections.

use crate::stand_ins::RelayReply;
use crate::testbed::Testbed;
use test_case::test_case;

#[test_case(RelayReply::Silence { carried_out: true }, true ; "carried out but unanswered")]
#[test_case(RelayReply::Silence { carried_out: false }, true ; "not carried out")]
#[test_case(RelayReply::Unreadable { carried_out: true }, true ; "answered unreadably, carried out")]
#[test_case(RelayReply::Unreadable { carried_out: false }, true ; "answered unreadably, not carried out")]
#[test_case(RelayReply::Disconnect { carried_out: true }, true ; "broken off, carried out")]
#[test_case(RelayReply::Disconnect { carried_out: false }, true ; "broken off, not carried out")]
#[test_case(RelayReply::Throttling, false ; "throttled")]
fn a_call_of_unknown_outcome_is_repeated_before_any_later_one(reply: RelayReply, repeated: bool) {
    let testbed = Testbed::with_tables();
    let before = testbed.relay.update(|relay| {
        relay.replies.extend([reply, reply]);
        relay.calls.len()
    });
    testbed.update_host(2, "s-3", "terminating");
    testbed.update_host(3, "s-2", "terminating");
    let calls = testbed.relay.wait_for("both are withdrawn, and three calls", |relay| {
        (relay.withdrawn.len() == 2 && relay.calls.len() >= before + 3)
            .then(|| relay.calls[before..].to_vec())
    });
    assert!(
        calls[..3].iter().all(|call| call.orders == calls[0].orders),
        "the first call is repeated until its outcome is known: {calls:?}"
    );
    assert_eq!(
        calls[1].connection != calls[0].connection,
        repeated,
        "a call of unknown outcome is repeated on a new connection, where no late answer can arrive"
    );
    assert_eq!(testbed.director.counter("calls_repeated"), 2 * repeated as u64);
    assert_eq!(testbed.director.counter("calls_throttled"), 2 * !repeated as u64);
    testbed.director.wait_for_counter("calls_answered", 1);
}

#[test]
fn a_rejected_order_is_dropped_and_the_rest_sent() {
    let testbed = Testbed::with_tables();
    let before = testbed.relay.update(|relay| {
        relay.replies.extend([RelayReply::RefuseOrder(0); 2]);
        relay.calls.len()
    });
    testbed.update_host(2, "s-1", "terminating");
    let calls = testbed.relay.wait_for("the rest", |relay| {
        (relay.calls.len() >= before + 3).then(|| relay.calls[before..].to_vec())
    });
    assert!(
        calls[0].orders.len() > 1
            && calls[1].orders == calls[0].orders
            && calls[2].orders[..] == calls[0].orders[1..],
        "{calls:?}"
    );
    testbed.director.wait_for_counter("orders_refused", 1);
    testbed.director.wait_for_log("order refused: OUT,s-1");
    assert!(testbed.relay.update(|relay| relay.withdrawn.is_empty()), "the rejected order is not sent again");
}

#[test]
fn an_idle_connection_closed_by_the_relay_causes_no_repeated_call() {
    let testbed = Testbed::with_tables();
    testbed.relay.update(|relay| relay.replies.push_back(RelayReply::OkThenDisconnect));
    testbed.update_host(2, "s-3", "terminating");
    testbed.relay.wait_until("s-3 is withdrawn", |relay| relay.withdrawn.contains("s-3"));
    testbed.update_host(3, "s-2", "terminating");
    testbed.relay.wait_until("s-2 is withdrawn", |relay| relay.withdrawn.contains("s-2"));
    assert_eq!(testbed.director.counter("calls_repeated"), 0);
}
