//! Orders as they stand in calls.

use coppersail::interface::{HostId, RoundId, RouteId, SliceId};
use std::collections::{BTreeMap, BTreeSet};

/// What an order sets: of two orders with the same target the later one stands.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum OrderTarget {
    /// The weight of a host in a slice's table.
    Weight(SliceId, HostId),
    /// A slice's whole table.
    Clear(SliceId),
    /// Whether a host is withdrawn.
    Withdraw(HostId),
    /// The admission limit and retry policy of these routes, in one slice or everywhere.
    Admit(Option<SliceId>, Vec<RouteId>),
    /// A mark whose receipt proxies acknowledge.
    Mark(RoundId),
}

impl OrderTarget {
    /// Orders with the same key are merged; the last mark stands for all.
    fn merge_key(&self) -> OrderTarget {
        match self {
            OrderTarget::Mark(_) => OrderTarget::Mark(RoundId(0)),
            target => target.clone(),
        }
    }
}

/// An order as it stands in a call.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RelayOrder {
    pub(crate) target: OrderTarget,
    /// The weight that is set, 0 for other targets.
    pub(crate) weight: f64,
    /// The order as the relay takes it, without a separator.
    pub(crate) text: String,
}

impl RelayOrder {
    /// The slice whose table the order changes.
    pub(crate) fn slice(&self) -> Option<SliceId> {
        match self.target {
            OrderTarget::Weight(slice, _) | OrderTarget::Clear(slice) => Some(slice),
            _ => None,
        }
    }

    /// The slice that the order is about: it changes its table or its limits.
    pub(crate) fn affected_slice(&self) -> Option<SliceId> {
        match self.target {
            OrderTarget::Weight(slice, _) | OrderTarget::Clear(slice) => Some(slice),
            OrderTarget::Admit(slice, _) => slice,
            _ => None,
        }
    }

    /// Bytes of the order in a call, with its separator.
    pub(crate) fn encoded_len(&self) -> usize {
        self.text.len() + 1
    }
}

/// The last order for each target, in the order in which they were given.
pub(crate) fn merge(orders: Vec<RelayOrder>) -> Vec<RelayOrder> {
    let mut seen = BTreeSet::new();
    let mut merged = Vec::new();
    for order in orders.into_iter().rev() {
        if seen.insert(order.target.merge_key()) {
            merged.push(order);
        }
    }
    merged.reverse();
    merged
}

/// Moves the orders of each slice to where the first of them stands, new weights before those that are removed. The
/// part of a call that goes out first then never leaves a table with the old hosts gone and the new ones not there yet.
pub(crate) fn group_by_slice(orders: Vec<RelayOrder>) -> Vec<RelayOrder> {
    let mut groups: Vec<Vec<RelayOrder>> = Vec::new();
    let mut group_of_slice: BTreeMap<SliceId, usize> = BTreeMap::new();
    for order in orders {
        match order.slice() {
            Some(slice) => {
                let index = *group_of_slice.entry(slice).or_insert(groups.len());
                if index == groups.len() {
                    groups.push(Vec::new());
                }
                groups[index].push(order);
            }
            None => groups.push(vec![order]),
        }
    }
    for group in &mut groups {
        // A table that is cleared is cleared first.
        group.sort_by_key(|order| (!matches!(order.target, OrderTarget::Clear(_)), order.weight <= 0.0));
    }
    groups.into_iter().flatten().collect()
}
