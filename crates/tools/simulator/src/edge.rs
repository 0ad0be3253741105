//! State of a simulated edge: it watches one node at a time, and its state only moves forward.

use crate::invariants::{rule, CheckError, CheckResult};
use crate::settings::zone_name;
use crate::time::{Micros, MICROS_PER_MILLI};
use coppersail_load_balancing::EndpointRegistry;
use coppersail_peer_protocol::{AssignmentRow, AssignmentUpdate, EndpointState, Update, WatchRequest};
use std::collections::{BTreeMap, BTreeSet};

/// How long a node may hold an edge's watch request open, in milliseconds.
const WATCH_WAIT_MS: u64 = 700;
const FIRST_BACKOFF: Micros = 50_000;
const MAX_BACKOFF: Micros = 1_000_000;

/// The nodes that an edge can watch, and the one that it watches now.
#[derive(Default)]
pub(crate) struct WatchTargets {
    /// As the last update listed them.
    discovered: Vec<String>,
    /// As the edge's settings list them.
    configured: Vec<String>,
    position: usize,
    failures: usize,
    backoff: Micros,
}

impl WatchTargets {
    pub(crate) fn new(configured: Vec<String>, position: usize) -> WatchTargets {
        WatchTargets { configured, position, ..WatchTargets::default() }
    }

    fn all(&self) -> Vec<&String> {
        let only_configured = self.configured.iter().filter(|address| !self.discovered.contains(address));
        self.discovered.iter().chain(only_configured).collect()
    }

    /// The address to watch now; none if no node is known.
    pub(crate) fn current(&self) -> Option<String> {
        let all = self.all();
        (!all.is_empty()).then(|| all[self.position % all.len()].clone())
    }

    /// An update lists these nodes. The current one stays the current one.
    pub(crate) fn discover(&mut self, addresses: &[String]) {
        if addresses.is_empty() || addresses == self.discovered {
            return;
        }
        let current = self.current();
        self.discovered = addresses.to_vec();
        let position = self.all().iter().position(|address| Some(*address) == current.as_ref());
        self.position = position.unwrap_or(self.position);
    }

    pub(crate) fn record_success(&mut self) {
        (self.failures, self.backoff) = (0, 0);
    }

    /// Goes on to the next node. Returns the backoff, which is 0 until all nodes have failed once more.
    pub(crate) fn record_failure(&mut self) -> Micros {
        self.position = self.position.wrapping_add(1);
        self.failures += 1;
        if !self.failures.is_multiple_of(self.all().len().max(1)) {
            return 0;
        }
        self.backoff = (self.backoff * 2).clamp(FIRST_BACKOFF, MAX_BACKOFF);
        self.backoff
    }
}

/// The owner of a slice, under the version of its assignment; version 0 for none.
#[derive(Debug, Clone, Default)]
struct SliceOwner {
    version: u64,
    endpoint_id: String,
}

#[derive(Default)]
pub(crate) struct Edge {
    pub(crate) zone: usize,
    pub(crate) ip: String,
    pub(crate) partitioned_until: Micros,
    /// When it was last started, or a fault of it ended.
    pub(crate) disturbed_at: Micros,
    /// Counts the polls that were scheduled: only the last one is valid.
    pub(crate) wake: u32,
    pub(crate) request_id: u64,
    pub(crate) polling: bool,
    pub(crate) watch_request: WatchRequest,
    pub(crate) targets: WatchTargets,
    /// The configuration in force: its revision, and its order's index.
    pub(crate) revision: u64,
    pub(crate) order: Option<usize>,
    pub(crate) registry: EndpointRegistry,
    /// Endpoints that it has known to be draining or gone.
    not_ready: BTreeSet<String>,
    /// By service and slice.
    slice_owners: BTreeMap<String, Vec<SliceOwner>>,
}

impl Edge {
    pub(crate) fn new(ip: String, zone: usize, targets: WatchTargets, max_answer_bytes: Option<u64>) -> Edge {
        let watch_request = WatchRequest {
            edge: ip.clone(),
            zone: zone_name(zone),
            wait_ms: WATCH_WAIT_MS,
            max_bytes: max_answer_bytes,
            ..WatchRequest::default()
        };
        Edge { zone, ip, watch_request, targets, ..Edge::default() }
    }

    /// A restart: all state is lost.
    pub(crate) fn restart(&mut self, now: Micros, targets: WatchTargets) {
        self.targets = targets;
        self.watch_request.feed_id = 0;
        self.watch_request.sequence = 0;
        self.watch_request.known_revision = None;
        self.watch_request.request_counts = Vec::new();
        (self.revision, self.order, self.polling) = (0, None, false);
        self.disturbed_at = self.disturbed_at.max(now);
        self.registry = EndpointRegistry::new("");
        self.not_ready.clear();
        self.slice_owners.clear();
    }

    /// How many slices of a service it knows.
    pub(crate) fn slice_count(&self, service: &str) -> u32 {
        self.slice_owners.get(service).map_or(0, |owners| owners.len() as u32)
    }

    /// Applies an update of a node that has quorum contact.
    pub(crate) fn apply_update(&mut self, now: Micros, update: &mut Update) -> CheckResult {
        for assignment in &update.assignments {
            self.apply_assignment(assignment)?;
        }
        update.assignments.clear();
        self.registry.merge(update, now / MICROS_PER_MILLI);
        for endpoint in &update.endpoints {
            self.check_endpoint_state(&endpoint.id)?;
        }
        Ok(())
    }

    /// The higher version of a slice's assignment counts; one version has one owner.
    fn apply_assignment(&mut self, assignment: &AssignmentUpdate) -> CheckResult {
        let service = &assignment.service;
        let slice_count = assignment.slice_count;
        let owners = self.slice_owners.entry(service.clone()).or_default();
        if owners.len() < slice_count as usize {
            owners.resize(slice_count as usize, SliceOwner::default());
        }
        for AssignmentRow { first, last, owner, version } in &assignment.rows {
            for slice in *first..=(*last).min(slice_count.saturating_sub(1)) {
                let known = &mut owners[slice as usize];
                if known.version == *version && known.endpoint_id != *owner {
                    let known = &known.endpoint_id;
                    return Err(CheckError::new(
                        rule::EDGE_WENT_BACK,
                        format!(
                            "slice {slice} of {service} is {known}'s and {owner}'s under number {version}"
                        ),
                    ));
                }
                if known.version < *version {
                    *known = SliceOwner { version: *version, endpoint_id: owner.clone() };
                }
            }
        }
        Ok(())
    }

    /// An endpoint that drains or has left never becomes ready again: its next incarnation has another id.
    fn check_endpoint_state(&mut self, endpoint_id: &str) -> CheckResult {
        let ready = self.has_ready(endpoint_id);
        if ready && self.not_ready.contains(endpoint_id) {
            return Err(CheckError::new(
                rule::EDGE_WENT_BACK,
                format!("{endpoint_id} has left, and is ready again"),
            ));
        }
        if !ready {
            self.not_ready.insert(endpoint_id.to_owned());
        }
        Ok(())
    }

    pub(crate) fn has_ready(&self, endpoint_id: &str) -> bool {
        self.registry.endpoint(endpoint_id).is_some_and(|endpoint| endpoint.state == EndpointState::Ready)
    }
}
