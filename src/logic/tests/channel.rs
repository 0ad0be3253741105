//! What is told, when, how much.

use super::super::channel::Priority;
use super::*;
use crate::channel_backlog::Round;
use std::collections::BTreeMap;
use test_case::test_case;

fn lines(outbox: &Outbox) -> usize {
    outbox.orders.iter().filter(|order| matches!(order, Order::Line { .. })).count()
}

/// Each slice stands on host 7 and should get host 0 as well.
fn channel(waiting: f64, slices: u16) -> Channel {
    let mut channel = Channel::default();
    channel.backlog.estimated_lines = waiting;
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

#[test_case(0.0, 5, 5 ; "what fits goes")]
#[test_case(0.0, 50, 25 ; "a quarter of the backlog for routine lines")]
#[test_case(300.0, 5, 0 ; "nothing while lines wait")]
fn the_queue_stays_short(waiting: f64, slices: u16, sent: usize) {
    let (mut channel, mut outbox) = (channel(waiting, slices), Outbox::default());
    channel.flush(0.0, &params(), &mut outbox);
    assert_eq!(lines(&outbox), sent);
}

#[test_case(10, false, 0 ; "half of the messages for routine lines")]
#[test_case(10, true, 5 ; "slices without an open line may use more")]
#[test_case(19, true, 0 ; "but never the last")]
fn messages_are_counted(before: usize, urgent: bool, sent: usize) {
    let (mut channel, mut outbox) = (channel(0.0, 5), Outbox::default());
    channel.backlog.sent_at.extend(vec![5.0; before]);
    channel.withdrawn.extend(urgent.then_some(id(7)));
    channel.flush(9.0, &params(), &mut outbox);
    assert_eq!(lines(&outbox), sent);
}

/// Withdrawals first, then what has no open line, a return only behind the lines that it would wake.
#[test]
fn the_channel_ranks_what_waits() {
    let mut channel = channel(0.0, 3);
    for table in channel.desired_tables.values_mut() {
        table.weights.remove(&id(7));
    }
    let told = [(0, vec![id(9)]), (1, vec![id(0), id(9)]), (2, vec![id(5), id(8)])];
    channel.sent_tables =
        told.map(|(n, on)| (SliceId(n), on.into_iter().map(|host| (host, 1.0)).collect())).into();
    channel.pending_withdrawals = BTreeMap::from([(id(8), false), (id(9), true)]);
    channel.withdrawn = BTreeSet::from([id(8)]);
    let changes = channel.pending_changes(&params());
    let slice_of = |change: &PendingChange<Priority>| match change.orders[0] {
        Order::Line { slice, .. } => Some(slice),
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
fn many_withdrawals_go_in_parts() {
    let (mut channel, mut outbox) = (channel(0.0, 0), Outbox::default());
    channel.sent_tables.insert(SliceId(0), PerHost::from([(id(7), 1.0)]));
    channel.pending_withdrawals.extend((0..90).map(|n| (id(n), true)));
    channel.flush(0.0, &params(), &mut outbox);
    assert_eq!(
        (outbox.orders.len(), channel.pending_withdrawals.len()),
        (60, 31),
        "a mark, and what seven tenths hold"
    );
}

#[test]
fn only_differences_to_what_was_told_are_sent() {
    let (mut channel, mut outbox) = (channel(0.0, 1), Outbox::default());
    channel.sent_tables.insert(SliceId(0), PerHost::from([(id(0), 0.9), (id(1), 1.0), (id(7), 1.0)]));
    channel.flush(0.0, &params(), &mut outbox);
    assert_eq!(outbox.orders[0], Order::Line { slice: SliceId(0), host: id(1), weight: 0.0 });
    assert!(matches!(outbox.orders[1..], [Order::Mark { .. }]));
}

#[test]
fn the_longest_waiting_slice_goes_first() {
    let (mut channel, mut outbox) = (channel(0.0, 30), Outbox::default());
    channel.desired_tables.get_mut(&SliceId(29)).unwrap().since = -1.0;
    channel.flush(0.0, &params(), &mut outbox);
    assert!(matches!(outbox.orders[0], Order::Line { slice: SliceId(29), .. }));
}

#[test]
fn a_rush_leaves_messages_for_what_comes_last() {
    let (mut channel, mut outbox) = (channel(0.0, 5), Outbox::default());
    channel.backlog.sent_at.extend(vec![8.5; 10]);
    channel.withdrawn.insert(id(7));
    channel.flush(9.0, &params(), &mut outbox);
    assert!(outbox.orders.is_empty(), "past half of the messages a second lies between two");
    channel.flush(9.5, &params(), &mut outbox);
    assert_eq!(lines(&outbox), 5);
}

#[test_case(1000.0, false ; "a quick channel tells a third more")]
#[test_case(100.0, true ; "a slow one keeps its lines for more than that")]
fn a_poor_channel_tolerates_more(lines_per_s: f64, same: bool) {
    let params = Parameters::new(&Settings { lines_per_s, proxies: 4, ..settings() });
    assert_eq!(is_close_enough(&params, Some(&1.0), 1.5), same);
}

#[test_case(true, true ; "a table names it")]
#[test_case(false, false ; "none of ours does")]
fn who_is_in_no_table_is_not_shut_out_again(named: bool, told: bool) {
    let mut channel = channel(0.0, named as u16);
    channel.withdrawn.insert(id(7));
    let order = Order::Withdraw { host: id(7), out: true };
    channel.handle(0.0, &params(), Message::Send(order), &mut Outbox::default());
    assert_eq!(channel.pending_withdrawals.contains_key(&id(7)), told);
}

#[test]
fn a_return_that_waits_is_taken_back_even_of_a_host_in_no_table() {
    let mut channel = channel(0.0, 0);
    channel.withdrawn.insert(id(7));
    channel.set_withdrawal(id(7), false);
    let order = Order::Withdraw { host: id(7), out: true };
    channel.handle(0.0, &params(), Message::Send(order), &mut Outbox::default());
    assert!(channel.pending_withdrawals[&id(7)]);
}

#[test]
fn a_host_is_shut_before_it_may_return() {
    let (mut channel, mut outbox) = (channel(0.0, 0), Outbox::default());
    for out in [true, false] {
        let order = Order::Withdraw { host: id(7), out };
        channel.handle(0.0, &params(), Message::Send(order), &mut outbox);
    }
    assert!(channel.pending_withdrawals[&id(7)]);
}

/// All ten proxies have a message to come.
fn round(mark: u16, at: f64, each: f64) -> Round {
    let lines = 10.0 * each;
    Round {
        id: Some(MarkId(mark)),
        written_at: at,
        lines_per_proxy: each,
        awaited: (0..10).map(ProxyId).collect(),
        initial_lines: lines,
        lines_with_earlier: lines,
        ..Round::default()
    }
}

fn received(channel: &mut Channel, now: f64, proxy: u16, mark: u16) {
    let applied = Input::Applied { proxy: ProxyId(proxy), mark: MarkId(mark), took: now };
    channel.handle(now, &params(), Message::Input(applied), &mut Outbox::default());
}

// Seen on a day on which the channel writes an eighth of what it states: rounds of which receipts still came were
// forgotten after ten seconds, and as much was written again.
#[test_case(11.5, 0 ; "receipts still come, so it waits")]
#[test_case(1.0, 1 ; "nobody has answered for ten seconds")]
fn what_still_waits_is_not_forgotten(heard_at: f64, rounds: usize) {
    let mut channel = channel(0.0, 2);
    channel.backlog.rounds.push_back(round(9, 0.0, 85.0));
    channel.backlog.last_rate_sample_at = heard_at;
    channel.flush(12.0, &params(), &mut Outbox::default());
    let others = channel.backlog.rounds.iter().filter(|round| round.id != Some(MarkId(9)));
    assert_eq!(others.count(), rounds);
}

// The channel states 1,000 lines a second; a mark's receipts come one by one, its way is a second at most.
#[test_case(0.1, 400.0 ; "two fifths of it")]
#[test_case(0.4, 100.0 ; "a tenth of it")]
fn the_pace_is_what_receipts_show(apart: f64, pace: f64) {
    let mut channel = channel(0.0, 0);
    channel.backlog.rounds.push_back(round(9, 0.0, 40.0));
    (1..8).for_each(|n| received(&mut channel, 1.0 + apart * f64::from(n), n, 9));
    let seen = channel.backlog.current_rate(params().max_transit_time).unwrap();
    assert!((seen / pace - 1.0).abs() < 0.01, "{seen}");
}

#[test]
fn the_last_receipts_of_a_round_say_nothing_of_the_pace() {
    let mut channel = channel(0.0, 0);
    channel.backlog.rounds.push_back(Round { awaited: BTreeSet::from([ProxyId(3)]), ..round(9, 0.0, 40.0) });
    received(&mut channel, 8.0, 3, 9);
    assert_eq!(channel.backlog.current_rate(params().max_transit_time), None);
}

#[test]
fn lines_without_a_receipt_never_exceed_the_backlog() {
    let (mut channel, mut outbox) = (channel(0.0, 40), Outbox::default());
    channel.withdrawn.insert(id(7));
    channel.backlog.rounds.push_back(round(9, 0.0, 70.0));
    channel.flush(3.0, &params(), &mut outbox);
    assert!(lines(&outbox) <= 9, "900 are allowed, 700 are out, and a round costs 110");
}

#[test]
fn a_slice_that_waits_for_a_return_is_bare() {
    let mut channel = channel(0.0, 1);
    (channel.withdrawn, channel.pending_withdrawals) =
        (BTreeSet::from([id(7)]), BTreeMap::from([(id(7), false)]));
    assert_eq!(channel.pending_changes(&params())[0].priority, Priority::NoOpenHost);
}

#[test]
fn a_director_without_slices_tells_nobody() {
    let (mut channel, mut outbox) = (channel(0.0, 0), Outbox::default());
    channel.pending_withdrawals.insert(id(7), true);
    channel.flush(0.0, &params(), &mut outbox);
    assert!(outbox.orders.is_empty(), "no proxy would send a receipt");
    set_desired_tables(&mut channel, 0..1);
    channel.flush(0.1, &params(), &mut outbox);
    assert!(matches!(outbox.orders[0], Order::Withdraw { out: true, .. }), "it goes when slices are given");
}

#[test_case(true, true, 0 ; "not while a table names it")]
#[test_case(false, true, 0 ; "shut out, it waits for other orders to let it in with")]
#[test_case(false, false, 1 ; "else at once")]
fn a_host_is_over_when_nothing_refers_to_it(named: bool, out: bool, told: usize) {
    let (mut channel, mut outbox) = (channel(0.0, 1), Outbox::default());
    channel.desired_tables.clear();
    channel.withdrawn.extend(out.then_some(id(9)));
    channel.sent_tables.entry(SliceId(0)).or_default().extend(named.then_some((id(9), 1.0)));
    channel.handle(1.0, &params(), Message::Expired(id(9)), &mut outbox);
    channel.flush(1.0, &params(), &mut outbox);
    assert!(outbox.orders.is_empty(), "no message for its sake");
    assert_eq!(std::iter::from_fn(|| outbox.take_next_mailbox()).count(), told);
    set_desired_tables(&mut channel, 0..1);
    channel.flush(2.0, &params(), &mut outbox);
    let let_in = outbox.orders.contains(&Order::Withdraw { host: id(9), out: false });
    assert_eq!(let_in, out && !named);
}
