//! The latency that a request would see at an endpoint, as far as one edge can tell: a mean without queueing, times the
//! queue that is expected.
use crate::Ms;

/// Least weight of a new measurement in an endpoint's mean; one edge measures an endpoint a few times in ten seconds.
const MIN_MEASUREMENT_WEIGHT: f32 = 0.1;
/// The service's mean counts as so many earlier measurements: one slow response makes no slow endpoint.
const PRIOR_MEASUREMENTS: f32 = 2.0;
/// What an endpoint reports of others' requests is outdated once those have ended: after so many mean latencies.
const REPORT_LIFETIME: f32 = 2.0;
/// An endpoint that rejects is taken to have so many requests per slot from others.
const REJECTED_REQUESTS_PER_SLOT: f32 = 2.0;
/// Endpoints slow down when nearly full, so that a full one costs this part of a mean latency more than an idle one.
const UTILIZATION_PRICE: f32 = 0.5;
/// Until a service's first response, its mean latency (ms) is only a unit for comparisons.
pub const UNMEASURED_LATENCY_MS: f32 = 100.0;

/// The load of an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Load {
    /// Requests of this edge that are in flight.
    pub in_flight: u32,
    /// Requests of others, when last reported.
    others: f32,
    reported_at: Ms,
    /// Requests that the endpoint processes at once.
    slots: u32,
    /// Mean latency (ms) without queueing; 0 until measured.
    mean_latency: f32,
    measurements: u32,
}

impl Load {
    /// Of an endpoint that processes `capacity` requests at once.
    pub fn new(capacity: u32) -> Load {
        Load { slots: capacity.max(1), ..Load::default() }
    }

    /// The endpoint's capacity changed.
    pub fn set_slots(&mut self, capacity: u32) {
        self.slots = capacity.max(1);
    }

    /// Records the `Server-Load` of a response, while `in_flight` still counts the request that it answers. 0 slots:
    /// the endpoint reports none.
    pub fn record_report(&mut self, running: u32, waiting: u32, slots: u32, now: Ms) {
        self.others = ((running + waiting) as f32 - self.in_flight as f32).max(0.0);
        self.reported_at = now;
        if slots > 0 {
            self.slots = slots;
        }
    }

    /// Records that it rejected a request for overload.
    pub fn record_rejection(&mut self, now: Ms) {
        self.others = self.others.max(REJECTED_REQUESTS_PER_SLOT * self.slots as f32);
        self.reported_at = now;
    }

    /// Records a measured latency. `concurrency` is what it was when the request was sent, `service_mean` (ms) the mean
    /// of the whole service, 0 if unknown.
    pub fn record_latency(&mut self, latency: Ms, concurrency: f32, service_mean: f32) {
        let without_queue = latency as f32 / (concurrency / self.slots as f32).max(1.0);
        let known = [without_queue, service_mean, self.mean_latency];
        let before = known.into_iter().rfind(|mean| *mean > 0.0).unwrap_or(without_queue);
        let weight = (1.0 / (self.measurements as f32 + PRIOR_MEASUREMENTS)).max(MIN_MEASUREMENT_WEIGHT);
        self.measurements = self.measurements.saturating_add(1);
        self.mean_latency = before + weight * (without_queue - before);
    }

    /// Mean latency (ms) without queueing; 0 until measured.
    pub fn mean_latency(&self) -> f32 {
        self.mean_latency
    }

    fn mean_latency_or(&self, service_mean: f32) -> f32 {
        if self.mean_latency > 0.0 {
            self.mean_latency
        } else {
            service_mean
        }
    }

    /// Requests at the endpoint, with one more: of this edge, and of others as last reported, fading out.
    pub fn concurrency(&self, now: Ms, service_mean: f32) -> f32 {
        let lifetime = REPORT_LIFETIME * self.mean_latency_or(service_mean);
        let age = now.saturating_sub(self.reported_at) as f32;
        let others = self.others * (1.0 - age / lifetime.max(1.0)).max(0.0);
        self.in_flight as f32 + others + 1.0
    }

    /// Expected latency (ms) of one more request. `service_mean` stands in for an endpoint that was not measured.
    pub fn expected_latency(&self, now: Ms, service_mean: f32) -> f32 {
        let mean = self.mean_latency_or(service_mean);
        let (concurrency, slots) = (self.concurrency(now, service_mean), self.slots as f32);
        let queue = (concurrency / slots).max(1.0);
        let utilization = ((concurrency - 1.0) / slots).min(1.0);
        mean * (queue + UTILIZATION_PRICE * utilization)
    }
}
