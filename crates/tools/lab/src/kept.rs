//! A play's results as one folder: what was played, figures by second, latencies, tables, charts, and one page of all of
//! it that needs no network. The folder appears whole or not at all.

use crate::experiment::Outcome;
use crate::World;
use plotters::prelude::*;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

type Drawn = Result<(), Box<dyn std::error::Error + Send + Sync>>;

/// Results that cannot be kept.
#[derive(Debug, thiserror::Error)]
#[error("{}: results cannot be kept: {source}", folder.display())]
pub struct KeepError {
    /// The folder in which they should have been.
    pub folder: PathBuf,
    /// What could not be written or drawn.
    pub source: Box<dyn std::error::Error + Send + Sync>,
}

fn chart(path: &Path, title: &str, unit: &str, series: &[(&str, Vec<f64>)]) -> Drawn {
    let root = SVGBackend::new(path, (900, 300)).into_drawing_area();
    root.fill(&WHITE)?;
    let long = series.iter().map(|(_, figures)| figures.len()).max().unwrap_or(1).max(2);
    let most = series.iter().flat_map(|(_, figures)| figures).copied().fold(1e-9, f64::max) * 1.05;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(8)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..(long - 1) as f64, 0.0..most)?;
    chart.configure_mesh().x_desc("seconds").y_desc(unit).light_line_style(WHITE).draw()?;
    for (k, (name, figures)) in series.iter().enumerate() {
        let color = Palette99::pick(k).to_rgba();
        let points = figures.iter().enumerate().map(|(at, figure)| (at as f64, *figure));
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color.stroke_width(2)));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}

/// Hosts from below, seconds from the left, darker with more calls in hand.
fn heat(path: &Path, seconds: &[Vec<u16>]) -> Drawn {
    let root = SVGBackend::new(path, (900, 320)).into_drawing_area();
    root.fill(&WHITE)?;
    let hosts = seconds.first().map_or(1, Vec::len).max(1);
    let most = f64::from(seconds.iter().flatten().copied().max().unwrap_or(1).max(1));
    let mut chart = ChartBuilder::on(&root)
        .caption("calls in hand by host", ("sans-serif", 18))
        .margin(8)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..seconds.len().max(1) as f64, 0.0..hosts as f64)?;
    chart.configure_mesh().disable_mesh().x_desc("seconds").y_desc("host").draw()?;
    // A square each up to some thousands; beyond that samples, or no viewer opens it.
    let step = (seconds.len() * hosts / 20_000 + 1).max(1);
    let cells = seconds.iter().enumerate().step_by(step).flat_map(|(at, row)| {
        row.iter().enumerate().filter(|(_, many)| **many > 0).map(move |(host, many)| {
            let dark = (f64::from(*many) / most).sqrt();
            let color =
                RGBColor(255 - (200.0 * dark) as u8, 255 - (230.0 * dark) as u8, 255 - (90.0 * dark) as u8);
            let (x, y) = (at as f64, host as f64);
            Rectangle::new([(x, y), (x + step as f64, y + 1.0)], color.filled())
        })
    });
    chart.draw_series(cells)?;
    root.present()?;
    Ok(())
}

fn seconds_csv(world: &World) -> String {
    let mut text = String::from(
        "second,asked,served,calls,answered,late,throttled,dropped,tries,lines,longest_queue,open_hosts\n",
    );
    for (at, s) in world.measured.seconds.iter().enumerate() {
        text += &format!(
            "{at},{},{},{},{},{},{},{},{},{},{},{}\n",
            s.asked,
            s.served,
            s.calls,
            s.answered,
            s.late,
            s.throttled,
            s.dropped,
            s.tries,
            s.lines,
            s.queue,
            s.open_hosts
        );
    }
    text
}

const PERCENTILES: [f64; 6] = [50.0, 75.0, 90.0, 99.0, 99.9, 100.0];

fn latency_table(world: &World) -> String {
    let mut text = String::from("| route | answered | p50 ms | p75 | p90 | p99 | p99.9 | most |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (route, histogram) in world.scenario.load.routes.iter().zip(&world.measured.latency) {
        let figures: Vec<String> =
            PERCENTILES.iter().map(|p| histogram.value_at_percentile(*p).to_string()).collect();
        text += &format!("| {} | {} | {} |\n", route.name, histogram.len(), figures.join(" | "));
    }
    text
}

