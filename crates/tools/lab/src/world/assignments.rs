//! What the directors have ordered: tables of slices, withdrawn hosts, admission and retries of routes. Each is kept
//! as a
//! [`History`] over its director's messages, as proxies lag behind by some of them.

use super::history::History;
use coppersail::interface::RetryPolicy;
use std::rc::Rc;

/// A host of a slice's table.
#[derive(Clone, Copy, Debug)]
pub(super) struct TableEntry {
    /// The host.
    pub(super) host: u32,
    /// Its share of the slice's attempts, relative to the other weights.
    pub(super) weight: f64,
}

/// The hosts of a slice. Shared, as a proxy reads it for each attempt.
pub(super) type Table = Rc<Vec<TableEntry>>;

/// How proxies treat calls of a route.
#[derive(Clone, Copy, Debug)]
pub(super) struct RoutePolicy {
    /// The share of the calls that is admitted, 0 to 1.
    pub(super) admitted_share: f64,
    /// Which failed attempts are retried.
    pub(super) retry: RetryPolicy,
}

/// What the directors have ordered.
pub(super) struct Assignments {
    /// By slice.
    pub(super) tables: Vec<History<Table>>,
    /// By director and host: proxies send no attempts to the host.
    pub(super) withdrawn: Vec<Vec<History<bool>>>,
    /// By director and route.
    pub(super) route_policies: Vec<Vec<History<RoutePolicy>>>,
}

impl Assignments {
    /// Before the first order: each slice has one host, in turn; all calls are admitted.
    pub(super) fn new(slices: u16, hosts: u32, directors: usize, routes: usize) -> Self {
        let first_table = |slice: u16| {
            let entry = TableEntry { host: u32::from(slice) % hosts, weight: 1.0 };
            History::new(Table::new(vec![entry]))
        };
        let first_policy = RoutePolicy { admitted_share: 1.0, retry: RetryPolicy::IfNotExecuted };
        Assignments {
            tables: (0..slices).map(first_table).collect(),
            withdrawn: vec![vec![History::new(false); hosts as usize]; directors],
            route_policies: vec![vec![History::new(first_policy); routes]; directors],
        }
    }

    /// The director to which a slice belongs.
    pub(super) fn director_of(&self, slice: u16) -> usize {
        slice as usize % self.withdrawn.len()
    }

    /// The slices of a director.
    pub(super) fn slices_of(&self, director: usize) -> impl Iterator<Item = usize> {
        (director..self.tables.len()).step_by(self.withdrawn.len())
    }

    /// Adds, changes or, with weight 0, removes one host of a slice's table.
    pub(super) fn set_entry(&mut self, slice: u16, host: u32, weight: f64, message: u32) {
        let table = &mut self.tables[slice as usize];
        let mut entries: Vec<TableEntry> = table.last().as_ref().clone();
        entries.retain(|known| known.host != host);
        if weight > 0.0 {
            entries.push(TableEntry { host, weight });
        }
        table.set(message, Table::new(entries));
    }

    /// A proxy that has applied the director's messages up to `applied` has no host for the slice.
    pub(super) fn lacks_host(&self, director: usize, slice: usize, applied: u32) -> bool {
        let table = self.tables[slice].at(applied);
        table
            .iter()
            .all(|entry| entry.weight <= 0.0 || *self.withdrawn[director][entry.host as usize].at(applied))
    }

    /// Drops what no proxy can read any more, once all have applied this message of the director.
    pub(super) fn forget_before(&mut self, director: usize, applied_by_all: u32) {
        for slice in self.slices_of(director) {
            self.tables[slice].forget_before(applied_by_all);
        }
        for withdrawn in &mut self.withdrawn[director] {
            withdrawn.forget_before(applied_by_all);
        }
        for policy in &mut self.route_policies[director] {
            policy.forget_before(applied_by_all);
        }
    }
}
