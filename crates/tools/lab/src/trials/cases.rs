//! The cases: each of some changes, with each of some faults near it.

use crate::scenario::{Change, Fault, FaultKind, Scenario};

/// When the change is submitted, in seconds: the director's analysis wants a minute before it.
pub(super) const SUBMITTED_AT: f64 = 62.0;
/// Length of a play, in seconds: a trial, and one more if the change is set aside.
const PLAY_SECONDS: f64 = SUBMITTED_AT + 200.0;
/// Seconds from the change to the fault: near it on purpose, as the fault must not be put to the change's account.
const FAULT_DELAY: f64 = 3.0;
/// How long the fault lasts, in seconds.
const FAULT_SECONDS: f64 = 15.0;
/// Share of the fleet's capacity that is asked for.
const FILL: f64 = 0.55;

/// A change, whether callers lose by it, and what else befalls the fleet.
pub struct Case {
    /// The change, in words.
    pub change: &'static str,
    /// Callers lose by it.
    pub harmful: bool,
    /// The fault beside it, in words.
    pub fault: &'static str,
    /// What is played.
    pub(super) scenario: Scenario,
}

/// A change to try.
struct TriedChange {
    name: &'static str,
    harmful: bool,
    /// Fields of the operators' configuration.
    fields: Vec<String>,
    /// The value of each of these fields.
    value: &'static str,
}

/// A fault that happens beside a change.
struct ConcurrentFault {
    name: &'static str,
    what: Option<FaultKind>,
}

/// All cases, in the order of the table.
pub fn cases() -> Vec<Case> {
    let mut cases = Vec::new();
    for change in changes() {
        for fault in faults() {
            cases.push(Case {
                change: change.name,
                harmful: change.harmful,
                fault: fault.name,
                scenario: scenario(&change, fault.what),
            });
        }
    }
    cases
}

fn scenario(change: &TriedChange, what: Option<FaultKind>) -> Scenario {
    let fault =
        what.map(|what| Fault { at: SUBMITTED_AT + FAULT_DELAY, duration: FAULT_SECONDS, kind: what });
    let set = change.fields.iter().map(|field| (field.clone(), change.value.to_string())).collect();
    let mut scenario = Scenario {
        seconds: PLAY_SECONDS,
        faults: fault.into_iter().collect(),
        changes: vec![Change { at: SUBMITTED_AT, set, trial: None }],
        ..Scenario::default()
    };
    scenario.load.utilization = FILL;
    scenario
}

fn changes() -> Vec<TriedChange> {
    let harmful = |name, fields, value| TriedChange { name, harmful: true, fields, value };
    let harmless = |name, fields, value| TriedChange { name, harmful: false, fields, value };
    let admission = || vec!["routes.read.ceiling".to_string()];
    let zones = (0..3).map(|zone| format!("zones.z{zone}.weight")).collect();
    let slices = (0..4).map(|slice| format!("apart.{slice}.h{slice}")).collect();
    vec![
        harmful("a tenth of a route held back", admission(), "0.9"),
        harmful("half of a route held back", admission(), "0.5"),
        harmful("seven of twelve hosts drained", host_fields(7, "drained"), "true"),
        harmful("one host weighs 40 times", host_fields(1, "weight"), "40"),
        harmless("a host drained", host_fields(1, "drained"), "true"),
        harmless("a host weighs half", host_fields(1, "weight"), "0.5"),
        harmless("all zones weigh the same", zones, "0.9"),
        harmless("slices kept apart", slices, "true"),
    ]
}

/// A field of each of the first `count` hosts.
fn host_fields(count: u32, field: &str) -> Vec<String> {
    (0..count).map(|host| format!("hosts.h{host}.{field}")).collect()
}

fn faults() -> Vec<ConcurrentFault> {
    let fault = |name, what| ConcurrentFault { name, what };
    vec![
        fault("none", None),
        fault("a quarter dies", Some(FaultKind::Kill { share: 0.25 })),
        fault("a flood", Some(FaultKind::Flood { factor: 2.0 })),
        fault("a zone cut", Some(FaultKind::Cut { zone: 1 })),
        fault("a quarter slow", Some(FaultKind::Slow { share: 0.25, factor: 4.0 })),
    ]
}
