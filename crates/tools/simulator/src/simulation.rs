//! The entry point: one run of a scenario.

use crate::invariants::rule;
use crate::outcome::Outcome;
use crate::scenario::Scenario;
use crate::world::World;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Simulates a scenario to its end, or to the first violation of an invariant. A panic of a node is one.
pub fn simulate(scenario: &Scenario, with_trace: bool) -> Outcome {
    let mut world = World::new(scenario, with_trace);
    let completed = catch_unwind(AssertUnwindSafe(|| world.run()));
    if completed.is_err() {
        world.record_violation(rule::PANIC, "see the panic's message".into());
    }
    world.into_outcome()
}
