//! Commands around one play: in simulated or real time, in the terminal, and the page of a play that was kept.

use crate::input_error::InputError;
use coppersail_lab::experiment::{play, table};
use coppersail_lab::policy::Kind;
use coppersail_lab::{run_folder, watch, Scenario, World};
use std::path::Path;
use std::time::Instant;

/// Plays one scenario and prints its figures; keeps them in the folder `out` if one is given.
pub(crate) fn run(scenario: &Path, policy: &str, seed: u64, out: Option<&Path>) -> eyre::Result<bool> {
    let scenario = Scenario::read(scenario)?;
    let kind = Kind::named(policy)?;
    let start = Instant::now();
    let (outcome, world) = play(&scenario, kind, seed);
    let elapsed_s = start.elapsed().as_secs_f64();
    println!("{}", table(std::slice::from_ref(&outcome)));
    if kind == Kind::Process {
        println!("real time, {:.0} ms behind at most", 1e3 * world.max_lag);
    }
    print_events(&world);
    let events = outcome.events as f64;
    println!(
        "{} calls, {events:.0} events in {elapsed_s:.2} s: {:.2} million a second",
        outcome.calls,
        events / elapsed_s / 1e6
    );
    if let Some(out) = out {
        run_folder::keep(out, &world, &outcome)?;
        println!("kept in {}", out.display());
    }
    match outcome.failed(&scenario) {
        Some(reason) => {
            println!("failed: {reason}");
            Ok(false)
        }
        None => Ok(true),
    }
}

/// What the directors reported to operators, then the rules that were broken.
fn print_events(world: &World) {
    for (at, director, text) in world.change_log() {
        println!("{at:.1} s: director {director}: {text}");
    }
    for broken in &world.rules.violations {
        println!("{:.2} s: rule {}: {}", broken.at, broken.rule, broken.subject);
    }
}

/// Shows one play in the terminal, at `speed` simulated seconds a second.
pub(crate) fn watch(scenario: &Path, policy: &str, seed: u64, speed: f64) -> eyre::Result<bool> {
    watch::watch(&Scenario::read(scenario)?, Kind::named(policy)?, seed, speed)?;
    Ok(true)
}

/// Writes the page of a kept play again, from the other files of its folder.
pub(crate) fn report(folder: &Path) -> eyre::Result<bool> {
    let page = run_folder::page(folder).map_err(InputError::file(folder))?;
    let file = folder.join("report.html");
    std::fs::write(&file, page).map_err(InputError::file(folder))?;
    println!("{}", file.display());
    Ok(true)
}
