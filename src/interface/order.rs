//! Orders of a director.

use super::{HostId, PeerId, ProxyId, RetryPolicy, RoundId, RouteId, SliceId, TimerId};

/// One action that the caller has to execute. Orders are executed in the given sequence.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Adds, changes or, with weight 0, removes one entry of a slice's table. To the proxies.
    SetWeight {
        /// The slice.
        slice: SliceId,
        /// The host.
        host: HostId,
        /// The host's weight relative to the others in the table.
        weight: f64,
    },
    /// Removes all entries of a slice's table. To the proxies.
    ClearTable(SliceId),
    /// Withdraws (ejects) a host from all tables of the joined proxies, or readmits it. To the proxies.
    SetWithdrawn {
        /// The host.
        host: HostId,
        /// True: it gets no calls, whichever tables name it. False: it is used again.
        withdrawn: bool,
    },
    /// Sets the admission level of some routes, and how often their calls are retried. To the proxies.
    SetAdmission {
        /// The calls that it applies to.
        scope: Scope,
        /// The routes; an empty list means all.
        routes: Vec<RouteId>,
        /// The admission level, in the unit of [`Settings::admission_unit`](super::Settings::admission_unit).
        level: f64,
        /// The retry policy.
        retry: RetryPolicy,
    },
    /// Makes a proxy use a table for some routes, if there are no slices.
    BindTable {
        /// The proxy.
        proxy: ProxyId,
        /// The routes.
        routes: Vec<RouteId>,
        /// The table.
        table: SliceId,
    },
    /// Ends a round of messages, and requests an acknowledgement from every proxy that receives one of them.
    RequestAcknowledgement {
        /// The round.
        round: RoundId,
        /// Includes proxies for which the round has no other order.
        include_idle_proxies: bool,
    },
    /// Starts (true) or stops (false) watching the host list. To service discovery.
    WatchHostList(bool),
    /// Fetches the whole host list once. To service discovery.
    FetchHostList,
    /// Sends a health check to the host; `Input::ProbeFinished` answers.
    Probe(HostId),
    /// Sends a message to other directors.
    SendToPeers {
        /// The recipient; `None` means all other directors.
        to: Option<PeerId>,
        /// The message.
        payload: Vec<u8>,
    },
    /// Sets a timer; `Input::TimerFired` answers.
    SetTimer {
        /// Its id.
        timer: TimerId,
        /// When, in seconds on the caller's clock.
        fires_at: f64,
    },
    /// Nothing refers to this host any more, which is gone. The caller may release its name, but must not reuse its
    /// number.
    ReleaseHost(HostId),
    /// A log line: what was decided, and why.
    Log {
        /// The text.
        text: String,
        /// The hosts concerned, whose names the caller appends.
        hosts: Vec<HostId>,
    },
}

/// The calls that an admission order applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scope {
    /// Calls of one slice.
    Slice(SliceId),
    /// Calls of all joined proxies; with slices, of all slices of this director.
    AllProxies,
}
