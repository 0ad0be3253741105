//! Command line of the simulator: one run with its trace, or many runs and a table of them. It calls a run a day.

use coppersail_simulator::{shrink, simulate, Scenario, Statistics};
use eyre::{bail, eyre, Result};
use lexopt::prelude::*;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

const USAGE: &str = "\
coppersail-simulator: days of trouble for the control plane, in simulated time, decided by their seed

coppersail-simulator --seed N              one day with its story; of a day that breaks a rule, the fewest faults that still break it
coppersail-simulator --days N [options]    many days and a table of them
  --from SEED    the first seed (1)
  --threads T    days played side by side, 6 at most (1)
  --whole        with --seed: the day as it is, not shrunk
";
const MAX_THREADS: usize = 6;

enum Command {
    Help,
    OneRun {
        seed: u64,
        /// Do not shrink a failing run.
        whole: bool,
    },
    ManyRuns {
        count: u64,
        first_seed: u64,
        threads: usize,
    },
}

fn parse_arguments() -> Result<Command> {
    let (mut seed, mut count, mut first_seed, mut threads, mut whole) = (None, None, 1_u64, 1, false);
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("seed") => seed = Some(parser.value()?.parse()?),
            Long("days") => count = Some(parser.value()?.parse()?),
            Long("from") => first_seed = parser.value()?.parse()?,
            Long("threads") => threads = parser.value()?.parse()?,
            Long("whole") => whole = true,
            Long("help") | Short('h') => return Ok(Command::Help),
            other => return Err(other.unexpected().into()),
        }
    }
    if count == Some(0) && seed.is_none() {
        bail!("--days is 0, expected a number above 0");
    }
    if seed.is_none() && count.is_some_and(|count| first_seed.checked_add(count).is_none()) {
        bail!("--from is {first_seed}, expected a number that leaves room for all days");
    }
    let command = match (seed, count) {
        (Some(seed), None) => Command::OneRun { seed, whole },
        (None, Some(count)) => Command::ManyRuns { count, first_seed, threads },
        _ => bail!("expected either --seed N or --days N"),
    };
    if !(1..=MAX_THREADS).contains(&threads) {
        bail!("--threads is {threads}, expected 1 to {MAX_THREADS}");
    }
    Ok(command)
}

/// Simulates one run and prints its trace; a failing one is shrunk first. Exit status 1: it violates an invariant.
fn simulate_one(seed: u64, whole: bool) -> ExitCode {
    let mut scenario = Scenario::from_seed(seed);
    let mut outcome = simulate(&scenario, true);
    if let Some(violation) = outcome.violation.as_ref().filter(|_| !whole) {
        scenario = shrink(&scenario, violation.rule);
        outcome = simulate(&scenario, true);
    }
    let Scenario { machines, zones, max_failures, quorum_contact, endpoints, edges, .. } = scenario;
    println!(
        "seed {seed}: {machines} machines in {zones} zones, survive {max_failures}, inContact {quorum_contact} ms"
    );
    let losses = if scenario.beyond_tolerance { ", any number lost" } else { "" };
    println!("{endpoints} hosts, {edges} edges{losses}");
    for line in &outcome.trace {
        println!("{line}");
    }
    match &outcome.violation {
        Some(violation) => println!("{} faults break a rule: {}", scenario.faults.len(), violation.rule),
        None => println!("no rule is broken"),
    }
    ExitCode::from(u8::from(outcome.violation.is_some()))
}

/// Simulates many runs and prints the table of them. Exit status 1: some violate an invariant.
fn simulate_many(count: u64, first_seed: u64, threads: usize) -> Result<ExitCode> {
    let (next_seed, sum) = (AtomicU64::new(first_seed), Mutex::new(Statistics::default()));
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                if seed >= first_seed + count {
                    break;
                }
                let statistics = simulate(&Scenario::from_seed(seed), false).statistics;
                sum.lock().unwrap_or_else(PoisonError::into_inner).add(statistics);
            });
        }
    });
    let sum = sum.into_inner().map_err(|error| eyre!("{error}"))?;
    print!("{sum}");
    Ok(ExitCode::from(u8::from(!sum.violations.is_empty())))
}

fn run() -> Result<ExitCode> {
    match parse_arguments()? {
        Command::Help => {
            print!("{USAGE}");
            Ok(ExitCode::SUCCESS)
        }
        Command::OneRun { seed, whole } => Ok(simulate_one(seed, whole)),
        Command::ManyRuns { count, first_seed, threads } => simulate_many(count, first_seed, threads),
    }
}

fn main() -> ExitCode {
    run().unwrap_or_else(|error| {
        eprintln!("coppersail-simulator: {error}");
        ExitCode::from(2)
    })
}
