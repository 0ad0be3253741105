//! Wraps the decision module so that the capacity guard screens its orders; the interface is that of the
//! module. Refused orders are reported back to the module, which decides again a bounded number of times.

use crate::capacity::CapacityEstimator;
use crate::demand::DemandEstimator;
use crate::guard::Guard;
use crate::host_reports::HostReports;
use crate::judgement::{Findings, Verdict};
use crate::pool::{CapacityModel, Host, ListedState, PendingEvent, Pool};
use crate::refusals::RefusalHistory;
use coppersail::interface::*;
use coppersail::Director;
use std::collections::{BTreeMap, BTreeSet};

/// Limit of repeated decisions within one batch of inputs. Of the last proposal, the orders that are not
/// refused are sent.
const MAX_RETRIES: usize = 2;
/// Interval at which demand and capacities are estimated, in seconds: that of the reports.
const ESTIMATE_INTERVAL_S: f64 = 1.0;
/// Approximate number of orders in a call: the relay's limit in bytes divided by the length of a typical
/// order.
const MAX_CALL_ORDERS: usize = 2000;
/// Limit of log lines about refusals, per second.
const MAX_LOGS_PER_S: usize = 5;
/// Relative change of demand below which the guard is not updated, as reports are no more accurate than this.
const DEMAND_TOLERANCE: f64 = 0.1;
/// Lower limit of the demand that [`DEMAND_TOLERANCE`] applies to, in calls per second.
const MIN_TOLERANCE_DEMAND_PER_S: f64 = 0.01;

/// Mode of the guard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Proposals are not evaluated.
    #[default]
    Off,
    /// Proposals are evaluated, and unsafe ones are logged and counted; all are sent.
    Watch,
    /// Unsafe proposals are refused.
    On,
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Proposals that were evaluated.
    pub judged: u64,
    /// Proposals that were accepted.
    pub accepted: u64,
    /// Unsafe proposals that were sent because they were less severe than the state in force.
    pub improvements: u64,
    /// Proposals that were refused, in whole or in part.
    pub refused: u64,
    /// Refused proposals of which no slice was held back, for example because all their slices had been
    /// refused too often.
    pub overruled: u64,
}

#[derive(Default)]
struct LogRateLimit {
    window_started_at: f64,
    lines: usize,
}

/// Orders that may be sent, and the refusals that are reported back to the module.
struct Screening {
    accepted: Vec<Order>,
    refusals: Vec<Input>,
}

impl Screening {
    fn accepted(orders: Vec<Order>) -> Self {
        Screening { accepted: orders, refusals: vec![] }
    }
}

/// The decision module with its guard.
pub struct GuardedDirector {
    director: Director,
    mode: Mode,
    /// The guard is disabled permanently: no state is kept for it, and [`GuardedDirector::set_mode`] has no
    /// effect.
    unguarded: bool,
    guard: Guard,
    demand: DemandEstimator,
    capacity: CapacityEstimator,
    reports: HostReports,
    listed: BTreeSet<HostId>,
    /// Announced events, such as planned shutdowns.
    pending: Vec<PendingEvent>,
    /// Slices that this director is responsible for.
    slices: BTreeSet<SliceId>,
    estimated_at: f64,
    /// Slices were added since demand was last estimated.
    has_new_slices: bool,
    started: bool,
    refusals: RefusalHistory,
    logs: LogRateLimit,
    /// Counters since the start.
    pub counts: Counts,
}

impl GuardedDirector {
    /// The module without a guard.
    pub fn plain(settings: Settings, seed: u64) -> Self {
        GuardedDirector { unguarded: true, ..GuardedDirector::new(settings, seed, Mode::Off) }
    }

