//! Shows a play in a terminal as it goes on: service by second, the load of each host, faults, violations of rules.

mod frame;

use crate::policy::Kind;
use crate::scenario::Scenario;
use crate::World;
pub use frame::{draw, Pace};
use ratatui::crossterm::event::{self, Event, KeyCode};
use ratatui::DefaultTerminal;
use std::io;
use std::time::{Duration, Instant};

/// The time between frames.
const FRAME_INTERVAL: Duration = Duration::from_millis(100);
/// How long a key is waited for, if nothing is due.
const KEY_WAIT: Duration = Duration::from_millis(25);
/// Simulated events between looks at the clock and the keys, so that a fast play stays fast and can still be ended.
const MAX_STEPS: usize = 2000;
/// Bounds of the speed, in simulated seconds a second.
const MIN_SPEED: f64 = 0.125;
const MAX_SPEED: f64 = 1024.0;

/// A play that cannot be shown.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// The binary's real time cannot be paused or hurried.
    #[error("policy live: expected one that is played in simulated time")]
    RealTime,
    /// The terminal cannot be drawn on or read from.
    #[error("a terminal: {0}")]
    Terminal(#[source] io::Error),
}

/// Shows a play in the terminal, at `speed` simulated seconds a second, until the user ends it.
///
/// # Errors
/// [`WatchError`]: the policy plays in real time only, or there is no terminal.
pub fn watch(scenario: &Scenario, kind: Kind, seed: u64, speed: f64) -> Result<(), WatchError> {
    if kind == Kind::Process {
        return Err(WatchError::RealTime);
    }
    let world = World::new(scenario, kind, seed);
    let mut terminal = ratatui::try_init().map_err(WatchError::Terminal)?;
    let result = Player::new(world, kind, speed).run(&mut terminal);
    ratatui::restore();
    result.map_err(WatchError::Terminal)
}

/// Plays a world at the pace that the user chooses.
struct Player {
    world: World,
    policy: Kind,
    pace: Pace,
    /// The simulated time that the play should have reached, in seconds.
    due: f64,
    /// The world has no further events.
    over: bool,
}

impl Player {
    fn new(world: World, policy: Kind, speed: f64) -> Self {
        Player { world, policy, pace: Pace { speed, paused: false }, due: 0.0, over: false }
    }

    fn run(&mut self, terminal: &mut DefaultTerminal) -> io::Result<()> {
        let mut last_turn = Instant::now();
        let mut last_frame: Option<Instant> = None;
        loop {
            let elapsed = last_turn.elapsed();
            last_turn = Instant::now();
            let caught_up = self.advance(elapsed);
            if last_frame.is_none_or(|at| at.elapsed() >= FRAME_INTERVAL) {
                terminal.draw(|frame| draw(frame, &self.world, self.policy, self.pace))?;
                last_frame = Some(Instant::now());
            }
            let wait = if caught_up { KEY_WAIT } else { Duration::ZERO };
            if !event::poll(wait)? {
                continue;
            }
            if let Event::Key(key) = event::read()? {
                if !self.handle_key(key.code) {
                    return Ok(());
                }
            }
        }
    }

    /// Plays what is due after so much time, up to a bound; false if the bound was met.
    fn advance(&mut self, elapsed: Duration) -> bool {
        if !self.pace.paused {
            self.due += elapsed.as_secs_f64() * self.pace.speed;
        }
        let mut steps = 0;
        while !self.over && self.world.now() < self.due && steps < MAX_STEPS {
            self.over = !self.world.step();
            steps += 1;
        }
        // A play that cannot keep up goes as fast as it can, and does not hurry afterwards.
        self.due = self.due.min(self.world.now() + self.pace.speed);
        steps < MAX_STEPS
    }

    /// Reacts to a key; false if the user ends the play.
    fn handle_key(&mut self, key: KeyCode) -> bool {
        match key {
            KeyCode::Char('q') | KeyCode::Esc => return false,
            KeyCode::Char(' ') => self.pace.paused = !self.pace.paused,
            KeyCode::Char('+') => self.pace.speed = (self.pace.speed * 2.0).min(MAX_SPEED),
            KeyCode::Char('-') => self.pace.speed = (self.pace.speed / 2.0).max(MIN_SPEED),
            _ => {}
        }
        true
    }
}

#[cfg(test)]
mod tests;
