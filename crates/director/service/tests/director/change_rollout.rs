//! The application of a change to the relay's tables while calls fail.

use crate::fixtures::OPERATOR_FILE;
use crate::stand_ins::RelayReply;
use crate::testbed::Testbed;
use test_case::test_case;

#[test_case(&[] ; "in calls without faults")]
#[test_case(&[RelayReply::Silence { carried_out: true }, RelayReply::Unreadable { carried_out: false }] ; "in calls of unknown outcome")]
#[test_case(&[RelayReply::Throttling, RelayReply::Disconnect { carried_out: true }] ; "in calls that are throttled and broken off")]
fn no_table_is_ever_partly_changed(replies: &[RelayReply]) {
    let testbed = Testbed::with_operator_file_and_tables(4000, OPERATOR_FILE);
    let before = testbed.relay.update(|relay| {
        relay.replies.extend(replies);
        relay.line_counts = None;
        relay.calls.len()
    });
    let number = testbed.submit_change(0, 0.0, r#"{"hosts.s-2.drained":true}"#).unwrap();
    testbed.wait_for_stage(number, "kept");
    testbed
        .relay
        .wait_until("s-2 is in no table", |relay| !relay.any_table_names("s-2") && relay.all_tables_have(2));
    testbed.relay.update(|relay| {
        assert!(relay.calls.len() > before + 1, "the change must need more than one call");
        assert_eq!(relay.line_counts, Some((2, 2)), "every table has two lines after every call");
    });
}

#[test]
fn a_call_accepted_in_part_leaves_no_table_without_lines_and_is_completed() {
    let testbed = Testbed::with_operator_file_and_tables(60, OPERATOR_FILE);
    testbed.relay.update(|relay| {
        relay.replies.extend([
            RelayReply::RefuseOrder(7),
            RelayReply::RefuseOrder(2),
            RelayReply::RefuseOrder(1),
        ]);
        relay.line_counts = None;
    });
    let number = testbed.submit_change(0, 0.0, r#"{"hosts.s-2.drained":true}"#).unwrap();
    testbed.wait_for_stage(number, "kept");
    testbed.relay.update(|relay| {
        assert!(!relay.any_table_names("s-2") && relay.all_tables_have(2));
        // New lines are set before old ones are removed, so a table whose orders are accepted in part has more lines,
        // not fewer.
        assert!(relay.line_counts.is_some_and(|(least, _)| least == 2), "{:?}", relay.line_counts);
    });
}