    /// The module with a guard. `seed` seeds the module's random choices.
    pub fn new(settings: Settings, seed: u64, mode: Mode) -> Self {
        let capacity_model = CapacityModel {
            cold_capacity_share: settings.cold_capacity_share,
            slow_start_duration: settings.slow_start_duration,
            collapse_multiple: settings.collapse_multiple,
            capacity: None,
        };
        let routes = settings.routes.len();
        GuardedDirector {
            guard: Guard::new(Pool { hosts: BTreeMap::new(), capacity_model }, &BTreeMap::new(), routes),
            director: Director::new(settings, seed),
            mode,
            unguarded: false,
            demand: DemandEstimator::new(routes),
            capacity: CapacityEstimator::default(),
            reports: HostReports::default(),
            listed: BTreeSet::new(),
            pending: Vec::new(),
            slices: BTreeSet::new(),
            estimated_at: f64::NEG_INFINITY,
            has_new_slices: false,
            started: false,
            refusals: RefusalHistory::default(),
            logs: LogRateLimit::default(),
            counts: Counts::default(),
        }
    }

    /// Sets the mode of the guard.
    pub fn set_mode(&mut self, mode: Mode) {
        self.mode = mode;
    }

    /// Replaces the list of announced events.
    pub fn set_pending_events(&mut self, pending: Vec<PendingEvent>) {
        self.pending = pending;
    }

    /// The state that proposals are evaluated against.
    pub fn guard(&self) -> &Guard {
        &self.guard
    }

    /// As [`Director::handle`].
    pub fn handle(&mut self, now: f64, inputs: &[Input]) -> Vec<Order> {
        if self.unguarded {
            return self.director.handle(now, inputs);
        }
        inputs.iter().for_each(|input| self.observe(now, input));
        self.started = true;
        if now - self.estimated_at >= ESTIMATE_INTERVAL_S {
            self.estimated_at = now;
            self.estimate(now);
        }
        if self.has_new_slices {
            self.update_demand();
        }
        let mut proposal = self.director.handle(now, inputs);
        let mut sent = Vec::new();
        for _ in 0..=MAX_RETRIES {
            let screening = match self.mode {
                Mode::Off => Screening::accepted(proposal),
                _ => self.judge(now, proposal),
            };
            self.guard.commit(&screening.accepted);
            sent.extend(screening.accepted);
            if screening.refusals.is_empty() {
                break;
            }
            proposal = self.director.handle(now, &screening.refusals);
        }
        sent
    }

    /// As [`Director::writable_orders`].
    pub fn writable_orders(
        &self,
        now: f64,
        orders: usize,
        is_repeat: bool,
        unannounced_proxies: bool,
    ) -> usize {
        self.director.writable_orders(now, orders, is_repeat, unannounced_proxies)
    }

    /// As [`Director::max_pending_lines`].
    pub fn max_pending_lines(&self) -> f64 {
        self.director.max_pending_lines()
    }

    /// Total demand of this director's slices, in calls per second; 0 without reports.
    pub fn total_demand(&self) -> f64 {
        let loads = self.guard.loads();
        if self.demand.has_reports() {
            loads.route_ids().map(|route| loads.route_total(route)).sum()
        } else {
            0.0
        }
    }

    fn observe(&mut self, now: f64, input: &Input) {
        match input {
            Input::HostListUpdate { scope, entries, .. } => self.update_list(*scope, entries),
            Input::SliceAssigned(slice) => {
                self.guard.remove_slice(*slice);
                self.slices.insert(*slice);
                self.guard.set_demand(*slice, &[]);
                // Until the next estimate the slice would count as one without demand, and the guard would
                // allow any number of such slices on one host: five of six slices that were changed in the
                // store at once were all moved to one host in that second.
                self.has_new_slices = true;
            }
            Input::SliceRevoked(slice) => {
                self.guard.remove_slice(*slice);
                self.slices.remove(slice);
                self.refusals.forget(*slice);
                self.demand.forget(*slice);
            }
            Input::StoredWeight { slice, host, weight } if self.slices.contains(slice) => {
                self.guard.set_weight(*slice, *host, *weight);
            }
            Input::SliceDemand { slice, route, requests: calls, window, .. } => {
                self.demand.report(now, *slice, *route, *calls as f64, *window);
            }
            Input::AttemptStats { host, zone, window, attempts, dropped, load, .. } => {
                let answered = attempts.saturating_sub(*dropped);
                if answered > 0 {
                    self.set_proven(*host);
                }
                self.reports.add(*host, *zone, answered, (*dropped).min(*attempts), *window);
                self.reports.set_load(*host, *load);
            }
            Input::ProbeFinished { host, outcome: Outcome::Succeeded, .. } => self.set_proven(*host),
            _ => {}
        }
    }

