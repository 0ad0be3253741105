//! Commands that play many scenarios, policies or seeds and print a table.

use super::{cores, read_scenarios};
use crate::input_error::InputError;
use coppersail_lab::experiment::{self, agreement, compared, ranked, table, Difference, Outcome};
use coppersail_lab::policy::{Kind, UnknownPolicy};
use coppersail_lab::{trials as operator_trials, Scenario};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// Plays every scenario with every policy on the seeds from 1; `results` is continued if it has results.
pub(crate) fn grid(
    scenarios: &[PathBuf],
    policies: &[String],
    seeds: u64,
    results: Option<&Path>,
    threads: usize,
) -> eyre::Result<bool> {
    let scenarios = read_scenarios(scenarios)?;
    let kinds = policies.iter().map(|name| Kind::named(name)).collect::<Result<Vec<_>, UnknownPolicy>>()?;
    let outcomes = experiment::grid(&scenarios, &kinds, 1..1 + seeds, threads, results, &print_progress)?;
    eprintln!();
    println!("{}", table(&outcomes));
    Ok(true)
}

/// Compares policy `b` against `a` on the same seeds, with 95% intervals.
pub(crate) fn compare(scenario: &Path, a: &str, b: &str, seeds: u64) -> eyre::Result<bool> {
    let scenario = Scenario::read(scenario)?;
    let kinds = [Kind::named(a)?, Kind::named(b)?];
    let scenarios = std::slice::from_ref(&scenario);
    let outcomes = experiment::grid(scenarios, &kinds, 1..1 + seeds, cores(), None, &|_, _| {})?;
    println!("{}", table(&outcomes));
    let Difference { service, worst } = compared(&outcomes, &scenario.name, kinds[0], kinds[1]);
    println!(
        "{b} against {a}, {seeds} seeds: service {:+.4} ±{:.4}, worst ten seconds {:+.4} ±{:.4}",
        service.mean, service.half_width, worst.mean, worst.half_width
    );
    Ok(true)
}

/// Plays every scenario of a folder once and holds each to its checks.
pub(crate) fn check(folder: &Path, policy: &str) -> eyre::Result<bool> {
    let kind = Kind::named(policy)?;
    let scenarios = read_scenarios(&scenario_files(folder)?)?;
    let outcomes = experiment::grid(&scenarios, &[kind], 1..2, cores(), None, &|_, _| {})?;
    println!("{}", table(&outcomes));
    let mut passed = true;
    for (scenario, outcome) in scenarios.iter().zip(&outcomes) {
        if let Some(reason) = outcome.failed(scenario) {
            println!("failed: {}: {reason}", scenario.name);
            passed = false;
        }
    }
    Ok(passed)
}

/// The scenarios in a folder, by name.
fn scenario_files(folder: &Path) -> Result<Vec<PathBuf>, InputError> {
    let entries = std::fs::read_dir(folder).map_err(InputError::file(folder))?;
    let mut files: Vec<PathBuf> = entries
        .filter_map(|entry| Some(entry.ok()?.path()))
        .filter(|path| path.extension().is_some_and(|ending| ending == "jsonnet" || ending == "json"))
        .collect();
    files.sort();
    Ok(files)
}

/// Plays scenarios in simulated and in real time; true if all agree.
pub(crate) fn agree(scenarios: &[PathBuf], seeds: u64) -> eyre::Result<bool> {
    let scenarios = read_scenarios(scenarios)?;
    println!("| scenario | simulated | real time | worst 10 s, simulated | real time | rules broken | behind | agree |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    let all = agreement(&scenarios, seeds);
    for agreement in &all {
        println!("{}", agreement.row());
    }
    Ok(all.len() == scenarios.len() && all.iter().all(|agreement| agreement.holds()))
}

/// Orders policies by the results of a grid, beside other scores of theirs.
pub(crate) fn rank(results: &Path, scores: &Path) -> eyre::Result<bool> {
    let read = |path: &Path| std::fs::read_to_string(path).map_err(InputError::file(path));
    let results = read(results)?;
    let outcomes: Vec<Outcome> = results.lines().filter_map(|line| serde_json::from_str(line).ok()).collect();
    let known = parse_scores(scores, &read(scores)?)?;
    println!("{}", ranked(&outcomes, &known));
    Ok(true)
}

/// Lines of a name and a figure.
fn parse_scores(path: &Path, text: &str) -> Result<BTreeMap<String, f64>, InputError> {
    let parse = |(index, line): (usize, &str)| {
        let error = || InputError::Score { path: path.to_path_buf(), line: index + 1 };
        let (name, figure) = line.split_once(' ').ok_or_else(error)?;
        Ok((name.to_string(), figure.trim().parse().map_err(|_| error())?))
    };
    text.lines().enumerate().map(parse).collect()
}

/// Tries operators' changes on whole fleets, on so many seeds.
pub(crate) fn trials(seeds: u64) -> bool {
    println!("{}", operator_trials::table(seeds, cores(), &print_progress));
    true
}

fn print_progress(done: usize, all: usize) {
    eprint!("\r{done} of {all} ");
}
