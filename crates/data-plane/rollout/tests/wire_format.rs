//! Formats that builds of other versions read: edges send reports to the control plane, which stores plans and sends
//! them to edges. A change of these bytes breaks rolling upgrades or stored data.
use coppersail_rollout::evidence::{Counts, EvidenceRow};
use coppersail_rollout::lifecycle::RolloutCommand;
use coppersail_rollout::{
    AttemptEvidence, EvidenceRecorder, EvidenceReport, OutcomeKind, Phase, RolloutState, Variant,
};
use serde::{de::DeserializeOwned, Serialize};
use std::fmt::Debug;

/// Asserts that the value is serialised as exactly this text, and that the text is parsed as an equal value.
fn assert_text<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: T, text: &str) {
    assert_eq!(serde_json::to_string(&value).unwrap(), text);
    assert_eq!(serde_json::from_str::<T>(text).unwrap(), value);
}

fn report() -> EvidenceReport {
    let new = Counts {
        all: [9, 1, 2, 3, 4, 5, 6, 7],
        lost_at: vec![("10.0.0.1:80".into(), 4)],
        slow_at: vec![("10.0.0.2:80".into(), 5)],
        times: vec![(12, 3), (40, 1)],
    };
    let old = Counts { all: [1, 1, 0, 0, 0, 0, 0, 0], ..Counts::default() };
    let row = EvidenceRow {
        plan: "friday".into(),
        number: 7,
        window: 30,
        route: "search".into(),
        revision: 11,
        new,
        control: old,
    };
    EvidenceReport { edge: "10.0.9.9".into(), incarnation: 5, zone: "north".into(), rows: vec![row] }
}

