//! Tests of what the channel sends, when, and how much.

use super::super::channel::Priority;
use super::*;
use crate::channel_backlog::Round;
use std::collections::BTreeMap;
use test_case::test_case;

fn sent_weights(outbox: &Outbox) -> usize {
    outbox.orders.iter().filter(|order| matches!(order, Order::SetWeight { .. })).count()
}

/// A channel that has sent tables with host 7 and whose desired tables also have host 0.
fn channel(queued_lines: f64, slices: u16) -> Channel {
    let mut channel = Channel::default();
    channel.backlog.estimated_lines = queued_lines;
    channel.backlog.proxies.extend((0..10).map(ProxyId));
    set_desired_tables(&mut channel, 0..slices);
    channel
}

fn set_desired_tables(channel: &mut Channel, slices: std::ops::Range<u16>) {
    for slice in slices.map(SliceId) {
        channel.sent_tables.insert(slice, PerHost::from([(id(7), 1.0)]));
        let weights = PerHost::from([(id(0), 1.0), (id(7), 1.0)]);
        channel.desired_tables.insert(slice, DesiredTable { since: 0.0, weights });
    }
}

#[test_case(0.0, 5, 5 ; "all changes are sent where they fit")]
#[test_case(0.0, 50, 25 ; "a quarter of the backlog for routine lines")]
#[test_case(300.0, 5, 0 ; "nothing is sent while lines are queued")]
fn routine_changes_stay_within_their_share_of_the_backlog(queued_lines: f64, slices: u16, sent: usize) {
    let mut channel = channel(queued_lines, slices);
    let mut outbox = Outbox::default();
    channel.flush(0.0, &params(), &mut outbox);
    assert_eq!(sent_weights(&outbox), sent);
}

#[test_case(10, false, 0 ; "half of the messages for routine lines")]
#[test_case(10, true, 5 ; "slices without an open host may use more")]
#[test_case(19, true, 0 ; "the last message is kept")]
fn message_limit_is_respected(sent_before: usize, is_urgent: bool, sent: usize) {
    let mut channel = channel(0.0, 5);
    let mut outbox = Outbox::default();
    channel.backlog.sent_at.extend(vec![5.0; sent_before]);
    channel.withdrawn.extend(is_urgent.then_some(id(7)));
    channel.flush(9.0, &params(), &mut outbox);
    assert_eq!(sent_weights(&outbox), sent);
}

/// Withdrawals first, then slices without an open host; a host returns only after its outdated weights are removed.
#[test]
fn changes_are_sent_by_priority() {
    let mut channel = channel(0.0, 3);
    for table in channel.desired_tables.values_mut() {
        table.weights.remove(&id(7));
    }
    let sent = [(0, vec![id(9)]), (1, vec![id(0), id(9)]), (2, vec![id(5), id(8)])];
    channel.sent_tables =
        sent.map(|(n, hosts)| (SliceId(n), hosts.into_iter().map(|host| (host, 1.0)).collect())).into();
    channel.pending_withdrawals = BTreeMap::from([(id(8), false), (id(9), true)]);
    channel.withdrawn = BTreeSet::from([id(8)]);
    let changes = channel.pending_changes(&params());
    let slice_of = |change: &PendingChange<Priority>| match change.orders[0] {
        Order::SetWeight { slice, .. } => Some(slice),
        _ => None,
    };
    let priorities: Vec<_> = changes.iter().map(|change| (change.priority, slice_of(change))).collect();
    let slice = |n| Some(SliceId(n));
    assert_eq!(
        priorities,
        [
            (Priority::Withdrawal, None),
            (Priority::NoOpenHost, slice(0)),
            (Priority::BeforeReturn, slice(2)),
            (Priority::WithdrawnHost, slice(0)),
            (Priority::WithdrawnHost, slice(1)),
        ]
    );
}

#[test]
fn many_withdrawals_stay_within_seven_tenths_of_the_backlog() {
    let mut channel = channel(0.0, 0);
    let mut outbox = Outbox::default();
    channel.sent_tables.insert(SliceId(0), PerHost::from([(id(7), 1.0)]));
    channel.pending_withdrawals.extend((0..90).map(|n| (id(n), true)));
    channel.flush(0.0, &params(), &mut outbox);
    assert_eq!(
        (outbox.orders.len(), channel.pending_withdrawals.len()),
        (60, 31),
        "the request for acknowledgements, and the withdrawals that fit in seven tenths"
    );
}

