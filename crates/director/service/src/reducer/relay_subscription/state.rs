//! The relay's state as updates tell it: which proxies have joined, which slices are ours, and their weights.

use coppersail::interface::{HostId, Input, ProxyId, RoundId, SliceId, ZoneId};
use std::collections::BTreeMap;

/// One update of the relay, with its names resolved.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum RelayUpdate {
    /// The relay's whole state follows, up to the first keep-alive.
    SnapshotStart,
    /// Sent each second.
    KeepAlive,
    /// A proxy has joined, or stands in the snapshot.
    ProxyJoined { proxy: ProxyId, zone: ZoneId, calls_per_s: f64, fresh: bool },
    /// A proxy has left.
    ProxyLeft(ProxyId),
    /// A proxy has applied all orders up to a mark, `took` seconds after they were given.
    Applied { proxy: ProxyId, mark: RoundId, took: f64 },
    /// A slice was assigned to this director; its weights follow.
    SliceAssigned(SliceId),
    /// A slice was given to another director.
    SliceRevoked(SliceId),
    /// A weight stands in the table of a slice.
    WeightStored { slice: SliceId, host: HostId, weight: f64 },
}

/// The weights of a slice's table.
pub(crate) type Weights = BTreeMap<HostId, f64>;

/// A proxy that has joined.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ProxyState {
    /// When it joined, as far as it was told.
    pub(crate) joined_at: f64,
    /// The input that tells of it.
    pub(crate) input: Input,
}

/// A slice that is assigned to this director.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct SliceState {
    /// When it was assigned, as far as it was told.
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

/// What one stream of updates has told, or what the decisions have been told.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct RelayState {
    pub(crate) proxies: BTreeMap<ProxyId, ProxyState>,
    pub(crate) slices: BTreeMap<SliceId, SliceState>,
}

/// Relative difference between two weights that count as the same...
const ROUNDING_SHARE: f64 = 1e-3;
/// ...and the absolute one on top: half of the last of three decimals, with some reserve for the arithmetic.
const ROUNDING_STEP: f64 = 5.1e-4;

/// Whether two tables differ by no more than rounding. The relay stores weights with three decimals, which is more than
/// a thousandth of a small one. A weight that was only rounded must not seem changed elsewhere, as its slice would be
/// laid out anew.
pub(super) fn same_weights(held: &Weights, stored: &Weights) -> bool {
    let is_near = |host: &HostId, held: f64| {
        let tolerance = ROUNDING_SHARE * held.abs() + ROUNDING_STEP;
        stored.get(host).is_some_and(|stored| (stored - held).abs() <= tolerance)
    };
    held.len() == stored.len() && held.iter().all(|(host, weight)| is_near(host, *weight))
}