#[test]
fn a_rollout_report_keeps_its_bytes() {
    let text = concat!(
        r#"{"edge":"10.0.9.9","life":5,"area":"north","rows":[{"p":"friday","v":7,"b":30,"r":"search","c":11,"#,
        r#""new":{"n":[9,1,2,3,4,5,6,7],"l":[["10.0.0.1:80",4]],"s":[["10.0.0.2:80",5]],"t":[[12,3],[40,1]]},"#,
        r#""old":{"n":[1,1,0,0,0,0,0,0]}}]}"#,
    );
    assert_text(report(), text);
    assert_text(EvidenceReport::default(), r#"{"edge":"","life":0,"area":"","rows":[]}"#);
}

#[test]
fn each_kind_of_outcome_keeps_its_index_and_each_variant_its_name_in_a_row() {
    let table = [
        (OutcomeKind::Offered, "[1,0,0,0,0,0,0,0]", ""),
        (OutcomeKind::Good, "[0,1,0,0,0,0,0,0]", ""),
        (OutcomeKind::Late, "[0,0,1,0,0,0,0,0]", r#","s":[["h",1]]"#),
        (OutcomeKind::Failed, "[0,0,0,1,0,0,0,0]", r#","s":[["h",1]]"#),
        (OutcomeKind::Lost, "[0,0,0,0,1,0,0,0]", r#","l":[["h",1]]"#),
        (OutcomeKind::DuplicateResponse, "[0,0,0,0,0,1,0,0]", ""),
        (OutcomeKind::InvalidResponse, "[0,0,0,0,0,0,1,0]", r#","l":[["h",1]]"#),
        (OutcomeKind::Excluded, "[0,0,0,0,0,0,0,1]", ""),
    ];
    let zero = r#"{"n":[0,0,0,0,0,0,0,0]}"#;
    for (kind, counts, lists) in table {
        for variant in [Variant::New, Variant::Control] {
            let mut recorder = EvidenceRecorder::new("e", 1, "a");
            let (latency, host) = (Some(8), Some("h"));
            let attempt = AttemptEvidence { plan: "p", number: 3, route: "r", variant, kind, latency, host };
            recorder.record_outcome(2000, &attempt);
            // Slow hosts are reported for the new version only.
            let lists = if variant == Variant::Control && lists.contains("\"s\"") { "" } else { lists };
            let counted = format!(r#"{{"n":{counts}{lists},"t":[[8,1]]}}"#);
            let (new, old) =
                if variant == Variant::New { (counted.as_str(), zero) } else { (zero, counted.as_str()) };
            let row = format!(r#"{{"p":"p","v":3,"b":1,"r":"r","c":1,"new":{new},"old":{old}}}"#);
            let report = recorder.report(4000, 10_000).unwrap();
            assert_text(report, &format!(r#"{{"edge":"e","life":1,"area":"a","rows":[{row}]}}"#));
        }
    }
}

#[test]
fn a_stored_plan_keeps_its_bytes_in_each_phase() {
    let table = [
        (Phase::Running, r#""running""#),
        (Phase::Frozen, r#""frozen""#),
        (Phase::Withdrawn, r#""withdrawn""#),
        (Phase::Done, r#""done""#),
        (Phase::Ended, r#""ended""#),
    ];
    for (phase, word) in table {
        assert_text(phase, word);
        let (name, reason, body) = ("friday".into(), "by hand".into(), "{\"service\": 1}".into());
        let state = RolloutState { name, number: 4, phase, step: 2, run: 3, elapsed_ms: 9000, reason, body };
        let text = concat!(
            r#"{"name":"friday","number":4,"phase":PHASE,"step":2,"run":3,"ran":9000,"why":"by hand","#,
            r#""body":"{\"service\": 1}"}"#,
        );
        assert_text(state, &text.replace("PHASE", word));
    }
}

#[test]
fn a_submitted_plan_is_stored_as_the_operator_sent_it() {
    let body = concat!(
        r#"{"service": "s", "from": {"revision": "v1"}, "to": {"revision": "v2"}, "routes": ["r"], "member": "m","#,
        r#" "steps": [{"share": 0.1, "least": "5s", "evidence": 9, "pass": "operator"}],"#,
        r#" "bounds": {"late": 0.03, "lost": 0.002, "doubled": 1}, "error": 0.02, "pause": "freeze","#,
        r#" "lease": "3s", "ends": "60s"}"#,
    );
    let state = RolloutState::submit("friday", body, None).unwrap();
    let text = concat!(
        r#"{"name":"friday","number":1,"phase":"running","step":0,"run":1,"ran":0,"why":"submitted","#,
        r#""body":BODY}"#,
    );
    assert_text(state.clone(), &text.replace("BODY", &format!("{body:?}")));
    let plan = state.plan();
    assert_eq!(
        (plan.service.as_str(), plan.routes.len(), plan.session_header.as_deref()),
        ("s", 1, Some("m"))
    );
    assert_eq!(
        (plan.steps[0].share, plan.steps[0].min_duration.as_secs(), plan.steps[0].min_answers),
        (0.1, 5, 9)
    );
    assert_eq!(
        (plan.bounds.late, plan.bounds.lost, plan.bounds.doubled, plan.false_alarm_rate),
        (0.03, 0.002, 1, 0.02)
    );
    assert_eq!((plan.lease.as_secs(), plan.max_duration.as_secs()), (3, 60));
}

#[test]
fn each_command_keeps_its_name() {
    let table = [
        ("pause", RolloutCommand::Pause),
        ("resume", RolloutCommand::Resume),
        ("pass", RolloutCommand::Promote),
        ("undo", RolloutCommand::RollBack),
        ("end", RolloutCommand::End),
    ];
    table.iter().for_each(|(word, command)| assert_eq!(RolloutCommand::from_name(word), Some(*command)));
}

#[test]
fn counts_without_their_lists_still_parse() {
    let counts: Counts = serde_json::from_str(r#"{"n":[1,2,3,4,5,6,7,8]}"#).unwrap();
    assert_eq!(counts, Counts { all: [1, 2, 3, 4, 5, 6, 7, 8], ..Counts::default() });
}

/// A member keeps its variant when edges of different builds serve it, so the positions are part of the protocol.
#[test]
fn positions_in_a_share_agree_across_builds() {
    let position = coppersail_rollout::share::position;
    assert_eq!(position("ledger", "friday", b"10.1.2.3"), 0.9498801664497901);
    assert_eq!(position("a", "p", b""), 0.33419988055692385);
    assert_eq!(position("ledger", "friday", b"\xff\x00session"), 0.08864703815636643);
}

#[test]
fn log_lines_call_the_variants_new_and_old() {
    use coppersail_rollout::Variant;
    assert_eq!([Variant::New.to_string(), Variant::Control.to_string()], ["New", "Old"]);
}
