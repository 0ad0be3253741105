//! Inputs of a director.

use super::{
    HostId, HostListEntry, ListScope, LoadReport, Outcome, PeerId, ProxyId, RoundId, RouteId, SliceId,
};
use super::{OperatorOverrides, TimerId, ZoneId};
use std::collections::BTreeMap;

/// One input of a director. Counts cover the given window since the last report of the same kind.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// The host list, its changes, or a failure to obtain it. From service discovery.
    HostListUpdate {
        /// What the update contains.
        scope: ListScope,
        /// Version of the list; a version older than the last one is ignored.
        version: u64,
        /// Entries of the list.
        entries: Vec<HostListEntry>,
    },
    /// A slice has been assigned to this director; [`StoredWeight`](Self::StoredWeight)s follow. From the relay.
    SliceAssigned(SliceId),
    /// A slice is no longer assigned to this director. From the relay.
    SliceRevoked(SliceId),
    /// A weight that is already in a slice's table. From the relay's store.
    StoredWeight {
        /// The slice.
        slice: SliceId,
        /// A host in its table.
        host: HostId,
        /// The host's weight there.
        weight: f64,
    },
    /// Calls to all joined proxies for one slice on one route. From the proxies' reports.
    SliceDemand {
        /// The slice.
        slice: SliceId,
        /// The route.
        route: RouteId,
        /// Calls received, whether admitted or not.
        requests: u64,
        /// How many of them got no response.
        dropped: u64,
        /// Seconds that the report covers.
        window: f64,
    },
    /// Calls to one proxy on one route, if there are no slices. From the proxies' reports.
    ProxyDemand {
        /// The proxy.
        proxy: ProxyId,
        /// The route.
        route: RouteId,
        /// Calls received, whether admitted or not.
        requests: u64,
        /// How many of them got no response.
        dropped: u64,
        /// Seconds that the report covers.
        window: f64,
    },
    /// Outcome of the attempts of one zone's joined proxies at a host. From the proxies' reports.
    AttemptStats {
        /// The host.
        host: HostId,
        /// The proxies' zone.
        zone: ZoneId,
        /// Seconds that the report covers.
        window: f64,
        /// Attempts that ended.
        attempts: u64,
        /// How many of them did not get a successful response.
        dropped: u64,
        /// Mean response time of the others, in seconds; 0 if there are none.
        mean_response_time: f64,
        /// The host's report of its load.
        load: LoadReport,
    },
    /// A proxy has joined the channel. From the relay.
    ProxyJoined {
        /// The proxy.
        proxy: ProxyId,
        /// Its zone.
        zone: ZoneId,
        /// Calls per second that it receives.
        requests_per_s: f64,
        /// It has received no table from this director since it started.
        without_tables: bool,
    },
    /// A proxy has left the channel. From the relay.
    ProxyLeft(ProxyId),
    /// A proxy acknowledges that it has applied a round of messages.
    RoundAcknowledged {
        /// The proxy.
        proxy: ProxyId,
        /// The round, as `Order::RequestAcknowledgement` named it.
        round: RoundId,
        /// Seconds that this took, according to the channel; not used by the decisions.
        latency: f64,
    },
    /// A health check that `Order::Probe` asked for has ended.
    ProbeFinished {
        /// The host.
        host: HostId,
        /// How it ended.
        outcome: Outcome,
        /// How long it took, in seconds.
        duration: f64,
        /// The host's report of its load with the response.
        load: LoadReport,
    },
    /// A message from another director.
    PeerMessage {
        /// The director that sent it.
        from: PeerId,
        /// What it sent.
        payload: Vec<u8>,
    },
    /// A timer that `Order::SetTimer` set has fired.
    TimerFired(TimerId),
    /// The capacity guard has rejected ordered weights of a slice.
    WeightsRejected {
        /// The slice.
        slice: SliceId,
        /// The host that the weights were for, if it can be named.
        host: Option<HostId>,
        /// The weights that the slice's table still has as a result.
        weights: BTreeMap<HostId, f64>,
    },
    /// Operators' overrides of decisions; always the complete set.
    OverridesChanged(OperatorOverrides),
    /// The result of a call to the relay. Without such inputs, orders count as executed at once.
    RelayCall(RelayCallEvent),
}

/// The result of a call to the relay. Orders given together are written as one call, which may have to be written again
/// or in parts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RelayCallEvent {
    /// It has been written, for the first time or again.
    Sent {
        /// The round of messages; `None` for a part of a call.
        round: Option<RoundId>,
        /// Number of its orders.
        orders: usize,
        /// Proxies may have joined that have not been announced by `Input::ProxyJoined` yet.
        unannounced_proxies: bool,
    },
    /// The call that was written last was rejected as a whole, and not executed.
    Rejected,
    /// Acknowledgements may have been lost.
    AcknowledgementsLost,
}
