//! Tables and charts of the results, which are written between two markers in the page.
use crate::scenario::{Mode, Outcome, Scenario, DURATION, LARGE, SMALL};
use crate::Series;
use coppersail_rollout::Ms;
use plotters::prelude::*;
use std::fmt::Write;

const BEGIN: &str = "<!-- tables: written by `evening` -->";
const END: &str = "<!-- end of tables -->";
/// A bad version that still got requests this shortly (ms) before the end counts as not detected.
const IN_FORCE_AT_END: Ms = 10_000;
/// The new version's share of requests exceeds this only at the step of one half or later.
const HALF_REACHED: f64 = 0.4;

const FAULTY_HEADER: &str =
    "Bad releases; median / worst. *Met*: of all requests of the evening, those that the new version ran, in %. \
    *Harmed*: those it answered badly, in %. *Stop*: seconds from its first bad answer to the last request sent to it \
    anywhere. *Missed*: evenings that ended with it in force.\n\n\
    | release | met | harmed | stop s | missed | met, each edge alone | stop s | missed | met, fixed steps |\n\
    |---|---|---|---|---|---|---|---|---|\n";
const FAULTLESS_HEADER: &str =
    "\nSound releases with other troubles. *Paused*: in error. *Steps*: evenings that came to half of all requests or more.\n\n\
    | release | paused | steps | paused by some edge, each alone |\n|---|---|---|---|\n";

fn new_version_percentage(outcome: &Outcome) -> Option<f64> {
    Some(100.0 * outcome.executed_by_new as f64 / outcome.requests.max(1) as f64)
}

fn bad_answer_percentage(outcome: &Outcome) -> Option<f64> {
    Some(100.0 * outcome.bad_answers as f64 / outcome.requests.max(1) as f64)
}

fn stop_seconds(outcome: &Outcome) -> Option<f64> {
    outcome.first_bad.map(|bad| outcome.last_sent.saturating_sub(bad) as f64 / 1000.0)
}

/// "median / worst", or "-" without values.
fn median_and_worst(outcomes: &[Outcome], value: fn(&Outcome) -> Option<f64>, digits: usize) -> String {
    let mut values: Vec<f64> = outcomes.iter().filter_map(value).collect();
    values.sort_by(f64::total_cmp);
    match values.last() {
        None => "-".into(),
        Some(worst) => format!("{:.digits$} / {worst:.digits$}", values[values.len() / 2]),
    }
}

fn missed(outcomes: &[Outcome]) -> usize {
    let in_force =
        |outcome: &&Outcome| outcome.last_sent + IN_FORCE_AT_END > DURATION && outcome.first_bad.is_some();
    outcomes.iter().filter(in_force).count()
}

fn paused(outcomes: &[Outcome]) -> usize {
    outcomes.iter().filter(|outcome| outcome.paused_at.is_some()).count()
}

/// All series of one size.
struct Tables<'a> {
    series: Vec<&'a Series>,
    edges: usize,
}

