//! Records an attempt in the load and health state of its endpoint.
use crate::edge::Edge;
use coppersail_load_balancing::health::FailureKind;
use std::rc::Rc;

/// A guard that counts as a request in flight at the endpoint until dropped.
pub(crate) struct InFlight {
    edge: Rc<Edge>,
    endpoint: Rc<str>,
    /// Whether a success or failure of the attempt was recorded.
    recorded: bool,
}

impl InFlight {
    pub(crate) fn begin(edge: &Rc<Edge>, endpoint: &Rc<str>) -> InFlight {
        if let Some(known) = edge.registry.borrow_mut().endpoint_mut(endpoint) {
            known.load.in_flight += 1;
            known.health.begin_request();
        }
        InFlight { edge: edge.clone(), endpoint: endpoint.clone(), recorded: false }
    }

    /// Records that the endpoint responded.
    pub(crate) fn record_success(&mut self) {
        self.recorded = true;
        if let Some(known) = self.edge.registry.borrow_mut().endpoint_mut(&self.endpoint) {
            known.health.record_success();
        }
    }

    /// Records that the endpoint failed.
    pub(crate) fn record_failure(&mut self, kind: FailureKind) {
        self.recorded = true;
        if let Some(known) = self.edge.registry.borrow_mut().endpoint_mut(&self.endpoint) {
            known.health.record_failure(kind, self.edge.now());
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if let Some(known) = self.edge.registry.borrow_mut().endpoint_mut(&self.endpoint) {
            known.load.in_flight = known.load.in_flight.saturating_sub(1);
            if !self.recorded {
                known.health.cancel_request();
            }
        }
    }
}
