//! Prints the share of harmful changes that are undone and how soon, and the share of harmless ones that are
//! undone wrongly, by harm, report delay and noise. `cargo run --release -p coppersail-change-analysis
//! --example detection_rates [SEEDS]`

mod fleet_model;

use fleet_model::{Fleet, Noise, Outcome};

const DEFAULT_SEEDS: u64 = 200;
const TRIAL_SECONDS: usize = 60;
/// Time after the change within which a finding counts as early, in seconds.
const EARLY_FINDING_S: f64 = 30.0;

/// The parameters of the model for one row of the table.
struct Experiment {
    noise: Noise,
    report_delay: f64,
    /// The share of the touched calls that are lost because of the change.
    harm: f64,
    /// The change touches one in this number of slices.
    one_in: u16,
}

impl Experiment {
    fn run(&self, seed: u64) -> Outcome {
        let mut fleet = Fleet::new(seed, self.noise, self.report_delay);
        let scope = fleet.touch_one_in(self.one_in);
        let touched_slices = fleet.slices / self.one_in;
        let harm = |slice, _, _| if slice < touched_slices { self.harm } else { 0.0 };
        fleet.run_trial(&scope, &harm, TRIAL_SECONDS)
    }

    fn row(&self, seeds: u64) -> String {
        let outcomes: Vec<Outcome> = (0..seeds).map(|seed| self.run(seed)).collect();
        let percent = |count: usize| 100.0 * count as f64 / seeds as f64;
        let found_at =
            sorted(outcomes.iter().filter_map(|outcome| outcome.first_finding.as_ref().map(|(at, _)| *at)));
        let early = found_at.iter().filter(|at| **at <= EARLY_FINDING_S).count();
        let resumed = outcomes.iter().filter(|outcome| outcome.resumed_at.is_some()).count();
        let undone = outcomes.iter().filter(|outcome| outcome.undone.is_some()).count();
        let in_force = sorted(outcomes.iter().map(|outcome| outcome.seconds_in_force));
        let points = 100.0 * self.harm;
        format!(
            "{points:.0} | {:.1} | {:.1}% | {:.1}% | {} | {} | {:.1}% | {:.1}% | {}",
            points / f64::from(self.one_in),
            percent(found_at.len()),
            percent(early),
            seconds(found_at.get(found_at.len() / 2)),
            seconds(found_at.last()),
            percent(resumed),
            percent(undone),
            seconds(in_force.get(in_force.len() / 2)),
        )
    }
}

fn sorted(times: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut times: Vec<f64> = times.collect();
    times.sort_by(f64::total_cmp);
    times
}

fn seconds(time: Option<&f64>) -> String {
    time.map_or("-".to_string(), |time| format!("{time:.0} s"))
}

fn main() {
    let seeds = std::env::args().nth(1).and_then(|seeds| seeds.parse().ok()).unwrap_or(DEFAULT_SEEDS);
    println!("{seeds} seeds a cell; 150 slices, 160 calls a second, {TRIAL_SECONDS} s of trial\n");
    println!("| touched | noise | reports late | lost of 100 there | of all service | out of force | in 30 s | median | worst | tried again | undone for good | in force |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (touched, one_in) in [("a fifth", 5), ("all", 1)] {
        for noise in [Noise::Independent, Noise::Drifting, Noise::FleetOutage] {
            for report_delay in [0.7, 1.5, 5.0] {
                for harm in [0.0, 0.03, 0.05, 0.1, 0.2, 0.25, 0.5] {
                    let experiment = Experiment { noise, report_delay, harm, one_in };
                    println!("| {touched} | {noise:?} | {report_delay} s | {} |", experiment.row(seeds));
                }
            }
        }
    }
}
