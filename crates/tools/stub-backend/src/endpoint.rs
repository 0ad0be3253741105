//! The lifecycle of an endpoint: which requests it runs or rejects, what its heartbeats report, how it drains.
use crate::heartbeat::{EndpointState, Heartbeat, HeartbeatResponse};
use crate::key_range::MAX_KEY;
use crate::leases::LeasedRanges;
use slab::Slab;
use std::time::Duration;

/// Between heartbeats while releases are pending; the protocol asks for 100 ms at most.
const RELEASE_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);
/// How much longer than the drain time it serves, for requests of clients that have the update late.
const DRAIN_MARGIN: Duration = Duration::from_millis(500);
/// How long a draining endpoint waits for an acknowledgement before it ends without one.
const DRAIN_ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(5);
/// The factor by which requests take longer during slow start.
const SLOW_START_FACTOR: u32 = 2;

/// What an endpoint is, and how it behaves.
#[derive(Debug, Clone, Default)]
pub struct EndpointConfig {
    /// Names this incarnation of the endpoint.
    pub id: String,
    /// The service to which it belongs.
    pub service: String,
    /// Where it serves, as "ip:port".
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// The revision of its software.
    pub revision: String,
    /// Requests that it runs at once; as many more may be queued.
    pub capacity: u32,
    /// The service is sharded by key: a request runs only where its key is under lease.
    pub sharded: bool,
    /// How long a request takes.
    pub service_time: Duration,
    /// For how long after its start requests take longer.
    pub slow_start: Duration,
    /// Between heartbeats.
    pub heartbeat_interval: Duration,
    /// How long it serves on after its draining was acknowledged.
    pub drain_time: Duration,
}

/// What the headers of a request say.
#[derive(Debug, Clone, Copy, Default)]
pub struct RequestHead<'a> {
    /// `Try-Id`: the attempt.
    pub attempt_id: Option<&'a str>,
    /// `Wanted-Server`: the endpoint for which the request is meant.
    pub wanted_endpoint: Option<&'a str>,
    /// `Shard-Key`
    pub key: Option<&'a str>,
    /// `Time-Left-Ms`: until the client's deadline.
    pub time_left_ms: Option<&'a str>,
    /// It asks for the health check path.
    pub is_health_check: bool,
}

/// A request that was admitted and waits until one of `capacity` slots is free.
#[derive(Debug, Clone, PartialEq)]
pub struct QueuedRequest {
    key: Option<u32>,
    deadline: Option<Duration>,
    is_health_check: bool,
}

/// What becomes of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum RequestOutcome {
    /// It waits for a slot.
    Queued(QueuedRequest),
    /// It runs under this id until the given time.
    Running {
        /// For [`Endpoint::finish`].
        id: usize,
        /// When it ends: its service time is over, or its deadline passes.
        until: Duration,
    },
    /// The status of a request that has not run and never will, so that it may be sent elsewhere.
    Rejected(u16),
    /// The status of a request that has run.
    Completed(u16),
}

/// A heartbeat in flight.
#[derive(Debug)]
struct SentHeartbeat {
    at: Duration,
    /// It reported that the endpoint drains.
    draining: bool,
}

/// One incarnation of an endpoint. All times are counted from its start.
#[derive(Debug)]
pub struct Endpoint {
    config: EndpointConfig,
    leases: LeasedRanges,
    running: Slab<QueuedRequest>,
    queued: u32,
    heartbeat_count: u64,
    in_flight: Option<SentHeartbeat>,
    last_heartbeat_at: Option<Duration>,
    draining_since: Option<Duration>,
    drain_acknowledged_at: Option<Duration>,
}

impl Endpoint {
    /// An endpoint that starts now, ready and without leases.
    pub fn new(config: EndpointConfig) -> Endpoint {
        Endpoint {
            config,
            leases: LeasedRanges::default(),
            running: Slab::new(),
            queued: 0,
            heartbeat_count: 0,
            in_flight: None,
            last_heartbeat_at: None,
            draining_since: None,
            drain_acknowledged_at: None,
        }
    }

    /// What it was started with.
    pub fn config(&self) -> &EndpointConfig {
        &self.config
    }

    /// A request has arrived: it is queued or rejected.
    pub fn admit(&mut self, now: Duration, head: &RequestHead) -> RequestOutcome {
        if !head.is_health_check && head.attempt_id.is_none_or(str::is_empty) {
            return RequestOutcome::Rejected(400);
        }
        if head.wanted_endpoint.is_some_and(|id| id != self.config.id) {
            return RequestOutcome::Rejected(421);
        }
        let key = head.key.and_then(|key| key.parse().ok()).filter(|key| *key <= MAX_KEY);
        if self.config.sharded && !head.is_health_check && key.is_none() {
            return RequestOutcome::Rejected(400);
        }
        // A longer queue would only hold requests that are late in any case.
        if self.queued >= self.config.capacity {
            return RequestOutcome::Rejected(503);
        }
        let time_left = head.time_left_ms.and_then(|ms| ms.parse().ok()).map(Duration::from_millis);
        self.queued += 1;
        RequestOutcome::Queued(QueuedRequest {
            key: key.filter(|_| self.config.sharded),
            deadline: time_left.map(|time_left| now.saturating_add(time_left)),
            is_health_check: head.is_health_check,
        })
    }

