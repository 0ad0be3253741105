//! Edges: watches, restarts, and what they must know in time.

use super::World;
use crate::edge::{Edge, WatchTargets};
use crate::endpoint::SHARDED_SERVICE;
use crate::event::{Request, Response, SimEvent};
use crate::invariants::{rule, CheckError, CheckResult};
use crate::participant::{Origin, Participant};
use crate::settings::{peer_address, APPLY_MS, CONFIGURED_MACHINES, DRAIN_MS};
use crate::time::{Micros, MICROS_PER_MILLI};
use coppersail_control_plane::node::{PeerRequest, PeerResponse};
use coppersail_peer_protocol::{ConfigDocument, RequestCounts};

/// Edges start within this time.
const START_SPREAD: Micros = 300_000;
/// Time until an edge that restarts polls.
const RESTART_DELAY: Micros = 200_000;
/// How long an edge waits for a response, the node's holding time included.
const WATCH_TIMEOUT: Micros = 1_600_000;
/// How long an edge tries to connect.
const CONNECT_TIMEOUT: Micros = 300_000;
/// Time from an update to the next poll.
const POLL_DELAY: Micros = 1000;
/// How long an acknowledged drain is checked.
const DRAIN_CHECK_TIME: Micros = 30_000_000;
/// Which slice is busy changes with this period.
const BUSY_PERIOD: Micros = 20_000_000;
const BUSY_STEP: u32 = 37;
const BUSY_REQUESTS: u32 = 20;