    fn set_proven(&mut self, id: HostId) {
        if let Some(host) = self.guard.pool().hosts.get(&id).copied().filter(|host| !host.proven) {
            self.guard.set_host(id, Host { proven: true, ..host });
        }
    }

    fn update_list(&mut self, scope: ListScope, entries: &[HostListEntry]) {
        if scope == ListScope::Failed {
            return;
        }
        if scope != ListScope::Delta {
            let named: BTreeSet<HostId> = entries.iter().map(|entry| entry.host).collect();
            let gone: Vec<HostId> = self.listed.difference(&named).copied().collect();
            gone.into_iter().for_each(|host| self.remove_host(host));
        }
        for entry in entries {
            if entry.state == HostState::Removed {
                self.remove_host(entry.host);
            } else {
                self.update_host(entry);
            }
        }
    }

    fn update_host(&mut self, entry: &HostListEntry) {
        let old = self.guard.pool().hosts.get(&entry.host).copied();
        let is_draining = entry.state == HostState::Draining;
        self.listed.insert(entry.host);
        let host = Host {
            state: if is_draining { ListedState::Draining } else { ListedState::Ready },
            zone: entry.zone,
            weight: entry.weight,
            started_at: entry.started_at,
            proven: !self.started || old.is_some_and(|old| old.proven),
            withdrawn: old.is_some_and(|old| old.withdrawn),
            speed: 1.0,
        };
        self.guard.set_host(entry.host, host);
    }

    fn remove_host(&mut self, id: HostId) {
        self.listed.remove(&id);
        self.capacity.forget(id);
        self.guard.remove_host(id);
    }

    fn estimate(&mut self, now: f64) {
        self.reports.evaluate(now, self.guard.pool(), &mut self.capacity);
        self.update_demand();
        // Demand and answered calls are those of this director's slices only, so the estimate is the part of
        // a host's capacity that the other directors leave. Without reports of demand there is nothing to
        // compare it with.
        self.guard.capacity_model_mut().capacity =
            if self.demand.has_reports() { self.capacity.estimate() } else { None };
        self.refusals.compact();
    }

    fn update_demand(&mut self) {
        self.has_new_slices = false;
        let demand = self.demand.demand(self.slices.iter().copied());
        for (slice, demand) in demand {
            let old = self.guard.loads().tables().get(&slice).map(|table| &table.demand);
            if !old.is_some_and(|old| is_similar(old, &demand)) {
                self.guard.set_demand(slice, &demand);
            }
        }
    }

    /// Has the guard evaluate a proposal of the module.
    fn judge(&mut self, now: f64, orders: Vec<Order>) -> Screening {
        if orders.iter().all(|order| table_of(order).is_none()) {
            return Screening::accepted(orders);
        }
        self.counts.judged += 1;
        let calls: Vec<Vec<Order>> = orders.chunks(MAX_CALL_ORDERS).map(<[Order]>::to_vec).collect();
        // Hosts that the endpoint list marks as draining count as closed at once, so only announced events
        // are pending.
        match self.guard.judge(&calls, &self.pending, now) {
            Verdict::Accepted => {
                self.counts.accepted += 1;
                Screening::accepted(orders)
            }
            Verdict::Improvement(_) => {
                self.counts.improvements += 1;
                Screening::accepted(orders)
            }
            // A proposal that is less severe than the state in force is sent although the guard knows a safe
            // repair: the module does not know the repair, and the worse state would stay in force until it
            // finds one. Refusing such proposals once or three times cost 0.03 of the score on a simulated
            // day with crashes and a deployment (`docs/guard.md`). Tables from files or operators are refused
            // in this case.
            Verdict::Refused(refused) if refused.is_improvement => {
                self.counts.improvements += 1;
                Screening::accepted(orders)
            }
            Verdict::Refused(refused) => self.refuse(now, orders, &refused),
        }
    }

