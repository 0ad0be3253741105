//! What a director is told.

use super::{
    HostId, HostListEntry, ListScope, LoadReport, Outcome, PeerId, ProxyId, RoundId, RouteId, SliceId,
};
use super::{OperatorOverrides, TimerId, ZoneId};
use std::collections::BTreeMap;

/// One thing that a director is told. Counts are those since the last report of the same kind, over the given span.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// The host list, its changes, or that it could not be had. From service discovery.
    HostListUpdate {
        /// What the update holds.
        scope: ListScope,
        /// Version of the list; one older than the last is passed over.
        version: u64,
        /// Entries of the list.
        entries: Vec<HostListEntry>,
    },
    /// A slice has been assigned to this director; `StoredLine`s follow. From the relay.
    SliceAssigned(SliceId),
    /// A slice is no longer this director's. From the relay.
    SliceRevoked(SliceId),
    /// A weight that a slice's table has already. From the relay's store.
    StoredWeight {
        /// The slice.
        slice: SliceId,
        /// A host in its table.
        host: HostId,
        /// The host's weight there.
        weight: f64,
    },
    /// What all joined proxies were asked for one slice on one route. From the proxies' reports.
    SliceDemand {
        /// The slice.
        slice: SliceId,
        /// The route.
        route: RouteId,
        /// Calls that came, admitted or not.
        requests: u64,
        /// How many of them were not answered.
        dropped: u64,
        /// Seconds that the report covers.
        window: f64,
    },
    /// What one proxy was asked on one route, where there are no slices. From the proxies' reports.
    ProxyDemand {
        /// The proxy.
        proxy: ProxyId,
        /// The route.
        route: RouteId,
        /// Calls that came, admitted or not.
        requests: u64,
        /// How many of them were not answered.
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
        /// How many of them were not answered well.
        dropped: u64,
        /// Mean response time of the others, in seconds; 0 if there are none.
        mean_response_time: f64,
        /// What the host reports of its load.
        load: LoadReport,
    },
    /// A proxy has joined the channel. From the relay.
    ProxyJoined {
        /// The proxy.
        proxy: ProxyId,
        /// Its zone.
        zone: ZoneId,
        /// Calls per second that it gets.
        requests_per_s: f64,
        /// It has had no table from this director since its own start.
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
        /// Seconds that this took, as the channel says; not used by the decisions.
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
        /// What the host reported of its load with the answer.
        load: LoadReport,
    },
    /// A message from another director.
    PeerMessage {
        /// The director that sent it.
        from: PeerId,
        /// What it sent.
        payload: Vec<u8>,
    },
    /// The time of a `WakeAt` has come.
    TimerFired(TimerId),
    /// The capacity guard has rejected weights of a slice that were ordered.
    WeightsRejected {
        /// The slice.
        slice: SliceId,
        /// The host to which the weights went, if one can be named.
        host: Option<HostId>,
        /// The weights that the slice's table therefore still has.
        weights: BTreeMap<HostId, f64>,
    },
    /// Operators' overrides of what would be decided; all of them, each time.
    OverridesChanged(OperatorOverrides),
    /// What became of a call to the relay. Where none is told of, orders count as carried out at once.
    RelayCall(RelayCallEvent),
}

/// What became of a call to the relay. Orders given together are written as one call, which may have to be written
/// again, or in parts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RelayCallEvent {
    /// It has been written, for the first time or again.
    Sent {
        /// The round of messages; a part of a call has none.
        round: Option<RoundId>,
        /// Number of its orders.
        orders: usize,
        /// Proxies may have joined of which nothing has been told yet.
        unannounced_proxies: bool,
    },
    /// The call that was written last was rejected as a whole, and not carried out.
    Rejected,
    /// Acknowledgements may have been lost.
    AcknowledgementsLost,
}
