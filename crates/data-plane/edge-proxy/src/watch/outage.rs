//! What became of the polls since the control plane was last followed, for the log.
use coppersail_peer_client::PeerError;
use std::fmt;
use std::time::{Duration, Instant};

/// Polls that failed in a row, by cause: which of them tells a node that is down from one that does not answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Outage {
    began: Option<Instant>,
    /// The connection was accepted, and no answer came in time.
    silent: u32,
    /// No connection was made.
    unreachable: u32,
    /// The node answered that it has no quorum.
    isolated: u32,
    /// The connection broke, or the answer was none.
    broken: u32,
}

impl Outage {
    /// Counts a poll that failed.
    pub(crate) fn record_failure(&mut self, now: Instant, error: &PeerError) {
        self.began.get_or_insert(now);
        match error {
            PeerError::Timeout(_) => self.silent += 1,
            PeerError::Connect(_) => self.unreachable += 1,
            _ => self.broken += 1,
        }
    }

    /// Counts the answer of an isolated node.
    pub(crate) fn record_isolated(&mut self, now: Instant) {
        self.began.get_or_insert(now);
        self.isolated += 1;
    }

    fn length(&self, now: Instant) -> Duration {
        self.began.map_or(Duration::ZERO, |began| now.saturating_duration_since(began))
    }

    /// The outage as it ends; none is counted afterwards.
    pub(crate) fn end(&mut self, now: Instant) -> EndedOutage {
        let length = self.length(now);
        EndedOutage { length, polls: std::mem::take(self) }
    }
}

/// An outage that is over. Its text is empty if no poll failed; else it goes on the sentence that tells its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct EndedOutage {
    length: Duration,
    polls: Outage,
}

impl fmt::Display for EndedOutage {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Outage { silent, unreachable, isolated, broken, .. } = self.polls;
        let Some(_) = self.polls.began else { return Ok(()) };
        let milliseconds = self.length.as_millis();
        write!(
            out,
            ", after {milliseconds} ms, polls: {silent} silent, {unreachable} unreachable, {isolated} isolated, {broken} broken"
        )
    }
}

#[cfg(test)]
#[path = "outage_tests.rs"]
mod tests;
