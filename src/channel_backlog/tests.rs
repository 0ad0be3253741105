//! Each test gives calls and acknowledgements to the backlog, and checks how many lines it assumes to be queued.

use super::*;
use crate::interface::{Settings, ZoneId};
use crate::logic::tests::settings;
use test_case::test_case;

const RULES: AcknowledgementRules = AcknowledgementRules { join_overlap: 0.1, ignored_tail: 0.1 };

fn params() -> Parameters {
    Parameters::new(&Settings {
        proxy_count: 20,
        message_overhead_lines: 9.0,
        max_transit_time: 0.5,
        ..settings()
    })
}

/// Ten proxies, and a round of 20 lines to each: 200 lines.
fn backlog_with_round() -> ChannelBacklog {
    let mut backlog = ChannelBacklog { proxies: (0..10).map(ProxyId).collect(), ..ChannelBacklog::default() };
    backlog.record_order(0.0, RoundId(1), 20.0);
    backlog
}

fn record(backlog: &mut ChannelBacklog, now: f64, inputs: &[Input]) {
    for input in inputs {
        backlog.record_input(now, &params(), RULES, input);
    }
}

fn written(orders: usize) -> Input {
    Input::RelayCall(RelayCallEvent::Sent { round: Some(RoundId(1)), orders, unannounced_proxies: false })
}

fn acknowledged(proxy: u16, round: u16) -> Input {
    Input::RoundAcknowledged { proxy: ProxyId(proxy), round: RoundId(round), latency: 0.1 }
}

fn joined(proxy: u16) -> Input {
    Input::ProxyJoined { proxy: ProxyId(proxy), zone: ZoneId(0), requests_per_s: 1.0, without_tables: true }
}

// The call of a round of 20 lines has 11 orders after its overhead of 9 lines.
#[test_case(&[written(11)], 200.0 ; "the first write is the round that was ordered")]
#[test_case(&[written(11), written(11)], 400.0 ; "a repeat may be queued beside it")]
#[test_case(&[written(5), written(6)], 290.0 ; "a part has its own overhead")]
#[test_case(&[written(11), Input::RelayCall(RelayCallEvent::Rejected), written(11)], 200.0 ; "a rejected call is not queued")]
#[test_case(&[joined(30), written(11)], 220.0 ; "a proxy that joined before the write receives it")]
#[test_case(&[written(11), joined(30)], 220.0 ; "a proxy that joined during the call may receive it")]
#[test_case(&[written(11), Input::ProxyLeft(ProxyId(3))], 200.0 ; "lines queued for a proxy that left may remain")]
#[test_case(&[Input::ProxyLeft(ProxyId(3)), written(11)], 180.0 ; "a proxy that left before the write receives nothing")]
#[test_case(&[written(11), acknowledged(3, 1), Input::ProxyLeft(ProxyId(3))], 180.0 ; "a proxy that left after its acknowledgement is subtracted once")]
#[test_case(&[written(11), written(11), acknowledged(3, 1), acknowledged(3, 1)], 180.0 ; "the acknowledgement of a second copy shows that the first was delivered")]
#[test_case(&[written(11), Input::RelayCall(RelayCallEvent::AcknowledgementsLost), acknowledged(3, 1)], 180.0 ; "after lost acknowledgements later ones still count")]
#[test_case(&[Input::RelayCall(RelayCallEvent::Sent { round: Some(RoundId(1)), orders: 11, unannounced_proxies: true })], 400.0 ; "all twenty proxies may have joined unannounced")]
fn unacknowledged_lines_include_all_that_may_be_queued(inputs: &[Input], lines: f64) {
    let mut backlog = backlog_with_round();
    record(&mut backlog, 0.05, inputs);
    assert_eq!(backlog.unacknowledged_lines(), lines);
}

