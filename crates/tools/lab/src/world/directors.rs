//! Directors: they start, process inputs, and their orders go to the store, to hosts or to the clock.

use super::director::{Director, OrderBatch};
use super::director_settings::director_settings;
use super::event::Event;
use super::host::Host;
use super::state::World;
use crate::policy::Policy;
use coppersail::interface::{HostId, Input, LoadReport, Order, Outcome, ProxyId, SliceId, TimerId, ZoneId};
use coppersail_changes::Submission;

/// A director is woken after so long at least, seconds: a hundredth of what the module asks for.
const MIN_WAKE_DELAY: f64 = 1e-3;
/// An event counts as a wake-up if it is so close to the time that was asked for, seconds.
const WAKE_TOLERANCE: f64 = 1e-9;
/// A health check without an answer is given up after so long, seconds.
const HEALTH_CHECK_TIMEOUT: f64 = 0.3;
/// Any other health check ends after so long, seconds.
const HEALTH_CHECK_TIME: f64 = 0.002;
/// Directors' seeds: factor of the play's seed.
const SEED_FACTOR: u64 = 31;
/// Directors' seeds: step from one director to the next.
const SEED_STEP: u64 = 7;

impl World {
    /// Starts a director, for the first time or again. It has the list as it stored it, and is told the state of the
    /// relay.
    pub(super) fn start_director(&mut self, index: u16) {
        let earlier = self.directors.get(index as usize);
        let incarnation = earlier.map_or(0, |director| director.incarnation);
        let messages = earlier.map_or(0, |director| director.messages);
        let policy = self.new_policy(index, incarnation);
        let zone = index % self.scenario.fleet.zones;
        let director = Director::new(policy, zone, incarnation, messages, self.now);
        match self.directors.get_mut(index as usize) {
            Some(earlier) => *earlier = director,
            None => self.directors.push(director),
        }
        let mut inputs = vec![self.stored_endpoints()];
        inputs.extend(self.joined_proxies(index));
        inputs.extend(self.stored_tables(index));
        self.enqueue_inputs(index, inputs);
    }

    fn new_policy(&self, director: u16, incarnation: u32) -> Policy {
        let offset = u64::from(director) * SEED_STEP + u64::from(incarnation);
        let seed = self.seed.wrapping_mul(SEED_FACTOR).wrapping_add(offset);
        let settings = director_settings(&self.scenario, director);
        Policy::new(self.kind, settings, seed, &self.scenario, self.start_ms)
    }

    /// All proxies, as the relay tells a director that starts.
    fn joined_proxies(&self, director: u16) -> Vec<Input> {
        let calls_per_s = self.traffic.calls_per_second / f64::from(self.scenario.fleet.proxies);
        let mut inputs = Vec::new();
        for (index, proxy) in self.proxies.iter().enumerate() {
            inputs.push(Input::ProxyJoined {
                proxy: ProxyId(index as u16),
                zone: ZoneId(proxy.zone),
                requests_per_s: calls_per_s,
                without_tables: proxy.applied[director as usize] == 0,
            });
        }
        inputs
    }

    /// The tables of a director's slices, as the relay has stored them.
    fn stored_tables(&self, director: u16) -> Vec<Input> {
        let mut inputs = Vec::new();
        for index in self.assignments.slices_of(director as usize) {
            let slice = SliceId(index as u16);
            inputs.push(Input::SliceAssigned(slice));
            for entry in self.assignments.tables[index].last().iter() {
                inputs.push(Input::StoredWeight { slice, host: HostId(entry.host), weight: entry.weight });
            }
        }
        inputs
    }

    /// A director processes the inputs that it has, and its wake-up if that is due.
    pub(super) fn director_runs(&mut self, index: u16) {
        let director = &mut self.directors[index as usize];
        let is_woken = self.now + WAKE_TOLERANCE >= director.wake_at;
        let has_reason = director.run_is_scheduled || is_woken;
        if !has_reason || !director.is_up {
            return;
        }
        director.run_is_scheduled = false;
        let mut inputs = std::mem::take(&mut director.inputs);
        if is_woken {
            director.wake_at = f64::INFINITY;
            inputs.push(Input::TimerFired(TimerId(1)));
        }
        self.truth.store_down = self.store.is_down;
        let orders = director.policy.handle(self.now, &inputs, &self.truth);
        self.carry_out(index, orders);
    }

