//! Commands that search for a scenario: the smallest that still fails, and the worst day for a policy.

use coppersail_lab::experiment::{hunt as hunt_worst, play, shrunk, HuntObjective, WorstScenario};
use coppersail_lab::policy::Kind;
use coppersail_lab::Scenario;
use std::path::Path;

/// Prints the smallest part of the scenario's timeline that still fails its checks.
pub(crate) fn shrink(scenario: &Path, policy: &str, seed: u64) -> eyre::Result<bool> {
    let scenario = Scenario::read(scenario)?;
    let kind = Kind::named(policy)?;
    let fails = |scenario: &Scenario| play(scenario, kind, seed).0.failed(scenario).is_some();
    if !fails(&scenario) {
        println!("it does not fail its checks with this seed");
        return Ok(true);
    }
    let smallest = shrunk(&scenario, &fails);
    println!("{}", serde_json::to_string_pretty(&smallest)?);
    Ok(false)
}

/// Prints the worst scenario found in so many plays: by service, or with `rules` by how often rules were broken.
pub(crate) fn hunt(
    scenario: &Path,
    policy: &str,
    plays: usize,
    seed: u64,
    rules: bool,
) -> eyre::Result<bool> {
    let scenario = Scenario::read(scenario)?;
    let kind = Kind::named(policy)?;
    let objective = if rules { HuntObjective::RuleViolations } else { HuntObjective::ServiceGap };
    let WorstScenario { scenario: worst, score } = hunt_worst(&scenario, kind, plays, seed, objective);
    println!("{}", serde_json::to_string_pretty(&worst)?);
    let measure = if rules { "breaks of rules" } else { "service behind the true state" };
    eprintln!("{measure}: {score:.3}");
    Ok(!(rules && score > 0.0))
}
