//! A repair as a list of changes of single weights.

use crate::guard::Guard;
use crate::reason::Severity;
use coppersail::interface::{HostId, Order, SliceId};
use std::collections::BTreeMap;

/// The weights of a table.
pub(crate) type Weights = BTreeMap<HostId, f64>;

/// A change of one table: the weight of `from` moves to `to`. Without `from`, `to` is added; if `from` equals
/// `to`, the host's weight is set, or with weight 0 the host is removed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Move {
    /// The slice whose table changes.
    pub slice: SliceId,
    /// The host that is removed from the table, if any.
    pub from: Option<HostId>,
    /// The host whose weight is set.
    pub to: HostId,
    /// The weight.
    pub weight: f64,
}

/// Changes to make in addition to a proposal.
#[derive(Clone, Debug, PartialEq)]
pub struct Repair {
    /// The changes.
    pub moves: Vec<Move>,
    /// The severity that remains with them; zero if nothing is unsafe.
    pub left: Severity,
    /// The search stopped at its limit of steps.
    pub cut_off: bool,
}

impl Repair {
    /// The orders to send in addition to the proposal. Weights are added before others are removed, so that
    /// no table is empty in between.
    pub fn orders(&self) -> Vec<Order> {
        let set_weight = |slice, host, weight| Order::SetWeight { slice, host, weight };
        let added = self.moves.iter().map(|change| set_weight(change.slice, change.to, change.weight));
        let moved = self.moves.iter().filter(|change| change.from != Some(change.to));
        let removed = moved.filter_map(|change| Some(set_weight(change.slice, change.from?, 0.0)));
        added.chain(removed).collect()
    }

    /// Whether nothing remains unsafe.
    pub(crate) fn is_complete(&self) -> bool {
        self.left == Severity::default()
    }

    /// Whether less severity remains than with the other repair, or the same with fewer moves.
    pub(crate) fn is_better(&self, other: &Repair) -> bool {
        self.left.compare(&other.left).then(self.moves.len().cmp(&other.moves.len())).is_lt()
    }
}

/// The weights of the tables of these slices.
pub(crate) fn weights_of<'a>(
    guard: &Guard,
    slices: impl Iterator<Item = &'a SliceId>,
) -> BTreeMap<SliceId, Weights> {
    let weights = |slice: &SliceId| guard.loads.tables().get(slice).map(|table| table.weights.clone());
    slices.map(|slice| (*slice, weights(slice).unwrap_or_default())).collect()
}

/// The moves that turn one state of some tables into another. A weight that was moved several times gives one
/// move, and one that was moved back gives none.
pub(crate) fn net_moves(
    before: &BTreeMap<SliceId, Weights>,
    after: &BTreeMap<SliceId, Weights>,
) -> Vec<Move> {
    before.iter().flat_map(|(slice, weights)| table_moves(*slice, weights, &after[slice])).collect()
}

fn table_moves(slice: SliceId, before: &Weights, after: &Weights) -> Vec<Move> {
    let mut removed = before.keys().filter(|host| !after.contains_key(host)).copied();
    let change = |from, to: &HostId, weight: f64| Move { slice, from, to: *to, weight };
    let is_changed = |host: &HostId, weight: &f64| before.get(host).is_some_and(|old| old != weight);
    let changed = after.iter().filter(|(host, weight)| is_changed(host, weight));
    let mut moves: Vec<Move> = changed.map(|(host, weight)| change(Some(*host), host, *weight)).collect();
    let added = after.iter().filter(|(host, _)| !before.contains_key(host));
    moves.extend(added.map(|(host, weight)| change(removed.next(), host, *weight)));
    moves.extend(removed.map(|host| change(Some(host), &host, 0.0)));
    moves
}
