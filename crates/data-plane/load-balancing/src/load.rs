//! Estimates the latency of a request at an endpoint from what one edge knows: the mean latency without
//! queueing, scaled by the expected queue.
use crate::Ms;

/// Minimum weight of a new measurement in an endpoint's moving average. One edge measures an endpoint only a
/// few times in ten seconds.
const MIN_MEASUREMENT_WEIGHT: f32 = 0.1;
/// Number of earlier measurements that the service's mean counts as, so that a single slow response does not
/// mark an endpoint as slow.
const PRIOR_MEASUREMENTS: f32 = 2.0;
/// Lifetime, in mean latencies, of an endpoint's report about requests of other edges, most of which have
/// ended by then.
const REPORT_LIFETIME: f32 = 2.0;
/// Requests of other edges per slot that are assumed at an endpoint that rejects requests.
const REJECTED_REQUESTS_PER_SLOT: f32 = 2.0;
/// Additional latency of a fully utilized endpoint over an idle one, as a fraction of the mean latency.
/// Endpoints slow down when they are nearly full.
const FULL_UTILIZATION_PENALTY: f32 = 0.5;
/// Mean latency (ms) assumed for a service before its first response. It only serves to compare endpoints.
pub const UNMEASURED_LATENCY_MS: f32 = 100.0;

/// The load of an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Load {
    /// Requests of this edge that are in flight.
    pub in_flight: u32,
    /// Requests of other edges according to the last report.
    other_requests: f32,
    reported_at: Ms,
    /// Number of requests that the endpoint processes concurrently.
    slots: u32,
    /// Mean latency (ms) without queueing; 0 until measured.
    mean_latency: f32,
    measurements: u32,
}

impl Load {
    /// The load of an idle, unmeasured endpoint that processes `capacity` requests concurrently.
    pub fn new(capacity: u32) -> Load {
        Load { slots: capacity.max(1), ..Load::default() }
    }

    /// Applies a change of the endpoint's capacity.
    pub fn set_slots(&mut self, capacity: u32) {
        self.slots = capacity.max(1);
    }

    /// Records the `Server-Load` header of a response. To be called while `in_flight` still counts the
    /// request of that response. `slots` is 0 if the endpoint does not report them.
    pub fn record_report(&mut self, running: u32, waiting: u32, slots: u32, now: Ms) {
        self.other_requests = ((running + waiting) as f32 - self.in_flight as f32).max(0.0);
        self.reported_at = now;
        if slots > 0 {
            self.slots = slots;
        }
    }

    /// Records that the endpoint rejected a request because of overload.
    pub fn record_rejection(&mut self, now: Ms) {
        self.other_requests = self.other_requests.max(REJECTED_REQUESTS_PER_SLOT * self.slots as f32);
        self.reported_at = now;
    }

    /// Records a measured latency (ms). `concurrency` is the value of [`Load::concurrency`] when the request
    /// was sent. `service_mean` (ms) is the mean latency of the whole service, 0 if unknown.
    pub fn record_latency(&mut self, latency: Ms, concurrency: f32, service_mean: f32) {
        let without_queue = latency as f32 / (concurrency / self.slots as f32).max(1.0);
        let known = [without_queue, service_mean, self.mean_latency];
        let previous_mean = known.into_iter().rfind(|mean| *mean > 0.0).unwrap_or(without_queue);
        let weight = (1.0 / (self.measurements as f32 + PRIOR_MEASUREMENTS)).max(MIN_MEASUREMENT_WEIGHT);
        self.measurements = self.measurements.saturating_add(1);
        self.mean_latency = previous_mean + weight * (without_queue - previous_mean);
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

    /// Expected number of requests at the endpoint, including one more: those of this edge, and those of
    /// other edges according to the last report, which decays linearly with its age.
    pub fn concurrency(&self, now: Ms, service_mean: f32) -> f32 {
        let lifetime = REPORT_LIFETIME * self.mean_latency_or(service_mean);
        let age = now.saturating_sub(self.reported_at) as f32;
        let other_requests = self.other_requests * (1.0 - age / lifetime.max(1.0)).max(0.0);
        self.in_flight as f32 + other_requests + 1.0
    }

    /// Expected latency (ms) of one more request. `service_mean` (ms) is used for an endpoint without
    /// measurements.
    pub fn expected_latency(&self, now: Ms, service_mean: f32) -> f32 {
        let mean = self.mean_latency_or(service_mean);
        let (concurrency, slots) = (self.concurrency(now, service_mean), self.slots as f32);
        let queue = (concurrency / slots).max(1.0);
        let utilization = ((concurrency - 1.0) / slots).min(1.0);
        mean * (queue + FULL_UTILIZATION_PENALTY * utilization)
    }
}
