//! Draws one frame of a play. What is shown is read off the world; nothing is decided here.

use crate::measure::Second;
use crate::policy::Kind;
use crate::World;
use ratatui::layout::{Constraint, Layout};
use ratatui::style::{Color, Style};
use ratatui::text::Line;
use ratatui::widgets::{Block, Paragraph, Sparkline};
use ratatui::Frame;

/// A share of 1, as the whole number that bars want.
const BAR_SCALE: u64 = 1000;
/// How many hosts are shown.
const MAX_HOSTS: u32 = 40;
/// Hosts in a row.
const HOSTS_PER_ROW: u16 = 4;
/// Width of a host's bar, in characters.
const BAR_WIDTH: f64 = 8.0;
/// How many of the directors' messages are shown.
const MAX_MESSAGES: usize = 8;
/// Lines or columns that the border of a panel takes.
const BORDER: u16 = 2;

/// How fast a play is shown.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Simulated seconds in a second.
    pub speed: f64,
    /// Time stands still.
    pub paused: bool,
}

/// Draws one frame.
pub fn draw(frame: &mut Frame, world: &World, policy: Kind, pace: Pace) {
    let hosts = world.scenario.fleet.hosts.min(MAX_HOSTS) as u16;
    let rows = [
        Constraint::Length(3),
        Constraint::Length(5),
        Constraint::Length(5),
        Constraint::Length(hosts.div_ceil(HOSTS_PER_ROW) + BORDER),
        Constraint::Min(3),
    ];
    let [header, service, calls, load, events] = Layout::vertical(rows).areas(frame.area());
    frame.render_widget(header_panel(world, policy, pace), header);
    let seconds = last_seconds(world, service.width.saturating_sub(BORDER).into());
    frame.render_widget(service_panel(seconds), service);
    frame.render_widget(calls_panel(seconds), calls);
    frame.render_widget(hosts_panel(world, hosts), load);
    frame.render_widget(events_panel(world), events);
}

fn header_panel(world: &World, policy: Kind, pace: Pace) -> Paragraph<'static> {
    let measured = &world.measured;
    let paused = if pace.paused { ", paused" } else { "" };
    let text = format!(
        "{:.1} of {:.0} s at {:.3}x{paused}   service {:.3}   worst ten seconds {:.3}   rules broken {}",
        world.now(),
        world.scenario.seconds,
        pace.speed,
        measured.service(),
        measured.worst_window(),
        world.rules.many,
    );
    let title = format!(" {} with {} — q ends, space pauses, + and - ", world.scenario.name, policy.name());
    Paragraph::new(text).block(Block::bordered().title(title))
}

/// The last `count` seconds that are over, or fewer.
fn last_seconds(world: &World, count: usize) -> &[Second] {
    let seconds = &world.measured.seconds;
    let now = (world.now() as usize).min(seconds.len());
    &seconds[now.saturating_sub(count)..now]
}

fn service_panel(seconds: &[Second]) -> Sparkline<'static> {
    let service = |second: &Second| {
        if second.offered > 0.0 {
            bar_height(second.served / second.offered)
        } else {
            BAR_SCALE
        }
    };
    bars(" served in time ", seconds.iter().map(service).collect(), Color::Green).max(BAR_SCALE)
}

fn calls_panel(seconds: &[Second]) -> Sparkline<'static> {
    let unserved = |second: &Second| u64::from(second.dropped + second.late + second.throttled);
    bars(" late, dropped or throttled ", seconds.iter().map(unserved).collect(), Color::Red)
}

fn bars(title: &'static str, values: Vec<u64>, color: Color) -> Sparkline<'static> {
    Sparkline::default().block(Block::bordered().title(title)).data(values).style(Style::new().fg(color))
}

/// A share as a whole number, as bars want it.
fn bar_height(share: f64) -> u64 {
    (BAR_SCALE as f64 * share.clamp(0.0, 1.0)).round() as u64
}

/// How many calls each host has in hand.
fn hosts_panel(world: &World, shown: u16) -> Paragraph<'static> {
    let calls_by_host = world.measured.jobs_by_host.last().map(Vec::as_slice).unwrap_or_default();
    let highest = f64::from(calls_by_host.iter().copied().max().unwrap_or(1).max(1));
    let mut cells = Vec::new();
    for (host, calls) in calls_by_host.iter().take(shown.into()).enumerate() {
        let bar = "#".repeat((BAR_WIDTH * f64::from(*calls) / highest).round() as usize);
        cells.push(format!("h{host:<3} {calls:>4} {bar:<8}  "));
    }
    let rows: Vec<Line> = cells.chunks(HOSTS_PER_ROW.into()).map(|row| Line::from(row.concat())).collect();
    let title = format!(" calls in hand, {} hosts ", calls_by_host.len());
    Paragraph::new(rows).block(Block::bordered().title(title))
}

/// Violations of rules, faults under way, and the directors' last messages.
fn events_panel(world: &World) -> Paragraph<'static> {
    let mut lines = Vec::new();
    for broken in world.rules.violations.iter().rev() {
        let text = format!("{:.1} s: rule {}: {}", broken.at, broken.rule, broken.subject);
        lines.push(Line::styled(text, Color::Red));
    }
    for fault in &world.scenario.faults {
        if (fault.at..fault.at + fault.duration).contains(&world.now()) {
            lines.push(Line::from(format!("now: {:?}", fault.kind)));
        }
    }
    for (at, _, text) in world.change_log().iter().rev().take(MAX_MESSAGES) {
        lines.push(Line::from(format!("{at:.1} s: {text}")));
    }
    Paragraph::new(lines).block(Block::bordered().title(" what goes on "))
}
