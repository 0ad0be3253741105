//! Prints how many harmful changes are undone, how soon, and how many harmless ones wrongly: by harm, by how late sums
//! come, and by noise. `cargo run --release -p coppersail-judge --example table [SEEDS]`

mod model;

use model::{Fleet, Noise, Outcome};

fn main() {
    let seeds: u64 = std::env::args().nth(1).and_then(|many| many.parse().ok()).unwrap_or(200);
    println!("{seeds} seeds a cell; 150 slices, 160 calls a second, 60 s of trial\n");
    println!("| touched | noise | sums late | lost of 100 there | of all service | out of force | in 30 s | median | worst | tried again | undone for good | in force |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (touched, part) in [("a fifth", 5), ("all", 1)] {
        for noise in [Noise::Even, Noise::Rough, Noise::Trouble] {
            for late in [0.7, 1.5, 5.0] {
                for harm in [0.0, 0.03, 0.05, 0.1, 0.2, 0.25, 0.5] {
                    let row = cell(seeds, noise, late, harm, part);
                    println!("| {touched} | {noise:?} | {late} s | {row} |");
                }
            }
        }
    }
}

fn cell(seeds: u64, noise: Noise, late: f64, harm: f64, part: u16) -> String {
    let play = |seed| {
        let mut fleet = Fleet::new(seed, noise, late);
        let touch = fleet.part(part);
        let bound = fleet.slices / part;
        let harm = |slice, _, _| if slice < bound { harm } else { 0.0 };
        fleet.play(&touch, &harm, 60)
    };
    let outcomes: Vec<Outcome> = (0..seeds).map(play).collect();
    let mut times: Vec<f64> = outcomes.iter().filter_map(|o| o.back.as_ref().map(|(at, _)| *at)).collect();
    times.sort_by(f64::total_cmp);
    let percent = |many: usize| 100.0 * many as f64 / seeds as f64;
    let soon = times.iter().filter(|at| **at <= 30.0).count();
    let again = outcomes.iter().filter(|o| o.again.is_some()).count();
    let undone = outcomes.iter().filter(|o| o.undone.is_some()).count();
    let mut in_force: Vec<f64> = outcomes.iter().map(|o| o.in_force).collect();
    in_force.sort_by(f64::total_cmp);
    let time = |at: Option<&f64>| at.map_or("-".to_string(), |at| format!("{at:.0} s"));
    let points = 100.0 * harm;
    format!(
        "{points:.0} | {:.1} | {:.1}% | {:.1}% | {} | {} | {:.1}% | {:.1}% | {}",
        points / f64::from(part),
        percent(times.len()),
        percent(soon),
        time(times.get(times.len() / 2)),
        time(times.last()),
        percent(again),
        percent(undone),
        time(in_force.get(in_force.len() / 2)),
    )
}
