//! Plays busy evenings in simulated time and writes the tables and charts of `docs/rollout.md`.
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
use world::Evening;

const MODES: [Mode; 3] = [Mode::Fleet, Mode::Alone, Mode::Fixed];
const SMALL_SEEDS: u64 = 200;
const LARGE_SEEDS: u64 = 100;
/// What the build is compared with gets a part of the seeds: it differs little from evening to evening.
const COMPARISON_PART: u64 = 4;

/// All evenings of one scenario, mode and size, by seed.
struct Series {
    scenario: Scenario,
    name: &'static str,
    mode: Mode,
    is_large: bool,
    outcomes: Vec<Outcome>,
}

/// One evening to play.
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
            let is_played = |mode: &Mode| {
                *mode == Mode::Fleet || scenario.is_bad() || (*mode == Mode::Alone && !is_large)
            };
            for mode in MODES.into_iter().filter(is_played) {
                let seeds = if mode == Mode::Fleet { seeds } else { seeds / COMPARISON_PART };
                jobs.extend((0..seeds).map(|seed| Job { size, scenario, mode, seed }));
            }
        }
    }
    jobs
}

/// Plays all jobs on all cores; in order of the seeds.
fn play(jobs: &[Job]) -> Vec<(Job, Outcome)> {
    let (next, played) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..std::thread::available_parallelism().map_or(2, |cores| cores.get()) {
            scope.spawn(|| {
                while let Some(job) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let outcome = Evening::new(job.scenario, job.mode, job.size, job.seed).play();
                    played.lock().expect("no panic").push((*job, outcome));
                }
            });
        }
    });
    let mut played = played.into_inner().expect("no panic");
    played.sort_by_key(|(job, _)| job.seed);
    played
}

fn series(played: &[(Job, Outcome)]) -> Vec<Series> {
    let mut series = Vec::new();
    for size in [SMALL, LARGE] {
        for (scenario, name) in SCENARIOS {
            for mode in MODES {
                let belongs =
                    |job: &Job| job.size.edges == size.edges && job.scenario == scenario && job.mode == mode;
                let found = played.iter().filter(|(job, _)| belongs(job));
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
    let words: Vec<String> = std::env::args().skip(1).collect();
    let number = |at: usize, or: u64| words.get(at).and_then(|word| word.parse().ok()).unwrap_or(or);
    let docs = words.first().cloned().unwrap_or_else(|| "docs".into());
    let played = play(&jobs(number(1, SMALL_SEEDS), number(2, LARGE_SEEDS)));
    page::write(&docs, &series(&played)).expect("docs can be written");
}
