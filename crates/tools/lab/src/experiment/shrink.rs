//! Shrinks a scenario that fails to the smallest that still does, by greedy delta debugging.

use crate::scenario::Scenario;

/// How many plays a shrinking may take.
const MAX_PLAYS: usize = 200;
/// Faults are not made shorter than this, in seconds.
const MIN_FAULT_SECONDS: f64 = 0.5;
/// Scenarios are not made shorter than this, in seconds.
const MIN_SCENARIO_SECONDS: f64 = 5.0;
/// What is left of a scenario after its last fault, in seconds.
const SECONDS_AFTER_FAULTS: f64 = 5.0;
/// A shorter scenario has at most this share of the former one's time.
const SHORTER_SHARE: f64 = 0.75;

/// The smallest part of a scenario that still fails: faults are removed, then made shorter, then the scenario itself
/// is, as long as it fails.
pub fn shrunk(scenario: &Scenario, fails: &dyn Fn(&Scenario) -> bool) -> Scenario {
    let mut smallest = scenario.clone();
    let mut plays = 0;
    while plays < MAX_PLAYS {
        let smaller = smaller_scenarios(&smallest).into_iter().find(|candidate| {
            plays += 1;
            plays < MAX_PLAYS && fails(candidate)
        });
        match smaller {
            Some(candidate) => smallest = candidate,
            None => break,
        }
    }
    smallest
}

/// What may be tried next, in order.
fn smaller_scenarios(scenario: &Scenario) -> Vec<Scenario> {
    let mut candidates = without_one_fault(scenario);
    candidates.extend(with_one_shorter_fault(scenario));
    candidates.extend(with_less_time(scenario));
    candidates
}

fn without_one_fault(scenario: &Scenario) -> Vec<Scenario> {
    let mut candidates = Vec::new();
    for index in 0..scenario.faults.len() {
        let mut without = scenario.clone();
        without.faults.remove(index);
        candidates.push(without);
    }
    candidates
}

fn with_one_shorter_fault(scenario: &Scenario) -> Vec<Scenario> {
    let mut candidates = Vec::new();
    for index in 0..scenario.faults.len() {
        let mut shorter = scenario.clone();
        shorter.faults[index].duration /= 2.0;
        if shorter.faults[index].duration >= MIN_FAULT_SECONDS {
            candidates.push(shorter);
        }
    }
    candidates
}

fn with_less_time(scenario: &Scenario) -> Option<Scenario> {
    let last_fault = scenario.faults.iter().map(|fault| fault.at + fault.duration).fold(0.0, f64::max);
    let seconds = (last_fault + SECONDS_AFTER_FAULTS).min(SHORTER_SHARE * scenario.seconds);
    (seconds >= MIN_SCENARIO_SECONDS).then(|| Scenario { seconds, ..scenario.clone() })
}
