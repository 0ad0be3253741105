//! What was acknowledged, read and seen at edges, and what that violates. Pure: times are passed in.
use crate::cluster::ProcessId;
use crate::drain::{BrokenDrain, Departures};
use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, Instant};

/// Within this of its acknowledgement a configuration is in force at all edges, in times without faults.
pub(crate) const APPLY: Duration = Duration::from_millis(2_000);
/// After a fault the guarantees about time hold again from this on.
pub(crate) const CONTACT: Duration = Duration::from_millis(3_000);

/// Something that must not happen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Violation {
    /// A read was answered with an older configuration than one acknowledged before it was sent.
    OldRead { node: usize, read: u64, acknowledged: u64 },
    /// The content that was read is not the one that was sent under its number.
    OtherContent { node: usize, revision: u64 },
    /// An edge served by a revision, and later by an older one, in one life.
    WentBack { edge: usize, below: u64 },
    /// An edge did not serve by an acknowledged revision in time, without a fault.
    Late { edge: usize, acknowledged: u64 },
    /// An order that was acknowledged was refused when it was sent again.
    Refused { revision: u64, status: u16 },
    /// An edge passed a request on and closed its connection without an answer, though nothing killed the edge.
    Lost { edge: usize, id: String },
    /// A client got the answer to another request.
    Foreign { edge: usize },
    /// A client got a success that is not the endpoint's.
    Mixed { edge: usize, id: String },
    /// An endpoint ran a request that is not as its client sent it.
    Unasked { id: String, difference: String },
    /// Requests reached an endpoint that had left.
    Drain(BrokenDrain),
    /// A process did not end within its grace period after SIGTERM.
    DidNotEnd { process: ProcessId },
    /// At the end a node gave no answer, or an older one.
    NotReadBack { node: usize },
    /// A process has logged that one of its own invariants was violated, or has panicked.
    Logged { line: String },
}

impl fmt::Display for Violation {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::OldRead { node, read, acknowledged } => {
                write!(out, "node {node} lets r{read} be read, r{acknowledged} was acknowledged before")
            }
            Violation::OtherContent { node, revision } => {
                write!(out, "node {node} lets another content be read under r{revision}")
            }
            Violation::WentBack { edge, below } => {
                write!(out, "edge {edge} went back below r{below}, by which it had served")
            }
            Violation::Late { edge, acknowledged } => write!(out, "edge {edge} lacks r{acknowledged}"),
            Violation::Refused { revision, status } => {
                write!(out, "r{revision} was acknowledged and then refused with {status}")
            }
            Violation::Lost { edge, id } => write!(out, "edge {edge} lost the request {id}"),
            Violation::Foreign { edge } => write!(out, "edge {edge} gave an answer to another request"),
            Violation::Mixed { edge, id } => write!(out, "edge {edge} changed the answer to {id}"),
            Violation::Unasked { id, difference } => write!(out, "UNASKED: {id}: {difference}"),
            Violation::DidNotEnd { process } => write!(out, "{process:?} did not end after SIGTERM"),
            Violation::Drain(drain) => drain.fmt(out),
            Violation::NotReadBack { node } => write!(out, "node {node} does not let the newest be read"),
            Violation::Logged { line } => write!(out, "log: {line}"),
        }
    }
}

/// What was seen at one edge.
#[derive(Debug, Default)]
struct EdgeState {
    /// Counts its starts; what it answered in an earlier life says nothing about this one.
    life: u64,
    /// In this life.
    highest_seen: u64,
    /// When it was killed last.
    killed_at: Option<Instant>,
}

/// A request to an edge.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Probe {
    pub(crate) edge: usize,
    /// Of the edge, when it was sent.
    pub(crate) life: u64,
    pub(crate) sent: Instant,
}

/// All that was observed in a run.
#[derive(Debug, Default)]
pub(crate) struct History {
    /// When each revision was acknowledged first.
    acknowledged: BTreeMap<u64, Instant>,
    edges: BTreeMap<usize, EdgeState>,
    /// When the last fault ended; none while one is active, and before the first.
    calm_since: Option<Instant>,
    /// Reads that were answered with 200.
    pub(crate) reads: u64,
    /// Requests of clients that got a complete answer.
    pub(crate) answers: u64,
    /// Those of them to requests with bodies.
    pub(crate) bodies: u64,
    /// The longest time from an acknowledgement to an edge, in times without faults.
    pub(crate) latest_edge: Duration,
    /// Of endpoints.
    pub(crate) departures: Departures,
    pub(crate) violations: Vec<Violation>,
}

impl History {
    pub(crate) fn begin_fault(&mut self) {
        self.calm_since = None;
    }

    /// No fault is active any more.
    pub(crate) fn end_faults(&mut self, now: Instant) {
        self.calm_since = Some(now);
    }

