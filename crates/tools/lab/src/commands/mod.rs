//! A function for each command. Each returns whether all checks hold: the exit status is 0 if so, else 1; an error is
//! 2.

mod logs;
mod play;
mod search;
mod tables;

use crate::cli::Command;
use coppersail_lab::scenario::ReadError;
use coppersail_lab::Scenario;
use std::path::PathBuf;

/// Runs the command that was given.
pub(crate) fn run(command: Command) -> eyre::Result<bool> {
    match command {
        Command::Run { scenario, policy, seed, out } => play::run(&scenario, &policy, seed, out.as_deref()),
        Command::Watch { scenario, policy, seed, speed } => play::watch(&scenario, &policy, seed, speed),
        Command::Report { folder } => play::report(&folder),
        Command::Grid { scenarios, policies, seeds, results, threads } => {
            let threads = threads.unwrap_or(cores());
            tables::grid(&scenarios, &policies, seeds, results.as_deref(), threads)
        }
        Command::Compare { scenario, a, b, seeds } => tables::compare(&scenario, &a, &b, seeds),
        Command::Check { folder, policy } => tables::check(&folder, &policy),
        Command::Agree { scenarios, seeds } => tables::agree(&scenarios, seeds),
        Command::Rank { results, scores } => tables::rank(&results, &scores),
        Command::Trials { seeds } => Ok(tables::trials(seeds)),
        Command::Shrink { scenario, policy, seed } => search::shrink(&scenario, &policy, seed),
        Command::Hunt { scenario, policy, plays, seed, rules } => {
            search::hunt(&scenario, &policy, plays, seed, rules)
        }
        Command::Logs { files, about, near, from, to, began, lines } => {
            let filter = logs::Filter { about, near, from, to };
            logs::logs(&files, &began, &filter, lines)
        }
    }
}

/// Reads all scenarios, or fails with the first that is not sound.
fn read_scenarios(paths: &[PathBuf]) -> Result<Vec<Scenario>, ReadError> {
    paths.iter().map(|path| Scenario::read(path)).collect()
}

/// How many plays can run at once.
fn cores() -> usize {
    std::thread::available_parallelism().map_or(1, |cores| cores.get())
}