impl Tables<'_> {
    fn outcomes(&self, scenario: Scenario, mode: Mode) -> &[Outcome] {
        let found = self.series.iter().find(|series| series.scenario == scenario && series.mode == mode);
        found.map_or(&[], |series| &series.outcomes)
    }

    /// The series in which the control plane decides, of faulty or of faultless releases.
    fn fleet_series(&self, is_faulty: bool) -> impl Iterator<Item = &&Series> {
        let fleet = self.series.iter().filter(|series| series.mode == Mode::Fleet);
        fleet.filter(move |series| series.scenario.is_faulty() == is_faulty)
    }

    fn write(&self) -> String {
        let seeds = self.series.first().map_or(0, |series| series.outcomes.len());
        let mut text = format!("### {} edges, {seeds} seeds of each\n\n", self.edges);
        if seeds > 0 {
            text += "Each edge alone and fixed steps: a quarter of the seeds.\n\n";
        }
        self.write_faulty(&mut text);
        self.write_faultless(&mut text);
        self.write_evidence(&mut text);
        self.write_errors(&mut text);
        text.push('\n');
        text
    }

    fn write_faulty(&self, text: &mut String) {
        *text += FAULTY_HEADER;
        for series in self.fleet_series(true) {
            let fleet = &series.outcomes;
            let alone = self.outcomes(series.scenario, Mode::Alone);
            let fixed = self.outcomes(series.scenario, Mode::Fixed);
            let _ = writeln!(
                text,
                "| {} | {} | {} | {} | {} | {} | {} | {} | {} |",
                series.name,
                median_and_worst(fleet, new_version_percentage, 2),
                median_and_worst(fleet, bad_answer_percentage, 3),
                median_and_worst(fleet, stop_seconds, 0),
                missed(fleet),
                median_and_worst(alone, new_version_percentage, 1),
                median_and_worst(alone, stop_seconds, 0),
                missed(alone),
                median_and_worst(fixed, new_version_percentage, 1),
            );
        }
    }

    fn write_faultless(&self, text: &mut String) {
        *text += FAULTLESS_HEADER;
        for series in self.fleet_series(false) {
            let outcomes = &series.outcomes;
            let reached_half =
                |outcome: &&Outcome| outcome.new_share.iter().any(|point| point.share > HALF_REACHED);
            let half = outcomes.iter().filter(reached_half).count();
            let alone = paused(self.outcomes(series.scenario, Mode::Alone));
            let (name, paused, all) = (series.name, paused(outcomes), outcomes.len());
            let _ = writeln!(text, "| {name} | {paused} of {all} | {half} | {alone} |");
        }
    }

    fn write_evidence(&self, text: &mut String) {
        let bytes: f64 = self
            .fleet_series(false)
            .flat_map(|series| &series.outcomes)
            .map(|o| o.evidence_bytes as f64 / o.seconds as f64 / self.edges as f64)
            .fold(0.0, f64::max);
        let _ = writeln!(text, "\nEvidence: at most {bytes:.0} bytes a second and edge, over an evening.\n");
    }

    fn write_errors(&self, text: &mut String) {
        for series in self.fleet_series(false) {
            if let Some(outcome) = series.outcomes.iter().find(|outcome| outcome.paused_at.is_some()) {
                let (at, reason) = (outcome.paused_at.unwrap_or(0) / 1000, &outcome.pause_reason);
                let _ = writeln!(text, "- paused in error, {}: at {at} s, {reason}", series.name);
            }
        }
    }
}

/// Draws the share of requests that went to the new version over time, in each mode, for one seed of a scenario.
fn chart(file: &str, all: &[Series], name: &str) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(file, (720, 320)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(8)
        .x_label_area_size(32)
        .y_label_area_size(44)
        .build_cartesian_2d(0f64..900f64, 0f64..100f64)?;
    chart.configure_mesh().x_desc("seconds").y_desc("% of requests at the new version").draw()?;
    for (mode, colour) in [(Mode::Fixed, RED), (Mode::Alone, BLUE), (Mode::Fleet, BLACK)] {
        let found = all.iter().find(|series| !series.is_large && series.name == name && series.mode == mode);
        if let Some(outcome) = found.and_then(|series| series.outcomes.first()) {
            let points = outcome.new_share.iter();
            let points = points.map(|point| (point.at as f64 / 1000.0, point.share * 100.0));
            chart.draw_series(LineSeries::new(points, colour.stroke_width(2)))?;
        }
    }
    root.present()?;
    Ok(())
}

/// Writes the tables into `rollout.md` in the directory `docs`, and the charts next to it.
pub(crate) fn write(docs: &str, all: &[Series]) -> Result<(), Box<dyn std::error::Error>> {
    let file = format!("{docs}/rollout.md");
    let page = std::fs::read_to_string(&file).unwrap_or_else(|_| format!("{BEGIN}\n{END}\n"));
    let (Some(begin), Some(end)) = (page.find(BEGIN), page.find(END)) else {
        return Err("the page lacks the markers of the tables".into());
    };
    let mut text = String::new();
    for (is_large, size) in [(false, SMALL), (true, LARGE)] {
        let series = all.iter().filter(|series| series.is_large == is_large).collect();
        text += &Tables { series, edges: size.edges }.write();
    }
    for (name, suffix) in [("late, three answers in ten", "late"), ("late at evening load only", "evening")] {
        chart(&format!("{docs}/rollout-{suffix}.svg"), all, name)?;
        let _ = writeln!(
            text,
            "![{name}: fixed steps (red), each edge alone (blue), as built (black)](rollout-{suffix}.svg)\n"
        );
    }
    std::fs::write(file, format!("{}{BEGIN}\n\n{text}{}", &page[..begin], &page[end..]))?;
    print!("{text}");
    Ok(())
}