impl World<'_> {
    pub(super) fn add_edges(&mut self) {
        let first_machines = self.machines.iter().take(CONFIGURED_MACHINES);
        let configured: Vec<String> = first_machines.map(|machine| peer_address(&machine.ip)).collect();
        for edge_id in 0..self.scenario.edges {
            let zone = edge_id % self.scenario.zones;
            let ip = format!("10.{}.1.{}", zone + 1, edge_id + 1);
            let targets = WatchTargets::new(configured.clone(), edge_id);
            self.edges.push(Edge::new(ip, zone, targets, self.scenario.max_answer_bytes));
            let delay = self.rng.u64(0..START_SPREAD);
            self.schedule_poll(edge_id, delay);
        }
    }

    /// Schedules the next poll; those before it are void.
    fn schedule_poll(&mut self, edge_id: usize, delay: Micros) {
        let edge = &mut self.edges[edge_id];
        edge.wake += 1;
        let wake = edge.wake;
        self.schedule_after(delay, SimEvent::PollEdge { edge_id, wake });
    }

    /// The edge starts without state; its settings list three machines, running ones first.
    pub(super) fn restart_edge(&mut self, edge: usize) {
        let edge_id = edge % self.edges.len();
        let mut listed = self.listed_machines();
        listed.sort_by_key(|machine_id| !self.machines[*machine_id].is_running());
        let configured = listed.into_iter().take(CONFIGURED_MACHINES);
        let configured = configured.map(|machine_id| peer_address(&self.machines[machine_id].ip)).collect();
        let position = self.rng.usize(0..9);
        self.edges[edge_id].restart(self.now, WatchTargets::new(configured, position));
        self.schedule_poll(edge_id, RESTART_DELAY);
    }

    pub(super) fn partition_edge(&mut self, edge: usize, duration: Micros) {
        let edge_id = edge % self.edges.len();
        let edge = &mut self.edges[edge_id];
        edge.partitioned_until = self.now + duration;
        edge.disturbed_at = self.now + duration;
    }

    pub(super) fn poll_edge(&mut self, edge_id: usize, wake: u32) {
        let edge = &self.edges[edge_id];
        if edge.wake != wake || edge.polling {
            return;
        }
        let request_id = self.next_request_id();
        let Some(address) = self.edges[edge_id].targets.current() else { return };
        self.count_requests(edge_id);
        let edge = &mut self.edges[edge_id];
        (edge.request_id, edge.polling) = (request_id, true);
        let watch_request = edge.watch_request.clone();
        let participant = Participant::Edge(edge_id);
        let reachable =
            self.machine_at(&address).filter(|machine_id| self.can_connect(participant, *machine_id));
        let Some(machine_id) = reachable else {
            return self
                .schedule_after(CONNECT_TIMEOUT, SimEvent::EdgeRequestTimeout { edge_id, request_id });
        };
        let origin = Origin { participant, incarnation: 0, request_id };
        let request = Request::Peer(PeerRequest::Watch(Box::new(watch_request)));
        self.send_request(machine_id, origin, request);
        self.schedule_after(WATCH_TIMEOUT, SimEvent::EdgeRequestTimeout { edge_id, request_id });
    }

    /// Reports traffic, so that slices move: one slice is busy, and later another one.
    fn count_requests(&mut self, edge_id: usize) {
        let edge = &self.edges[edge_id];
        let slice_count = edge.slice_count(SHARDED_SERVICE);
        if slice_count == 0 || !edge.watch_request.request_counts.is_empty() {
            return;
        }
        let busy = (self.now / BUSY_PERIOD) as u32 * BUSY_STEP % slice_count;
        let mut counts: Vec<(u32, u32)> = (0..4).map(|_| (self.rng.u32(0..slice_count), 1)).collect();
        counts.push((busy, BUSY_REQUESTS));
        counts.sort_unstable();
        counts.dedup_by_key(|count| count.0);
        let request_counts = vec![RequestCounts { service: SHARDED_SERVICE.into(), counts }];
        self.edges[edge_id].watch_request.request_counts = request_counts;
    }

    /// A response, or none within the time-out.
    pub(super) fn handle_edge_response(
        &mut self,
        edge_id: usize,
        request_id: u64,
        response: Option<Response>,
    ) {
        let now = self.now;
        let edge = &mut self.edges[edge_id];
        if edge.request_id != request_id || !edge.polling {
            return;
        }
        edge.polling = false;
        let Some(Response::Peer(PeerResponse::Update(mut update))) = response else {
            return self.poll_next_target(edge_id);
        };
        edge.watch_request.request_counts.clear();
        edge.targets.discover(&update.control_plane_addresses);
        if update.isolated {
            return self.poll_next_target(edge_id);
        }
        edge.watch_request.feed_id = update.feed_id;
        edge.watch_request.sequence = update.sequence;
        let revision = update.config.as_ref().map(|config| config.revision);
        edge.watch_request.known_revision = edge.watch_request.known_revision.max(revision);
        edge.targets.record_success();
        let result = edge.apply_update(now, &mut update);
        self.record_check(result);
        if let Some(config) = &update.config {
            let result = self.apply_edge_config(edge_id, config);
            self.record_check(result);
        }
        self.schedule_poll(edge_id, POLL_DELAY);
    }

    fn poll_next_target(&mut self, edge_id: usize) {
        let backoff = self.edges[edge_id].targets.record_failure();
        self.schedule_poll(edge_id, backoff);
    }

    /// The higher revision counts; one revision has one content.
    fn apply_edge_config(&mut self, edge_id: usize, config: &ConfigDocument) -> CheckResult {
        let revision = config.revision;
        let edge = &mut self.edges[edge_id];
        if revision > edge.revision || edge.order.is_none() {
            let order = self.order_history.check_edge_config(&config.body, revision)?;
            (edge.revision, edge.order) = (revision, Some(order));
        } else if revision == edge.revision {
            let order = self.order_history.check_edge_config(&config.body, revision)?;
            if Some(order) != edge.order {
                let detail = format!("r{revision} is told with two contents");
                return Err(CheckError::new(rule::TWO_CONTENTS, detail));
            }
        }
        Ok(())
    }

    /// Checks what edges that can reach the control plane must know by now.
    pub(super) fn check_edges(&mut self) {
        let now = self.now;
        self.acknowledged_drains.retain(|drain| now < drain.at + DRAIN_CHECK_TIME);
        if !self.is_stable() {
            return;
        }
        for edge in &mut self.edges {
            edge.registry.remove_expired(now / MICROS_PER_MILLI, &mut Default::default());
        }
        let contact = self.scenario.quorum_contact * MICROS_PER_MILLI;
        let acknowledged =
            self.order_history.acknowledged_by(now.saturating_sub(APPLY_MS * MICROS_PER_MILLI));
        let mut result = Ok(());
        for edge in self.edges.iter().filter(|edge| now >= edge.disturbed_at + contact) {
            if let Some(error) = self.unknown_drain(edge) {
                result = Err(error);
            }
            if edge.revision < acknowledged {
                let detail = format!("{} has r{} and not r{acknowledged}", edge.ip, edge.revision);
                result = Err(CheckError::new(rule::CONFIG_NOT_APPLIED, detail));
            }
            if let Some(order) = edge.order {
                let order = &self.order_history.orders()[order];
                let in_force = self.order_history.check_edge_config(&order.body, order.number);
                result = result.and(in_force.map(drop));
            }
        }
        self.record_check(result);
    }

    /// A drain that was acknowledged long enough ago, of an endpoint that the edge has as ready.
    fn unknown_drain(&self, edge: &Edge) -> Option<CheckError> {
        let due = |at: Micros| self.now > at + DRAIN_MS * MICROS_PER_MILLI;
        let mut drains = self.acknowledged_drains.iter();
        let drain = drains.find(|drain| due(drain.at) && edge.has_ready(&drain.endpoint_id))?;
        let (ip, endpoint_id, at) = (&edge.ip, &drain.endpoint_id, drain.at / MICROS_PER_MILLI);
        let detail = format!("{ip} has {endpoint_id} as ready, acknowledged at {at} ms");
        Some(CheckError::new(rule::DRAIN_UNKNOWN, detail))
    }
}
