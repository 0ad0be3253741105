//! A play as it goes on, in a terminal: service by second, what each host holds, what is wrong, what was broken.

use crate::policy::Kind;
use crate::scenario::Scenario;
use crate::World;
use ratatui::crossterm::event::{self, Event, KeyCode};
use ratatui::layout::{Constraint, Layout};
use ratatui::style::{Color, Style};
use ratatui::text::Line;
use ratatui::widgets::{Block, Paragraph, Sparkline};
use ratatui::Frame;
use std::time::{Duration, Instant};

/// Between frames: what an eye follows.
const FRAME: Duration = Duration::from_millis(100);
/// Events between looks at the clock and the keys, so that a fast play stays fast and can still be ended.
const STEPS: usize = 2000;

/// How a play is shown.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Simulated seconds in a second.
    pub speed: f64,
    pub paused: bool,
}

/// Shares as whole numbers of a thousand, as bars want them.
fn thousandths(share: f64) -> u64 {
    (1000.0 * share.clamp(0.0, 1.0)).round() as u64
}

/// One frame. What is shown is read off the world; nothing is decided here.
pub fn draw(frame: &mut Frame, world: &World, policy: Kind, pace: Pace) {
    let hosts = world.scenario.fleet.hosts.min(40) as u16;
    let rows = [
        Constraint::Length(3),
        Constraint::Length(5),
        Constraint::Length(5),
        Constraint::Length(hosts.div_ceil(4) + 2),
        Constraint::Min(3),
    ];
    let [head, service, calls, held, wrong] = Layout::vertical(rows).areas(frame.area());
    let measured = &world.measured;
    let paused = if pace.paused { ", paused" } else { "" };
    let text = format!(
        "{:.1} of {:.0} s at {:.3}x{paused}   service {:.3}   worst ten seconds {:.3}   rules broken {}",
        world.now(),
        world.scenario.seconds,
        pace.speed,
        measured.service(),
        measured.worst(),
        world.rules.many,
    );
    let title = format!(" {} with {} — q ends, space pauses, + and - ", world.scenario.name, policy.name());
    frame.render_widget(Paragraph::new(text).block(Block::bordered().title(title)), head);
    let now = (world.now() as usize).min(measured.seconds.len());
    // The last seconds that fit; one that is going on is not whole yet.
    let wide = service.width.saturating_sub(2) as usize;
    let seconds = &measured.seconds[now.saturating_sub(wide)..now];
    let served: Vec<u64> =
        seconds.iter().map(|s| if s.asked > 0.0 { thousandths(s.served / s.asked) } else { 1000 }).collect();
    let bars = |title: &'static str, data: Vec<u64>, most: Option<u64>, color: Color| {
        let bars = Sparkline::default().block(Block::bordered().title(title)).data(data);
        let bars = bars.style(Style::new().fg(color));
        match most {
            Some(most) => bars.max(most),
            None => bars,
        }
    };
    frame.render_widget(bars(" served in time ", served, Some(1000), Color::Green), service);
    let lost = seconds.iter().map(|s| u64::from(s.dropped + s.late + s.throttled)).collect();
    frame.render_widget(bars(" late, dropped or throttled ", lost, None, Color::Red), calls);
    let heat = measured.heat.last().cloned().unwrap_or_default();
    let most = f64::from(heat.iter().copied().max().unwrap_or(1).max(1));
    let cells: Vec<String> = heat
        .iter()
        .take(hosts as usize)
        .enumerate()
        .map(|(host, many)| {
            let bar = "#".repeat((8.0 * f64::from(*many) / most).round() as usize);
            format!("h{host:<3} {many:>4} {bar:<8}  ")
        })
        .collect();
    let lines: Vec<Line> = cells.chunks(4).map(|row| Line::from(row.concat())).collect();
    let title = format!(" calls in hand, {} hosts ", heat.len());
    frame.render_widget(Paragraph::new(lines).block(Block::bordered().title(title)), held);
    let broken = world.rules.broken.iter().rev();
    let mut said: Vec<Line> = broken
        .map(|b| Line::styled(format!("{:.1} s: rule {}: {}", b.at, b.rule, b.what), Color::Red))
        .collect();
    let under_way = world.scenario.faults.iter().filter(|f| (f.at..f.at + f.lasts).contains(&world.now()));
    said.extend(under_way.map(|fault| Line::from(format!("now: {:?}", fault.what))));
    let told = world.told();
    said.extend(told.iter().rev().take(8).map(|(at, _, text)| Line::from(format!("{at:.1} s: {text}"))));
    frame.render_widget(Paragraph::new(said).block(Block::bordered().title(" what goes on ")), wrong);
}

/// A play that cannot be shown.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// The binary's real time cannot be paused or hurried.
    #[error("policy live: expected one that is played in simulated time")]
    RealTime,
    /// The terminal cannot be drawn on or read from.
    #[error("a terminal: {0}")]
    Terminal(#[source] std::io::Error),
}

/// Shows a play in the terminal, at `speed` simulated seconds a second, until the user ends it.
///
/// # Errors
/// [`WatchError`]: the policy plays in real time only, or there is no terminal.
pub fn watch(scenario: &Scenario, kind: Kind, seed: u64, speed: f64) -> Result<(), WatchError> {
    if kind == Kind::Live {
        return Err(WatchError::RealTime);
    }
    let mut world = World::new(scenario, kind, seed);
    let mut pace = Pace { speed, paused: false };
    let mut terminal = ratatui::try_init().map_err(WatchError::Terminal)?;
    let played = (|| -> std::io::Result<()> {
        let (mut clock, mut drawn) = (Instant::now(), None::<Instant>);
        let (mut due, mut over) = (0.0, false);
        loop {
            let passed = clock.elapsed().as_secs_f64();
            clock = Instant::now();
            due += if pace.paused { 0.0 } else { passed * pace.speed };
            let mut steps = 0;
            while !over && world.now() < due && steps < STEPS {
                over = !world.step();
                steps += 1;
            }
            // A play that cannot keep up goes as fast as it can.
            due = due.min(world.now() + pace.speed);
            if drawn.is_none_or(|at| at.elapsed() >= FRAME) {
                terminal.draw(|frame| draw(frame, &world, kind, pace))?;
                drawn = Some(Instant::now());
            }
            let wait = if steps == STEPS { Duration::ZERO } else { FRAME / 4 };
            if !event::poll(wait)? {
                continue;
            }
            if let Event::Key(key) = event::read()? {
                match key.code {
                    KeyCode::Char('q') | KeyCode::Esc => return Ok(()),
                    KeyCode::Char(' ') => pace.paused = !pace.paused,
                    KeyCode::Char('+') => pace.speed = (pace.speed * 2.0).min(1024.0),
                    KeyCode::Char('-') => pace.speed = (pace.speed / 2.0).max(0.125),
                    _ => {}
                }
            }
        }
    })();
    ratatui::restore();
    played.map_err(WatchError::Terminal)
}

#[cfg(test)]
mod tests;
