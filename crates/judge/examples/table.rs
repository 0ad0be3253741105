//! Prints how many harmful changes are undone, how soon, and how many harmless ones wrongly: by harm, by how late sums
//! come, and by noise. `cargo run --release -p coppersail-judge --example table [SEEDS]`

mod model;

use model::{Fleet, Noise};

fn main() {
    let seeds: u64 = std::env::args().nth(1).and_then(|many| many.parse().ok()).unwrap_or(200);
    println!("{seeds} seeds a cell; 150 slices, 160 calls a second, 60 s of trial\n");
    println!("| touched | noise | sums late | lost of 100 there | of all service | undone | in 30 s | median | worst |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (touched, part) in [("a fifth", 5), ("all", 1)] {
        for noise in [Noise::Even, Noise::Rough, Noise::Trouble] {
            for late in [0.7, 1.5, 5.0] {
                for harm in [0.0, 0.03, 0.05, 0.1, 0.25, 0.5] {
                    let row = cell(seeds, noise, late, harm, part);
                    println!("| {touched} | {noise:?} | {late} s | {row} |");
                }
            }
        }
    }
}

fn cell(seeds: u64, noise: Noise, late: f64, harm: f64, part: u16) -> String {
    let undone = |seed| {
        let mut fleet = Fleet::new(seed, noise, late);
        let touch = fleet.part(part);
        let bound = fleet.slices / part;
        let harm = |slice, _, _| if slice < bound { harm } else { 0.0 };
        fleet.play(&touch, &harm, 60).undone.map(|(at, _)| at)
    };
    let mut times: Vec<f64> = (0..seeds).filter_map(undone).collect();
    times.sort_by(f64::total_cmp);
    let percent = |many: usize| 100.0 * many as f64 / seeds as f64;
    let soon = times.iter().filter(|at| **at <= 30.0).count();
    let time = |at: Option<&f64>| at.map_or("-".to_string(), |at| format!("{at:.0} s"));
    let points = 100.0 * harm;
    format!(
        "{points:.0} | {:.1} | {:.1}% | {:.1}% | {} | {}",
        points / f64::from(part),
        percent(times.len()),
        percent(soon),
        time(times.get(times.len() / 2)),
        time(times.last()),
    )
}
