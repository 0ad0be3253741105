//! State of a simulated endpoint (the operators' pages: host): heartbeats, shard leases, graceful shutdown.

use crate::admin_client::{AdminCall, MachineSelector};
use crate::settings::{zone_name, DRAIN_MS, HEARTBEAT_MS};
use crate::time::{local_clock, Micros, MICROS_PER_MILLI};
use coppersail_stub_backend::{EndpointState, Heartbeat, LeasedRanges};
use std::time::Duration;

/// The service with shard leases.
pub(crate) const SHARDED_SERVICE: &str = "shelf";
/// The service without.
pub(crate) const PLAIN_SERVICE: &str = "desk";

/// How long most endpoints go on serving after the edges know that they drain, and how long some do.
pub(crate) const SHORT_LINGER: Micros = 500_000;
pub(crate) const LONG_LINGER: Micros = 6_000_000;
/// How long an endpoint that drains waits for an acknowledgement.
const DRAIN_TIMEOUT: Micros = 5_000_000;
/// Time to the next heartbeat while a release of leases is to be reported.
const UNREPORTED_RELEASE_DELAY: Micros = 50_000;
/// Time to the next heartbeat when a drain is to be reported.
const UNREPORTED_DRAIN_DELAY: Micros = 1000;

/// What an endpoint that leaves announces first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum Departure {
    /// Its heartbeats report that it drains, and it signs off when it has drained.
    #[default]
    Drain,
    /// It signs off, and sends no heartbeats from then on.
    SignOff,
}

/// A request in flight.
pub(crate) struct SentRequest {
    pub(crate) request_id: u64,
    pub(crate) sent_at: Micros,
    /// It reports that the endpoint drains.
    pub(crate) draining: bool,
    pub(crate) sign_off: bool,
    pub(crate) redirects: u8,
    pub(crate) call: AdminCall,
}

#[derive(Default)]
pub(crate) struct Endpoint {
    /// Names the incarnation too.
    pub(crate) id: String,
    pub(crate) zone: usize,
    pub(crate) sharded: bool,
    pub(crate) up: bool,
    pub(crate) incarnation: u32,
    pub(crate) started_at: Micros,
    pub(crate) clock_rate: f64,
    pub(crate) keys: LeasedRanges,
    /// Counts the wake-ups that were scheduled: only the last one is valid.
    pub(crate) wake: u32,
    pub(crate) heartbeats: u64,
    pub(crate) selector: MachineSelector,
    pub(crate) in_flight: Option<SentRequest>,
    pub(crate) draining_since: Option<Micros>,
    pub(crate) departure: Departure,
    pub(crate) drain_acknowledged_at: Option<Micros>,
    /// How long it goes on serving after the edges know that it drains.
    pub(crate) linger: Micros,
    /// Counts the clients' requests on keys.
    pub(crate) work_count: usize,
}

impl Endpoint {
    pub(crate) fn new(zone: usize, sharded: bool) -> Endpoint {
        Endpoint { zone, sharded, clock_rate: 1.0, ..Endpoint::default() }
    }

    /// Starts the next incarnation of the endpoint with this index.
    pub(crate) fn start(
        &mut self,
        index: usize,
        now: Micros,
        clock_rate: f64,
        position: usize,
        linger: Micros,
    ) {
        let incarnation = self.incarnation + 1;
        *self = Endpoint {
            id: format!("i-{index}-{incarnation}"),
            zone: self.zone,
            sharded: self.sharded,
            up: true,
            incarnation,
            started_at: now,
            clock_rate,
            wake: self.wake,
            selector: MachineSelector::starting_at(position),
            linger,
            work_count: self.work_count,
            ..Endpoint::default()
        };
    }

    pub(crate) fn service(&self) -> &'static str {
        if self.sharded {
            SHARDED_SERVICE
        } else {
            PLAIN_SERVICE
        }
    }

    /// What its clock shows at true time `at`.
    pub(crate) fn clock(&self, at: Micros) -> Duration {
        local_clock(at, self.started_at, self.clock_rate)
    }

    /// The leases (first key, last key, token) that it holds by its own clock.
    pub(crate) fn leases(&self, now: Micros) -> Vec<(u32, u32, u64)> {
        let report = self.keys.clone().report(self.clock(now));
        report.leases.into_iter().map(Into::into).collect()
    }

    /// Whether a drain is complete, or was not acknowledged in time.
    pub(crate) fn is_drain_over(&self, now: Micros) -> bool {
        match (self.drain_acknowledged_at, self.draining_since) {
            (Some(acknowledged_at), _) => now >= self.drain_ends_at(acknowledged_at),
            (None, Some(since)) => now >= since + DRAIN_TIMEOUT,
            _ => false,
        }
    }

    /// Whether its next request is a sign-off.
    pub(crate) fn must_sign_off(&self, now: Micros) -> bool {
        match self.departure {
            Departure::Drain => self.is_drain_over(now),
            Departure::SignOff => self.draining_since.is_some(),
        }
    }

    /// Whether it ends now: it has signed off first, and has served on for long enough.
    pub(crate) fn ends_after_sign_off(&self, now: Micros) -> bool {
        self.departure == Departure::SignOff && self.is_drain_over(now)
    }

    pub(crate) fn drain_ends_at(&self, acknowledged_at: Micros) -> Micros {
        acknowledged_at + DRAIN_MS * MICROS_PER_MILLI + self.linger
    }

    /// The next heartbeat.
    pub(crate) fn heartbeat(&mut self, index: usize, now: Micros) -> AdminCall {
        self.heartbeats += 1;
        let clock = self.clock(now);
        let report = self.keys.report(clock);
        let heartbeat = Heartbeat {
            service: self.service().into(),
            address: format!("10.{}.2.{index}:8080", self.zone + 1),
            zone: zone_name(self.zone),
            revision: "v1".into(),
            capacity: 4,
            state: if self.draining_since.is_some() { EndpointState::Draining } else { EndpointState::Ready },
            slow_start_left: "0ms".into(),
            sequence: self.heartbeats,
            leases: self.sharded.then_some(report.leases),
            released: self.sharded.then_some(report.released),
        };
        let body = serde_json::to_string(&heartbeat).expect("a heartbeat is serializable");
        AdminCall::Heartbeat { endpoint_id: self.id.as_str().into(), body: body.into() }
    }

    /// Time to the next heartbeat after one that reported `reported_drain` was answered.
    pub(crate) fn next_heartbeat_delay(&self, now: Micros, reported_drain: bool) -> Micros {
        let interval = HEARTBEAT_MS * MICROS_PER_MILLI;
        let delay = match (self.draining_since, self.drain_acknowledged_at) {
            (Some(_), _) if !reported_drain => UNREPORTED_DRAIN_DELAY,
            (Some(_), Some(acknowledged_at)) => {
                self.drain_ends_at(acknowledged_at).saturating_sub(now).min(interval)
            }
            _ => interval,
        };
        if self.keys.has_pending_releases() {
            delay.min(UNREPORTED_RELEASE_DELAY)
        } else {
            delay
        }
    }
}