    /// A slot is free for a queued request: it runs or is rejected.
    pub fn start(&mut self, now: Duration, request: QueuedRequest) -> RequestOutcome {
        self.queued -= 1;
        if request.deadline.is_some_and(|deadline| deadline <= now) {
            return RequestOutcome::Rejected(503);
        }
        let key = request.key;
        let until = request.deadline.unwrap_or(Duration::MAX).min(now + self.service_time(now, &request));
        let id = self.running.insert(request);
        if key.is_some_and(|key| !self.leases.start_request(now, id, key)) {
            self.running.remove(id);
            return RequestOutcome::Rejected(421);
        }
        RequestOutcome::Running { id, until }
    }

    fn service_time(&self, now: Duration, request: &QueuedRequest) -> Duration {
        if request.is_health_check {
            return Duration::ZERO;
        }
        let factor = if now < self.config.slow_start { SLOW_START_FACTOR } else { 1 };
        self.config.service_time * factor
    }

    /// The time that [`Endpoint::start`] gave is over.
    ///
    /// # Panics
    /// If no request runs under this id.
    pub fn finish(&mut self, now: Duration, id: usize) -> RequestOutcome {
        let request = self.running.remove(id);
        let was_leased = request.key.is_none() || self.leases.finish_request(now, id);
        let status = if request.is_health_check && self.draining_since.is_some() {
            503
        } else if request.deadline.is_some_and(|deadline| deadline <= now) {
            504
        } else if !was_leased {
            500
        } else {
            200
        };
        RequestOutcome::Completed(status)
    }

    /// The header `Server-Load`: running, queued, capacity.
    pub fn load(&self) -> String {
        format!("{},{},{}", self.running.len(), self.queued, self.config.capacity)
    }

    /// The heartbeat to send now.
    pub fn next_heartbeat(&mut self, now: Duration) -> Heartbeat {
        let draining = self.draining_since.is_some();
        self.heartbeat_count += 1;
        self.in_flight = Some(SentHeartbeat { at: now, draining });
        self.last_heartbeat_at = Some(now);
        let report = self.leases.report(now);
        let config = &self.config;
        Heartbeat {
            service: config.service.clone(),
            address: config.address.clone(),
            zone: config.zone.clone(),
            revision: config.revision.clone(),
            capacity: config.capacity,
            state: if draining { EndpointState::Draining } else { EndpointState::Ready },
            slow_start_left: coppersail_config::format_duration(config.slow_start.saturating_sub(now)),
            sequence: self.heartbeat_count,
            leases: config.sharded.then_some(report.leases),
            released: config.sharded.then_some(report.released),
        }
    }

    /// The heartbeat in flight was acknowledged. One that fails needs no call: the next one reports everything anew.
    pub fn acknowledge_heartbeat(&mut self, now: Duration, response: &HeartbeatResponse) {
        let Some(sent) = self.in_flight.take() else { return };
        if sent.draining {
            self.drain_acknowledged_at.get_or_insert(now);
        }
        self.leases.acknowledge_report();
        if let (true, Some(grants)) = (self.config.sharded, &response.leases) {
            let lease_duration =
                response.lease_duration.as_deref().and_then(coppersail_config::parse_duration);
            self.leases.apply_grants(now, sent.at, lease_duration.unwrap_or_default(), grants);
        }
    }

    /// When the next heartbeat is due: at once after draining has begun, soon while releases are pending.
    pub fn heartbeat_due_at(&self) -> Duration {
        let Some(last) = self.last_heartbeat_at else { return Duration::ZERO };
        match self.draining_since {
            Some(since) if last <= since => since,
            _ if self.leases.has_pending_releases() => last + RELEASE_HEARTBEAT_INTERVAL,
            _ => last + self.config.heartbeat_interval,
        }
    }

    /// Begins a graceful shutdown. It still serves what comes.
    pub fn drain(&mut self, now: Duration) {
        self.draining_since.get_or_insert(now);
    }

    /// It has drained, or its draining was not acknowledged in time: it may sign off and end.
    pub fn may_stop(&self, now: Duration) -> bool {
        match (self.drain_acknowledged_at, self.draining_since) {
            (Some(acknowledged_at), _) => now >= acknowledged_at + self.config.drain_time + DRAIN_MARGIN,
            (None, Some(since)) => now >= since + DRAIN_ACKNOWLEDGEMENT_TIMEOUT,
            _ => false,
        }
    }
}
