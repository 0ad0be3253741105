//! Searches for a scenario on which a policy does badly.

use super::outcome::play;
use crate::policy::Kind;
use crate::scenario::{Fault, FaultKind, Scenario};
use fastrand::Rng;
use std::ops::Range;

/// How many faults a drawn scenario begins with.
const DRAWN_FAULTS: Range<usize> = 1..4;
/// How many faults a scenario may have.
const MAX_FAULTS: usize = 5;
/// How many kinds of faults are drawn.
const FAULT_KINDS: u8 = 12;

/// What makes a scenario bad for a policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HuntObjective {
    /// How far its service is behind that of the policy that sees the true state.
    ServiceGap,
    /// How often a rule is violated.
    RuleViolations,
}

/// The worst scenario that a hunt has found.
#[derive(Clone, Debug, PartialEq)]
pub struct WorstScenario {
    /// The scenario.
    pub scenario: Scenario,
    /// How bad it is.
    pub score: f64,
}

/// Looks for a scenario that is bad for the policy, in so many plays: the first half by random faults, the second by
/// changing the worst scenario that was found.
pub fn hunt(
    base: &Scenario,
    policy: Kind,
    plays: usize,
    seed: u64,
    objective: HuntObjective,
) -> WorstScenario {
    let mut rng = Rng::with_seed(seed);
    let score = |scenario: &Scenario| {
        let (outcome, _) = play(scenario, policy, seed);
        match objective {
            HuntObjective::RuleViolations => outcome.violations as f64,
            HuntObjective::ServiceGap => {
                let (ideal, _) = play(scenario, Kind::TrueState, seed);
                ideal.service - outcome.service
            }
        }
    };
    let mut worst = WorstScenario { scenario: base.clone(), score: score(base) };
    for number in 1..plays.max(1) {
        let candidate =
            if number < plays / 2 { drawn(base, &mut rng) } else { mutated(base, &worst.scenario, &mut rng) };
        let candidate_score = score(&candidate);
        if candidate_score > worst.score {
            worst = WorstScenario { scenario: candidate, score: candidate_score };
        }
    }
    worst
}

/// The base scenario with random faults instead of its own.
fn drawn(base: &Scenario, rng: &mut Rng) -> Scenario {
    let faults = (0..rng.usize(DRAWN_FAULTS)).map(|_| drawn_fault(base, rng)).collect();
    Scenario { faults, ..base.clone() }
}

/// The worst scenario with another fault, or with one of its faults replaced.
fn mutated(base: &Scenario, worst: &Scenario, rng: &mut Rng) -> Scenario {
    let mut scenario = worst.clone();
    if scenario.faults.is_empty() || rng.bool() {
        scenario.faults.push(drawn_fault(base, rng));
    } else {
        let index = rng.usize(0..scenario.faults.len());
        scenario.faults[index] = drawn_fault(base, rng);
    }
    scenario.faults.truncate(MAX_FAULTS);
    scenario
}

/// A random fault that lasts up to a third of the scenario. The order of the draws is part of what a seed gives.
fn drawn_fault(scenario: &Scenario, rng: &mut Rng) -> Fault {
    let what = drawn_kind(scenario, rng);
    let at = (0.1 + 0.6 * rng.f64()) * scenario.seconds;
    let lasts = (0.1 + 0.25 * rng.f64()) * scenario.seconds;
    Fault { at, duration: lasts, kind: what }
}

fn drawn_kind(scenario: &Scenario, rng: &mut Rng) -> FaultKind {
    let fleet = &scenario.fleet;
    // Drawn also for faults that have no share.
    let share = 0.1 + 0.4 * rng.f64();
    match rng.u8(0..FAULT_KINDS) {
        0 => FaultKind::Kill { share },
        1 => FaultKind::KillZone { zone: rng.u16(0..fleet.zones) },
        2 => FaultKind::Hang { share: share / 2.0 },
        3 => FaultKind::Slow { share, factor: 2.0 + 4.0 * rng.f64() },
        4 => FaultKind::Cut { zone: rng.u16(0..fleet.zones) },
        5 => FaultKind::Roll { share: 1.0, at_a_time: 1 + fleet.hosts / 6 },
        6 => FaultKind::ListLate { by: 2.0 + 6.0 * rng.f64() },
        7 => FaultKind::StoreDown,
        8 => FaultKind::KillDirector { director: rng.usize(0..fleet.directors) },
        9 => FaultKind::Flood { factor: 1.3 + 0.7 * rng.f64() },
        10 => {
            let route = rng.usize(0..scenario.load.routes.len());
            FaultKind::Cost { route, factor: 1.5 + 2.0 * rng.f64() }
        }
        _ => FaultKind::ReportsLost { share: 0.5 + 0.5 * rng.f64() },
    }
}
