//! The director's reducer in simulated time. What the world tells comes to it as the bytes that sockets would bring,
//! and what it sends is read as the relay would read it, so that a play goes through all of the director but its I/O.

mod surroundings;

use crate::platform::{Platform, ServiceAddresses};
use crate::truth::Truth;
use coppersail::interface::{Input, Order, TimerId};
use coppersail_admin_socket::{Answer, Request};
use coppersail_changes::{Submission, Version};
use coppersail_director::reducer::{AdminRequestId, Effect, Event, Reducer};
use coppersail_operator_config::OperatorFile;
use coppersail_protocol::config::Config;
use std::collections::VecDeque;
use surroundings::{loopback, Surroundings};

/// The director is woken after so long at least, seconds.
const MIN_WAKE_DELAY: f64 = 1e-3;
/// Events that the reducer processes at one time at most. Effects bring new events; a circle among them would be a
/// fault.
const MAX_EVENTS_AT_ONCE: usize = 10_000;
/// Nanoseconds in a millisecond.
const NS_PER_MS: u64 = 1_000_000;
/// The director's name in its configuration.
const DIRECTOR_NAME: &str = "lab";
/// What the log says before the number of the change that undoes another.
const UNDONE_BY: &str = "undone by change ";

/// A line that the director has logged of operators' changes.
#[derive(Clone, Debug)]
pub struct ChangeLogEntry {
    /// Simulated seconds.
    pub at: f64,
    /// The line.
    pub text: String,
}

/// A director's reducer with its surroundings.
pub struct ReducerPolicy {
    platform: Platform,
    seed: u64,
    takes_changes: bool,
    /// None before the first inputs.
    running: Option<Running>,
    submissions: Vec<Submission>,
    change_log: Vec<ChangeLogEntry>,
    /// The newest change that the log has named.
    newest_change: u64,
}

struct Running {
    reducer: Reducer,
    surroundings: Surroundings,
    /// Simulated seconds.
    wake_at: f64,
    /// Requests on the admin socket so far.
    admin_requests: u64,
}

/// The director refuses the configuration that the lab has written: a fault of the lab.
#[derive(Debug, thiserror::Error)]
enum ConfigError {
    /// By the configuration's codec.
    #[error("{0}")]
    Syntax(coppersail_protocol::ParseError),
    /// By the director's reducer.
    #[error("{0}")]
    Reducer(#[source] Box<dyn std::error::Error + Send + Sync>),
}

impl ConfigError {
    fn reducer(source: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> Self {
        ConfigError::Reducer(source.into())
    }
}

impl ReducerPolicy {
    /// A director that starts with its first inputs. `takes_changes`: operators can submit changes.
    pub fn new(platform: Platform, seed: u64, takes_changes: bool) -> Self {
        ReducerPolicy {
            platform,
            seed,
            takes_changes,
            running: None,
            submissions: Vec::new(),
            change_log: Vec::new(),
            newest_change: 0,
        }
    }

    /// An operator who knows the newest version submits a change. The director gets it with its next inputs.
    pub fn submit(&mut self, submission: Submission) {
        self.submissions.push(submission);
    }

    /// What the director has logged of operators' changes.
    pub fn change_log(&self) -> &[ChangeLogEntry] {
        &self.change_log
    }

    /// Processes inputs at a time in simulated seconds, and returns the orders.
    ///
    /// # Panics
    /// If the director refuses the lab's configuration or sends a call that the relay cannot read: faults that a play
    /// must not hide.
    pub fn handle(&mut self, now: f64, inputs: &[Input], truth: &Truth) -> Vec<Order> {
        let mut events = VecDeque::from([Event::TimerFired]);
        let mut running = self.running_with(now, inputs, &mut events);
        for submission in self.submissions.drain(..) {
            let submission = Submission { base: Version(self.newest_change), ..submission };
            running.admin_requests += 1;
            let id = AdminRequestId(running.admin_requests);
            events.push_back(Event::AdminRequest(id, Box::new(Request::Submit { submission })));
        }
        running.surroundings.set_relay_down(truth.store_down, &mut events);
        running.surroundings.send_due_heartbeats(now, &mut events);
        let orders = self.reduce_all(now, &mut running, events);
        self.running = Some(running);
        orders
    }

