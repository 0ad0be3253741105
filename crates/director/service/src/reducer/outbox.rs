//! The output of the reducer's parts while they handle an event.

use super::effect::Effect;
use super::ids::LinkId;
use crate::counters::Counters;
use coppersail::interface::Input;
use tracing::Level;

/// Collects effects for the caller, inputs for the decisions, and counters.
#[derive(Default)]
pub(super) struct Outbox {
    /// Effects of the event that is being handled.
    pub(super) effects: Vec<Effect>,
    /// Inputs for the decisions, collected since they last ran.
    pub(super) inputs: Vec<Input>,
    /// Counters since the start.
    pub(super) counters: Counters,
    /// Id of the newest outgoing connection; 0 before the first.
    pub(super) last_link: u64,
}

impl Outbox {
    /// Allocates the id of a new outgoing connection.
    pub(super) fn allocate_link(&mut self) -> LinkId {
        self.last_link += 1;
        LinkId(self.last_link)
    }

    /// Logs a warning.
    pub(super) fn warn(&mut self, text: String) {
        self.effects.push(Effect::Log(Level::WARN, None, text));
    }

    /// Logs at level info.
    pub(super) fn info(&mut self, text: String) {
        self.effects.push(Effect::Log(Level::INFO, None, text));
    }
}
