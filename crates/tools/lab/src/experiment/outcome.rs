//! One play, and its figures in a line.

use crate::policy::Kind;
use crate::scenario::Scenario;
use crate::World;
use serde::{Deserialize, Serialize};

/// Figures are rounded to so many steps in 1, so that they come back from a file as they went in.
const ROUNDING_SCALE: f64 = 1e6;

/// The figures of one play. Service is the importance of the calls that were answered within their latency target, over
/// that of all calls, from 0 to 1.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Outcome {
    /// The scenario's name.
    pub scenario: String,
    /// The policy that was played.
    pub policy: Kind,
    /// The seed.
    pub seed: u64,
    /// Service of the whole play.
    pub service: f64,
    /// Service in the worst ten seconds.
    #[serde(rename = "worst")]
    pub worst_window: f64,
    /// Service of the worst route.
    pub worst_route: f64,
    /// Violations of the five rules.
    #[serde(rename = "broken")]
    pub violations: u64,
    /// Calls that arrived.
    pub calls: u64,
    /// Events that were simulated.
    pub events: u64,
    /// Table lines that were written, summed over the proxies.
    pub lines: f64,
}

/// Plays a scenario: in real time if the policy is the director's binary, else in simulated time.
pub fn play(scenario: &Scenario, kind: Kind, seed: u64) -> (Outcome, World) {
    let world = World::new(scenario, kind, seed);
    let world = if kind == Kind::Process { world.run_live() } else { world.run() };
    (Outcome::of(&world, kind, seed), world)
}

impl Outcome {
    /// The figures of a play that is over.
    pub fn of(world: &World, kind: Kind, seed: u64) -> Outcome {
        let measured = &world.measured;
        Outcome {
            scenario: world.scenario.name.clone(),
            policy: kind,
            seed,
            service: rounded(measured.service()),
            worst_window: rounded(measured.worst_window()),
            worst_route: rounded(measured.worst_route()),
            violations: world.rules.many,
            calls: measured.seconds.iter().map(|second| u64::from(second.calls)).sum(),
            events: measured.events,
            lines: measured.seconds.iter().map(|second| second.table_lines).sum(),
        }
    }

    /// The first of the scenario's checks that does not hold, in words.
    pub fn failed(&self, scenario: &Scenario) -> Option<String> {
        let checks = &scenario.checks;
        if checks.rules && self.violations > 0 {
            return Some(format!("{} breaks of rules", self.violations));
        }
        if self.service < checks.min_service {
            let least = checks.min_service;
            return Some(format!("service {:.3}, expected {least:.3} at least", self.service));
        }
        if self.worst_window < checks.min_worst_service {
            let least = checks.min_worst_service;
            return Some(format!("worst ten seconds {:.3}, expected {least:.3} at least", self.worst_window));
        }
        None
    }
}

fn rounded(share: f64) -> f64 {
    (share * ROUNDING_SCALE).round() / ROUNDING_SCALE
}
