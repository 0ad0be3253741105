//! Update streams that break, repeat updates or move to another address.

use super::{new_relay_address, relay_address};
use crate::reducer::outbox::Outbox;
use crate::reducer::relay_subscription::{RelaySubscription, RelayUpdate};
use crate::reducer::{Effect, LinkId};
use coppersail::interface::{HostId, Input, ProxyId, RelayCallEvent, SliceId, ZoneId};
use test_case::test_case;

fn proxy_joined(proxy: u16) -> RelayUpdate {
    RelayUpdate::ProxyJoined {
        proxy: ProxyId(proxy),
        zone: ZoneId(0),
        requests_per_s: 1.0,
        without_tables: false,
    }
}

fn weight_stored(slice: u16, host: u32, weight: f64) -> RelayUpdate {
    RelayUpdate::WeightStored { slice: SliceId(slice), host: HostId(host), weight }
}

/// Applies updates of a stream, which is opened if it is not there yet, and returns the inputs for the decisions.
fn apply_updates(
    subscription: &mut RelaySubscription,
    now: f64,
    link: u64,
    updates: &[RelayUpdate],
) -> Vec<Input> {
    let mut outbox = Outbox { last_link: link - 1, ..Outbox::default() };
    if !subscription.owns(LinkId(link)) {
        subscription.poll(now, &mut outbox);
        subscription.connected(now, LinkId(link), &mut outbox);
    }
    for update in updates {
        subscription.apply(now, LinkId(link), update.clone(), &mut outbox);
    }
    outbox.inputs
}

/// Breaks a stream and returns the inputs for the decisions.
fn break_stream(subscription: &mut RelaySubscription, now: f64, link: u64) -> Vec<Input> {
    let mut outbox = Outbox::default();
    subscription.connection_down(now, LinkId(link), "broken", &mut outbox);
    outbox.inputs
}

fn slice_assigned(slice: u16) -> RelayUpdate {
    RelayUpdate::SliceAssigned(SliceId(slice))
}

/// A snapshot with a proxy and a slice.
fn snapshot() -> [RelayUpdate; 4] {
    [proxy_joined(1), slice_assigned(1), weight_stored(1, 1, 1.0), RelayUpdate::KeepAlive]
}

/// A snapshot with a slice and no proxy.
fn slice_snapshot() -> [RelayUpdate; 3] {
    [slice_assigned(1), weight_stored(1, 1, 1.0), RelayUpdate::KeepAlive]
}

#[test]
fn reconnect_reports_departed_proxies_and_tables_changed_by_others() {
    let mut subscription = RelaySubscription::new(relay_address());
    let first_snapshot = [
        proxy_joined(1),
        proxy_joined(2),
        slice_assigned(1),
        weight_stored(1, 1, 1.0),
        slice_assigned(2),
        weight_stored(2, 1, 1.0),
        RelayUpdate::KeepAlive,
    ];
    apply_updates(&mut subscription, 0.0, 1, &first_snapshot);
    subscription.weight_written(SliceId(1), HostId(2), 0.5);
    break_stream(&mut subscription, 5.0, 1);
    let second_snapshot = [
        proxy_joined(1),
        slice_assigned(1),
        weight_stored(1, 1, 1.0),
        weight_stored(1, 2, 0.5),
        slice_assigned(2),
        weight_stored(2, 7, 1.0),
        RelayUpdate::KeepAlive,
    ];
    let inputs = apply_updates(&mut subscription, 6.0, 2, &second_snapshot);
    let rest = [
        Input::ProxyLeft(ProxyId(2)),
        Input::SliceAssigned(SliceId(2)),
        Input::StoredWeight { slice: SliceId(2), host: HostId(7), weight: 1.0 },
    ];
    assert!(
        matches!(inputs[0], Input::ProxyJoined { proxy: ProxyId(1), .. }),
        "it may have missed an update"
    );
    assert_eq!(inputs[1..], rest, "slice 1 is unchanged since this director wrote it");
}

#[test]
fn broken_primary_stream_is_replaced_without_a_gap() {
    let mut subscription = RelaySubscription::new(relay_address());
    assert_eq!(apply_updates(&mut subscription, 0.0, 1, &snapshot()).len(), 3);
    assert_eq!(apply_updates(&mut subscription, 1.0, 2, &snapshot()), [], "its state is already known");
    // The primary breaks before it reports the updates that the standby has received.
    let ahead = [RelayUpdate::ProxyLeft(ProxyId(1)), proxy_joined(9), slice_assigned(2)];
    assert_eq!(apply_updates(&mut subscription, 2.0, 2, &ahead), []);
    let inputs = break_stream(&mut subscription, 2.1, 1);
    assert_eq!(
        inputs[0],
        Input::RelayCall(RelayCallEvent::AcknowledgementsLost),
        "acknowledgements may be lost with the primary"
    );
    assert!(matches!(inputs[1], Input::ProxyJoined { proxy: ProxyId(9), .. }));
    assert_eq!(inputs[2..], [Input::ProxyLeft(ProxyId(1)), Input::SliceAssigned(SliceId(2))]);
    let revoked = apply_updates(&mut subscription, 2.2, 2, &[RelayUpdate::SliceRevoked(SliceId(2))]);
    assert_eq!(revoked, [Input::SliceRevoked(SliceId(2))]);
}

