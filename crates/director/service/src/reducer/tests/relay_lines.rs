//! Calls that are in flight or queued while updates of the relay arrive.

use super::{lines, reducer_with_slice_and_queued_call, sent_calls, unlimited, UPDATES_LINK};
use crate::reducer::{Effect, Event, LinkId};
use coppersail::interface::{Input, SliceId};
use test_case::test_case;

#[test]
fn slice_reassigned_in_flight_reports_the_written_weight() {
    let (mut reducer, host) = reducer_with_slice_and_queued_call();
    reducer.calls.poll(0.2, unlimited, &mut reducer.outbox);
    let calls_link = LinkId(reducer.outbox.last_link);
    reducer.calls.connected(0.2, calls_link);
    reducer.calls.poll(0.2, unlimited, &mut reducer.outbox);
    reducer.reduce(0.21, Event::RelayLines(UPDATES_LINK, lines(&["* lease 0 0", "* lease 0 1"])));
    reducer.outbox.inputs.clear();
    reducer.reduce(0.22, Event::RelayLines(calls_link, lines(&["OK 2"])));
    assert_eq!(reducer.outbox.inputs, [Input::StoredWeight { slice: SliceId(0), host, weight: 1.0 }]);
}

#[test]
fn revoked_slice_discards_its_queued_orders() {
    let (mut reducer, _) = reducer_with_slice_and_queued_call();
    reducer.reduce(0.2, Event::RelayLines(UPDATES_LINK, lines(&["* lease 0 0"])));
    reducer.reduce(0.2, Event::EndOfBatch);
    reducer.reduce(0.2, Event::RelayConnected(LinkId(reducer.outbox.last_link)));
    reducer.outbox.effects = reducer.reduce(0.2, Event::EndOfBatch);
    assert_eq!(sent_calls(&reducer.outbox), ["txn OUT,h9"]);
}

#[test_case(false, 1 ; "with an update stream")]
#[test_case(true, 0 ; "without an update stream")]
fn lost_update_stream_delays_calls(lost: bool, dialled: usize) {
    let (mut reducer, _) = reducer_with_slice_and_queued_call();
    if lost {
        reducer.reduce(0.2, Event::RelayDisconnected(UPDATES_LINK, "broken".to_string()));
    }
    let effects = reducer.reduce(0.2, Event::EndOfBatch);
    let dials = effects.iter().filter(|effect| matches!(effect, Effect::ConnectRelay(..)));
    assert_eq!(dials.count(), dialled);
}
