//! Drain plans: how many hosts at a time, in which order, and how long to wait in between, so that those that stay have
//! the capacity for all calls.

use crate::pool::{Host, Pool};
use coppersail::interface::HostId;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

/// The greatest utilisation of the hosts that stay, 0 to 1: the rest is for retries and for one host that fails.
const MAX_UTILISATION: f64 = 0.85;
/// Where capacities are unknown, this share of the initial size must always be there.
const MIN_REMAINING_SHARE: f64 = 0.8;
/// Seconds that a step takes at least: new tables are computed, sent and applied, and the hosts' calls end.
const STEP_TIME: f64 = 5.0;
/// Seconds after which a step is taken although there is no room for it.
const MAX_WAIT: f64 = 600.0;
/// Seconds by which the plan advances while it waits.
const TICK: f64 = 1.0;

/// What is to be drained.
#[derive(Clone, Debug, PartialEq)]
pub struct DrainRequest {
    /// The hosts; their order is chosen by the plan.
    pub hosts: BTreeSet<HostId>,
    /// Each comes back cold so many seconds after it was drained; `None`: it stays away.
    pub return_after: Option<f64>,
    /// The greatest number at a time; `None`: as many as there is room for.
    pub max_hosts_at_once: Option<usize>,
    /// Calls a second of all slices.
    pub calls: f64,
}

/// One step of a plan: hosts that are drained at the same time.
#[derive(Clone, Debug, PartialEq)]
pub struct DrainPlanStep {
    /// Seconds from the beginning of the plan.
    pub at: f64,
    /// The hosts.
    pub hosts: Vec<HostId>,
    /// Utilisation of the hosts that stay meanwhile, 0 to 1 or more; `None`: capacities are unknown.
    pub utilisation: Option<f64>,
    /// The hosts that stay have not enough capacity, and waiting does not help.
    pub forced: bool,
}

/// Where a host is in the course of the plan. Times are seconds from its beginning.
#[derive(Clone, Copy, PartialEq)]
enum Progress {
    NotDrained,
    Waiting,
    Drained,
    BackSince(f64),
}

struct Returning {
    at: f64,
    host: HostId,
}

struct Planner<'a> {
    pool: &'a Pool,
    drain: &'a DrainRequest,
    /// The time at which the plan begins.
    begin: f64,
    /// Seconds from the beginning.
    elapsed: f64,
    hosts: BTreeMap<HostId, Progress>,
    returning: Vec<Returning>,
    initial_capacity: f64,
}

/// Plans to drain hosts, from `now` on. Of the hosts that wait the one whose zone has most left without it goes
/// first, of equals the smallest, so a zone is never drained whole while another could give a host. The last open
/// host stays.
pub fn drain(pool: &Pool, wanted: &DrainRequest, now: f64) -> Vec<DrainPlanStep> {
    let mut planner = Planner::new(pool, wanted, now);
    let mut steps = Vec::new();
    let mut waited = 0.0;
    // Each turn drains a host or advances by a tick, and the waiting time of a step is bounded.
    while planner.has_waiting() {
        planner.return_hosts();
        let room = planner.room();
        let mut hosts = planner.drain_within_capacity(room);
        let forced = hosts.is_empty() && waited >= MAX_WAIT && room > 0;
        if forced {
            let Some(host) = planner.drain_by_force() else { break };
            hosts.push(host);
        }
        if hosts.is_empty() {
            planner.elapsed += TICK;
            waited += TICK;
            if waited > MAX_WAIT + TICK {
                break;
            }
            continue;
        }
        planner.schedule_return(&hosts);
        steps.push(DrainPlanStep { at: planner.elapsed, hosts, utilisation: planner.utilisation(), forced });
        planner.elapsed += STEP_TIME;
        waited = 0.0;
    }
    steps
}

impl<'a> Planner<'a> {
    fn new(pool: &'a Pool, drain: &'a DrainRequest, now: f64) -> Self {
        let progress =
            |id: HostId| if drain.hosts.contains(&id) { Progress::Waiting } else { Progress::NotDrained };
        let hosts = pool.open_hosts().map(|(id, _)| (id, progress(id))).collect();
        let mut planner = Planner {
            pool,
            drain,
            begin: now,
            elapsed: 0.0,
            hosts,
            returning: vec![],
            initial_capacity: 0.0,
        };
        planner.initial_capacity = planner.serving_capacity();
        planner
    }