    /// Carries out what a director has ordered. Orders for proxies go through the store, which may be down.
    pub(super) fn carry_out(&mut self, director: u16, orders: Vec<Order>) {
        let mut for_proxies = Vec::new();
        for order in orders {
            match order {
                Order::SetTimer { fires_at: at, .. } => self.wake_director_at(director, at),
                Order::Probe(host) => self.check_health(director, host),
                Order::SetWeight { .. }
                | Order::ClearTable(_)
                | Order::SetWithdrawn { .. }
                | Order::SetAdmission { .. }
                | Order::RequestAcknowledgement { .. } => for_proxies.push(order),
                // The world has no use for the others.
                _ => {}
            }
        }
        if for_proxies.is_empty() {
            return;
        }
        if self.store.is_down {
            let incarnation = self.directors[director as usize].incarnation;
            self.store.pending.push_back(OrderBatch { director, incarnation, orders: for_proxies });
        } else {
            self.write_message(director, for_proxies);
        }
    }

    fn wake_director_at(&mut self, director: u16, at: f64) {
        // A director that asks to be woken in the past, as a faulty build may, must not stop the clock.
        let at = at.max(self.now + MIN_WAKE_DELAY);
        self.directors[director as usize].wake_at = at;
        self.schedule(at, Event::DirectorRuns { director });
    }

    /// The store is up again, and takes the orders that were waiting for it.
    pub(super) fn restore_store(&mut self) {
        self.store.is_down = false;
        // No order could get through meanwhile, so that the grace periods begin now.
        for director in &mut self.directors {
            for since in director.not_ready_since.values_mut() {
                *since = self.now;
            }
        }
        while let Some(batch) = self.store.pending.pop_front() {
            if self.directors[batch.director as usize].incarnation == batch.incarnation {
                self.write_message(batch.director, batch.orders);
            }
        }
    }

    /// A director checks the health of a host; the answer is sent back to it.
    fn check_health(&mut self, director: u16, host: HostId) {
        self.measured.health_checks += 1;
        let director_zone = self.directors[director as usize].zone;
        let checked = &self.hosts[host.0 as usize];
        let is_partitioned = self.are_partitioned(director_zone, checked.zone);
        let outcome = health_check_outcome(checked, is_partitioned, self.scenario.fleet.max_queue);
        let took = if outcome == Outcome::TimedOut { HEALTH_CHECK_TIMEOUT } else { HEALTH_CHECK_TIME };
        let load =
            if outcome == Outcome::Succeeded { self.reported_load(host.0) } else { LoadReport::default() };
        self.send_inputs(director, took, vec![Input::ProbeFinished { host, outcome, duration: took, load }]);
    }

    /// Operators submit a change to each director whose policy can take one.
    pub(super) fn change_submitted(&mut self, index: usize) {
        let change = &self.scenario.changes[index];
        // The edits were checked when the scenario was read.
        let Ok(edits) = change.edits() else { return };
        let trial = change.trial;
        for director in 0..self.directors.len() as u16 {
            let Policy::Reducer(reducer) = &mut self.directors[director as usize].policy else { continue };
            reducer.submit(Submission {
                who: "lab".into(),
                why: "play".into(),
                edits: edits.clone(),
                trial,
                ..Submission::default()
            });
            self.enqueue_inputs(director, vec![]);
        }
    }

    /// What directors have logged of operators' changes: simulated seconds, the director, the text.
    pub fn change_log(&self) -> Vec<(f64, usize, String)> {
        let mut entries = Vec::new();
        for (index, director) in self.directors.iter().enumerate() {
            let Policy::Reducer(reducer) = &director.policy else { continue };
            for entry in reducer.change_log() {
                entries.push((entry.at, index, entry.text.clone()));
            }
        }
        entries.sort_by(|a, b| a.0.total_cmp(&b.0));
        entries
    }
}

fn health_check_outcome(host: &Host, is_partitioned: bool, queue_limit: usize) -> Outcome {
    if is_partitioned || host.is_hung {
        Outcome::TimedOut
    } else if !host.is_up || host.has_collapsed {
        Outcome::ConnectFailed
    } else if host.queue.len() >= queue_limit {
        Outcome::Throttled
    } else {
        Outcome::Succeeded
    }
}
