//! Tables and charts of what was played, put between two marks of the page.
use crate::world::{Mode, Outcome};
use crate::Played;
use plotters::prelude::*;
use std::fmt::Write;

const BEGIN: &str = "<!-- tables: written by `evening` -->";
const END: &str = "<!-- end of tables -->";

fn middle(mut all: Vec<f64>) -> (f64, f64) {
    all.sort_by(f64::total_cmp);
    match all.len() {
        0 => (f64::NAN, f64::NAN),
        n => (all[n / 2], all[n - 1]),
    }
}

fn share(o: &Outcome) -> f64 {
    100.0 * o.met as f64 / o.all.max(1) as f64
}

fn harmed(o: &Outcome) -> f64 {
    100.0 * o.harmed as f64 / o.all.max(1) as f64
}

fn stop(o: &Outcome) -> Option<f64> {
    o.first_bad.map(|bad| o.last_sent.saturating_sub(bad) as f64 / 1000.0)
}

fn tables(played: &[Played], large: bool) -> String {
    let of = |p: &&Played| p.large == large;
    let seeds = played.iter().find(of).map_or(0, |p| p.all.len());
    let edges = if large { crate::LARGE.edges } else { crate::SMALL.edges };
    let mut text = format!("### {edges} edges, {seeds} seeds of each\n\n");
    if seeds > 0 {
        text += "Each edge alone and fixed steps: a quarter of the seeds.\n\n";
    }
    text += "Bad releases; median / worst. *Met*: of all requests of the evening, those that the new version ran, in %. \
        *Harmed*: those it answered badly, in %. *Stop*: seconds from its first bad answer to the last request sent to it \
        anywhere. *Missed*: evenings that ended with it in force.\n\n";
    text += "| release | met | harmed | stop s | missed | met, each edge alone | stop s | missed | met, fixed steps |\n\
        |---|---|---|---|---|---|---|---|---|\n";
    let pair = |all: &[Outcome], f: &dyn Fn(&Outcome) -> Option<f64>, digits: usize| {
        let (mid, worst) = middle(all.iter().filter_map(f).collect());
        match mid.is_nan() {
            true => "-".into(),
            false => format!("{mid:.digits$} / {worst:.digits$}"),
        }
    };
    let missed = |all: &[Outcome]| {
        let live = |o: &&Outcome| o.last_sent + 10_000 > crate::world::EVENING && o.first_bad.is_some();
        all.iter().filter(live).count()
    };
    let find = |case, mode| played.iter().filter(of).find(|p| p.case == case && p.mode == mode);
    for p in played.iter().filter(of).filter(|p| p.case.bad() && p.mode == Mode::Fleet) {
        let (met, bad) = (|o: &Outcome| Some(share(o)), |o: &Outcome| Some(harmed(o)));
        let none = Vec::new();
        let alone = find(p.case, Mode::Alone).map_or(&none, |p| &p.all);
        let fixed = find(p.case, Mode::Fixed).map_or(&none, |p| &p.all);
        let _ = writeln!(
            text,
            "| {} | {} | {} | {} | {} | {} | {} | {} | {} |",
            p.name,
            pair(&p.all, &met, 2),
            pair(&p.all, &bad, 3),
            pair(&p.all, &stop, 0),
            missed(&p.all),
            pair(alone, &met, 1),
            pair(alone, &stop, 0),
            missed(alone),
            pair(fixed, &met, 1),
        );
    }
    text += "\nSound releases with other troubles. *Paused*: in error. *Steps*: evenings that came to half of all requests or more.\n\n";
    text += "| release | paused | steps | paused by some edge, each alone |\n|---|---|---|---|\n";
    for p in played.iter().filter(of).filter(|p| !p.case.bad() && p.mode == Mode::Fleet) {
        let paused = p.all.iter().filter(|o| o.paused_at.is_some()).count();
        let half = |o: &&Outcome| o.line.iter().any(|(_, share)| *share > 0.4);
        let steps = p.all.iter().filter(half).count();
        let alone =
            find(p.case, Mode::Alone).map_or(0, |p| p.all.iter().filter(|o| o.paused_at.is_some()).count());
        let _ = writeln!(text, "| {} | {paused} of {} | {steps} | {alone} |", p.name, p.all.len());
    }
    let bytes: f64 = played
        .iter()
        .filter(of)
        .filter(|p| p.mode == Mode::Fleet && !p.case.bad())
        .flat_map(|p| &p.all)
        .map(|o| o.bytes as f64 / o.seconds as f64 / edges as f64)
        .fold(0.0, f64::max);
    let _ = writeln!(text, "\nEvidence: at most {bytes:.0} bytes a second and edge, over an evening.\n");
    for p in played.iter().filter(of).filter(|p| p.mode == Mode::Fleet && !p.case.bad()) {
        if let Some(o) = p.all.iter().find(|o| o.paused_at.is_some()) {
            let at = o.paused_at.unwrap_or(0) / 1000;
            let _ = writeln!(text, "- paused in error, {}: at {at} s, {}", p.name, o.why);
        }
    }
    text.push('\n');
    text
}

/// The share of requests that met a bad version, over one evening, in the three ways.
fn chart(file: &str, played: &[Played], case: &str) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(file, (720, 320)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(8)
        .x_label_area_size(32)
        .y_label_area_size(44)
        .build_cartesian_2d(0f64..900f64, 0f64..100f64)?;
    chart.configure_mesh().x_desc("seconds").y_desc("% of requests at the new version").draw()?;
    for (mode, colour) in [(Mode::Fixed, RED), (Mode::Alone, BLUE), (Mode::Fleet, BLACK)] {
        let one = played.iter().find(|p| !p.large && p.name == case && p.mode == mode);
        if let Some(o) = one.and_then(|p| p.all.first()) {
            let line = o.line.iter().map(|(at, share)| (*at as f64 / 1000.0, share * 100.0));
            chart.draw_series(LineSeries::new(line, colour.stroke_width(2)))?;
        }
    }
    root.present()?;
    Ok(())
}

pub fn write(docs: &str, played: &[Played]) -> Result<(), Box<dyn std::error::Error>> {
    let file = format!("{docs}/rollout.md");
    let page = std::fs::read_to_string(&file).unwrap_or_else(|_| format!("{BEGIN}\n{END}\n"));
    let (Some(begin), Some(end)) = (page.find(BEGIN), page.find(END)) else {
        return Err("the page lacks its marks".into());
    };
    let mut text = tables(played, false);
    text += &tables(played, true);
    for (case, name) in [("late, three answers in ten", "late"), ("late at evening load only", "evening")] {
        chart(&format!("{docs}/rollout-{name}.svg"), played, case)?;
        let _ = writeln!(
            text,
            "![{case}: fixed steps (red), each edge alone (blue), as built (black)](rollout-{name}.svg)\n"
        );
    }
    std::fs::write(file, format!("{}{BEGIN}\n\n{text}{}", &page[..begin], &page[end..]))?;
    print!("{text}");
    Ok(())
}