    fn has_waiting(&self) -> bool {
        self.hosts.values().any(|progress| *progress == Progress::Waiting)
    }

    fn return_hosts(&mut self) {
        let elapsed = self.elapsed;
        for returning in self.returning.extract_if(.., |returning| returning.at <= elapsed) {
            self.hosts.insert(returning.host, Progress::BackSince(elapsed));
        }
    }

    /// Hosts that may be drained now by the limit of the request.
    fn room(&self) -> usize {
        let drained = self.hosts.values().filter(|progress| **progress == Progress::Drained).count();
        self.drain.max_hosts_at_once.unwrap_or(usize::MAX).saturating_sub(drained)
    }

    /// Drains hosts while those that stay have the capacity for all calls.
    fn drain_within_capacity(&mut self, room: usize) -> Vec<HostId> {
        let mut drained = Vec::new();
        while drained.len() < room {
            let Some(id) = self.next_host() else { break };
            self.hosts.insert(id, Progress::Drained);
            if !self.has_capacity() {
                self.hosts.insert(id, Progress::Waiting);
                break;
            }
            drained.push(id);
        }
        drained
    }

    fn has_capacity(&self) -> bool {
        let capacity = self.serving_capacity();
        if capacity <= 0.0 {
            return false;
        }
        match self.utilisation() {
            Some(utilisation) => utilisation <= MAX_UTILISATION,
            None => capacity >= MIN_REMAINING_SHARE * self.initial_capacity,
        }
    }

    /// Drains one host without regard to capacity; `None` if no other one would be left.
    fn drain_by_force(&mut self) -> Option<HostId> {
        let id = self.next_host()?;
        self.hosts.insert(id, Progress::Drained);
        let nobody_left = self.serving_capacity() <= 0.0;
        (!nobody_left).then_some(id)
    }

    fn schedule_return(&mut self, hosts: &[HostId]) {
        let Some(after) = self.drain.return_after else { return };
        let at = self.elapsed + after;
        self.returning.extend(hosts.iter().map(|host| Returning { at, host: *host }));
    }

    /// The size of a host at this time of the plan, see [`Host::relative_capacity`].
    fn relative_capacity(&self, id: HostId, progress: Progress) -> f64 {
        let host = &self.pool.hosts[&id];
        let now = self.begin + self.elapsed;
        match progress {
            Progress::NotDrained | Progress::Waiting => {
                host.relative_capacity(now, &self.pool.capacity_model)
            }
            Progress::Drained => 0.0,
            Progress::BackSince(since) => {
                let restarted = Host { started_at: Some(self.begin + since), ..*host };
                restarted.relative_capacity(now, &self.pool.capacity_model)
            }
        }
    }

    /// The size of all hosts that serve.
    fn serving_capacity(&self) -> f64 {
        self.hosts.iter().map(|(id, progress)| self.relative_capacity(*id, *progress)).sum()
    }

    /// Utilisation of the hosts that serve; `None`: capacities are unknown.
    fn utilisation(&self) -> Option<f64> {
        let capacity = self.pool.capacity_model.capacity?;
        Some(self.drain.calls / (self.serving_capacity() * capacity.low).max(1e-9))
    }

    /// The waiting host that goes next.
    fn next_host(&self) -> Option<HostId> {
        let waiting = self.hosts.iter().filter(|(_, progress)| **progress == Progress::Waiting);
        let key = |id: HostId| (-self.zone_capacity_without(id), self.relative_capacity(id, self.hosts[&id]));
        let order = |a: &HostId, b: &HostId| key(*a).partial_cmp(&key(*b)).unwrap_or(Ordering::Equal);
        waiting.map(|(id, _)| *id).min_by(order)
    }

    fn zone_capacity_without(&self, id: HostId) -> f64 {
        let zone = self.pool.hosts[&id].zone;
        let is_other = |other: HostId| other != id && self.pool.hosts[&other].zone == zone;
        let others = self.hosts.iter().filter(|(other, _)| is_other(**other));
        others.map(|(other, progress)| self.relative_capacity(*other, *progress)).sum::<f64>()
    }
}
