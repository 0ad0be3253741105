//! Health checks whose answers are corrupt.

use super::new_reducer;
use crate::reducer::{Event, ProbeOutcome};
use coppersail::interface::{Input, Outcome};
use test_case::test_case;

#[test_case("q=1.0, lat_ms=20000", Some(1.0), Some(20.0) ; "valid, of a host that is slower than its callers' time limits")]
#[test_case("q=-1.0, lat_ms=500", None, Some(0.5) ; "negative")]
#[test_case("q=1e30, lat_ms=500", None, Some(0.5) ; "implausibly large")]
#[test_case("q=NaN, lat_ms=500", None, Some(0.5) ; "not finite")]
#[test_case("q=2, lat_ms=38654705664", Some(2.0), None ; "an impossible time")]
fn corrupt_figure_of_a_load_report_is_ignored_and_the_others_used(
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
