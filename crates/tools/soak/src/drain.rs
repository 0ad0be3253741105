//! The rule DRAIN: a request that edges in touch take and send on does not reach an endpoint later than `empty` after its
//! departure was acknowledged, by whichever node. Pure: times since the start of the run are passed in.
use crate::history::CONTACT;
use crate::request_id::RequestId;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// The setting `empty`.
pub(crate) const EMPTY: Duration = Duration::from_millis(2_500);

/// When something was disturbed: moments in ascending order, one at least for each step of the fault schedule.
#[derive(Debug, Default)]
struct Disturbances(Vec<Duration>);

impl Disturbances {
    fn record(&mut self, at: Duration) {
        self.0.push(at);
    }

    fn any_within(&self, from: Duration, to: Duration) -> bool {
        let first = self.0.partition_point(|at| *at < from);
        self.0.get(first).is_some_and(|at| *at <= to)
    }
}

/// A request that reached an endpoint later than `empty` after the acknowledgement.
#[derive(Debug, Clone, PartialEq, Eq)]
struct LateArrival {
    request: RequestId,
    arrived: Duration,
}

/// The requests that broke the rule at one endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct BrokenDrain {
    pub(crate) endpoint: String,
    pub(crate) acknowledged: Duration,
    pub(crate) requests: usize,
    pub(crate) first: RequestId,
    pub(crate) last_arrived: Duration,
}

impl fmt::Display for BrokenDrain {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let BrokenDrain { endpoint, acknowledged, requests, first, last_arrived } = self;
        write!(
            out,
            "{requests} requests reached {endpoint} later than `empty` after its departure was acknowledged at {} ms, the \
             first {first}, the last at {} ms",
            acknowledged.as_millis(),
            last_arrived.as_millis()
        )
    }
}

/// The departures of a run, and what reached endpoints after them.
#[derive(Debug, Default)]
pub(crate) struct Departures {
    /// Endpoints that announced their departure.
    pub(crate) announced: usize,
    /// Endpoints that ended without an acknowledgement of it.
    pub(crate) unacknowledged: usize,
    /// When each departure was acknowledged first.
    acknowledged: BTreeMap<String, Duration>,
    /// By endpoint.
    late: BTreeMap<String, Vec<LateArrival>>,
    core: Disturbances,
    edges: BTreeMap<usize, Disturbances>,
}

impl Departures {
    pub(crate) fn acknowledge(&mut self, endpoint: &str, at: Duration) {
        self.acknowledged.entry(endpoint.into()).or_insert(at);
    }

    pub(crate) fn acknowledged_count(&self) -> usize {
        self.acknowledged.len()
    }

    /// A request reaches an endpoint.
    pub(crate) fn arrive(&mut self, endpoint: &str, request: RequestId, arrived: Duration) {
        let Some(acknowledged) = self.acknowledged.get(endpoint).copied() else { return };
        if arrived > acknowledged + EMPTY {
            self.late.entry(endpoint.into()).or_default().push(LateArrival { request, arrived });
        }
    }

    /// A control-plane node, or a link of one, is disturbed at this moment.
    pub(crate) fn disturb_core(&mut self, at: Duration) {
        self.core.record(at);
    }

    pub(crate) fn disturb_edge(&mut self, edge: usize, at: Duration) {
        self.edges.entry(edge).or_default().record(at);
    }

    /// The endpoints at which the rule was broken.
    pub(crate) fn broken(&self) -> Vec<BrokenDrain> {
        self.late.iter().filter_map(|(endpoint, late)| self.broken_at(endpoint, late)).collect()
    }

    fn broken_at(&self, endpoint: &str, late: &[LateArrival]) -> Option<BrokenDrain> {
        let counted = || late.iter().filter(|late| self.was_in_touch(late));
        Some(BrokenDrain {
            endpoint: endpoint.into(),
            acknowledged: *self.acknowledged.get(endpoint)?,
            requests: counted().count(),
            first: counted().next()?.request,
            last_arrived: counted().map(|late| late.arrived).max()?,
        })
    }

    /// Whether neither the core nor the edge of a request had been disturbed for [`CONTACT`], from when the edge took it until it
    /// sent it on.
    fn was_in_touch(&self, late: &LateArrival) -> bool {
        let (from, to) = (late.request.sent.saturating_sub(CONTACT), late.arrived);
        let edge = self.edges.get(&late.request.edge);
        !self.core.any_within(from, to) && !edge.is_some_and(|edge| edge.any_within(from, to))
    }
}

#[cfg(test)]
mod tests;
