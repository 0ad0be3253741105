//! Encoded orders in calls to the relay.

use coppersail::interface::{HostId, RoundId, RouteId, SliceId};
use std::collections::{BTreeMap, BTreeSet};

/// The state that an order sets. Of two orders with the same target, the later one takes effect.
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
    /// The end of a round, which proxies acknowledge.
    Round(RoundId),
}

impl OrderTarget {
    /// Of orders with the same key only the last is kept when calls are merged. All ends of rounds have the same key.
    fn merge_key(&self) -> OrderTarget {
        match self {
            OrderTarget::Round(_) => OrderTarget::Round(RoundId(0)),
            target => target.clone(),
        }
    }
}

/// An encoded order.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RelayOrder {
    pub(crate) target: OrderTarget,
    /// The weight that is set, 0 for other targets.
    pub(crate) weight: f64,
    /// The order's text in a call, without a separator.
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

    /// The slice whose table or admission limits the order changes.
    pub(crate) fn affected_slice(&self) -> Option<SliceId> {
        match self.target {
            OrderTarget::Weight(slice, _) | OrderTarget::Clear(slice) => Some(slice),
            OrderTarget::Admit(slice, _) => slice,
            _ => None,
        }
    }

    /// Length of the order in a call in bytes, with its separator.
    pub(crate) fn encoded_len(&self) -> usize {
        self.text.len() + 1
    }
}

/// Returns the last order for each target, in the order in which they were given.
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

/// Moves the orders of each slice to the position of the first of them, with weights that are set before those that
/// are removed. If a call is split, its first part then never removes old hosts from a table without adding the new
/// ones.
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
        // The order that clears a table comes first.
        group.sort_by_key(|order| (!matches!(order.target, OrderTarget::Clear(_)), order.weight <= 0.0));
    }
    groups.into_iter().flatten().collect()
}
