//! `guard`: tables judged from files, as a director's guard judges them.

use super::error::CommandError;
use crate::fleet_files::{read_orders, read_pending, Fleet, FleetFileError};
use crate::names::Names;
use crate::output::print;
use coppersail::interface::{HostId, Order, SliceId};
use coppersail_capacity_guard::{Findings, Guard, Pool, Severity, Table, Verdict};
use serde_json::json;
use std::collections::BTreeMap;
use std::path::Path;

pub(crate) fn run(
    pool: &Path,
    tables: &Path,
    orders: Option<&Path>,
    pending: Option<&Path>,
    json: bool,
) -> Result<(), CommandError> {
    let judgement = judge(pool, tables, orders, pending)?;
    print(&if json { judgement.to_json() } else { judgement.to_text() });
    if judgement.accepted {
        return Ok(());
    }
    Err(CommandError::TablesRejected { judgement: judgement.label, reasons: judgement.reasons.len() })
}

struct Judgement {
    accepted: bool,
    label: &'static str,
    /// What is unsafe, worst first.
    reasons: Vec<String>,
    /// Orders that would make it safer.
    repair: Vec<String>,
    /// With the repair it would be safe.
    repair_complete: bool,
}

/// The orders judged against the tables; without orders the tables as they stand.
fn judge(
    pool: &Path,
    tables: &Path,
    orders: Option<&Path>,
    pending: Option<&Path>,
) -> Result<Judgement, FleetFileError> {
    let Fleet { names, pool, tables } = Fleet::read(pool, tables)?;
    let pending = pending.map(|path| read_pending(path, &names)).transpose()?.unwrap_or_default();
    let orders = orders.map(|path| read_orders(path, &names)).transpose()?;
    let has_orders = orders.is_some();
    let route_count = names.routes.len();
    let (mut guard, calls) = match orders {
        Some(calls) => (Guard::new(pool, &tables, route_count), calls),
        None => propose_standing_tables(pool, &tables, route_count),
    };
    let verdict = guard.judge(&calls, &pending, 0.0);
    Ok(Judgement::new(&verdict, has_orders, &names))
}

/// What stands is judged as if it were proposed to a fleet without any tables.
fn propose_standing_tables(
    pool: Pool,
    tables: &BTreeMap<SliceId, Table>,
    route_count: usize,
) -> (Guard, Vec<Vec<Order>>) {
    let line = |slice: SliceId, (host, weight): (&HostId, &f64)| Order::SetWeight {
        slice,
        host: *host,
        weight: *weight,
    };
    let orders =
        tables.iter().flat_map(|(slice, table)| table.weights.iter().map(move |entry| line(*slice, entry)));
    let without_lines = |table: &Table| Table { weights: BTreeMap::new(), ..table.clone() };
    let empty = tables.iter().map(|(slice, table)| (*slice, without_lines(table))).collect();
    (Guard::new(pool, &empty, route_count), vec![orders.collect()])
}

impl Judgement {
    fn new(verdict: &Verdict, has_orders: bool, names: &Names) -> Self {
        let none_found = Findings::default();
        let (label, found) = match verdict {
            Verdict::Accepted => ("accepted", &none_found),
            Verdict::Improvement(found) => ("accepted, as less bad than what stands", found),
            Verdict::Refused(found) => ("refused", found),
        };
        // To a fleet without tables any table is an improvement; then only what is wrong with it counts.
        let accepted = verdict.passes() && (has_orders || found.reasons.is_empty());
        let describe_order = |order: &Order| names.describe_order(order);
        let repair = found.repair.as_ref();
        Judgement {
            accepted,
            label: if accepted || has_orders { label } else { "unsafe as it stands" },
            reasons: found
                .reasons
                .iter()
                .map(|danger| format!("{}, {}", names.describe_reason(&danger.reason), danger.when))
                .collect(),
            repair: repair.map_or(vec![], |repair| repair.orders().iter().map(describe_order).collect()),
            repair_complete: repair.is_some_and(|repair| repair.left == Severity::default()),
        }
    }

    fn to_text(&self) -> String {
        let mut text = format!("{}\n", self.label);
        for reason in &self.reasons {
            text += &format!("  {reason}\n");
        }
        if !self.repair.is_empty() {
            text += if self.repair_complete { "safe with:\n" } else { "safer, though not safe, with:\n" };
        }
        for order in &self.repair {
            text += &format!("  {order}\n");
        }
        text
    }

    fn to_json(&self) -> String {
        let Judgement { label, reasons, repair, repair_complete, .. } = self;
        json!({"is": label, "reasons": reasons, "repair": repair, "repair_whole": repair_complete})
            .to_string()
    }
}