#[test]
fn unchanged_weights_are_not_sent_again() {
    let mut channel = channel(0.0, 1);
    let mut outbox = Outbox::default();
    channel.sent_tables.insert(SliceId(0), PerHost::from([(id(0), 0.9), (id(1), 1.0), (id(7), 1.0)]));
    channel.flush(0.0, &params(), &mut outbox);
    assert_eq!(outbox.orders[0], Order::SetWeight { slice: SliceId(0), host: id(1), weight: 0.0 });
    assert!(matches!(outbox.orders[1..], [Order::RequestAcknowledgement { .. }]));
}

#[test]
fn older_changes_are_sent_first() {
    let mut channel = channel(0.0, 30);
    let mut outbox = Outbox::default();
    channel.desired_tables.get_mut(&SliceId(29)).unwrap().since = -1.0;
    channel.flush(0.0, &params(), &mut outbox);
    assert!(matches!(outbox.orders[0], Order::SetWeight { slice: SliceId(29), .. }));
}

#[test]
fn messages_of_a_burst_of_urgent_changes_are_spaced() {
    let mut channel = channel(0.0, 5);
    let mut outbox = Outbox::default();
    channel.backlog.sent_at.extend(vec![8.5; 10]);
    channel.withdrawn.insert(id(7));
    channel.flush(9.0, &params(), &mut outbox);
    assert!(outbox.orders.is_empty(), "beyond half of the messages they are a second apart");
    channel.flush(9.5, &params(), &mut outbox);
    assert_eq!(sent_weights(&outbox), 5);
}

#[test_case(1000.0, false ; "a fast channel sends an increase by half")]
#[test_case(100.0, true ; "a slow channel sends only larger changes")]
fn slow_channel_sends_only_large_weight_changes(lines_per_s: f64, is_close: bool) {
    let params =
        Parameters::new(&Settings { channel_lines_per_s: lines_per_s, proxy_count: 4, ..settings() });
    assert_eq!(is_close_enough(&params, Some(&1.0), 1.5), is_close);
}

#[test_case(true, true ; "a table names it")]
#[test_case(false, false ; "no table names it")]
fn withdrawal_is_resent_only_for_a_host_in_a_table(is_named: bool, sent: bool) {
    let mut channel = channel(0.0, is_named as u16);
    channel.withdrawn.insert(id(7));
    let order = Order::SetWithdrawn { host: id(7), withdrawn: true };
    channel.handle(0.0, &params(), Message::Send(order), &mut Outbox::default());
    assert_eq!(channel.pending_withdrawals.contains_key(&id(7)), sent);
}

#[test]
fn withdrawal_cancels_a_pending_return() {
    let mut channel = channel(0.0, 0);
    channel.withdrawn.insert(id(7));
    channel.set_withdrawal(id(7), false);
    let order = Order::SetWithdrawn { host: id(7), withdrawn: true };
    channel.handle(0.0, &params(), Message::Send(order), &mut Outbox::default());
    assert!(channel.pending_withdrawals[&id(7)]);
}

#[test]
fn return_does_not_cancel_a_pending_withdrawal() {
    let mut channel = channel(0.0, 0);
    let mut outbox = Outbox::default();
    for withdrawn in [true, false] {
        let order = Order::SetWithdrawn { host: id(7), withdrawn };
        channel.handle(0.0, &params(), Message::Send(order), &mut outbox);
    }
    assert!(channel.pending_withdrawals[&id(7)]);
}

/// A round that none of the ten proxies has acknowledged.
fn round(id: u16, written_at: f64, lines_per_proxy: f64) -> Round {
    let lines = 10.0 * lines_per_proxy;
    Round {
        id: Some(RoundId(id)),
        written_at,
        lines_per_proxy,
        awaited: (0..10).map(ProxyId).collect(),
        initial_lines: lines,
        lines_with_earlier: lines,
        ..Round::default()
    }
}

fn acknowledge(channel: &mut Channel, now: f64, proxy: u16, round: u16) {
    let input = Input::RoundAcknowledged { proxy: ProxyId(proxy), round: RoundId(round), latency: now };
    channel.handle(now, &params(), Message::Input(input), &mut Outbox::default());
}

