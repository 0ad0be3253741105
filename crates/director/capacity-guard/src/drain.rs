//! Drain plans: how many hosts to drain at a time, in which order, and how long to wait in between, so that
//! the remaining hosts have the capacity for all calls.

use crate::pool::{Host, Pool};
use coppersail::interface::HostId;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

/// Highest utilisation of the remaining hosts, 0 to 1; the rest is headroom for retries and for the failure
/// of one host.
const MAX_UTILISATION: f64 = 0.85;
/// Where capacities are unknown, at least this share of the initial relative capacity must remain.
const MIN_REMAINING_SHARE: f64 = 0.8;
/// Minimum time between two steps, in seconds: new tables are computed, sent and applied, and calls in flight
/// at the drained hosts end.
const STEP_TIME_S: f64 = 5.0;
/// Seconds after which one host is drained although the remaining ones lack the capacity.
const MAX_WAIT_S: f64 = 600.0;
/// Time step of the plan while it waits, in seconds.
const TICK_S: f64 = 1.0;

/// What to drain.
#[derive(Clone, Debug, PartialEq)]
pub struct DrainRequest {
    /// The hosts; their order is chosen by the plan.
    pub hosts: BTreeSet<HostId>,
    /// Seconds after which each drained host returns, cold; `None`: it does not return.
    pub return_after: Option<f64>,
    /// Limit of hosts that are out of service at a time; `None`: limited by capacity only.
    pub max_hosts_at_once: Option<usize>,
    /// Total load of all slices, in calls per second.
    pub calls: f64,
}

/// One step of a plan: hosts that are drained at the same time.
#[derive(Clone, Debug, PartialEq)]
pub struct DrainPlanStep {
    /// Time from the start of the plan, in seconds.
    pub at: f64,
    /// The hosts.
    pub hosts: Vec<HostId>,
    /// Utilisation of the remaining hosts during the step; above 1 if they are overloaded. `None`: capacities
    /// are unknown.
    pub utilisation: Option<f64>,
    /// The remaining hosts lack the capacity, and waiting did not help.
    pub forced: bool,
}

/// State of a host in the plan. Times are seconds from the start of the plan.
#[derive(Clone, Copy, PartialEq)]
enum Progress {
    NotDrained,
    Waiting,
    Drained,
    ReturnedAt(f64),
}

struct Returning {
    at: f64,
    host: HostId,
}

struct Planner<'a> {
    pool: &'a Pool,
    drain: &'a DrainRequest,
    /// Clock time at which the plan starts, in seconds.
    started_at: f64,
    /// Seconds since the plan started.
    elapsed: f64,
    hosts: BTreeMap<HostId, Progress>,
    returning: Vec<Returning>,
    initial_capacity: f64,
}

/// Plans to drain hosts, starting at `now`. The next host is always the one whose zone keeps the most
/// capacity without it, and among equals the smallest, so no zone is drained completely while another zone
/// can spare a host. The last open host is not drained.
pub fn drain(pool: &Pool, request: &DrainRequest, now: f64) -> Vec<DrainPlanStep> {
    let mut planner = Planner::new(pool, request, now);
    let mut steps = Vec::new();
    let mut waited = 0.0;
    // The loop ends: each iteration drains a host or advances by a tick, and the waiting time of a step is
    // bounded.
    while planner.has_waiting() {
        planner.return_hosts();
        let room = planner.room();
        let mut hosts = planner.drain_within_capacity(room);
        let forced = hosts.is_empty() && waited >= MAX_WAIT_S && room > 0;
        if forced {
            let Some(host) = planner.drain_by_force() else { break };
            hosts.push(host);
        }
        if hosts.is_empty() {
            planner.elapsed += TICK_S;
            waited += TICK_S;
            if waited > MAX_WAIT_S + TICK_S {
                break;
            }
            continue;
        }
        planner.schedule_return(&hosts);
        steps.push(DrainPlanStep { at: planner.elapsed, hosts, utilisation: planner.utilisation(), forced });
        planner.elapsed += STEP_TIME_S;
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
            started_at: now,
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
            self.hosts.insert(returning.host, Progress::ReturnedAt(elapsed));
        }
    }

    /// Number of further hosts that the limit of the request allows to drain now.
    fn room(&self) -> usize {
        let drained = self.hosts.values().filter(|progress| **progress == Progress::Drained).count();
        self.drain.max_hosts_at_once.unwrap_or(usize::MAX).saturating_sub(drained)
    }

    /// Drains hosts as long as the remaining ones have the capacity for all calls.
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

    /// Drains one host regardless of capacity; `None` if no other host would be left.
    fn drain_by_force(&mut self) -> Option<HostId> {
        let id = self.next_host()?;
        self.hosts.insert(id, Progress::Drained);
        let none_left = self.serving_capacity() <= 0.0;
        (!none_left).then_some(id)
    }

    fn schedule_return(&mut self, hosts: &[HostId]) {
        let Some(after) = self.drain.return_after else { return };
        let at = self.elapsed + after;
        self.returning.extend(hosts.iter().map(|host| Returning { at, host: *host }));
    }

    /// The relative capacity of a host at this time of the plan, see [`Host::relative_capacity`].
    fn relative_capacity(&self, id: HostId, progress: Progress) -> f64 {
        let host = &self.pool.hosts[&id];
        let now = self.started_at + self.elapsed;
        match progress {
            Progress::NotDrained | Progress::Waiting => {
                host.relative_capacity(now, &self.pool.capacity_model)
            }
            Progress::Drained => 0.0,
            Progress::ReturnedAt(since) => {
                let restarted = Host { started_at: Some(self.started_at + since), ..*host };
                restarted.relative_capacity(now, &self.pool.capacity_model)
            }
        }
    }

    /// Total relative capacity of the hosts in service.
    fn serving_capacity(&self) -> f64 {
        self.hosts.iter().map(|(id, progress)| self.relative_capacity(*id, *progress)).sum()
    }

    /// Utilisation of the hosts in service; `None`: capacities are unknown.
    fn utilisation(&self) -> Option<f64> {
        let capacity = self.pool.capacity_model.capacity?;
        Some(self.drain.calls / (self.serving_capacity() * capacity.low).max(1e-9))
    }

    /// The next host to drain.
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
