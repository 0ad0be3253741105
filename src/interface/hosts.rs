//! What is known of hosts: their entries in the host list, their load, the outcome of health checks.

use super::{CellId, HostId, MachineTypeId, ZoneId};

/// State of a host in the host list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    /// It serves.
    Ready,
    /// It is about to stop, and shall get no new calls.
    Draining,
    /// It has been removed from the list.
    Removed,
}

/// One host as the host list shows it.
#[derive(Clone, Debug, PartialEq)]
pub struct HostListEntry {
    /// The host.
    pub host: HostId,
    /// Whether it serves.
    pub state: HostState,
    /// When its process last started, in seconds on the caller's clock; none: long ago, or not listed.
    pub started_at: Option<f64>,
    /// Its size in relation to the others; 1 where weights are not listed.
    pub weight: f64,
    /// Its zone.
    pub zone: ZoneId,
    /// Its group in the zone.
    pub cell: CellId,
    /// Its machine type.
    pub machine_type: MachineTypeId,
}

/// What an update of the host list holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Only the entries that changed.
    Delta,
    /// The whole list; what is not in it is gone.
    Snapshot,
    /// The whole list as the director last had it, which may be out of date.
    CachedSnapshot,
    /// Nothing: following or fetching the list failed, and the last list stands.
    Failed,
}

/// What a host reports of its own load; figures that it does not report are absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Calls that it is serving.
    pub in_flight: Option<f64>,
    /// Calls in its queue.
    pub queued: Option<f64>,
    /// Share of its cores that is busy, 0 to 1.
    pub cpu_utilisation: Option<f64>,
    /// Recent service time of a call, in seconds.
    pub service_time: Option<f64>,
    /// Calls answered per second.
    pub completions_per_s: Option<f64>,
    /// Errors per second.
    pub errors_per_s: Option<f64>,
}

/// Outcome of a health check, in the terms of an attempt of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered well.
    Succeeded,
    /// It was answered with an error.
    ErrorResponse,
    /// The host rejected it, as it is full.
    Throttled,
    /// No answer came in time.
    TimedOut,
    /// No connection could be made.
    ConnectFailed,
    /// The connection was lost before the answer.
    ConnectionLost,
    /// Known from the simulator's wire only: the host had been withdrawn.
    Withdrawn,
    /// Known from the simulator's wire only: there is no outcome.
    Discarded,
}