// Late acknowledgements of a delivered copy were counted for the next copy, and so on, until a whole round that was
// still queued was no longer counted. Found by comparison with a model of the channel.
#[test]
fn late_acknowledgements_of_a_copy_do_not_count_for_the_next_one() {
    let mut backlog = backlog_with_round();
    record(&mut backlog, 0.0, &[written(11), written(11), written(11)]);
    // The first copy is delivered when the second reaches proxy 0; nine of its acknowledgements are late.
    record(&mut backlog, 1.0, &[acknowledged(0, 1), acknowledged(0, 1)]);
    assert_eq!(backlog.unacknowledged_lines(), 380.0);
    for proxy in 1..10 {
        record(&mut backlog, 1.1, &[acknowledged(proxy, 1)]);
    }
    assert_eq!(backlog.unacknowledged_lines(), 380.0, "they do not concern the second copy");
    for proxy in 1..10 {
        record(&mut backlog, 1.2, &[acknowledged(proxy, 1)]);
    }
    assert_eq!(backlog.unacknowledged_lines(), 200.0);
}

#[test]
fn rounds_before_an_acknowledged_one_are_delivered() {
    let mut backlog = backlog_with_round();
    record(
        &mut backlog,
        0.0,
        &[written(11), written(11), Input::RelayCall(RelayCallEvent::AcknowledgementsLost)],
    );
    backlog.record_order(0.2, RoundId(2), 20.0);
    record(
        &mut backlog,
        0.2,
        &[Input::RelayCall(RelayCallEvent::Sent {
            round: Some(RoundId(2)),
            orders: 11,
            unannounced_proxies: false,
        })],
    );
    record(&mut backlog, 0.9, &[acknowledged(4, 2)]);
    assert_eq!((backlog.unacknowledged_lines(), backlog.rounds.len()), (180.0, 1));
}

// A repeat of a call that was never executed would wait forever for acknowledgements of its first copy.
#[test_case(0.9, false, 1 ; "its first acknowledgements may still arrive")]
#[test_case(1.2, true, 1 ; "silence for twice the longest transit time")]
#[test_case(10.2, false, 0 ; "ten seconds of silence: forgotten")]
fn silence_is_noticed(now: f64, is_silent: bool, rounds: usize) {
    let mut backlog = backlog_with_round();
    let params = params();
    record(&mut backlog, 0.1, &[written(11)]);
    backlog.advance(now, &params, 0.02, 10.0);
    assert_eq!((backlog.is_silent(now, &params), backlog.rounds.len()), (is_silent, rounds));
}

#[test]
fn each_call_counts_as_one_message() {
    let mut backlog = backlog_with_round();
    record(&mut backlog, 0.5, &[written(11)]);
    assert_eq!(backlog.sent_at, [0.5], "the order and its call count as one message");
    record(&mut backlog, 0.7, &[written(11)]);
    assert_eq!(backlog.sent_at, [0.5, 0.7], "a repeat is another message");
    // Before a benchmark run starts, all calls are rejected: if they counted, no message would be left at its start.
    record(&mut backlog, 0.8, &[written(11), Input::RelayCall(RelayCallEvent::Rejected)]);
    assert_eq!(backlog.sent_at, [0.5, 0.7], "a rejected one is not counted");
}

// If half of the proxies left, their lines remain counted; late acknowledgements must not be used to measure the rate.
#[test_case(0, 8 ; "all proxies are joined")]
#[test_case(5, 4 ; "half have left")]
fn last_acknowledgements_do_not_lower_the_rate(left: u16, in_time: u16) {
    let mut backlog = backlog_with_round();
    record(&mut backlog, 0.0, &[written(11)]);
    for n in 0..left {
        record(&mut backlog, 0.1, &[Input::ProxyLeft(ProxyId(9 - n))]);
    }
    for proxy in 0..in_time {
        record(&mut backlog, 0.6, &[acknowledged(proxy, 1)]);
    }
    record(&mut backlog, 9.0, &[acknowledged(in_time, 1)]);
    assert_eq!(backlog.last_rate_sample_at, 0.6);
}

#[test]
fn admission_levels_sent_along_are_counted() {
    let mut backlog = backlog_with_round();
    backlog.admission_routes.insert(RouteId(1));
    record(&mut backlog, 0.0, &[written(11)]);
    assert_eq!(backlog.unacknowledged_lines(), 210.0);
}
