//! Levels.

use super::*;
use test_case::test_case;

fn gate(calls: [f64; 2], rt: f64, answered: f64) -> AdmissionControl {
    let mut gate =
        AdmissionControl { calls: calls.to_vec(), levels: vec![1.0; 2], ..AdmissionControl::default() };
    gate.response_times.add(BINS, rt, answered, 0.0);
    gate
}

#[test_case(0.2, 100.0, None ; "no cut while answers are quick")]
#[test_case(0.9, 90.0, Some(76.5) ; "slow answers: less than was answered is the aim")]
#[test_case(0.9, 20.0, Some(70.0) ; "by three tenths at most")]
fn targets(rt: f64, answered: f64, target: Option<f64>) {
    let mut gate = gate([60.0, 40.0], rt, answered);
    gate.evaluate(1.0, &params(), &mut Outbox::default());
    assert_eq!(gate.target_rate, target);
}

#[test]
fn the_route_that_earns_least_per_call_is_lowered_first_and_comes_back() {
    let mut gate = gate([60.0, 40.0], 0.9, 70.0);
    gate.evaluate(1.0, &params(), &mut Outbox::default());
    assert!((gate.levels[0] - 0.5).abs() < 0.01 && gate.levels[1] == 1.0, "{:?}", gate.levels);
    (gate.calls, gate.levels[0]) = (vec![60.0, 40.0], 0.5);
    (3..30).step_by(2).for_each(|at| {
        gate.calls = vec![120.0, 80.0];
        gate.response_times.add(BINS, 0.1, 160.0, 0.0);
        gate.evaluate(at as f64, &params(), &mut Outbox::default());
    });
    assert_eq!(gate.levels, [1.0, 1.0], "while answers are quick all come back");
}

// Seen on a day on which directors restart in turn: one that took over another's slices went on with the calls a
// second of its own, and refused half of all for ten seconds though answers were quick.
#[test_case(2, 1.0, 50.0 ; "as many slices")]
#[test_case(4, 1.0, 100.0 ; "twice as many: twice the calls are let in")]
#[test_case(4, 0.5, 50.0 ; "just given: only a part of their calls was counted")]
fn targets_grow_with_the_slices_in_charge(slices: u16, since_given: f64, target: f64) {
    let mut gate = AdmissionControl {
        target_rate: Some(50.0),
        evaluated_slices: 2,
        evaluated_at: 10.0,
        ..gate([200.0, 0.0], 0.2, 200.0)
    };
    gate.reduced_at = 11.0;
    (0..slices).for_each(|slice| gate.add_slice(10.0 - since_given, SliceId(slice)));
    gate.evaluate(11.0, &params(), &mut Outbox::default());
    assert_eq!(gate.target_rate, Some(target));
}

#[test]
fn a_lowered_route_is_never_tried_again() {
    let (mut gate, mut outbox) = (gate([60.0, 40.0], 0.9, 70.0), Outbox::default());
    gate.evaluate(1.0, &params(), &mut outbox);
    let messages: Vec<Message> = outbox.take_next_mailbox().unwrap().1.into_iter().collect();
    assert!(!messages.is_empty());
    assert!(messages
        .iter()
        .all(|message| matches!(message, Message::Send(Order::Admit { retry: Retry::Never, .. }))));
}

#[test]
fn levels_stand_while_proxies_are_out_of_reach() {
    let mut gate = gate([60.0, 40.0], 0.9, 70.0);
    gate.evaluate(1.0, &params(), &mut Outbox::default());
    let before = gate.levels.clone();
    gate.evaluate(3.0, &params(), &mut Outbox::default());
    assert_eq!(gate.levels, before);
}

#[test_case(0.2, 0.0, 0.5, None ; "quick answers: a route fails, or connecting does")]
#[test_case(0.35, 0.0, 0.5, Some(76.5) ; "slower ones confirm that hosts are full")]
#[test_case(0.35, 0.4, 0.5, None ; "cores that idle deny it")]
fn drops_are_confirmed(rt: f64, busy: f64, dropped: f64, target: Option<f64>) {
    let mut gate = AdmissionControl { utilisation: busy, ..gate([60.0, 40.0], rt, 90.0) };
    gate.response_times.dropped = 90.0 * dropped / (1.0 - dropped);
    gate.evaluate(1.0, &params(), &mut Outbox::default());
    assert_eq!(gate.target_rate, target);
}

fn told(gate: &mut AdmissionControl, message: Message) -> Vec<(u16, f64, Retry)> {
    let mut outbox = Outbox::default();
    gate.handle(1.0, &Parameters { idempotent: vec![true, false], ..params() }, message, &mut outbox);
    let level = |message| match message {
        Message::Send(Order::Admit { routes, level, retry, .. }) => (routes[0].0, level, retry),
        message => panic!("{message:?}"),
    };
    std::iter::from_fn(|| outbox.take_next_mailbox()).flat_map(|(_, messages)| messages).map(level).collect()
}

fn route(route: u16, ceiling: Option<f64>, again: Option<Retry>) -> Message {
    let routes = [(RouteId(route), RouteWish { ceiling, again })].into();
    Message::Input(Input::Wishes(Wishes { routes, ..Wishes::default() }))
}

#[test_case(0, Retry::Twice, Retry::Twice ; "as often as asked")]
#[test_case(1, Retry::Twice, Retry::IfNeverRan ; "but never so that a call may run twice")]
fn ceilings_and_tries_set_by_hand(of: u16, asked: Retry, expected: Retry) {
    let mut gate = gate([60.0, 40.0], 0.1, 100.0);
    assert_eq!(told(&mut gate, route(of, Some(0.6), Some(asked))), [(of, 0.6, expected)]);
    let undone = told(&mut gate, Message::Input(Input::Wishes(Wishes::default())));
    assert_eq!(undone, [(of, 1.0, Retry::IfNeverRan)], "taken back, it is as the settings have it");
}

#[test]
fn a_jam_cuts_below_a_ceiling_and_tries_nothing_again() {
    let mut gate = gate([60.0, 40.0], 0.9, 70.0);
    told(&mut gate, route(0, Some(0.9), Some(Retry::Twice)));
    let mut outbox = Outbox::default();
    gate.evaluate(1.0, &params(), &mut outbox);
    assert!(gate.levels[0] < 0.9 && gate.levels[1] == 1.0, "{:?}", gate.levels);
    let message = outbox
        .take_next_mailbox()
        .unwrap()
        .1
        .into_iter()
        .find(|message| matches!(message, Message::Send(Order::Admit { .. })));
    assert!(matches!(message, Some(Message::Send(Order::Admit { retry: Retry::Never, .. }))), "{message:?}");
}
