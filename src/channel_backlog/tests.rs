//! Each test builds the backlog as calls and receipts made it and asks what may wait.

use super::*;
use crate::interface::{Settings, ZoneId};
use crate::logic::tests::settings;
use test_case::test_case;

fn params() -> Parameters {
    Parameters::new(&Settings { proxies: 20, message_overhead: 9.0, transit_most: 0.5, ..settings() })
}

/// Ten proxies, and a round of 20 lines to each: 200 lines.
fn ordered() -> ChannelBacklog {
    let mut backlog = ChannelBacklog { proxies: (0..10).map(ProxyId).collect(), ..ChannelBacklog::default() };
    backlog.record_order(0.0, MarkId(1), 20.0);
    backlog
}

fn hear(backlog: &mut ChannelBacklog, now: f64, inputs: &[Input]) {
    inputs.iter().for_each(|input| backlog.record_input(now, &params(), 0.1, input));
}

fn written(orders: usize) -> Input {
    Input::Call(Call::Written { mark: Some(MarkId(1)), orders, unheard: false })
}

fn receipt(proxy: u16, mark: u16) -> Input {
    Input::Applied { proxy: ProxyId(proxy), mark: MarkId(mark), took: 0.1 }
}

fn joined(proxy: u16) -> Input {
    Input::Joined { proxy: ProxyId(proxy), zone: ZoneId(0), calls_per_s: 1.0, fresh: true }
}

// The call of a round of 20 lines has 11 orders behind its head of 9.
#[test_case(&[written(11)], 200.0 ; "written once it is the round that was ordered")]
#[test_case(&[written(11), written(11)], 400.0 ; "a repeat may wait beside it")]
#[test_case(&[written(5), written(6)], 290.0 ; "a part has a head of its own")]
#[test_case(&[written(11), Input::Call(Call::TurnedAway), written(11)], 200.0 ; "one that was turned away does not wait")]
#[test_case(&[joined(30), written(11)], 220.0 ; "who joined before it was written gets it")]
#[test_case(&[written(11), joined(30)], 220.0 ; "and who joined while it was carried out, perhaps")]
#[test_case(&[written(11), Input::Left(ProxyId(3))], 200.0 ; "what waits for one that left may stay")]
#[test_case(&[Input::Left(ProxyId(3)), written(11)], 180.0 ; "one that had left before gets none")]
#[test_case(&[written(11), receipt(3, 1), Input::Left(ProxyId(3))], 180.0 ; "one that left with its message is counted off once")]
#[test_case(&[written(11), written(11), receipt(3, 1), receipt(3, 1)], 180.0 ; "the second copy's receipt shows that the first has passed")]
#[test_case(&[written(11), Input::Call(Call::Deaf), receipt(3, 1)], 180.0 ; "after unheard receipts each still takes its part")]
#[test_case(&[Input::Call(Call::Written { mark: Some(MarkId(1)), orders: 11, unheard: true })], 400.0 ; "all twenty may be there unheard of")]
fn what_may_wait(inputs: &[Input], lines: f64) {
    let mut backlog = ordered();
    hear(&mut backlog, 0.05, inputs);
    assert_eq!(backlog.unacknowledged_lines(), lines);
}

// Seen in a play against a model of the channel: late receipts of a copy that had passed were taken for the next one's,
// and that for the one behind it, until a whole round that waited was no longer counted.
#[test]
fn late_receipts_of_a_copy_are_none_of_the_next_ones() {
    let mut backlog = ordered();
    hear(&mut backlog, 0.0, &[written(11), written(11), written(11)]);
    // The first copy has passed when the second reaches proxy 0; nine of its receipts are late.
    hear(&mut backlog, 1.0, &[receipt(0, 1), receipt(0, 1)]);
    assert_eq!(backlog.unacknowledged_lines(), 380.0);
    (1..10).for_each(|proxy| hear(&mut backlog, 1.1, &[receipt(proxy, 1)]));
    assert_eq!(backlog.unacknowledged_lines(), 380.0, "they tell nothing of the second");
    (1..10).for_each(|proxy| hear(&mut backlog, 1.2, &[receipt(proxy, 1)]));
    assert_eq!(backlog.unacknowledged_lines(), 200.0);
}

#[test]
fn a_later_mark_shows_that_all_before_has_passed() {
    let mut backlog = ordered();
    hear(&mut backlog, 0.0, &[written(11), written(11), Input::Call(Call::Deaf)]);
    backlog.record_order(0.2, MarkId(2), 20.0);
    hear(
        &mut backlog,
        0.2,
        &[Input::Call(Call::Written { mark: Some(MarkId(2)), orders: 11, unheard: false })],
    );
    hear(&mut backlog, 0.9, &[receipt(4, 2)]);
    assert_eq!((backlog.unacknowledged_lines(), backlog.rounds.len()), (180.0, 1));
}

// A repeat of a call that was never carried out would wait for ever for receipts of its first copy.
#[test_case(0.9, false, 1 ; "its first receipts may still come")]
#[test_case(1.2, true, 1 ; "silence for twice the longest way")]
#[test_case(10.2, false, 0 ; "ten seconds of silence: forgotten")]
fn silence_tells(now: f64, mute: bool, rounds: usize) {
    let mut backlog = ordered();
    let params = params();
    hear(&mut backlog, 0.1, &[written(11)]);
    backlog.advance(now, &params, 0.02, 10.0);
    assert_eq!((backlog.is_silent(now, &params), backlog.rounds.len()), (mute, rounds));
}

#[test]
fn messages_are_counted_when_they_are_written() {
    let mut backlog = ordered();
    hear(&mut backlog, 0.5, &[written(11)]);
    assert_eq!(backlog.sent_at, [0.5], "the order and its call are one");
    hear(&mut backlog, 0.7, &[written(11)]);
    assert_eq!(backlog.sent_at, [0.5, 0.7], "a repeat is another");
    // Until a run begins all calls are turned away: where messages are counted, none would be left when it does.
    hear(&mut backlog, 0.8, &[written(11), Input::Call(Call::TurnedAway)]);
    assert_eq!(backlog.sent_at, [0.5, 0.7], "one that is turned away is none");
}

// Where half of the proxies left, their part stays; the receipts of those that are late must not pass for the pace.
#[test_case(0, 8 ; "all are there")]
#[test_case(5, 4 ; "half have left")]
fn the_last_receipts_say_nothing_of_the_pace(left: u16, in_time: u16) {
    let mut backlog = ordered();
    hear(&mut backlog, 0.0, &[written(11)]);
    (0..left).for_each(|n| hear(&mut backlog, 0.1, &[Input::Left(ProxyId(9 - n))]));
    (0..in_time).for_each(|proxy| hear(&mut backlog, 0.6, &[receipt(proxy, 1)]));
    hear(&mut backlog, 9.0, &[receipt(in_time, 1)]);
    assert_eq!(backlog.last_rate_sample_at, 0.6);
}

#[test]
fn a_message_may_bring_levels_along() {
    let mut backlog = ordered();
    backlog.admission_routes.insert(RouteId(1));
    hear(&mut backlog, 0.0, &[written(11)]);
    assert_eq!(backlog.unacknowledged_lines(), 210.0);
}
