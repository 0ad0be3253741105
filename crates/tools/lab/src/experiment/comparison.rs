//! Comparisons of policies: a table of means, paired differences, and ranks beside other scores.

use super::outcome::Outcome;
use crate::policy::Kind;
use crate::stats::{paired, spearman, Estimate};
use std::collections::{BTreeMap, BTreeSet};

/// How much better one policy is than another on the same seeds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Difference {
    /// Difference in service.
    pub service: Estimate,
    /// Difference in service of the worst ten seconds.
    pub worst: Estimate,
}

/// Policy `new` against `old` in a scenario, on the seeds that both have played.
pub fn compared(outcomes: &[Outcome], scenario: &str, old: Kind, new: Kind) -> Difference {
    let of = |policy: Kind| {
        outcomes.iter().filter(move |outcome| outcome.scenario == scenario && outcome.policy == policy)
    };
    let mut pairs: Vec<(&Outcome, &Outcome)> = Vec::new();
    for first in of(old) {
        if let Some(second) = of(new).find(|second| second.seed == first.seed) {
            pairs.push((first, second));
        }
    }
    let estimate = |figure: fn(&Outcome) -> f64| {
        let differences: Vec<f64> =
            pairs.iter().map(|(first, second)| figure(second) - figure(first)).collect();
        paired(&differences)
    };
    Difference {
        service: estimate(|outcome| outcome.service),
        worst: estimate(|outcome| outcome.worst_window),
    }
}

/// A Markdown table of means, with a row for each scenario and policy.
pub fn table(outcomes: &[Outcome]) -> String {
    let mut rows: BTreeMap<(&str, Kind), Vec<&Outcome>> = BTreeMap::new();
    for outcome in outcomes {
        rows.entry((&outcome.scenario, outcome.policy)).or_default().push(outcome);
    }
    let mut text = String::from(
        "| scenario | policy | seeds | service | worst 10 s | worst route | rules broken | lines |\n",
    );
    text += "| --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for ((scenario, policy), outcomes) in rows {
        text += &table_row(scenario, policy, &outcomes);
    }
    text
}

fn table_row(scenario: &str, policy: Kind, outcomes: &[&Outcome]) -> String {
    let plays = outcomes.len();
    let mean = |figure: fn(&Outcome) -> f64| {
        outcomes.iter().map(|outcome| figure(outcome)).sum::<f64>() / plays as f64
    };
    let with_violations = outcomes.iter().filter(|outcome| outcome.violations > 0).count();
    format!(
        "| {scenario} | {} | {plays} | {:.3} | {:.3} | {:.3} | {with_violations} of {plays} | {:.0} |\n",
        policy.name(),
        mean(|outcome| outcome.service),
        mean(|outcome| outcome.worst_window),
        mean(|outcome| outcome.worst_route),
        mean(|outcome| outcome.lines),
    )
}

/// A policy's score elsewhere, beside its mean service here.
struct ScoredPolicy {
    name: String,
    score: f64,
    service: f64,
}

/// Markdown tables of how the lab orders policies beside `scores` that something else gave them: the rank correlation
/// over all scenarios, and for each one. Scores are by the last word of a policy's name.
pub fn ranked(outcomes: &[Outcome], scores: &BTreeMap<String, f64>) -> String {
    let everything: Vec<&Outcome> = outcomes.iter().collect();
    let mut all = scored_policies(&everything, scores);
    all.sort_by(|a, b| a.score.total_cmp(&b.score));

    let mut text = String::from("| build | there | here |\n| --- | --- | --- |\n");
    for policy in &all {
        text += &format!("| {} | {:.3} | {:.3} |\n", policy.name, policy.score, policy.service);
    }
    text += &format!(
        "\nrank correlation over {} builds: {}\n\n| scenario | rank correlation |\n| --- | --- |\n",
        all.len(),
        rank_correlation(&all)
    );
    let scenarios: BTreeSet<&str> = outcomes.iter().map(|outcome| outcome.scenario.as_str()).collect();
    for scenario in scenarios.into_iter().filter(|scenario| !scenario.is_empty()) {
        let within: Vec<&Outcome> = outcomes.iter().filter(|outcome| outcome.scenario == scenario).collect();
        let correlation = rank_correlation(&scored_policies(&within, scores));
        text += &format!("| {scenario} | {correlation} |\n");
    }
    text
}

/// The policies that have a score, by name, with their mean service in `outcomes`.
fn scored_policies(outcomes: &[&Outcome], scores: &BTreeMap<String, f64>) -> Vec<ScoredPolicy> {
    let mut services: BTreeMap<String, Vec<f64>> = BTreeMap::new();
    for outcome in outcomes {
        let name = outcome.policy.name();
        let last_word = name.rsplit(' ').next().unwrap_or_default();
        services.entry(last_word.to_string()).or_default().push(outcome.service);
    }
    let mut policies = Vec::new();
    for (name, services) in services {
        if let Some(score) = scores.get(&name) {
            let service = services.iter().sum::<f64>() / services.len() as f64;
            policies.push(ScoredPolicy { name, score: *score, service });
        }
    }
    policies
}

fn rank_correlation(policies: &[ScoredPolicy]) -> String {
    let pairs: Vec<(f64, f64)> = policies.iter().map(|policy| (policy.score, policy.service)).collect();
    spearman(&pairs).map_or("-".to_string(), |rho| format!("{rho:+.2}"))
}
