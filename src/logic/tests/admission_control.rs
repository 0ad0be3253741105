//! Tests of admission control.

use super::*;
use test_case::test_case;

fn admission_control(calls: [f64; 2], response_time: f64, answered: f64) -> AdmissionControl {
    let mut admission =
        AdmissionControl { calls: calls.to_vec(), levels: vec![1.0; 2], ..AdmissionControl::default() };
    admission.response_times.add(BINS, response_time, answered, 0.0);
    admission
}

#[test_case(0.2, 100.0, None ; "no reduction while answers are quick")]
#[test_case(0.9, 90.0, Some(76.5) ; "slow answers: below the answered rate")]
#[test_case(0.9, 20.0, Some(70.0) ; "reduced by at most three tenths")]
fn target_rate_follows_overload(mean_response_time: f64, answered: f64, target: Option<f64>) {
    let mut admission = admission_control([60.0, 40.0], mean_response_time, answered);
    admission.evaluate(1.0, &params(), &mut Outbox::default());
    assert_eq!(admission.target_rate, target);
}

#[test]
fn route_of_least_value_is_reduced_first_and_recovers() {
    let mut admission = admission_control([60.0, 40.0], 0.9, 70.0);
    admission.evaluate(1.0, &params(), &mut Outbox::default());
    assert!((admission.levels[0] - 0.5).abs() < 0.01 && admission.levels[1] == 1.0, "{:?}", admission.levels);
    admission.calls = vec![60.0, 40.0];
    admission.levels[0] = 0.5;
    for at in (3..30).step_by(2) {
        admission.calls = vec![120.0, 80.0];
        admission.response_times.add(BINS, 0.1, 160.0, 0.0);
        admission.evaluate(at as f64, &params(), &mut Outbox::default());
    }
    assert_eq!(admission.levels, [1.0, 1.0], "all recover while answers are quick");
}

// In a rolling restart, a director that took over slices kept its previous target rate, and rejected half of all calls
// for ten seconds although answers were quick.
#[test_case(2, 1.0, 50.0 ; "same number of slices")]
#[test_case(4, 1.0, 100.0 ; "twice as many slices: twice the calls are admitted")]
#[test_case(4, 0.5, 50.0 ; "just assigned: the calls are not fully counted")]
fn target_rate_grows_with_the_assigned_slices(slices: u16, since_assigned: f64, target: f64) {
    let mut admission = AdmissionControl {
        target_rate: Some(50.0),
        evaluated_slices: 2,
        evaluated_at: 10.0,
        ..admission_control([200.0, 0.0], 0.2, 200.0)
    };
    admission.reduced_at = 11.0;
    for slice in 0..slices {
        admission.add_slice(10.0 - since_assigned, SliceId(slice));
    }
    admission.evaluate(11.0, &params(), &mut Outbox::default());
    assert_eq!(admission.target_rate, Some(target));
}

#[test]
fn calls_of_a_reduced_route_are_not_retried() {
    let mut admission = admission_control([60.0, 40.0], 0.9, 70.0);
    let mut outbox = Outbox::default();
    admission.evaluate(1.0, &params(), &mut outbox);
    let messages: Vec<Message> = outbox.take_next_mailbox().unwrap().1.into_iter().collect();
    assert!(!messages.is_empty());
    assert!(messages.iter().all(|message| matches!(
        message,
        Message::Send(Order::SetAdmission { retry: RetryPolicy::Never, .. })
    )));
}

#[test]
fn levels_stay_while_proxies_are_unreachable() {
    let mut admission = admission_control([60.0, 40.0], 0.9, 70.0);
    admission.evaluate(1.0, &params(), &mut Outbox::default());
    let before = admission.levels.clone();
    admission.evaluate(3.0, &params(), &mut Outbox::default());
    assert_eq!(admission.levels, before);
}

#[test_case(0.2, 0.0, 0.5, None ; "quick answers: a route or connections fail")]
#[test_case(0.35, 0.0, 0.5, Some(76.5) ; "slow answers confirm that hosts are overloaded")]
#[test_case(0.35, 0.4, 0.5, None ; "idle cores show that hosts are not overloaded")]
fn dropped_calls_count_as_overload_only_at_busy_or_slow_hosts(
    mean_response_time: f64,
    utilisation: f64,
    dropped: f64,
    target: Option<f64>,
) {
    let mut admission =
        AdmissionControl { utilisation, ..admission_control([60.0, 40.0], mean_response_time, 90.0) };
    admission.response_times.dropped = 90.0 * dropped / (1.0 - dropped);
    admission.evaluate(1.0, &params(), &mut Outbox::default());
    assert_eq!(admission.target_rate, target);
}

fn sent_levels(admission: &mut AdmissionControl, message: Message) -> Vec<(u16, f64, RetryPolicy)> {
    let mut outbox = Outbox::default();
    admission.handle(1.0, &Parameters { idempotent: vec![true, false], ..params() }, message, &mut outbox);
    let level = |message| match message {
        Message::Send(Order::SetAdmission { routes, level, retry, .. }) => (routes[0].0, level, retry),
        message => panic!("{message:?}"),
    };
    std::iter::from_fn(|| outbox.take_next_mailbox()).flat_map(|(_, messages)| messages).map(level).collect()
}

fn route_override(route: u16, admission_limit: Option<f64>, retry_policy: Option<RetryPolicy>) -> Message {
    let routes = [(RouteId(route), RouteOverride { admission_limit, retry_policy })].into();
    Message::Input(Input::OverridesChanged(OperatorOverrides { routes, ..OperatorOverrides::default() }))
}

#[test_case(0, RetryPolicy::Twice, RetryPolicy::Twice ; "as overridden")]
#[test_case(1, RetryPolicy::Twice, RetryPolicy::IfNotExecuted ; "no retry that could run a non-idempotent call twice")]
fn overrides_of_limit_and_retries_are_applied_and_lifted(
    route: u16,
    requested: RetryPolicy,
    expected: RetryPolicy,
) {
    let mut admission = admission_control([60.0, 40.0], 0.1, 100.0);
    assert_eq!(
        sent_levels(&mut admission, route_override(route, Some(0.6), Some(requested))),
        [(route, 0.6, expected)]
    );
    let lifted =
        sent_levels(&mut admission, Message::Input(Input::OverridesChanged(OperatorOverrides::default())));
    assert_eq!(
        lifted,
        [(route, 1.0, RetryPolicy::IfNotExecuted)],
        "once lifted, the default of the settings applies"
    );
}

#[test]
fn overload_reduces_below_an_operators_limit() {
    let mut admission = admission_control([60.0, 40.0], 0.9, 70.0);
    sent_levels(&mut admission, route_override(0, Some(0.9), Some(RetryPolicy::Twice)));
    let mut outbox = Outbox::default();
    admission.evaluate(1.0, &params(), &mut outbox);
    assert!(admission.levels[0] < 0.9 && admission.levels[1] == 1.0, "{:?}", admission.levels);
    let message = outbox
        .take_next_mailbox()
        .unwrap()
        .1
        .into_iter()
        .find(|message| matches!(message, Message::Send(Order::SetAdmission { .. })));
    assert!(
        matches!(message, Some(Message::Send(Order::SetAdmission { retry: RetryPolicy::Never, .. }))),
        "{message:?}"
    );
}
