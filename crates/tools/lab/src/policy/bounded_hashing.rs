//! Consistent hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam), by rendezvous hashing.

use super::table::{with_standby, Table};
use coppersail::interface::{HostId, SliceId};
use std::collections::{BTreeMap, BTreeSet};

/// A host gets so many times the mean number of slices at most.
const LOAD_BOUND: f64 = 1.25;

/// Each slice goes to the first host in the order of its hash that has less than its bound of slices; the next host
/// is the standby. There must be a ready host.
pub(super) fn tables<'a>(
    slices: impl ExactSizeIterator<Item = &'a SliceId>,
    ready: &BTreeSet<HostId>,
) -> BTreeMap<SliceId, Table> {
    let max_slices = (LOAD_BOUND * slices.len() as f64 / ready.len() as f64).ceil() as usize;
    let mut slice_counts: BTreeMap<HostId, usize> = BTreeMap::new();
    let mut tables = BTreeMap::new();
    for slice in slices {
        let mut ranked: Vec<HostId> = ready.iter().copied().collect();
        ranked.sort_by_key(|host| rendezvous_hash(slice.0.into(), host.0.into()));
        let is_below_bound = |host: &&HostId| slice_counts.get(host).copied().unwrap_or(0) < max_slices;
        let primary = *ranked.iter().find(is_below_bound).unwrap_or(&ranked[0]);
        *slice_counts.entry(primary).or_default() += 1;
        tables.insert(*slice, with_standby(primary, &ranked));
    }
    tables
}

/// A hash of a slice and a host, by which each slice ranks the hosts (highest random weight, SplitMix64's finalizer).
fn rendezvous_hash(slice: u64, host: u64) -> u64 {
    let mut hash = slice.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ host.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

#[cfg(test)]
mod tests;
