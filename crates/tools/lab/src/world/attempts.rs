//! Proxies: an attempt is sent to a host of the slice's table, its reply or time-out is recorded, and it is retried.

use super::arrivals::Failure;
use super::assignments::TableEntry;
use super::call::{AttemptId, AttemptResult, Call, CallId};
use super::event::Event;
use super::proxy::Proxy;
use super::state::World;
use crate::policy::Kind;
use crate::rules::Rule;
use coppersail::interface::RetryPolicy;

/// An attempt is given up after this share of the time that its call has left.
const ATTEMPT_TIMEOUT_SHARE: f64 = 0.6;
/// An attempt has at least so long, seconds, if its call has.
const MIN_ATTEMPT_TIMEOUT: f64 = 0.01;
/// A proxy does not retry with less time left than this, seconds.
const MIN_TIME_FOR_RETRY: f64 = 0.02;
/// Makes a second draw out of the first: a prime far above the number of hosts.
const SECOND_DRAW_FACTOR: f64 = 7919.0;

impl World {
    /// Sends a call to a host of its slice's table, except to the one where it has just failed.
    pub(super) fn send_attempt(&mut self, id: CallId, excluded: Option<u32>) {
        let Some(call) = self.calls.get(id) else { return };
        let Some(host) = self.select_host(&call, excluded) else {
            self.fail_call(id, Failure::Dropped);
            return;
        };
        self.check_not_drained(&call, host);
        let entry = self.calls.get_mut(id);
        entry.attempts += 1;
        entry.attempt_serial += 1;
        entry.host = host;
        let attempt = AttemptId { call: id, serial: entry.attempt_serial };
        self.measured.second_at(call.arrived_at).attempts += 1;
        if self.kind == Kind::PowerOfTwo {
            *self.outstanding.entry((call.proxy, host)).or_default() += 1;
        }
        let time_left = self.time_left(&call);
        let timeout = (ATTEMPT_TIMEOUT_SHARE * time_left).max(MIN_ATTEMPT_TIMEOUT).min(time_left.max(0.0));
        self.schedule(self.now + timeout, Event::AttemptTimesOut { attempt });
        let proxy_zone = self.proxies[call.proxy as usize].zone;
        let host_zone = self.hosts[host as usize].zone;
        if !self.are_partitioned(proxy_zone, host_zone) {
            let delay = self.draw_network_delay(proxy_zone, host_zone);
            self.schedule(self.now + delay, Event::AttemptReachesHost { attempt, host });
        }
    }

    /// Draws a host by the weights of the table as the call's proxy has it; none if the table has no usable host.
    fn select_host(&mut self, call: &Call, excluded: Option<u32>) -> Option<u32> {
        let draw = self.rng.f64();
        let candidates = self.candidates(call, excluded);
        let host = pick_by_weight(&candidates, draw)?;
        if self.kind != Kind::PowerOfTwo {
            return Some(host);
        }
        // All weights are equal with this policy, so that any other candidate may be the second choice.
        let index = (draw * SECOND_DRAW_FACTOR * candidates.len() as f64) as usize % candidates.len();
        let other = candidates[index].host;
        let outstanding = |host: u32| self.outstanding.get(&(call.proxy, host)).copied().unwrap_or(0);
        if outstanding(other) < outstanding(host) {
            Some(other)
        } else {
            Some(host)
        }
    }

    /// The hosts to which the call's proxy may send it. If it has ejected all of them, it uses them all the same.
    fn candidates(&self, call: &Call, excluded: Option<u32>) -> Vec<TableEntry> {
        let director = self.assignments.director_of(call.slice);
        let proxy = &self.proxies[call.proxy as usize];
        let applied = proxy.applied[director];
        let withdrawn = &self.assignments.withdrawn[director];
        let mut usable = self.assignments.tables[call.slice as usize].at(applied).as_ref().clone();
        usable.retain(|entry| {
            entry.weight > 0.0 && Some(entry.host) != excluded && !*withdrawn[entry.host as usize].at(applied)
        });
        if usable.iter().any(|entry| !proxy.has_ejected(entry.host, self.now)) {
            usable.retain(|entry| !proxy.has_ejected(entry.host, self.now));
        }
        usable
    }

