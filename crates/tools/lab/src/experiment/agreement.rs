//! Whether simulated time agrees with real time: the same scenario through the director's reducer on several seeds, and
//! around the director's binary.

use super::outcome::{play, Outcome};
use crate::policy::Kind;
use crate::scenario::Scenario;

/// How far the service in real time may lie outside of what the seeds give: reports and orders come at other moments
/// there.
const TOLERANCE: f64 = 0.03;
/// The seed of the play in real time.
const LIVE_SEED: u64 = 1;
/// Milliseconds in a second.
const MS_PER_S: f64 = 1e3;

/// A scenario in simulated and in real time.
pub struct Agreement {
    /// The scenario's name.
    pub scenario: String,
    /// Plays in simulated time, one for each seed.
    pub simulated: Vec<Outcome>,
    /// The play in real time.
    pub live: Outcome,
    /// Seconds by which the play in real time was behind the clock at most.
    pub max_lag: f64,
}

/// The lowest and the highest of some figures.
struct Range {
    min: f64,
    max: f64,
}

impl Agreement {
    fn play(scenario: &Scenario, seeds: u64) -> Agreement {
        let simulated = (1..=seeds).map(|seed| play(scenario, Kind::Reducer, seed).0).collect();
        let (live, world) = play(scenario, Kind::Process, LIVE_SEED);
        Agreement { scenario: scenario.name.clone(), simulated, live, max_lag: world.max_lag }
    }

    fn simulated_range(&self, figure: fn(&Outcome) -> f64) -> Range {
        let figures = self.simulated.iter().map(figure);
        Range {
            min: figures.clone().fold(f64::INFINITY, f64::min),
            max: figures.fold(f64::NEG_INFINITY, f64::max),
        }
    }

    /// Whether service in real time lies where that of the seeds does, and no rule was violated that they all kept.
    pub fn holds(&self) -> bool {
        let Range { min, max } = self.simulated_range(|outcome| outcome.service);
        let rules = self.live.violations == 0 || self.simulated.iter().any(|outcome| outcome.violations > 0);
        rules && self.live.service >= min - TOLERANCE && self.live.service <= max + TOLERANCE
    }

    /// A row of a Markdown table.
    pub fn row(&self) -> String {
        let service = self.simulated_range(|outcome| outcome.service);
        let worst = self.simulated_range(|outcome| outcome.worst_window);
        format!(
            "| {} | {:.3} to {:.3} | {:.3} | {:.3} to {:.3} | {:.3} | {} | {:.0} ms | {} |",
            self.scenario,
            service.min,
            service.max,
            self.live.service,
            worst.min,
            worst.max,
            self.live.worst_window,
            self.live.violations,
            MS_PER_S * self.max_lag,
            if self.holds() { "yes" } else { "no" },
        )
    }
}

/// Plays all scenarios at once, as real time cannot be hurried. One whose play panics is left out.
pub fn agreement(scenarios: &[Scenario], seeds: u64) -> Vec<Agreement> {
    std::thread::scope(|scope| {
        let spawn = |scenario| scope.spawn(move || Agreement::play(scenario, seeds));
        let plays: Vec<_> = scenarios.iter().map(spawn).collect();
        plays.into_iter().filter_map(|play| play.join().ok()).collect()
    })
}
