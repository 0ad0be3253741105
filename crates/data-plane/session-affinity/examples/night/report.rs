//! The tables and the chart of docs/sessions.md.
use crate::results::{Results, Traffic, NOT_RUN, RAN, SESSION_LOST, UNKNOWN};
use crate::simulation::Simulation;
use crate::world::{Micros, Strategy, CLIENTS, MS, NODES, ZONES};
use plotters::prelude::*;

const STRATEGIES: [(Strategy, &str); 3] = [
    (Strategy::Affinity, "travelling"),
    (Strategy::Pinned, "pinned"),
    (Strategy::FullReplication, "everywhere"),
];
/// Fewer seeds are enough to show that the ledger detects a gateway that misreports unknown outcomes.
const MISREPORTING_SEEDS: u64 = 20;
/// Contradictions that are printed for each table row.
const MAX_PRINTED_CONTRADICTIONS: usize = 5;

/// One bar of the chart.
pub(crate) struct Bar {
    label: String,
    ms: f64,
}

pub(crate) struct Report {
    pub(crate) text: String,
    pub(crate) bars: Vec<Bar>,
}

pub(crate) fn report(seeds: u64) -> Report {
    let mut outcomes = String::new();
    let mut costs = String::new();
    let mut bars = vec![];
    for (injects_faults, night) in [(true, "trouble"), (false, "calm")] {
        for (strategy, name) in STRATEGIES {
            let results = run_simulations(strategy, seeds, injects_faults);
            let prefix = format!("| {night} | {name} |");
            outcomes += &outcome_row(&prefix, &results);
            if strategy == Strategy::Affinity {
                print_to_stderr(night, &results);
            }
            costs += &latency_rows(&prefix, &results);
            costs += &traffic_row(&prefix, &results);
            if !injects_faults {
                bars.extend(bars_of(name, &results));
            }
        }
    }
    let misreporting_seeds = seeds.min(MISREPORTING_SEEDS);
    let contradictions =
        run_simulations(Strategy::UnknownAsNotExecuted, misreporting_seeds, true).wrong.len();
    let text = format!(
        "{seeds} seeds of {CLIENTS} clients at {NODES} sites in {ZONES} zones; 1.5 to 2 ms one way between zones.\n\n\
         | night | way | ran | told as not run | told as unknown | of these, session lost | wrong by the ledger |\n\
         |---|---|---:|---:|---:|---:|---:|\n\
         {outcomes}\n\
         The judge itself: at a gateway that takes unknown outcomes for such as did not run, the ledger finds \
         {contradictions} wrong in {misreporting_seeds} nights of trouble.\n\n\
         Added to the host's own time, in ms (the claim of a session's first site counts as outside):\n\n\
         | night | way | requests | when | p50 | p99 | worst |\n|---|---|---|---|---:|---:|---:|\n\
         {costs}"
    );
    Report { text, bars }
}

/// The sum of the simulations of seeds 1 to `seeds`.
fn run_simulations(strategy: Strategy, seeds: u64, injects_faults: bool) -> Results {
    let mut all = Results::default();
    for seed in 1..=seeds {
        all.add(seed, Simulation::new(strategy, seed, injects_faults).run());
    }
    all.added.iter_mut().flatten().for_each(|list| list.sort_unstable());
    all
}

fn outcome_row(prefix: &str, results: &Results) -> String {
    let [ran, not_run, unknown, lost] = [RAN, NOT_RUN, UNKNOWN, SESSION_LOST].map(|what| results.count(what));
    format!("{prefix} {ran} | {not_run} | {unknown} | {lost} | {} |\n", results.wrong.len())
}

fn print_to_stderr(night: &str, results: &Results) {
    results.wrong.iter().take(MAX_PRINTED_CONTRADICTIONS).for_each(|wrong| eprintln!("WRONG {wrong}"));
    let (repeats, restored) = (results.repeats_answered, results.replicas_restored);
    eprintln!("{night}: {repeats} repeats answered, {restored} replica records restored");
}

fn latency_rows(prefix: &str, results: &Results) -> String {
    let mut rows = String::new();
    for (kind, label) in ["lookups", "confirmations"].into_iter().enumerate() {
        for (when_index, when) in ["outside", "crossing"].into_iter().enumerate() {
            let sorted = &results.added[kind][when_index];
            let [p50, p99, worst] = [0.5, 0.99, 1.0].map(|quantile| quantile_ms(sorted, quantile));
            rows += &format!("{prefix} {label} | {when} | {p50:.1} | {p99:.1} | {worst:.1} |\n");
        }
    }
    rows
}

fn traffic_row(prefix: &str, results: &Results) -> String {
    let requests = results.count(RAN) + results.count(NOT_RUN) + results.count(UNKNOWN);
    let per = |sum: u64, count: u64| sum as f64 / count.max(1) as f64;
    let cells = |Traffic { messages, bytes }: Traffic, count: u64| {
        format!("{:.1} messages | {:.0} bytes |", per(messages, count), per(bytes, count))
    };
    let takeover = cells(results.takeover_traffic, results.takeovers);
    let request = cells(results.request_traffic, requests);
    format!("{prefix} per crossing | {takeover} per confirmation {request}\n")
}

fn bars_of(name: &str, results: &Results) -> Vec<Bar> {
    let idempotent = &results.added[1];
    let bar = |(sorted, when): (&Vec<Micros>, &str)| Bar {
        label: format!("{name}, {when}"),
        ms: quantile_ms(sorted, 0.99),
    };
    idempotent.iter().zip(["outside", "crossing"]).map(bar).collect()
}

fn quantile_ms(sorted: &[Micros], quantile: f64) -> f64 {
    let index = ((sorted.len() as f64 * quantile) as usize).min(sorted.len().saturating_sub(1));
    sorted.get(index).copied().unwrap_or_default() as f64 / MS as f64
}

pub(crate) fn draw_chart(path: &str, bars: &[Bar]) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, (760, 40 + 36 * bars.len() as u32)).into_drawing_area();
    root.fill(&WHITE)?;
    let longest = bars.iter().map(|bar| bar.ms).fold(1.0, f64::max);
    let style = ("sans-serif", 15).into_font();
    root.draw(&Text::new("added to a confirmation on a calm night, p99, ms", (10, 8), style.clone()))?;
    for (index, Bar { label, ms }) in bars.iter().enumerate() {
        let y = 36 + 36 * index as i32;
        let width = (ms / longest * 420.0) as i32;
        root.draw(&Text::new(label.as_str(), (10, y + 4), style.clone()))?;
        root.draw(&Rectangle::new([(220, y), (220 + width.max(1), y + 22)], BLUE.mix(0.6).filled()))?;
        root.draw(&Text::new(format!("{ms:.1}"), (228 + width, y + 4), style.clone()))?;
    }
    root.present()?;
    Ok(())
}
