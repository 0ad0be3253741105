//! How a change gets into the relay's tables while calls fail.

use crate::fixtures::OPERATOR_FILE;
use crate::stand_ins::RelayReply;
use crate::testbed::Testbed;
use test_case::test_case;

#[test_case(&[] ; "in calls that go well")]
#[test_case(&[RelayReply::Silence { carried_out: true }, RelayReply::Unreadable { carried_out: false }] ; "in calls whose results are unknown")]
#[test_case(&[RelayReply::Throttling, RelayReply::Disconnect { carried_out: true }] ; "in calls that are turned away and broken")]
fn no_table_is_ever_half_of_a_change(replies: &[RelayReply]) {
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
        assert!(relay.calls.len() > before + 1, "more than one call, lest nothing is shown");
        assert_eq!(relay.line_counts, Some((2, 2)), "an old line with a new one, or one alone");
    });
}

#[test]
fn a_call_cut_short_in_the_middle_of_a_table_leaves_no_slice_without_lines_and_is_completed() {
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
        // New lines come before the old ones go: a table that is cut in two by the relay has more, never fewer.
        assert!(relay.line_counts.is_some_and(|(least, _)| least == 2), "{:?}", relay.line_counts);
    });
}