    pub(crate) fn acknowledge(&mut self, revision: u64, now: Instant) {
        self.acknowledged.entry(revision).or_insert(now);
    }

    pub(crate) fn acknowledged_count(&self) -> usize {
        self.acknowledged.len()
    }

    /// The newest revision that is acknowledged.
    pub(crate) fn newest_acknowledged(&self) -> u64 {
        self.acknowledged.keys().next_back().copied().unwrap_or(0)
    }

    /// A refusal; an order that was never acknowledged may be refused.
    pub(crate) fn refuse(&mut self, revision: u64, status: u16) {
        if self.acknowledged.contains_key(&revision) {
            self.violations.push(Violation::Refused { revision, status });
        }
    }

    /// A read that was sent when `acknowledged` was the newest.
    pub(crate) fn read(&mut self, node: usize, acknowledged: u64, read: u64, is_as_sent: bool) {
        self.reads += 1;
        if read < acknowledged {
            self.violations.push(Violation::OldRead { node, read, acknowledged });
        }
        if !is_as_sent {
            self.violations.push(Violation::OtherContent { node, revision: read });
        }
    }

    /// An edge starts anew.
    pub(crate) fn restart_edge(&mut self, edge: usize) {
        let state = self.edges.entry(edge).or_default();
        state.life += 1;
        state.highest_seen = 0;
    }

    /// An edge is killed: what it has in flight is lost.
    pub(crate) fn kill_edge(&mut self, edge: usize, now: Instant) {
        self.edges.entry(edge).or_default().killed_at = Some(now);
        self.restart_edge(edge);
    }

    /// A client got a complete answer.
    pub(crate) fn answer(&mut self, had_body: bool) {
        self.answers += 1;
        self.bodies += u64::from(had_body);
    }

    /// A client got a success that lacks the seal, or has another body than the endpoint sent.
    pub(crate) fn mixed_answer(&mut self, edge: usize, id: &str) {
        self.violations.push(Violation::Mixed { edge, id: id.into() });
    }

    /// An endpoint ran a request that differs from the one that was sent.
    pub(crate) fn run_changed_request(&mut self, id: &str, difference: String) {
        self.violations.push(Violation::Unasked { id: id.into(), difference });
    }

    /// A client got the answer to another request.
    pub(crate) fn foreign_answer(&mut self, edge: usize) {
        self.violations.push(Violation::Foreign { edge });
    }

    /// A request that was sent then was begun by its endpoint, and its connection ended without an answer.
    pub(crate) fn lose_request(&mut self, edge: usize, id: &str, sent: Instant) {
        let killed_at = self.edges.get(&edge).and_then(|state| state.killed_at);
        if killed_at.is_none_or(|killed| killed < sent) {
            self.violations.push(Violation::Lost { edge, id: id.into() });
        }
    }

    /// A request that is sent to an edge now.
    pub(crate) fn probe(&self, edge: usize, now: Instant) -> Probe {
        Probe { edge, life: self.edges.get(&edge).map_or(0, |state| state.life), sent: now }
    }

    /// The newest revision that each edge should have: it was acknowledged long enough before.
    pub(crate) fn newest_due(&self, now: Instant) -> u64 {
        let due = self.acknowledged.iter().filter(|(_, at)| **at + APPLY < now);
        due.map(|(revision, _)| *revision).max().unwrap_or(0)
    }

    /// The newest revision by which an edge is known to have served in its present life.
    pub(crate) fn highest_seen(&self, edge: usize) -> u64 {
        self.edges.get(&edge).map_or(0, |state| state.highest_seen)
    }

    /// The edge answered by this revision or a later one.
    pub(crate) fn see_at_least(&mut self, probe: Probe, revision: u64) {
        let state = self.edges.entry(probe.edge).or_default();
        if state.life != probe.life || revision <= state.highest_seen {
            return;
        }
        state.highest_seen = revision;
        let acknowledged_at = self.acknowledged.get(&revision);
        let is_calm = |at: &&Instant| self.calm_since.is_some_and(|since| **at >= since + CONTACT);
        if let Some(at) = acknowledged_at.filter(is_calm) {
            self.latest_edge = self.latest_edge.max(probe.sent.saturating_duration_since(*at));
        }
    }

    /// The edge answered by a revision below this one, or by none.
    pub(crate) fn see_below(&mut self, probe: Probe, revision: u64) {
        let Probe { edge, life, sent } = probe;
        let state = self.edges.entry(edge).or_default();
        if state.life != life {
            return;
        }
        if revision <= state.highest_seen {
            self.violations.push(Violation::WentBack { edge, below: revision });
        }
        let is_calm = self.calm_since.is_some_and(|since| sent >= since + CONTACT);
        if is_calm && revision <= self.newest_due(sent) {
            self.violations.push(Violation::Late { edge, acknowledged: revision });
        }
    }
}

#[cfg(test)]
mod tests;
