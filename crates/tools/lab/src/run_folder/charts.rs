//! Charts of a run, as SVG files.

use super::error::WriteError;
use crate::measure::{Measured, Second};
use plotters::prelude::*;
use std::path::Path;

/// The files of all charts, in the order of the report.
pub(super) const FILES: [&str; 5] = ["service.svg", "calls.svg", "queues.svg", "lines.svg", "heat.svg"];

/// Width and height of a line chart, in pixels.
const LINE_CHART_SIZE: (u32, u32) = (900, 300);
/// Width and height of the heat map, in pixels.
const HEAT_MAP_SIZE: (u32, u32) = (900, 320);
const CAPTION_FONT: (&str, u32) = ("sans-serif", 18);
const MARGIN: u32 = 8;
const X_LABEL_AREA: u32 = 30;
const Y_LABEL_AREA: u32 = 60;
/// Width of a line, in pixels.
const LINE_WIDTH: u32 = 2;
/// Length of a line in the legend, in pixels.
const LEGEND_LENGTH: i32 = 18;
/// The highest value is drawn so much below the upper edge.
const HEADROOM: f64 = 1.05;
/// An axis ends above 0, also if all values are 0.
const SMALLEST_AXIS: f64 = 1e-9;
/// The heat map is sampled to about so many cells; with more no viewer opens it.
const MAX_CELLS: usize = 20_000;

/// A line of a chart: a value for each second.
struct Series {
    name: &'static str,
    values: Vec<f64>,
}

/// Draws all charts into the folder.
///
/// # Errors
/// [`WriteError`]: a file cannot be written.
pub(super) fn draw_all(folder: &Path, measured: &Measured) -> Result<(), WriteError> {
    let series = |name: &'static str, column: fn(&Second) -> f64| Series {
        name,
        values: measured.seconds.iter().map(column).collect(),
    };
    let [service, calls, queues, lines, heat] = FILES.map(|file| folder.join(file));
    let served = [series("service", service_of)];
    line_chart(&service, "service: importance served in time", "share", &served)?;
    let ended = [
        series("answered", |second| f64::from(second.answered)),
        series("late", |second| f64::from(second.late)),
        series("throttled", |second| f64::from(second.throttled)),
        series("dropped", |second| f64::from(second.dropped)),
    ];
    line_chart(&calls, "calls by when they came", "calls a second", &ended)?;
    let numbers = [
        series("longest queue", |second| f64::from(second.longest_queue)),
        series("open hosts", |second| f64::from(second.serving_hosts)),
    ];
    line_chart(&queues, "queues and hosts", "number", &numbers)?;
    let written = [series("lines", |second| second.table_lines)];
    line_chart(&lines, "lines written to proxies", "lines a second", &written)?;
    heat_map(&heat, &measured.jobs_by_host)
}

/// Service of the calls that arrived in a second; 1 if none did.
fn service_of(second: &Second) -> f64 {
    if second.offered > 0.0 {
        second.served / second.offered
    } else {
        1.0
    }
}

fn line_chart(path: &Path, title: &str, unit: &str, series: &[Series]) -> Result<(), WriteError> {
    let root = SVGBackend::new(path, LINE_CHART_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let seconds = series.iter().map(|series| series.values.len()).max().unwrap_or(1).max(2);
    let values = series.iter().flat_map(|series| &series.values);
    let highest = values.copied().fold(SMALLEST_AXIS, f64::max) * HEADROOM;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, CAPTION_FONT)
        .margin(MARGIN)
        .x_label_area_size(X_LABEL_AREA)
        .y_label_area_size(Y_LABEL_AREA)
        .build_cartesian_2d(0.0..(seconds - 1) as f64, 0.0..highest)?;
    chart.configure_mesh().x_desc("seconds").y_desc(unit).light_line_style(WHITE).draw()?;
    for (index, Series { name, values }) in series.iter().enumerate() {
        let style = Palette99::pick(index).to_rgba().stroke_width(LINE_WIDTH);
        let points = values.iter().enumerate().map(|(second, value)| (second as f64, *value));
        let legend = move |(x, y)| PathElement::new([(x, y), (x + LEGEND_LENGTH, y)], style);
        chart.draw_series(LineSeries::new(points, style))?.label(*name).legend(legend);
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}

/// Hosts from below, seconds from the left; the more calls a host has in hand, the darker.
fn heat_map(path: &Path, seconds: &[Vec<u16>]) -> Result<(), WriteError> {
    let root = SVGBackend::new(path, HEAT_MAP_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let hosts = seconds.first().map_or(1, Vec::len).max(1);
    let highest = f64::from(seconds.iter().flatten().copied().max().unwrap_or(1).max(1));
    let mut chart = ChartBuilder::on(&root)
        .caption("calls in hand by host", CAPTION_FONT)
        .margin(MARGIN)
        .x_label_area_size(X_LABEL_AREA)
        .y_label_area_size(Y_LABEL_AREA)
        .build_cartesian_2d(0.0..seconds.len().max(1) as f64, 0.0..hosts as f64)?;
    chart.configure_mesh().disable_mesh().x_desc("seconds").y_desc("host").draw()?;
    let step = (seconds.len() * hosts / MAX_CELLS + 1).max(1);
    let cells = seconds.iter().enumerate().step_by(step).flat_map(|(second, calls_by_host)| {
        let busy = calls_by_host.iter().enumerate().filter(|(_, calls)| **calls > 0);
        busy.map(move |(host, calls)| {
            let (x, y) = (second as f64, host as f64);
            let corners = [(x, y), (x + step as f64, y + 1.0)];
            Rectangle::new(corners, heat_color(f64::from(*calls) / highest).filled())
        })
    });
    chart.draw_series(cells)?;
    root.present()?;
    Ok(())
}

/// From white for 0 to dark blue for 1.
fn heat_color(share: f64) -> RGBColor {
    let darkness = share.sqrt();
    let channel = |range: f64| 255 - (range * darkness) as u8;
    RGBColor(channel(200.0), channel(230.0), channel(90.0))
}
