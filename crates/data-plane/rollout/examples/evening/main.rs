//! Simulates rollouts under rising load, with faulty and faultless versions, and writes the tables and charts of
//! `docs/rollout.md`.
//!
//! `cargo run --release -p coppersail-rollout --example evening -- docs` (or `-- docs 20 4` with fewer seeds).
mod control_plane;
mod faults;
mod page;
mod scenario;
mod traffic;
mod world;

use scenario::{Mode, Outcome, Scenario, Size, LARGE, SCENARIOS, SMALL};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use world::Simulation;

const MODES: [Mode; 3] = [Mode::Fleet, Mode::Alone, Mode::Fixed];
const SMALL_SEEDS: u64 = 200;
const LARGE_SEEDS: u64 = 100;
/// The modes that serve as a comparison get one in this many of the seeds, as their results vary little.
const COMPARISON_SEEDS_DIVISOR: u64 = 4;

/// The outcomes of all simulations of one scenario, mode and size, by seed.
struct Series {
    scenario: Scenario,
    name: &'static str,
    mode: Mode,
    is_large: bool,
    outcomes: Vec<Outcome>,
}

/// One simulation to run.
#[derive(Clone, Copy)]
struct Job {
    size: Size,
    scenario: Scenario,
    mode: Mode,
    seed: u64,
}

fn jobs(small_seeds: u64, large_seeds: u64) -> Vec<Job> {
    let mut jobs = Vec::new();
    for (size, seeds) in [(SMALL, small_seeds), (LARGE, large_seeds)] {
        let is_large = size.edges == LARGE.edges;
        for (scenario, _) in SCENARIOS {
            let is_included = |mode: &Mode| {
                *mode == Mode::Fleet || scenario.is_faulty() || (*mode == Mode::Alone && !is_large)
            };
            for mode in MODES.into_iter().filter(is_included) {
                let seeds = if mode == Mode::Fleet { seeds } else { seeds / COMPARISON_SEEDS_DIVISOR };
                jobs.extend((0..seeds).map(|seed| Job { size, scenario, mode, seed }));
            }
        }
    }
    jobs
}

/// Runs all jobs on all cores. The results are sorted by seed.
fn run(jobs: &[Job]) -> Vec<(Job, Outcome)> {
    let (next, results) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..std::thread::available_parallelism().map_or(2, |cores| cores.get()) {
            scope.spawn(|| {
                while let Some(job) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let outcome = Simulation::new(job.scenario, job.mode, job.size, job.seed).run();
                    results.lock().expect("no panic").push((*job, outcome));
                }
            });
        }
    });
    let mut results = results.into_inner().expect("no panic");
    results.sort_by_key(|(job, _)| job.seed);
    results
}

fn series(results: &[(Job, Outcome)]) -> Vec<Series> {
    let mut series = Vec::new();
    for size in [SMALL, LARGE] {
        for (scenario, name) in SCENARIOS {
            for mode in MODES {
                let belongs =
                    |job: &Job| job.size.edges == size.edges && job.scenario == scenario && job.mode == mode;
                let found = results.iter().filter(|(job, _)| belongs(job));
                let outcomes: Vec<Outcome> = found.map(|(_, outcome)| outcome.clone()).collect();
                if !outcomes.is_empty() {
                    let is_large = size.edges == LARGE.edges;
                    series.push(Series { scenario, name, mode, is_large, outcomes });
                }
            }
        }
    }
    series
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let number = |at: usize, default: u64| args.get(at).and_then(|arg| arg.parse().ok()).unwrap_or(default);
    let docs = args.first().cloned().unwrap_or_else(|| "docs".into());
    let results = run(&jobs(number(1, SMALL_SEEDS), number(2, LARGE_SEEDS)));
    page::write(&docs, &series(&results)).expect("docs can be written");
}