#[test]
fn relay_move_keeps_the_old_stream_until_the_new_one_is_synchronized() {
    let mut subscription = RelaySubscription::new(relay_address());
    let mut outbox = Outbox::default();
    apply_updates(&mut subscription, 0.0, 1, &snapshot());
    subscription.set_address(1.0, new_relay_address(), &mut outbox);
    assert_eq!(apply_updates(&mut subscription, 1.0, 2, &snapshot()[..3]), [], "its state is already known");
    let left = apply_updates(&mut subscription, 1.1, 1, &[RelayUpdate::ProxyLeft(ProxyId(1))]);
    assert_eq!(left, [Input::ProxyLeft(ProxyId(1))], "the old stream is still in use");
    subscription.apply(1.2, LinkId(2), RelayUpdate::ProxyLeft(ProxyId(1)), &mut outbox);
    subscription.apply(1.3, LinkId(2), RelayUpdate::KeepAlive, &mut outbox);
    assert!(outbox.effects.contains(&Effect::CloseRelay(LinkId(1))));
    assert_eq!(outbox.inputs, []);
    assert!(subscription.is_synchronized());
    assert!(!subscription.owns(LinkId(1)));
}

#[test]
fn own_writes_do_not_count_as_changes_by_others_after_a_broken_stream() {
    let mut subscription = RelaySubscription::new(relay_address());
    apply_updates(&mut subscription, 0.0, 1, &snapshot());
    apply_updates(&mut subscription, 1.0, 2, &snapshot());
    subscription.weight_written(SliceId(1), HostId(2), 0.5);
    assert_eq!(
        break_stream(&mut subscription, 1.5, 1),
        [Input::RelayCall(RelayCallEvent::AcknowledgementsLost)]
    );
}

#[test_case(0.0503073, 0.05, 0 ; "rounded to three decimals")]
#[test_case(0.0503073, 0.052, 2 ; "a different weight")]
fn rounded_weight_does_not_count_as_changed_by_others(written: f64, stored: f64, inputs: usize) {
    let mut subscription = RelaySubscription::new(relay_address());
    apply_updates(&mut subscription, 0.0, 1, &[slice_assigned(1), RelayUpdate::KeepAlive]);
    subscription.weight_written(SliceId(1), HostId(1), written);
    break_stream(&mut subscription, 1.0, 1);
    let second_snapshot = [slice_assigned(1), weight_stored(1, 1, stored), RelayUpdate::KeepAlive];
    assert_eq!(apply_updates(&mut subscription, 1.0, 2, &second_snapshot).len(), inputs);
}

#[test]
fn write_during_the_snapshot_does_not_count_as_a_change_by_others() {
    let mut subscription = RelaySubscription::new(relay_address());
    apply_updates(&mut subscription, 0.0, 1, &slice_snapshot());
    break_stream(&mut subscription, 1.0, 1);
    apply_updates(&mut subscription, 1.0, 2, &[slice_assigned(1), weight_stored(1, 1, 1.0)]);
    subscription.weight_written(SliceId(1), HostId(2), 0.5);
    assert_eq!(apply_updates(&mut subscription, 1.2, 2, &[RelayUpdate::KeepAlive]), []);
}

#[test]
fn table_of_a_call_in_flight_does_not_count_as_changed_by_others() {
    let mut subscription = RelaySubscription::new(relay_address());
    apply_updates(&mut subscription, 0.0, 1, &slice_snapshot());
    break_stream(&mut subscription, 1.0, 1);
    subscription.slices_in_flight.insert(SliceId(1));
    let second_snapshot = [slice_assigned(1), weight_stored(1, 4, 1.0), RelayUpdate::KeepAlive];
    assert_eq!(apply_updates(&mut subscription, 2.0, 2, &second_snapshot), []);
}

#[test]
fn repeated_joining_of_a_proxy_is_reported_again() {
    let mut subscription = RelaySubscription::new(relay_address());
    apply_updates(&mut subscription, 0.0, 1, &[proxy_joined(1), RelayUpdate::KeepAlive]);
    assert_eq!(apply_updates(&mut subscription, 1.0, 1, &[proxy_joined(1)]).len(), 1);
}

#[test]
fn repeated_weight_is_reported_once() {
    let mut subscription = RelaySubscription::new(relay_address());
    apply_updates(&mut subscription, 0.0, 1, &slice_snapshot());
    assert_eq!(apply_updates(&mut subscription, 1.0, 1, &[weight_stored(1, 1, 1.0)]), []);
}

#[test_case(RelayUpdate::ProxyLeft(ProxyId(5)) ; "a proxy that never joined")]
#[test_case(RelayUpdate::SliceRevoked(SliceId(5)) ; "a slice that was never assigned")]
#[test_case(weight_stored(5, 1, 1.0) ; "a weight of a slice that is not assigned")]
fn update_of_something_unknown_changes_nothing(update: RelayUpdate) {
    let mut subscription = RelaySubscription::new(relay_address());
    apply_updates(&mut subscription, 0.0, 1, &[proxy_joined(1), RelayUpdate::KeepAlive]);
    assert_eq!(apply_updates(&mut subscription, 1.0, 1, &[update]), []);
}
