//! Tables of slices, as the baselines make them.

use coppersail::interface::HostId;
use std::collections::BTreeMap;

/// The weight of a slice's first host.
pub(super) const PRIMARY_WEIGHT: f64 = 1.0;
/// The weight of a slice's second host.
const STANDBY_WEIGHT: f64 = 0.1;

/// The hosts of a slice, with their weights.
pub(super) type Table = BTreeMap<HostId, f64>;

/// A table with a primary, and the first other host as standby.
pub(super) fn with_standby(primary: HostId, ranked: &[HostId]) -> Table {
    let mut table = Table::from([(primary, PRIMARY_WEIGHT)]);
    if let Some(standby) = ranked.iter().find(|host| **host != primary) {
        table.insert(*standby, STANDBY_WEIGHT);
    }
    table
}
