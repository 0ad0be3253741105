//! The endpoints of one service, with its slice table and mean latency.
use crate::slices::SliceTable;
use std::rc::Rc;

/// Weight of one endpoint's mean latency in the service's moving average. It is low because all endpoints
/// contribute.
const ENDPOINT_WEIGHT: f32 = 0.05;

/// What an edge knows of one service.
#[derive(Debug, Default)]
pub struct ServiceEndpoints {
    /// Ids of its endpoints, in the order in which they became known.
    pub endpoints: Vec<Rc<str>>,
    /// The slice owners, if the service is sharded.
    pub slices: Option<SliceTable>,
    /// Mean latency (ms) of the whole service, assumed for endpoints without measurements; 0 until the first
    /// measurement.
    pub mean_latency: f32,
}

impl ServiceEndpoints {
    /// Adds an endpoint's mean latency (ms) to the service's moving average.
    pub fn record_latency(&mut self, endpoint_mean: f32) {
        self.mean_latency = if self.mean_latency > 0.0 {
            self.mean_latency + ENDPOINT_WEIGHT * (endpoint_mean - self.mean_latency)
        } else {
            endpoint_mean
        };
    }
}
