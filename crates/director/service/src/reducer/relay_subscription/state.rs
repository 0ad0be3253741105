//! The relay's state as reported by updates: the joined proxies, the slices of this director, and their weights.

use coppersail::interface::{HostId, Input, ProxyId, RoundId, SliceId, ZoneId};
use std::collections::BTreeMap;

/// One update of the relay, with its names resolved.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum RelayUpdate {
    /// The relay's complete state follows, up to the first keep-alive.
    SnapshotStart,
    /// Sent every second.
    KeepAlive,
    /// A proxy has joined, or is in the snapshot.
    ProxyJoined { proxy: ProxyId, zone: ZoneId, requests_per_s: f64, without_tables: bool },
    /// A proxy has left.
    ProxyLeft(ProxyId),
    /// A proxy has applied all orders of a round, `latency` seconds after they were given.
    RoundAcknowledged { proxy: ProxyId, round: RoundId, latency: f64 },
    /// A slice was assigned to this director; its weights follow.
    SliceAssigned(SliceId),
    /// A slice was given to another director.
    SliceRevoked(SliceId),
    /// A weight is in the table of a slice.
    WeightStored { slice: SliceId, host: HostId, weight: f64 },
}

/// The weights of a slice's table.
pub(crate) type Weights = BTreeMap<HostId, f64>;

/// A proxy that has joined.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ProxyState {
    /// When the join was received.
    pub(crate) joined_at: f64,
    /// The input that reports it to the decisions.
    pub(crate) input: Input,
}

/// A slice that is assigned to this director.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct SliceState {
    /// When the assignment was received.
    pub(crate) assigned_at: f64,
    /// Its table.
    pub(crate) weights: Weights,
}

impl SliceState {
    /// A slice with an empty table.
    pub(crate) fn assigned(now: f64) -> Self {
        SliceState { assigned_at: now, weights: Weights::new() }
    }
}

/// The state that was received on one update stream, or that was reported to the decisions.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct RelayState {
    pub(crate) proxies: BTreeMap<ProxyId, ProxyState>,
    pub(crate) slices: BTreeMap<SliceId, SliceState>,
}

/// Relative part of the maximum difference between two weights that count as equal.
const ROUNDING_SHARE: f64 = 1e-3;
/// Absolute part: half a unit of the third decimal, with a margin for floating-point error.
const ROUNDING_STEP: f64 = 5.1e-4;

/// Whether two tables differ by no more than rounding. The relay stores weights with three decimals, so the rounding
/// error of a small weight may exceed a thousandth of it. A weight that was only rounded must not count as changed by
/// somebody else, as the whole table of its slice would be recomputed.
pub(super) fn same_weights(held: &Weights, stored: &Weights) -> bool {
    let is_near = |host: &HostId, held: f64| {
        let tolerance = ROUNDING_SHARE * held.abs() + ROUNDING_STEP;
        stored.get(host).is_some_and(|stored| (stored - held).abs() <= tolerance)
    };
    held.len() == stored.len() && held.iter().all(|(host, weight)| is_near(host, *weight))
}
