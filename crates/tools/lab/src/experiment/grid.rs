//! A grid: every scenario with every policy on every seed. Results are kept in a file as they come, so that a grid
//! that was killed goes on where it was.

use super::outcome::{play, Outcome};
use crate::policy::Kind;
use crate::scenario::Scenario;
use crate::workers::{run_jobs, Progress};
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::ops::Range;
use std::path::Path;
use std::sync::Mutex;

/// A grid whose results are not all there.
#[derive(Debug, thiserror::Error)]
pub enum GridError {
    /// The results' file cannot be opened or written; what it held before stands.
    #[error("results: {0}")]
    Results(#[source] io::Error),
    /// A play panicked.
    #[error("a play ended in a crash")]
    Panicked,
}

/// A play of a grid.
struct Job<'a> {
    scenario: &'a Scenario,
    policy: Kind,
    seed: u64,
}

/// Tells the plays of a grid apart.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct PlayKey {
    scenario: String,
    policy: Kind,
    seed: u64,
}

impl Job<'_> {
    fn key(&self) -> PlayKey {
        PlayKey { scenario: self.scenario.name.clone(), policy: self.policy, seed: self.seed }
    }
}

impl PlayKey {
    fn of(outcome: &Outcome) -> PlayKey {
        PlayKey { scenario: outcome.scenario.clone(), policy: outcome.policy, seed: outcome.seed }
    }
}

/// Plays what is not in the results' file yet, on up to `threads` threads, and appends each result as its play ends.
/// `progress` is called with the number of plays that are done, and of all. Returns all results in the order of the
/// grid.
///
/// # Errors
/// [`GridError`]: the file cannot be written, or a play panicked.
pub fn grid(
    scenarios: &[Scenario],
    policies: &[Kind],
    seeds: Range<u64>,
    threads: usize,
    results_file: Option<&Path>,
    progress: &(dyn Fn(usize, usize) + Sync),
) -> Result<Vec<Outcome>, GridError> {
    let mut outcomes = results_file.map(read_results).unwrap_or_default();
    let jobs = all_jobs(scenarios, policies, seeds);
    let left: Vec<&Job> = jobs.iter().filter(|job| !outcomes.contains_key(&job.key())).collect();
    let file = results_file.map(open_for_append).transpose().map_err(GridError::Results)?;

    let results = Mutex::new(Results { file, played: Vec::new(), error: None });
    let progress = Progress::new(left.len(), progress);
    run_jobs(&left, threads, |job| {
        let (outcome, _) = play(job.scenario, job.policy, job.seed);
        let Ok(mut results) = results.lock() else { return false };
        let added = results.add(outcome);
        if added {
            progress.advance();
        }
        added
    });

    let results = results.into_inner().map_err(|_| GridError::Panicked)?;
    if let Some(error) = results.error {
        return Err(GridError::Results(error));
    }
    for outcome in results.played {
        outcomes.insert(PlayKey::of(&outcome), outcome);
    }
    Ok(jobs.iter().filter_map(|job| outcomes.get(&job.key()).cloned()).collect())
}

fn all_jobs<'a>(scenarios: &'a [Scenario], policies: &[Kind], seeds: Range<u64>) -> Vec<Job<'a>> {
    let mut jobs = Vec::new();
    for scenario in scenarios {
        for policy in policies {
            for seed in seeds.clone() {
                jobs.push(Job { scenario, policy: *policy, seed });
            }
        }
    }
    jobs
}

/// The results that a file has. A line that a kill cut off is skipped, so that its play is repeated.
fn read_results(path: &Path) -> BTreeMap<PlayKey, Outcome> {
    // Only plain files are read: a device may have no end.
    if !path.is_file() {
        return BTreeMap::new();
    }
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let outcomes = text.lines().filter_map(|line| serde_json::from_str::<Outcome>(line).ok());
    outcomes.map(|outcome| (PlayKey::of(&outcome), outcome)).collect()
}

fn open_for_append(path: &Path) -> io::Result<File> {
    let mut file = OpenOptions::new().create(true).append(true).open(path)?;
    // A new line begins behind one that was cut off.
    file.write_all(b"\n")?;
    Ok(file)
}

/// What has been played, shared by the threads of a grid.
struct Results {
    file: Option<File>,
    played: Vec<Outcome>,
    /// Why a result could not be kept.
    error: Option<io::Error>,
}

impl Results {
    /// Adds a result, to the file too; false if it cannot be written.
    fn add(&mut self, outcome: Outcome) -> bool {
        if let Some(file) = &mut self.file {
            let line = serde_json::to_string(&outcome).unwrap_or_default() + "\n";
            if let Err(error) = file.write_all(line.as_bytes()) {
                self.error = Some(error);
                return false;
            }
        }
        self.played.push(outcome);
        true
    }
}