    /// The running reducer, with the inputs put into `events`. The first inputs are the state in which it starts.
    fn running_with(&mut self, now: f64, inputs: &[Input], events: &mut VecDeque<Event>) -> Running {
        if let Some(mut running) = self.running.take() {
            for input in inputs {
                running.surroundings.receive(&self.platform, input, events);
            }
            return running;
        }
        let started = self.start(now, inputs);
        let mut running = started.unwrap_or_else(|error| panic!("the lab's configuration: {error}"));
        running.surroundings.connect_collectors(&self.platform, events);
        running
    }

    fn start(&self, now: f64, inputs: &[Input]) -> Result<Running, ConfigError> {
        let surroundings = Surroundings::new(now, inputs);
        let endpoints = surroundings.all_endpoints(&self.platform);
        let addresses = ServiceAddresses { listen: loopback(1), discovery: loopback(2), relay: loopback(3) };
        let text = self.platform.config(DIRECTOR_NAME, self.seed, &addresses, &endpoints);
        let config = Config::parse(text.as_bytes()).map_err(ConfigError::Syntax)?;
        let wall_ns = self.platform.start_ms * NS_PER_MS;
        let mut reducer = Reducer::new(&config, wall_ns).map_err(ConfigError::reducer)?;
        if self.takes_changes {
            reducer
                .enable_operator_changes(&config, wall_ns, &OperatorFile::default(), None)
                .map_err(ConfigError::reducer)?;
        }
        Ok(Running { reducer, surroundings, wake_at: now, admin_requests: 0 })
    }

    /// Reduces the events and those that follow from them, until the reducer has settled. Returns the orders.
    fn reduce_all(&mut self, now: f64, running: &mut Running, mut events: VecDeque<Event>) -> Vec<Order> {
        let mut orders = Vec::new();
        let mut has_settled = false;
        for _ in 0..MAX_EVENTS_AT_ONCE {
            let event = match events.pop_front() {
                Some(event) => event,
                None if has_settled => break,
                None => Event::EndOfBatch,
            };
            has_settled = event == Event::EndOfBatch;
            for effect in running.reducer.reduce(now, event) {
                self.record_change_log(now, &effect);
                if let Effect::SetTimer(at) = effect {
                    running.wake_at = at;
                } else {
                    running.surroundings.carry_out(&self.platform, effect, &mut events, &mut orders);
                }
            }
        }
        let due_at = running.wake_at.min(running.surroundings.heartbeat_at());
        orders.push(Order::SetTimer { timer: TimerId(1), fires_at: due_at.max(now + MIN_WAKE_DELAY) });
        orders
    }

    /// Keeps what the director logs or answers of operators' changes.
    fn record_change_log(&mut self, now: f64, effect: &Effect) {
        let (number, text) = match effect {
            Effect::Log(_, Some(number), text) => (number.0, text.clone()),
            Effect::AnswerAdminRequest(_, Answer::Rejected { reason }) => (0, format!("refused: {reason}")),
            _ => return,
        };
        // Where a change is undone, only the text has the number of the change that does it.
        let undone_by = undoing_change(&text).unwrap_or(0);
        self.newest_change = self.newest_change.max(number).max(undone_by);
        self.change_log.push(ChangeLogEntry { at: now, text });
    }
}

/// The number of the change that undoes the one of which the line tells.
fn undoing_change(text: &str) -> Option<u64> {
    let rest = text.split(UNDONE_BY).nth(1)?;
    let number = rest.split(',').next()?;
    number.parse().ok()
}
