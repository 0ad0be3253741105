//! Clients: calls arrive, are sent to a proxy, and end.

use super::call::{Call, CallId};
use super::event::Event;
use super::state::{Jitter, World};

/// Of the time between two changes of the hot slices.
const HOT_TIME_JITTER: Jitter = Jitter { least: 0.7, spread: 0.6 };
/// The hot slices stay for so long at least, seconds, before the jitter.
const MIN_HOT_TIME: f64 = 0.1;
/// A client does not retry if less time than this would be left after its backoff, seconds.
const MIN_TIME_FOR_CLIENT_RETRY: f64 = 0.02;
/// What latencies are measured in, for one second.
const MS_PER_SECOND: f64 = 1e3;
/// The shortest latency that a histogram records, milliseconds.
const MIN_LATENCY_MS: f64 = 1.0;

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Failure {
    /// Admission control rejected it.
    Throttled,
    /// No attempt succeeded, or there was no host for one.
    Dropped,
}

impl World {
    /// A client makes a call; the next arrival is scheduled.
    pub(super) fn call_arrives(&mut self) {
        let gap = self.traffic.draw_gap(&mut self.rng);
        if self.now + gap < self.scenario.seconds {
            self.schedule(self.now + gap, Event::CallArrives);
        }
        let slice = self.traffic.draw_slice(self.scenario.load.hot_share, &mut self.rng);
        let route = self.traffic.draw_route(&mut self.rng);
        let spec = &self.scenario.load.routes[route as usize];
        let importance = spec.importance;
        let work = self.traffic.draw_work(route, spec.mean_work, spec.work_sigma, &mut self.rng);
        let proxy = self.rng.u16(0..self.proxies.len() as u16);
        let arrived_at = self.now;
        let call = self.calls.insert(Call { arrived_at, work, slice, proxy, route, ..Call::default() });
        self.traffic.record_call(slice);
        let second = self.measured.second_at(arrived_at);
        second.offered += importance;
        second.calls += 1;
        self.measured.by_route[route as usize].offered += importance;
        self.client_sends(call);
    }

    /// A client sends a call to its proxy, for the first time or again; admission control decides about it.
    pub(super) fn client_sends(&mut self, id: CallId) {
        let Some(call) = self.calls.get(id) else { return };
        let director = self.assignments.director_of(call.slice);
        let applied = self.proxies[call.proxy as usize].applied[director];
        let policy = *self.assignments.route_policies[director][call.route as usize].at(applied);
        self.collectors.demand_of(call.slice, call.route).calls += 1;
        let entry = self.calls.get_mut(id);
        entry.client_attempts += 1;
        entry.attempts = 0;
        let is_rejected = policy.admitted_share < 1.0 && self.rng.f64() >= policy.admitted_share;
        if is_rejected {
            self.fail_call(id, Failure::Throttled);
        } else {
            self.send_attempt(id, None);
        }
    }

    /// The proxy has given up a call; its client may retry.
    pub(super) fn fail_call(&mut self, id: CallId, failure: Failure) {
        let Some(call) = self.calls.get(id) else { return };
        self.collectors.demand_of(call.slice, call.route).dropped += 1;
        let load = &self.scenario.load;
        let backoff = load.client_retry_delay;
        let has_retries = u32::from(call.client_attempts) <= load.client_retries;
        let has_time = self.time_left(&call) > backoff + MIN_TIME_FOR_CLIENT_RETRY;
        if has_retries && has_time {
            // If a call runs twice as its client sent it twice, no director is to blame.
            let entry = self.calls.get_mut(id);
            entry.executions = 0;
            entry.retried_by_order = false;
            self.schedule(self.now + backoff, Event::ClientRetries { call: id });
            return;
        }
        let second = self.measured.second_at(call.arrived_at);
        match failure {
            Failure::Throttled => second.throttled += 1,
            Failure::Dropped => second.dropped += 1,
        }
        self.calls.finish(id);
    }

    /// A client has its answer; `latency` is in seconds.
    pub(super) fn complete_call(&mut self, id: CallId, call: &Call, latency: f64) {
        let route = &self.scenario.load.routes[call.route as usize];
        let importance = route.importance;
        let in_time = latency <= route.latency_target;
        let second = self.measured.second_at(call.arrived_at);
        second.answered += 1;
        if in_time {
            second.served += importance;
            self.measured.by_route[call.route as usize].served += importance;
        } else {
            second.late += 1;
        }
        let latency_ms = (latency * MS_PER_SECOND).max(MIN_LATENCY_MS) as u64;
        // Too long a latency for the histogram is left out; the counts above have the call.
        let _ = self.measured.latency[call.route as usize].record(latency_ms);
        self.calls.finish(id);
    }

    /// Seconds until the call's client gives up; negative once it has.
    pub(super) fn time_left(&self, call: &Call) -> f64 {
        call.arrived_at + self.scenario.load.routes[call.route as usize].deadline - self.now
    }

    /// Other slices become hot.
    pub(super) fn hot_slices_change(&mut self) {
        let load = &self.scenario.load;
        let slices = self.scenario.fleet.slices;
        let rng = &mut self.rng;
        self.traffic.hot_slices = (0..load.hot_slices).map(|_| rng.u16(0..slices)).collect();
        let mean = load.hot_interval.max(MIN_HOT_TIME);
        let next_at = self.now + self.jittered(mean, HOT_TIME_JITTER);
        if next_at < self.scenario.seconds {
            self.schedule(next_at, Event::HotSlicesChange);
        }
    }
}