    /// Rule 3: after the grace period no attempt goes to a host of which its director knows that it drains or is
    /// gone, as far as the director can reach the proxy.
    fn check_not_drained(&mut self, call: &Call, host: u32) {
        let director = &self.directors[self.assignments.director_of(call.slice)];
        let Some(known_since) = director.not_ready_since.get(&host) else { return };
        let grace_is_over = self.now > known_since + self.scenario.fleet.grace;
        let proxy_zone = self.proxies[call.proxy as usize].zone;
        let reaches_proxy = !self.are_partitioned(proxy_zone, director.zone);
        if grace_is_over && reaches_proxy && !self.store.is_down && director.is_up {
            let slice = call.slice;
            self.rules.record_violation(Rule::AttemptAfterDraining, self.now, || {
                format!("host {host}, slice {slice}")
            });
        }
    }

    /// A proxy learns how its attempt ended; a reply to an attempt that it has given up is ignored.
    pub(super) fn reply_reaches_proxy(&mut self, attempt: AttemptId, result: AttemptResult) {
        let Some(call) = self.calls.get_by_attempt(attempt) else { return };
        if result != AttemptResult::Answered {
            self.attempt_failed(attempt.call, &call, result.never_ran());
            return;
        }
        let latency = self.now - call.arrived_at;
        self.attempt_ended(&call);
        self.proxies[call.proxy as usize].record_success(call.host);
        self.collectors.record_answered(self.proxies[call.proxy as usize].zone, call.host, latency);
        self.complete_call(attempt.call, &call, latency);
    }

    /// A proxy gives up an attempt, which may have run.
    pub(super) fn attempt_times_out(&mut self, attempt: AttemptId) {
        let Some(call) = self.calls.get_by_attempt(attempt) else { return };
        self.attempt_failed(attempt.call, &call, false);
    }

    /// The current attempt of a call has failed: it is recorded, and the call is retried or fails.
    fn attempt_failed(&mut self, id: CallId, call: &Call, never_ran: bool) {
        self.attempt_ended(call);
        let fleet = &self.scenario.fleet;
        let proxy = &mut self.proxies[call.proxy as usize];
        proxy.record_failure(call.host, self.now, fleet.eject_after_failures, fleet.ejection_time);
        self.collectors.record_failed(proxy.zone, call.host);
        self.retry_or_fail(id, call, never_ran);
    }

    fn attempt_ended(&mut self, call: &Call) {
        if let Some(outstanding) = self.outstanding.get_mut(&(call.proxy, call.host)) {
            *outstanding = outstanding.saturating_sub(1);
        }
    }

    /// Retries a failed attempt at another host, if the director's policy for the route allows it.
    fn retry_or_fail(&mut self, id: CallId, call: &Call, never_ran: bool) {
        // A reply that comes later is ignored.
        self.calls.get_mut(id).attempt_serial += 1;
        let max_attempts = max_attempts(self.retry_policy(call), never_ran);
        if call.attempts < max_attempts && self.time_left(call) > MIN_TIME_FOR_RETRY {
            self.calls.get_mut(id).retried_by_order |= !never_ran;
            self.send_attempt(id, Some(call.host));
        } else {
            self.fail_call(id, Failure::Dropped);
        }
    }

    /// Which attempts of the call are retried, as its proxy has it from the director.
    fn retry_policy(&self, call: &Call) -> RetryPolicy {
        let director = self.assignments.director_of(call.slice);
        let proxy: &Proxy = &self.proxies[call.proxy as usize];
        let policies = &self.assignments.route_policies[director];
        policies[call.route as usize].at(proxy.applied[director]).retry
    }
}

/// How many attempts a call may have after one has failed.
fn max_attempts(retry: RetryPolicy, never_ran: bool) -> u8 {
    match retry {
        RetryPolicy::Never => 1,
        RetryPolicy::IfNotExecuted => 1 + u8::from(never_ran),
        RetryPolicy::Once => 2,
        RetryPolicy::Twice => 3,
    }
}

/// The host to which a uniform draw from 0 to 1 belongs, by weight.
fn pick_by_weight(candidates: &[TableEntry], draw: f64) -> Option<u32> {
    let total: f64 = candidates.iter().map(|entry| entry.weight).sum();
    let mut remaining = draw * total;
    let mut picked = None;
    for entry in candidates {
        picked = Some(entry.host);
        remaining -= entry.weight;
        if remaining <= 0.0 {
            break;
        }
    }
    picked
}
