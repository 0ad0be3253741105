//! Evidence that an edge records and reports.
use crate::evidence::{EvidenceReport, OutcomeKind, REPORT_WINDOW};
use crate::{AttemptEvidence, EvidenceRecorder, Variant};

/// A good attempt of the new version, without latency and host.
fn good_attempt(route: &str) -> AttemptEvidence<'_> {
    let (variant, kind) = (Variant::New, OutcomeKind::Good);
    AttemptEvidence { plan: "p", number: 1, route, variant, kind, latency: None, host: None }
}

#[test]
fn reports_are_limited_in_size_and_repeated_for_a_new_leader() {
    let mut recorder = EvidenceRecorder::new("10.0.0.1", 7, "z");
    for window in 0..20u64 {
        for n in 0..30u32 {
            let route = format!("route-{}", n % 3);
            let host = format!("host-{n}");
            let attempt = AttemptEvidence {
                variant: Variant::Control,
                latency: Some(u64::from(n) * 20),
                host: Some(&host),
                ..good_attempt(&route)
            };
            recorder.record_outcome(window * REPORT_WINDOW, &attempt);
        }
    }
    let mut rows = 0;
    while let Some(report) = recorder.report(60_000, 1_000) {
        let text = serde_json::to_string(&report).unwrap();
        assert!(text.len() <= 1_000, "{}", text.len());
        assert_eq!(serde_json::from_str::<EvidenceReport>(&text).unwrap(), report);
        rows += report.rows.len();
    }
    assert_eq!(rows, 60);
    assert!(recorder.report(60_000, 1_000).is_none());
    recorder.report_all_again();
    assert!(recorder.report(60_000, 1_000).is_some());
    for n in 0..100 {
        recorder.record_outcome(0, &good_attempt(&n.to_string()));
    }
    assert!(
        recorder.report(REPORT_WINDOW, 1 << 20).unwrap().rows.len() < 100,
        "routes beyond the limit share one row"
    );
}

#[test]
fn only_an_overloaded_host_is_reported_as_overloaded() {
    let (mut recorder, others) = (EvidenceRecorder::default(), ["a", "b", "c", "d"]);
    let host = |n: usize| if n.is_multiple_of(2) { "hot" } else { others[n / 2 % 4] };
    assert!((0..400).filter(|n| recorder.record_sent(0, host(*n), 2.0)).count() > 150);
    assert_eq!((0..400).filter(|n| recorder.record_sent(REPORT_WINDOW, others[n % 4], 2.0)).count(), 0);
}
