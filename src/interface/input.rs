//! What a director is told.

use super::{HostId, ListScope, Listing, Load, MarkId, Outcome, PeerId, ProxyId, RouteId, SliceId};
use super::{WakeId, Wishes, ZoneId};
use std::collections::BTreeMap;

/// One thing that a director is told. Counts are those since the last report of the same kind, over the given span.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// The host list, its changes, or that it could not be had. From service discovery.
    Hosts {
        /// What the update holds.
        scope: ListScope,
        /// Version of the list; one older than the last is passed over.
        version: u64,
        /// Entries of the list.
        entries: Vec<Listing>,
    },
    /// A slice has been assigned to this director; `StoredLine`s follow. From the relay.
    Given(SliceId),
    /// A slice is no longer this director's. From the relay.
    Taken(SliceId),
    /// A weight that a slice's table has already. From the relay's store.
    StoredLine {
        /// The slice.
        slice: SliceId,
        /// A host in its table.
        host: HostId,
        /// The host's weight there.
        weight: f64,
    },
    /// What all joined proxies were asked for one slice on one route. From the proxies' reports.
    Demand {
        /// The slice.
        slice: SliceId,
        /// The route.
        route: RouteId,
        /// Calls that came, admitted or not.
        calls: u64,
        /// How many of them were not answered.
        dropped: u64,
        /// Seconds that the report covers.
        span: f64,
    },
    /// What one proxy was asked on one route, where there are no slices. From the proxies' reports.
    Intake {
        /// The proxy.
        proxy: ProxyId,
        /// The route.
        route: RouteId,
        /// Calls that came, admitted or not.
        calls: u64,
        /// How many of them were not answered.
        dropped: u64,
        /// Seconds that the report covers.
        span: f64,
    },
    /// Outcome of the attempts of one zone's joined proxies at a host. From the proxies' reports.
    Tries {
        /// The host.
        host: HostId,
        /// The proxies' zone.
        zone: ZoneId,
        /// Seconds that the report covers.
        span: f64,
        /// Attempts that ended.
        tries: u64,
        /// How many of them were not answered well.
        dropped: u64,
        /// Mean response time of the others, in seconds; 0 if there are none.
        rt: f64,
        /// What the host reports of its load.
        load: Load,
    },
    /// A proxy has joined the channel. From the relay.
    Joined {
        /// The proxy.
        proxy: ProxyId,
        /// Its zone.
        zone: ZoneId,
        /// Calls per second that it gets.
        calls_per_s: f64,
        /// It has had no table from this director since its own start.
        fresh: bool,
    },
    /// A proxy has left the channel. From the relay.
    Left(ProxyId),
    /// A proxy acknowledges that it has applied a round of messages.
    Applied {
        /// The proxy.
        proxy: ProxyId,
        /// The round, as `Order::Mark` named it.
        mark: MarkId,
        /// Seconds that this took, as the channel says; not used by the decisions.
        took: f64,
    },
    /// A health check that `Order::Probe` asked for has ended.
    Probed {
        /// The host.
        host: HostId,
        /// How it ended.
        outcome: Outcome,
        /// How long it took, in seconds.
        took: f64,
        /// What the host reported of its load with the answer.
        load: Load,
    },
    /// A message from another director.
    Heard {
        /// The director that sent it.
        from: PeerId,
        /// What it sent.
        bytes: Vec<u8>,
    },
    /// The time of a `WakeAt` has come.
    Wake(WakeId),
    /// The capacity guard has rejected weights of a slice that were ordered.
    Refused {
        /// The slice.
        slice: SliceId,
        /// The host to which the weights went, if one can be named.
        host: Option<HostId>,
        /// The weights that the slice's table therefore still has.
        lines: BTreeMap<HostId, f64>,
    },
    /// Operators' overrides of what would be decided; all of them, each time.
    Wishes(Wishes),
    /// What became of a call to the relay. Where none is told of, orders count as carried out at once.
    Call(Call),
}

/// What became of a call to the relay. Orders given together are written as one call, which may have to be written again,
/// or in parts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Call {
    /// It has been written, for the first time or again.
    Written {
        /// The round of messages; a part of a call has none.
        mark: Option<MarkId>,
        /// Number of its orders.
        orders: usize,
        /// Proxies may have joined of which nothing has been told yet.
        unheard: bool,
    },
    /// The call that was written last was rejected as a whole, and not carried out.
    TurnedAway,
    /// Acknowledgements may have been lost.
    Deaf,
}
