//! The events of the simulation and the queue that orders them.
//!
//! Events are processed in order of time. Of two at the same time the one that was scheduled first comes first, so that
//! a seed determines a whole play.

use super::call::{AttemptId, AttemptResult, CallId};
use super::host::Job;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// What happens at one moment. Hosts, proxies, directors, faults and changes are given by their index.
#[derive(Clone, Copy, Debug)]
pub(super) enum Event {
    /// A client makes a new call.
    CallArrives,
    /// A request arrives at its host.
    AttemptReachesHost { attempt: AttemptId, host: u32 },
    /// A core of a host finishes a job.
    JobFinishes { host: u32, incarnation: u32, job: Job },
    /// A proxy learns how an attempt ended.
    ReplyReachesProxy { attempt: AttemptId, result: AttemptResult },
    /// A proxy gives up an attempt.
    AttemptTimesOut { attempt: AttemptId },
    /// A client repeats a call that failed.
    ClientRetries { call: CallId },
    /// A director's message arrives at a proxy.
    MessageReachesProxy { proxy: u16, director: u16, message: u32 },
    /// A director processes its inputs, or wakes up.
    DirectorRuns { director: u16 },
    /// Inputs arrive at a director.
    InputsArrive { delivery: u32 },
    /// The collectors send their sums.
    CollectorsReport,
    /// The state of the fleet is sampled.
    FleetSampled,
    /// The proxies' tables are checked against the rule that a proxy always has a host.
    TablesChecked,
    /// Other slices become hot.
    HotSlicesChange,
    /// A fault of the scenario begins.
    FaultBegins { fault: u32 },
    /// A fault of the scenario ends.
    FaultEnds { fault: u32 },
    /// A host that was killed starts again.
    HostRestarts { host: u32 },
    /// The next hosts of a rolling deployment are replaced.
    DeploymentAdvances { fault: u32 },
    /// A director that was killed starts again.
    DirectorRestarts { director: u16 },
    /// Operators submit a change of the scenario.
    ChangeSubmitted { change: u32 },
}

/// An event with its time.
pub(super) struct ScheduledEvent {
    /// Simulated time in seconds.
    pub(super) at: f64,
    /// How many events were scheduled before, and this one.
    pub(super) sequence: u64,
    /// What happens.
    pub(super) event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    /// Reversed, as the heap gives the greatest first: the earliest is the greatest, and of equals the one that was
    /// scheduled first.
    fn cmp(&self, other: &Self) -> Ordering {
        other.at.total_cmp(&self.at).then(other.sequence.cmp(&self.sequence))
    }
}

/// The events that are still to come.
#[derive(Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<ScheduledEvent>,
    last_sequence: u64,
}

impl EventQueue {
    /// Adds an event at a time in seconds.
    pub(super) fn schedule(&mut self, at: f64, event: Event) {
        self.last_sequence += 1;
        self.heap.push(ScheduledEvent { at, sequence: self.last_sequence, event });
    }

    /// Removes the next event.
    pub(super) fn pop(&mut self) -> Option<ScheduledEvent> {
        self.heap.pop()
    }

    /// The time of the next event in seconds.
    pub(super) fn next_at(&self) -> Option<f64> {
        self.heap.peek().map(|scheduled| scheduled.at)
    }
}