    /// Drops the orders of the slices that cause the refusal; the other orders are accepted.
    fn refuse(&mut self, now: f64, orders: Vec<Order>, refused: &Findings) -> Screening {
        self.counts.refused += 1;
        let mut accepted: Vec<Order> = self.log_line(now, refused).into_iter().collect();
        if self.mode == Mode::Watch {
            accepted.extend(orders);
            return Screening::accepted(accepted);
        }
        let slices = self.refusals.slices_to_refuse(now, &orders, &refused.reasons, self.guard.pool());
        if slices.is_empty() {
            self.counts.overruled += 1;
        }
        let mut refusals = Vec::new();
        for slice in &slices {
            self.refusals.record(*slice, now);
            refusals.extend(self.refusal_inputs(*slice, &orders));
        }
        let is_accepted = |order: &Order| table_of(order).is_none_or(|slice| !slices.contains(&slice));
        accepted.extend(orders.into_iter().filter(is_accepted));
        Screening { accepted, refusals }
    }

    /// The inputs that report a refused slice to the module: one for each host that it proposed and one
    /// without a host, each with the table in force.
    fn refusal_inputs(&self, slice: SliceId, orders: &[Order]) -> Vec<Input> {
        let table = self.guard.loads().tables().get(&slice);
        let weights = table.map(|table| table.weights.clone()).unwrap_or_default();
        let hosts = orders.iter().filter_map(|order| match order {
            Order::SetWeight { slice: of, host, weight } if *of == slice && *weight > 0.0 => {
                Some(Some(*host))
            }
            _ => None,
        });
        let input = |host| Input::WeightsRejected { slice, host, weights: weights.clone() };
        hosts.chain([None]).map(input).collect()
    }

    /// A log line about a refusal; `None` if the limit of this second is reached.
    fn log_line(&mut self, now: f64, refused: &Findings) -> Option<Order> {
        if now - self.logs.window_started_at >= 1.0 {
            self.logs = LogRateLimit { window_started_at: now, lines: 0 };
        }
        self.logs.lines += 1;
        if self.logs.lines > MAX_LOGS_PER_S {
            return None;
        }
        let worst = refused.reasons.first()?;
        let more = refused.reasons.len() - 1;
        let repair = match &refused.repair {
            Some(repair) => format!("{} moves would mend it", repair.moves.len()),
            None => "no repair found".to_string(),
        };
        let action = if self.mode == Mode::On { "refused" } else { "would refuse" };
        let text = format!("guard {action}: {worst}; {more} more reasons, {repair}");
        Some(Order::Log { text, hosts: worst.reason.host().into_iter().collect() })
    }
}

/// The slice whose table an order changes.
fn table_of(order: &Order) -> Option<SliceId> {
    match order {
        Order::SetWeight { slice, .. } | Order::ClearTable(slice) => Some(*slice),
        _ => None,
    }
}

fn is_similar(old: &[f64], new: &[f64]) -> bool {
    let is_close =
        |(a, b): (&f64, &f64)| (a - b).abs() <= DEMAND_TOLERANCE * b.max(MIN_TOLERANCE_DEMAND_PER_S);
    old.len() == new.len() && old.iter().zip(new).all(is_close)
}
