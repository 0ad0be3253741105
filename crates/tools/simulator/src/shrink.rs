//! Shrinking of a failing scenario, as in property testing: the fewest faults that still violate the same invariant.

use crate::invariants::Violation;
use crate::scenario::Scenario;
use crate::simulation::simulate;

/// Most runs in search of a smaller scenario.
const MAX_RUNS: usize = 400;

/// Simulates candidates until the runs are used up.
struct Candidates<'a> {
    rule: &'a str,
    runs: usize,
}

impl Candidates<'_> {
    /// How a candidate violates the invariant, if it does.
    fn violation(&mut self, candidate: &Scenario) -> Option<Violation> {
        self.runs += 1;
        if self.runs >= MAX_RUNS {
            return None;
        }
        simulate(candidate, false).violation.filter(|violation| violation.rule == self.rule)
    }

    fn fails(&mut self, candidate: &Scenario) -> bool {
        self.violation(candidate).is_some()
    }
}

/// A smaller scenario that violates the invariant `rule` as `scenario` does.
pub fn shrink(scenario: &Scenario, rule: &str) -> Scenario {
    let mut scenario = scenario.clone();
    let mut candidates = Candidates { rule, runs: 0 };
    if let Some(violation) = candidates.violation(&scenario) {
        scenario.faults.retain(|fault| fault.at * 1000 <= violation.at);
    }
    let mut chunk = scenario.faults.len().div_ceil(2).max(1);
    loop {
        let before = scenario.faults.len();
        remove_faults(&mut scenario, chunk, &mut candidates);
        if chunk == 1 {
            simplify_surroundings(&mut scenario, &mut candidates);
            if scenario.faults.len() == before {
                return scenario;
            }
        }
        chunk = (chunk / 2).max(1);
    }
}

/// Removes each chunk of faults, from the last to the first, without which the scenario still fails.
fn remove_faults(scenario: &mut Scenario, chunk: usize, candidates: &mut Candidates<'_>) {
    let mut end = scenario.faults.len();
    while end > 0 {
        let start = end.saturating_sub(chunk);
        let mut candidate = scenario.clone();
        candidate.faults.drain(start..end);
        if candidates.fails(&candidate) {
            *scenario = candidate;
        }
        end = start;
    }
}

/// Reduces what surrounds the faults.
fn simplify_surroundings(scenario: &mut Scenario, candidates: &mut Candidates<'_>) {
    let simplifications: [fn(&mut Scenario); 4] = [
        |scenario| scenario.endpoints = scenario.endpoints.min(2),
        |scenario| scenario.edges = 1,
        |scenario| scenario.order_interval = 4000,
        |scenario| scenario.final_fault = None,
    ];
    for simplify in simplifications {
        let mut candidate = scenario.clone();
        simplify(&mut candidate);
        if candidate != *scenario && candidates.fails(&candidate) {
            *scenario = candidate;
        }
    }
}
