//! Determines which slices of a refused proposal are held back, and which are let through because they have
//! been refused too often.

use crate::pool::Pool;
use crate::reason::{Reason, ReasonKind};
use crate::violation::Violation;
use coppersail::interface::{HostId, Order, SliceId};
use std::collections::{BTreeMap, BTreeSet};

/// A slice that was refused this often within [`REFUSAL_WINDOW_S`] is let through: the guard's estimates may
/// be wrong, and a slice that cannot be moved does harm too. This applies neither to the two kinds of reasons
/// that break an operators' rule nor to an excess above [`MAX_OVERRULED_EXCESS`].
const MAX_REFUSALS: usize = 3;
/// Time for which a refusal counts, in seconds.
const REFUSAL_WINDOW_S: f64 = 10.0;
/// Highest excess with which a slice is let through, see [`Reason::excess`].
const MAX_OVERRULED_EXCESS: f64 = 0.25;

/// The refusals of each slice.
#[derive(Default)]
pub(crate) struct RefusalHistory {
    /// Times of the recent refusals, in seconds.
    refused_at: BTreeMap<SliceId, Vec<f64>>,
}

/// The change that an order makes to one table.
struct TableChange {
    slice: SliceId,
    /// The host that is added or whose weight is set; `None` if a host is removed.
    host: Option<HostId>,
}

impl TableChange {
    fn of(order: &Order) -> Option<Self> {
        match order {
            Order::SetWeight { slice, host, weight } => {
                Some(TableChange { slice: *slice, host: Some(*host).filter(|_| *weight > 0.0) })
            }
            Order::ClearTable(slice) => Some(TableChange { slice: *slice, host: None }),
            _ => None,
        }
    }

    fn contributes_to(&self, reason: &Reason, pool: &Pool) -> bool {
        match reason {
            Reason::Uncovered { slice } => *slice == self.slice,
            Reason::ColdOverload { host, .. }
            | Reason::WarmOverload { host, .. }
            | Reason::HostConcentration { host, .. } => self.host == Some(*host),
            Reason::ZoneConcentration { zone, .. } => {
                self.host.and_then(|host| pool.hosts.get(&host)).is_some_and(|host| host.zone == *zone)
            }
        }
    }
}

fn cannot_be_overruled(reason: &Reason) -> bool {
    matches!(reason.subject().kind, ReasonKind::Uncovered | ReasonKind::ColdOverload)
        || reason.excess() > MAX_OVERRULED_EXCESS
}

impl RefusalHistory {
    /// The slices whose orders contribute to the violations, except those that are let through.
    pub(crate) fn slices_to_refuse(
        &mut self,
        now: f64,
        orders: &[Order],
        violations: &[Violation],
        pool: &Pool,
    ) -> BTreeSet<SliceId> {
        let mut slices: BTreeMap<SliceId, bool> = BTreeMap::new();
        for change in orders.iter().filter_map(TableChange::of) {
            for violation in violations {
                if change.contributes_to(&violation.reason, pool) {
                    *slices.entry(change.slice).or_default() |= cannot_be_overruled(&violation.reason);
                }
            }
        }
        slices.retain(|slice, severe| {
            let recent = self.refused_at.entry(*slice).or_default();
            recent.retain(|at| now - at <= REFUSAL_WINDOW_S);
            *severe || recent.len() < MAX_REFUSALS
        });
        slices.into_keys().collect()
    }

    /// Records a refusal.
    pub(crate) fn record(&mut self, slice: SliceId, now: f64) {
        self.refused_at.entry(slice).or_default().push(now);
    }

    /// Forgets a slice.
    pub(crate) fn forget(&mut self, slice: SliceId) {
        self.refused_at.remove(&slice);
    }

    /// Drops slices without recent refusals.
    pub(crate) fn compact(&mut self) {
        self.refused_at.retain(|_, at| !at.is_empty());
    }
}
