//! Hosts: their entries in the host list, their load, and the outcomes of health checks.

use super::{CellId, HostId, MachineTypeId, ZoneId};

/// State of a host in the host list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    /// It serves.
    Ready,
    /// It is about to stop, and must get no new calls.
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
    /// When its process last started, in seconds on the caller's clock; `None` if long ago or not listed.
    pub started_at: Option<f64>,
    /// Its size relative to the others; 1 if weights are not listed.
    pub weight: f64,
    /// Its zone.
    pub zone: ZoneId,
    /// Its group in the zone.
    pub cell: CellId,
    /// Its machine type.
    pub machine_type: MachineTypeId,
}

/// What an update of the host list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Only the entries that changed.
    Delta,
    /// The whole list; hosts that are not in it are gone.
    Snapshot,
    /// The whole list as the director last received it, which may be outdated.
    CachedSnapshot,
    /// Nothing: watching or fetching the list failed, and the last list remains valid.
    Failed,
}

/// A host's report of its own load; values that it does not report are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Number of calls in progress.
    pub in_flight: Option<f64>,
    /// Number of calls in its queue.
    pub queued: Option<f64>,
    /// Utilisation of its cores, 0 to 1.
    pub cpu_utilisation: Option<f64>,
    /// Recent service time of a call, in seconds.
    pub service_time: Option<f64>,
    /// Calls answered per second.
    pub completions_per_s: Option<f64>,
    /// Errors per second.
    pub errors_per_s: Option<f64>,
}

/// Outcome of a health check, with the outcomes of an attempt of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A response without an error.
    Succeeded,
    /// A response with an error.
    ErrorResponse,
    /// The host rejected it because it is at its limit.
    Throttled,
    /// No response arrived in time.
    TimedOut,
    /// No connection could be made.
    ConnectFailed,
    /// The connection was lost before the response.
    ConnectionLost,
    /// Only on the simulator's wire: the host had been withdrawn.
    Withdrawn,
    /// Only on the simulator's wire: there is no outcome.
    Discarded,
}
