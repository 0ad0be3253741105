//! Selects the best of the repairs that the strategies find.

use crate::guard::{Guard, Trial};
use crate::pool::PendingEvent;
use crate::repair::forecast::{forecast_bounds, BoundForecast};
use crate::repair::moves::Repair;
use crate::repair::{greedy, linear_program};
use crate::violation::{caused_violations, worst_severity, MomentReasons};
use coppersail::interface::{HostId, Order};
use std::collections::{BTreeMap, BTreeSet};

/// A repair, and whether the proposal together with it would be accepted and is less severe than the state in
/// force.
pub(crate) struct FoundRepair {
    pub(crate) repair: Repair,
    pub(crate) is_safe: bool,
}

/// Search strategies, from the cheapest to the most expensive.
#[derive(Clone, Copy)]
enum Strategy {
    /// Moves single weights to other hosts.
    Greedy,
    /// Computes weights within the strict bounds, so that nothing is unsafe.
    LinearProgram,
    /// Computes weights within the relaxed bounds, so that nothing is worse than without the proposal.
    RelaxedLinearProgram,
}

impl Strategy {
    const ALL: [Strategy; 3] = [Strategy::Greedy, Strategy::LinearProgram, Strategy::RelaxedLinearProgram];

    /// Repairs the guard's current tables. The guard is unchanged when this returns.
    fn repair(
        self,
        guard: &mut Guard,
        touched: &BTreeSet<HostId>,
        pending: &[PendingEvent],
        now: f64,
        bounds: &BTreeMap<HostId, BoundForecast>,
    ) -> Option<Repair> {
        let strict = |host| &bounds[&host].strict;
        let relaxed = |host| &bounds[&host].relaxed;
        match self {
            Strategy::Greedy => greedy::repair(guard, touched, pending, now),
            Strategy::LinearProgram => linear_program::repair(guard, touched, pending, now, &strict),
            Strategy::RelaxedLinearProgram => linear_program::repair(guard, touched, pending, now, &relaxed),
        }
    }
}

/// The best repair found for a proposal: a safe one if there is any, otherwise the one with the least severe
/// result. `guard` must not contain the proposal; it is unchanged when this returns.
pub(crate) fn find_repair(
    guard: &mut Guard,
    calls: &[Vec<Order>],
    touched: &BTreeSet<HostId>,
    pending: &[PendingEvent],
    now: f64,
) -> Option<FoundRepair> {
    let all_hosts = guard.all_hosts();
    let before = guard.inspect_ahead(&all_hosts, pending, now);
    let bounds = forecast_bounds(guard, pending, now);
    let mut trial = Trial::default();
    calls.iter().flatten().for_each(|order| guard.apply(order, &mut trial));
    let mut best: Option<FoundRepair> = None;
    for strategy in Strategy::ALL {
        let Some(repair) = strategy.repair(guard, touched, pending, now, &bounds) else { continue };
        let is_complete = repair.is_complete();
        let is_safe = is_complete || is_safe(guard, &repair, &before, touched, pending, now);
        let is_best = best.as_ref().is_none_or(|best| {
            is_safe && !best.is_safe || is_safe == best.is_safe && repair.is_better(&best.repair)
        });
        if is_best {
            best = Some(FoundRepair { repair, is_safe });
        }
        // Nothing is left for the more expensive strategies to improve.
        if is_complete {
            break;
        }
    }
    guard.revert(trial);
    best
}

/// Whether the proposal with its repair causes no violation, and is less severe than the state in force.
fn is_safe(
    guard: &mut Guard,
    repair: &Repair,
    before: &[MomentReasons],
    touched: &BTreeSet<HostId>,
    pending: &[PendingEvent],
    now: f64,
) -> bool {
    if !repair.left.is_less(&worst_severity(before)) {
        return false;
    }
    let orders = repair.orders();
    let mut hosts = guard.touched_hosts(orders.iter());
    hosts.extend(touched);
    let mut trial = Trial::default();
    orders.iter().for_each(|order| guard.apply(order, &mut trial));
    let repaired = guard.inspect_ahead(&hosts, pending, now);
    guard.revert(trial);
    caused_violations(before, &[], &repaired).is_empty()
}