/// FNV-1a, to tell whether two plays were of the same scenario.
fn hash(text: &str) -> u64 {
    text.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

fn write_all(folder: &Path, world: &World, outcome: &Outcome) -> Drawn {
    let scenario = serde_json::to_string_pretty(&world.scenario)?;
    let manifest = serde_json::json!({
        "version": env!("CARGO_PKG_VERSION"),
        "scenario_hash": format!("{:016x}", hash(&scenario)),
        "outcome": outcome,
        "broken": world.rules.broken.iter().map(|b| format!("{:.2} s: rule {}: {}", b.at, b.rule, b.what)).collect::<Vec<_>>(),
    });
    fs::write(folder.join("manifest.json"), serde_json::to_string_pretty(&manifest)?)?;
    fs::write(folder.join("scenario.json"), &scenario)?;
    fs::write(folder.join("seconds.csv"), seconds_csv(world))?;
    let table =
        format!("{}\n{}", crate::experiment::table(std::slice::from_ref(outcome)), latency_table(world));
    fs::write(folder.join("table.md"), &table)?;
    let seconds = &world.measured.seconds;
    let column = |part: fn(&crate::measure::Second) -> f64| seconds.iter().map(part).collect::<Vec<f64>>();
    let share = column(|s| if s.asked > 0.0 { s.served / s.asked } else { 1.0 });
    chart(&folder.join("service.svg"), "service: importance served in time", "share", &[("service", share)])?;
    let calls = [
        ("answered", column(|s| f64::from(s.answered))),
        ("late", column(|s| f64::from(s.late))),
        ("throttled", column(|s| f64::from(s.throttled))),
        ("dropped", column(|s| f64::from(s.dropped))),
    ];
    chart(&folder.join("calls.svg"), "calls by when they came", "calls a second", &calls)?;
    let queue = [
        ("longest queue", column(|s| f64::from(s.queue))),
        ("open hosts", column(|s| f64::from(s.open_hosts))),
    ];
    chart(&folder.join("queues.svg"), "queues and hosts", "number", &queue)?;
    chart(
        &folder.join("lines.svg"),
        "lines written to proxies",
        "lines a second",
        &[("lines", column(|s| s.lines))],
    )?;
    heat(&folder.join("heat.svg"), &world.measured.heat)?;
    fs::write(folder.join("report.html"), page(folder)?)?;
    Ok(())
}

/// One page with everything in it.
pub fn page(folder: &Path) -> io::Result<String> {
    let read = |name: &str| fs::read_to_string(folder.join(name));
    let escaped = |text: String| text.replace('&', "&amp;").replace('<', "&lt;");
    let mut page = String::from("<!doctype html><meta charset=\"utf-8\"><title>play</title><style>body{font:14px sans-serif;margin:2em}pre{background:#eee;padding:1em;overflow:auto}svg{max-width:100%}</style>");
    page += &format!("<h1>Play</h1><pre>{}</pre>", escaped(read("manifest.json")?));
    page += &format!("<pre>{}</pre>", escaped(read("table.md")?));
    for name in ["service.svg", "calls.svg", "queues.svg", "lines.svg", "heat.svg"] {
        page += &read(name)?;
    }
    page += &format!("<h2>Scenario</h2><pre>{}</pre>", escaped(read("scenario.json")?));
    Ok(page)
}

/// Keeps a play. What stood there before goes only when all of the new one is there.
///
/// # Errors
/// [`KeepError`]: a file or folder cannot be written; no half of the new folder is left.
pub fn keep(folder: &Path, world: &World, outcome: &Outcome) -> Result<(), KeepError> {
    let name = folder.file_name().map(|name| name.to_string_lossy().into_owned()).unwrap_or_default();
    let fresh: PathBuf = folder.with_file_name(format!("{name}.new"));
    let failed = |source| KeepError { folder: folder.to_path_buf(), source };
    let _ = fs::remove_dir_all(&fresh);
    fs::create_dir_all(&fresh).map_err(|error| failed(error.into()))?;
    if let Err(error) = write_all(&fresh, world, outcome) {
        let _ = fs::remove_dir_all(&fresh);
        return Err(failed(error));
    }
    let _ = fs::remove_dir_all(folder);
    fs::rename(&fresh, folder).map_err(|error| failed(error.into()))
}
