//! Endpoints: heartbeats, shard leases, drains and crashes.

use super::{AcknowledgedDrain, World};
use crate::admin_client::{AdminCall, MAX_REDIRECTS, REQUEST_TIMEOUT};
use crate::endpoint::{Departure, Endpoint, SentRequest, LONG_LINGER, SHORT_LINGER};
use crate::event::{Request, Response, SimEvent};
use crate::invariants::{first_overlap, rule, CheckError, CheckResult};
use crate::participant::{MachineId, Origin, Participant};
use crate::time::{random_clock_rate, Micros};
use coppersail_stub_backend::HeartbeatResponse;
use std::ops::Range;

/// Endpoints start within this time.
const START_SPREAD: Micros = 2_000_000;
/// Time until an endpoint that has ended starts again.
const RESTART_DELAY: Range<Micros> = 500_000..5_000_000;
/// How long a client's request on a key takes.
const WORK_TIME: Range<Micros> = 20_000..900_000;
/// Time to the next attempt if no machine is known.
const NO_MACHINE_DELAY: Micros = 100_000;
/// Time to the next heartbeat when finished work lets a lease be released.
const RELEASE_DELAY: Micros = 1000;

impl World<'_> {
    pub(super) fn add_endpoints(&mut self) {
        for endpoint_id in 0..self.scenario.endpoints {
            let zone = endpoint_id % self.scenario.zones;
            self.endpoints.push(Endpoint::new(zone, endpoint_id % 2 == 0));
            let delay = self.rng.u64(0..START_SPREAD);
            self.schedule_endpoint(endpoint_id, delay);
        }
    }

    /// Schedules the next wake-up; those before it are void.
    fn schedule_endpoint(&mut self, endpoint_id: usize, delay: Micros) {
        let endpoint = &mut self.endpoints[endpoint_id];
        endpoint.wake += 1;
        let wake = endpoint.wake;
        self.schedule_after(delay, SimEvent::WakeEndpoint { endpoint_id, wake });
    }

    /// Starts the endpoint if it is down, and sends its next heartbeat or its sign-off.
    pub(super) fn wake_endpoint(&mut self, endpoint_id: usize, wake: u32) {
        let endpoint = &self.endpoints[endpoint_id];
        if endpoint.wake != wake || endpoint.in_flight.is_some() {
            return;
        }
        if !endpoint.up {
            self.start_endpoint(endpoint_id);
        }
        let now = self.now;
        if self.endpoints[endpoint_id].is_drain_over(now) {
            self.check_drain_acknowledged(endpoint_id);
        }
        if self.endpoints[endpoint_id].ends_after_sign_off(now) {
            return self.stop_endpoint(endpoint_id);
        }
        let sign_off = self.endpoints[endpoint_id].must_sign_off(now);
        let endpoint = &mut self.endpoints[endpoint_id];
        let call = if sign_off {
            AdminCall::SignOff { endpoint_id: endpoint.id.as_str().into() }
        } else {
            endpoint.heartbeat(endpoint_id, now)
        };
        let Some(machine_id) = self.select_machine(&self.endpoints[endpoint_id].selector) else {
            return self.schedule_endpoint(endpoint_id, NO_MACHINE_DELAY);
        };
        let endpoint = &mut self.endpoints[endpoint_id];
        let draining = endpoint.draining_since.is_some();
        let request = SentRequest { request_id: 0, sent_at: now, draining, sign_off, redirects: 0, call };
        endpoint.in_flight = Some(request);
        self.send_endpoint_request(endpoint_id, machine_id);
    }

    fn start_endpoint(&mut self, endpoint_id: usize) {
        let clock_rate = random_clock_rate(&mut self.rng);
        let position = self.rng.usize(0..9);
        let linger = if self.rng.u8(0..5) == 0 { LONG_LINGER } else { SHORT_LINGER };
        self.endpoints[endpoint_id].start(endpoint_id, self.now, clock_rate, position, linger);
    }

    /// A drain that began in a stable period must be acknowledged before the endpoint ends.
    fn check_drain_acknowledged(&mut self, endpoint_id: usize) {
        let endpoint = &self.endpoints[endpoint_id];
        let (None, Some(since)) = (endpoint.drain_acknowledged_at, endpoint.draining_since) else { return };
        self.statistics.unacknowledged_drains += 1;
        if self.available_since.is_some_and(|available_since| available_since <= since) {
            let detail = format!("{} ends unheard, leaving since {} ms", endpoint.id, since / 1000);
            self.record_violation(rule::DRAIN_NOT_ACKNOWLEDGED, detail);
        }
    }

    /// Sends the request in flight to a machine, first or after a redirect.
    fn send_endpoint_request(&mut self, endpoint_id: usize, machine_id: MachineId) {
        let request_id = self.next_request_id();
        let endpoint = &mut self.endpoints[endpoint_id];
        let Some(request) = &mut endpoint.in_flight else { return };
        request.request_id = request_id;
        // The time-out is that of the heartbeat with all its redirects.
        let timeout_at = request.sent_at + REQUEST_TIMEOUT;
        let call = request.call.clone();
        let participant = Participant::Endpoint(endpoint_id);
        let origin = Origin { participant, incarnation: endpoint.incarnation, request_id };
        self.send_request(machine_id, origin, Request::Admin(call));
        self.schedule_at(timeout_at, SimEvent::EndpointRequestTimeout { endpoint_id, request_id });
    }

    /// A response, or none within the time-out.
    pub(super) fn handle_endpoint_response(
        &mut self,
        endpoint_id: usize,
        request_id: u64,
        response: Option<Response>,
    ) {
        let in_flight = self.endpoints[endpoint_id].in_flight.as_mut();
        let Some(request) = in_flight.filter(|request| request.request_id == request_id) else { return };
        let (status, body) = match response {
            Some(Response::Admin { status, body }) => (status, body),
            _ => (0, String::new()),
        };
        if status == 307 && request.redirects < MAX_REDIRECTS {
            request.redirects += 1;
            if let Some(machine_id) = self.redirect_target(&body) {
                return self.send_endpoint_request(endpoint_id, machine_id);
            }
        }
        let Some(request) = self.endpoints[endpoint_id].in_flight.take() else { return };
        let reply = HeartbeatResponse::parse(body.as_bytes()).ok().filter(|_| (200..300).contains(&status));
        let reply = reply.filter(|_| body.len() <= HeartbeatResponse::MAX_BYTES);
        let first_announcement = self.endpoints[endpoint_id].departure == Departure::SignOff;
        let selector = &mut self.endpoints[endpoint_id].selector;
        match reply {
            Some(reply) if request.sign_off && first_announcement => {
                selector.record_success(reply.report_to);
                self.record_drain_acknowledged(endpoint_id);
                let endpoint = &self.endpoints[endpoint_id];
                let end = endpoint.drain_ends_at(self.now);
                self.schedule_endpoint(endpoint_id, end - self.now);
            }
            _ if request.sign_off && !first_announcement => {
                if reply.is_none() {
                    selector.record_failure();
                }
                self.stop_endpoint(endpoint_id);
            }
            Some(reply) => self.handle_heartbeat_reply(endpoint_id, &request, reply),
            None => {
                let backoff = selector.record_failure();
                self.schedule_endpoint(endpoint_id, backoff);
            }
        }
    }

    fn handle_heartbeat_reply(
        &mut self,
        endpoint_id: usize,
        request: &SentRequest,
        reply: HeartbeatResponse,
    ) {
        let endpoint = &mut self.endpoints[endpoint_id];
        endpoint.selector.record_success(reply.report_to.clone());
        endpoint.keys.acknowledge_report();
        if request.draining && endpoint.drain_acknowledged_at.is_none() {
            self.record_drain_acknowledged(endpoint_id);
        }
        self.apply_leases(endpoint_id, request.sent_at, &reply);
        let delay = self.endpoints[endpoint_id].next_heartbeat_delay(self.now, request.draining);
        self.schedule_endpoint(endpoint_id, delay);
    }

    fn record_drain_acknowledged(&mut self, endpoint_id: usize) {
        let at = self.now;
        let endpoint = &mut self.endpoints[endpoint_id];
        endpoint.drain_acknowledged_at = Some(at);
        let endpoint_id = endpoint.id.clone();
        self.statistics.drains += 1;
        self.acknowledged_drains.push(AcknowledgedDrain { endpoint_id, at });
    }

    fn apply_leases(&mut self, endpoint_id: usize, sent_at: Micros, reply: &HeartbeatResponse) {
        let endpoint = &mut self.endpoints[endpoint_id];
        let (true, Some(leases)) = (endpoint.sharded, &reply.leases) else { return };
        let lease_time =
            reply.lease_duration.as_deref().and_then(coppersail_config::parse_duration).unwrap_or_default();
        let (now, sent_at) = (endpoint.clock(self.now), endpoint.clock(sent_at));
        endpoint.keys.apply_grants(now, sent_at, lease_time, leases);
        self.statistics.grants += 1;
        let result = self.check_exclusive_ownership(endpoint_id);
        self.record_check(result);
        self.start_endpoint_work(endpoint_id);
    }

    /// The leases of an endpoint and of any other, each by its own clock, must not overlap.
    fn check_exclusive_ownership(&self, endpoint_id: usize) -> CheckResult {
        let endpoint = &self.endpoints[endpoint_id];
        let leases = endpoint.leases(self.now);
        for (other_id, other) in self.endpoints.iter().enumerate() {
            if other_id == endpoint_id || !other.up || !other.sharded {
                continue;
            }
            if let Some(key) = first_overlap(&leases, &other.leases(self.now)) {
                let detail = format!("key {key} is held by {} and by {}", endpoint.id, other.id);
                return Err(CheckError::new(rule::TWO_OWNERS, detail));
            }
        }
        Ok(())
    }

    /// After one grant in four a client's request occupies a key for a while.
    fn start_endpoint_work(&mut self, endpoint_id: usize) {
        if self.rng.u8(0..4) > 0 {
            return;
        }
        let key = self.rng.u32(0..65536);
        let work_time = self.rng.u64(WORK_TIME);
        let endpoint = &mut self.endpoints[endpoint_id];
        endpoint.work_count += 1;
        let (work_id, incarnation) = (endpoint.work_count, endpoint.incarnation);
        let now = endpoint.clock(self.now);
        if endpoint.keys.start_request(now, work_id, key) {
            self.schedule_after(work_time, SimEvent::EndpointWorkDone { endpoint_id, incarnation, work_id });
        }
    }

    pub(super) fn finish_endpoint_work(&mut self, endpoint_id: usize, incarnation: u32, work_id: usize) {
        let endpoint = &mut self.endpoints[endpoint_id];
        if endpoint.incarnation != incarnation || !endpoint.up {
            return;
        }
        let now = endpoint.clock(self.now);
        endpoint.keys.finish_request(now, work_id);
        if endpoint.keys.has_pending_releases() && endpoint.in_flight.is_none() {
            self.schedule_endpoint(endpoint_id, RELEASE_DELAY);
        }
    }

    fn stop_endpoint(&mut self, endpoint_id: usize) {
        let endpoint = &mut self.endpoints[endpoint_id];
        (endpoint.up, endpoint.in_flight) = (false, None);
        // The edges may go on listing what has ended: nothing is sent to it that could fail a client.
        let ended = &endpoint.id;
        self.acknowledged_drains.retain(|drain| drain.endpoint_id != *ended);
        let delay = self.rng.u64(RESTART_DELAY);
        self.schedule_endpoint(endpoint_id, delay);
    }

    pub(super) fn drain_endpoint(&mut self, endpoint: usize, departure: Departure) {
        let endpoint_id = endpoint % self.endpoints.len();
        let endpoint = &mut self.endpoints[endpoint_id];
        if !endpoint.up || endpoint.draining_since.is_some() {
            return;
        }
        endpoint.draining_since = Some(self.now);
        endpoint.departure = departure;
        if endpoint.in_flight.is_none() {
            self.schedule_endpoint(endpoint_id, 0);
        }
    }

    pub(super) fn crash_endpoint(&mut self, endpoint: usize) {
        let endpoint_id = endpoint % self.endpoints.len();
        if self.endpoints[endpoint_id].up {
            self.stop_endpoint(endpoint_id);
        }
    }
}
