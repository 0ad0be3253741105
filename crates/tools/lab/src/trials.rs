//! Trials of operators' changes on whole fleets: which changes the director reverts, how soon, and which wrongly. The
//! table of `coppersail-change-analysis` is made of random sums; here hosts, queues and retries make them.

mod cases;

use crate::policy::Kind;
use crate::workers::{run_jobs, Progress};
use crate::World;
use cases::SUBMITTED_AT;
pub use cases::{cases, Case};
use std::sync::Mutex;

/// A reversal within so many seconds is prompt.
const PROMPT_SECONDS: f64 = 30.0;
const HEADER: &str =
    "| change | harmful | trouble | refused | out of force | in 30 s | undone | kept | service |
| --- | --- | --- | --- | --- | --- | --- | --- | --- |
";

/// What became of a change.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TrialResult {
    /// The director refused it.
    pub refused: bool,
    /// Seconds from when it was applied until it was first out of force; none if it never was.
    pub reverted_after: Option<f64>,
    /// It was undone for good.
    pub undone: bool,
    /// Its trial ended, and it was kept.
    pub kept: bool,
    /// Service of the whole play, from 0 to 1.
    pub service: f64,
}

impl Case {
    /// Plays the case through the director's reducer.
    pub fn play(&self, seed: u64) -> TrialResult {
        let world = World::new(&self.scenario, Kind::Reducer, seed).run();
        let mut result = TrialResult { service: world.measured.service(), ..TrialResult::default() };
        let mut applied_at = SUBMITTED_AT;
        for (at, _, text) in world.change_log() {
            result.record(at, &text, &mut applied_at);
        }
        result
    }
}

impl TrialResult {
    /// Records what the director said at a time, in seconds. `applied_at`: when it was last applied before it was first
    /// reverted.
    fn record(&mut self, at: f64, text: &str, applied_at: &mut f64) {
        let Some(said) = text.strip_prefix("change 1: ") else {
            self.refused |= text.starts_with("refused");
            return;
        };
        if said == "applied" {
            if self.reverted_after.is_none() {
                *applied_at = at;
            }
        } else if said.starts_with("set aside") {
            self.reverted_after.get_or_insert(at - *applied_at);
        } else if said.starts_with("undone") {
            self.reverted_after.get_or_insert(at - *applied_at);
            self.undone = true;
        } else if said.starts_with("kept") {
            self.kept = true;
        }
    }
}

/// One play of a case.
struct Job {
    /// The index of the case.
    case: usize,
    seed: u64,
}

/// A Markdown table of all cases, played on the seeds from 1 to `seeds`, on up to `threads` threads. `progress` is
/// called with the number of plays that are done, and of all.
pub fn table(seeds: u64, threads: usize, progress: &(dyn Fn(usize, usize) + Sync)) -> String {
    let cases = cases();
    let mut jobs = Vec::new();
    for case in 0..cases.len() {
        jobs.extend((1..=seeds).map(|seed| Job { case, seed }));
    }
    let results = Mutex::new(vec![Vec::new(); cases.len()]);
    let progress = Progress::new(jobs.len(), progress);
    run_jobs(&jobs, threads, |job| {
        let result = cases[job.case].play(job.seed);
        if let Ok(mut results) = results.lock() {
            results[job.case].push(result);
        }
        progress.advance();
        true
    });
    let results = results.into_inner().unwrap_or_default();
    let mut text = String::from(HEADER);
    for (case, results) in cases.iter().zip(&results) {
        text += &row(case, results);
    }
    text
}

fn row(case: &Case, results: &[TrialResult]) -> String {
    let plays = results.len().max(1) as f64;
    let percent = |holds: fn(&TrialResult) -> bool| {
        100.0 * results.iter().filter(|result| holds(result)).count() as f64 / plays
    };
    let service = results.iter().map(|result| result.service).sum::<f64>() / plays;
    format!(
        "| {} | {} | {} | {:.0}% | {:.0}% | {:.0}% | {:.0}% | {:.0}% | {service:.3} |\n",
        case.change,
        if case.harmful { "yes" } else { "no" },
        case.fault,
        percent(|result| result.refused),
        percent(|result| result.reverted_after.is_some()),
        percent(|result| result.reverted_after.is_some_and(|seconds| seconds <= PROMPT_SECONDS)),
        percent(|result| result.undone),
        percent(|result| result.kept),
    )
}
