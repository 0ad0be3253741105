//! What a director orders.

use super::{HostId, PeerId, ProxyId, RetryPolicy, RoundId, RouteId, SliceId, TimerId};

/// One thing that the caller is to do, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Adds, changes or, with weight 0, removes one entry of a slice's table. To the proxies.
    SetWeight {
        /// The slice.
        slice: SliceId,
        /// The host.
        host: HostId,
        /// The host's weight in relation to the others of the table.
        weight: f64,
    },
    /// Removes all entries of a slice's table. To the proxies.
    ClearTable(SliceId),
    /// Withdraws (ejects) a host from all tables of the joined proxies, or lets it back in. To the proxies.
    SetWithdrawn {
        /// The host.
        host: HostId,
        /// True: it gets no calls, whatever tables name it. False: it is used again.
        withdrawn: bool,
    },
    /// Sets how much is admitted of some routes, and how often their calls are retried. To the proxies.
    SetAdmission {
        /// Whose calls.
        scope: Scope,
        /// The routes; none named: all.
        routes: Vec<RouteId>,
        /// How much is admitted, in the unit of [`Settings::admission_unit`](super::Settings::admission_unit).
        level: f64,
        /// The retry policy.
        retry: RetryPolicy,
    },
    /// Makes a proxy use a table for some routes, where there are no slices.
    BindTable {
        /// The proxy.
        proxy: ProxyId,
        /// The routes.
        routes: Vec<RouteId>,
        /// The table.
        table: SliceId,
    },
    /// Ends a round of messages, and asks every proxy that gets one of them to acknowledge it.
    RequestAcknowledgement {
        /// The round.
        round: RoundId,
        /// Also proxies for which the round has no other order.
        include_idle_proxies: bool,
    },
    /// Starts (true) or stops (false) following the host list. To service discovery.
    WatchHostList(bool),
    /// Asks for the whole host list once. To service discovery.
    FetchHostList,
    /// Sends a health check to the host; `Input::ProbeFinished` answers.
    Probe(HostId),
    /// Sends a message to other directors.
    SendToPeers {
        /// The director; none: all others.
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
    /// Nothing refers any more to this host, which is gone. The caller may release its name; its number is not used
    /// again.
    ReleaseHost(HostId),
    /// A log line: what was decided, and why.
    Log {
        /// The text.
        text: String,
        /// The hosts that it is about, whose names the caller adds.
        hosts: Vec<HostId>,
    },
}

/// Whose calls an admission order is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scope {
    /// Those of one slice.
    Slice(SliceId),
    /// Those of all joined proxies; with slices, of all slices of this director.
    AllProxies,
}