// With a channel at an eighth of its stated rate, rounds that were still being acknowledged were forgotten after ten
// seconds, and the same amount was written again.
#[test_case(11.5, 0 ; "it is still being acknowledged")]
#[test_case(1.0, 1 ; "no acknowledgement for ten seconds")]
fn round_is_forgotten_only_after_ten_seconds_of_silence(last_sample_at: f64, rounds: usize) {
    let mut channel = channel(0.0, 2);
    channel.backlog.rounds.push_back(round(9, 0.0, 85.0));
    channel.backlog.last_rate_sample_at = last_sample_at;
    channel.flush(12.0, &params(), &mut Outbox::default());
    let others = channel.backlog.rounds.iter().filter(|round| round.id != Some(RoundId(9)));
    assert_eq!(others.count(), rounds);
}

// The stated rate is 1,000 lines per second; the proxies acknowledge one after the other, after a transit time of a
// second.
#[test_case(0.1, 400.0 ; "two fifths of the stated rate")]
#[test_case(0.4, 100.0 ; "a tenth of the stated rate")]
fn channel_rate_follows_from_acknowledgements(interval: f64, rate: f64) {
    let mut channel = channel(0.0, 0);
    channel.backlog.rounds.push_back(round(9, 0.0, 40.0));
    for n in 1..8 {
        acknowledge(&mut channel, 1.0 + interval * f64::from(n), n, 9);
    }
    let measured = channel.backlog.current_rate(params().max_transit_time).unwrap();
    assert!((measured / rate - 1.0).abs() < 0.01, "{measured}");
}

#[test]
fn last_acknowledgements_of_a_round_do_not_lower_the_rate() {
    let mut channel = channel(0.0, 0);
    channel.backlog.rounds.push_back(Round { awaited: BTreeSet::from([ProxyId(3)]), ..round(9, 0.0, 40.0) });
    acknowledge(&mut channel, 8.0, 3, 9);
    assert_eq!(channel.backlog.current_rate(params().max_transit_time), None);
}

#[test]
fn unacknowledged_lines_stay_within_the_backlog() {
    let mut channel = channel(0.0, 40);
    let mut outbox = Outbox::default();
    channel.withdrawn.insert(id(7));
    channel.backlog.rounds.push_back(round(9, 0.0, 70.0));
    channel.flush(3.0, &params(), &mut outbox);
    assert!(sent_weights(&outbox) <= 9, "900 are allowed, 700 are unacknowledged, and a round costs 110");
}

#[test]
fn slice_whose_only_host_is_withdrawn_has_no_open_host() {
    let mut channel = channel(0.0, 1);
    (channel.withdrawn, channel.pending_withdrawals) =
        (BTreeSet::from([id(7)]), BTreeMap::from([(id(7), false)]));
    assert_eq!(channel.pending_changes(&params())[0].priority, Priority::NoOpenHost);
}

#[test]
fn director_without_slices_sends_no_orders() {
    let mut channel = channel(0.0, 0);
    let mut outbox = Outbox::default();
    channel.pending_withdrawals.insert(id(7), true);
    channel.flush(0.0, &params(), &mut outbox);
    assert!(outbox.orders.is_empty(), "no proxy would acknowledge it");
    set_desired_tables(&mut channel, 0..1);
    channel.flush(0.1, &params(), &mut outbox);
    assert!(
        matches!(outbox.orders[0], Order::SetWithdrawn { withdrawn: true, .. }),
        "it is sent once slices are assigned"
    );
}

#[test_case(true, true, 0 ; "not while a table names it")]
#[test_case(false, true, 0 ; "a withdrawn host is readmitted with other orders")]
#[test_case(false, false, 1 ; "any other host at once")]
fn expired_host_is_forgotten_once_no_table_names_it(is_named: bool, withdrawn: bool, sent: usize) {
    let mut channel = channel(0.0, 1);
    let mut outbox = Outbox::default();
    channel.desired_tables.clear();
    channel.withdrawn.extend(withdrawn.then_some(id(9)));
    channel.sent_tables.entry(SliceId(0)).or_default().extend(is_named.then_some((id(9), 1.0)));
    channel.handle(1.0, &params(), Message::Expired(id(9)), &mut outbox);
    channel.flush(1.0, &params(), &mut outbox);
    assert!(outbox.orders.is_empty(), "no message of its own");
    assert_eq!(std::iter::from_fn(|| outbox.take_next_mailbox()).count(), sent);
    set_desired_tables(&mut channel, 0..1);
    channel.flush(2.0, &params(), &mut outbox);
    let is_readmitted = outbox.orders.contains(&Order::SetWithdrawn { host: id(9), withdrawn: false });
    assert_eq!(is_readmitted, withdrawn && !is_named);
}
