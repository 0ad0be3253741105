//! Counts the failed polls since the last usable answer of the control plane, for the log.
use coppersail_peer_client::PeerError;
use std::fmt;
use std::time::{Duration, Instant};

/// Consecutive failed polls by cause, which distinguishes a node that is down from one that does not answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Outage {
    began: Option<Instant>,
    /// The connection was accepted, but no answer arrived in time.
    timed_out: u32,
    /// No connection could be established.
    unreachable: u32,
    /// The node answered that it has no quorum.
    isolated: u32,
    /// The connection failed, or the answer was invalid.
    failed: u32,
}

impl Outage {
    /// Counts a failed poll.
    pub(crate) fn record_failure(&mut self, now: Instant, error: &PeerError) {
        self.began.get_or_insert(now);
        match error {
            PeerError::Timeout(_) => self.timed_out += 1,
            PeerError::Connect(_) => self.unreachable += 1,
            _ => self.failed += 1,
        }
    }

    /// Counts the answer of an isolated node.
    pub(crate) fn record_isolated(&mut self, now: Instant) {
        self.began.get_or_insert(now);
        self.isolated += 1;
    }

    fn duration(&self, now: Instant) -> Duration {
        self.began.map_or(Duration::ZERO, |began| now.saturating_duration_since(began))
    }

    /// Ends the outage and resets the counts.
    pub(crate) fn end(&mut self, now: Instant) -> EndedOutage {
        let duration = self.duration(now);
        EndedOutage { duration, polls: std::mem::take(self) }
    }
}

/// An outage that is over. Its text is appended to the log message about its end, and is empty if no poll
/// failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct EndedOutage {
    duration: Duration,
    polls: Outage,
}

impl fmt::Display for EndedOutage {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Outage { timed_out, unreachable, isolated, failed, .. } = self.polls;
        let Some(_) = self.polls.began else { return Ok(()) };
        let milliseconds = self.duration.as_millis();
        write!(
            out,
            " after {milliseconds} ms, failed polls: {timed_out} timed out, {unreachable} unreachable, \
            {isolated} isolated, {failed} other"
        )
    }
}

#[cfg(test)]
#[path = "outage_tests.rs"]
mod tests;
