//! Answers to health checks that are corrupt or none.

use super::new_reducer;
use crate::reducer::{Event, ProbeOutcome};
use coppersail::interface::{Input, Outcome};
use test_case::test_case;

#[test_case("q=1.0, lat_ms=20000", Some(1.0), Some(20.0) ; "sound, of a host that is slower than its callers wait")]
#[test_case("q=-1.0, lat_ms=500", None, Some(0.5) ; "negative")]
#[test_case("q=1e30, lat_ms=500", None, Some(0.5) ; "absurdly large")]
#[test_case("q=NaN, lat_ms=500", None, Some(0.5) ; "not finite")]
#[test_case("q=2, lat_ms=38654705664", Some(2.0), None ; "a time that cannot be")]
fn corrupt_figure_of_a_load_report_costs_only_itself(
    figures: &str,
    waiting: Option<f64>,
    service_time: Option<f64>,
) {
    let mut reducer = new_reducer();
    let host = reducer.names.host_id("h");
    let body = format!("TEXT {figures}").into_bytes();
    reducer
        .reduce(0.0, Event::ProbeFinished { host, outcome: ProbeOutcome::Status(200), duration: 0.1, body });
    let Some(Input::ProbeFinished { load, .. }) = reducer.outbox.inputs.pop() else { panic!("no answer") };
    assert_eq!((load.queued, load.service_time), (waiting, service_time));
    let is_corrupt = waiting.is_none() || service_time.is_none();
    assert_eq!(reducer.outbox.counters.load_figures_odd, is_corrupt as u64);
}

#[test]
fn unreadable_probe_answer_does_not_make_the_host_unreachable() {
    let mut reducer = new_reducer();
    let host = reducer.names.host_id("h");
    reducer.reduce(
        0.0,
        Event::ProbeFinished { host, outcome: ProbeOutcome::Unreadable, duration: 0.1, body: Vec::new() },
    );
    assert!(matches!(
        reducer.outbox.inputs[..],
        [Input::ProbeFinished { outcome: Outcome::ErrorResponse, .. }]
    ));
}
