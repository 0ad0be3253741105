//! Plays busy evenings in simulated time and writes the tables and charts of `docs/rollout.md`.
//!
//! `cargo run --release -p coppersail-rollout --example evening -- docs` (or `-- docs 20 4` with fewer seeds).
mod page;
mod world;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use world::{Case, Evening, Mode, Outcome, Size, CASES};

pub const SMALL: Size = Size { edges: 12, zones: 4, peak: 180.0, hosts: 20 };
pub const LARGE: Size = Size { edges: 920, zones: 7, peak: 400.0, hosts: 45 };
pub const MODES: [Mode; 3] = [Mode::Fleet, Mode::Alone, Mode::Fixed];

pub struct Played {
    pub case: Case,
    pub name: &'static str,
    pub mode: Mode,
    pub large: bool,
    pub all: Vec<Outcome>,
}

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let number = |at: usize, or: u64| words.get(at).and_then(|w| w.parse().ok()).unwrap_or(or);
    let docs = words.first().cloned().unwrap_or_else(|| "docs".into());
    let (small, large) = (number(1, 200), number(2, 100));
    let mut jobs = Vec::new();
    for (size, seeds) in [(SMALL, small), (LARGE, large)] {
        for (case, _) in CASES {
            let large = size.edges == LARGE.edges;
            for mode in
                MODES.into_iter().filter(|m| *m == Mode::Fleet || case.bad() || (*m == Mode::Alone && !large))
            {
                // What it is held against needs fewer: it differs little from evening to evening.
                let seeds = if mode == Mode::Fleet { seeds } else { seeds / 4 };
                jobs.extend((0..seeds).map(|seed| (size, case, mode, seed)));
            }
        }
    }
    let (next, found) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..std::thread::available_parallelism().map_or(2, |n| n.get()) {
            scope.spawn(|| loop {
                let Some((size, case, mode, seed)) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) else {
                    return;
                };
                let outcome = Evening::new(*case, *mode, *size, *seed).play();
                found.lock().expect("no panic").push((size.edges, *case, *mode, *seed, outcome));
            });
        }
    });
    let mut found = found.into_inner().expect("no panic");
    found.sort_by_key(|f| f.3);
    let mut played = Vec::new();
    for size in [SMALL, LARGE] {
        for (case, name) in CASES {
            for mode in MODES {
                let of = found.iter().filter(|f| f.0 == size.edges && f.1 == case && f.2 == mode);
                let all: Vec<Outcome> = of.map(|f| f.4.clone()).collect();
                if !all.is_empty() {
                    played.push(Played { case, name, mode, large: size.edges == LARGE.edges, all });
                }
            }
        }
    }
    page::write(&docs, &played).expect("docs can be written");
}
