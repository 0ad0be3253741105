//! The endpoint registry of an edge: which endpoints exist and which of them own which slices.
//!
//! This module contains the lookups and the changes that the edge derives from responses. `merge.rs` merges
//! updates from the control plane.
pub use crate::endpoint::Endpoint;
use crate::service::ServiceEndpoints;
use crate::slices::SliceTable;
use crate::Ms;
use rustc_hash::{FxHashMap, FxHashSet};
use std::rc::Rc;

/// Warm-up time (ms) of a control-plane node. A node that has just started learns of all endpoints within a
/// few heartbeats; during its warm-up, an endpoint that it does not list may be alive.
pub(crate) const WARM_UP_MS: Ms = 5_000;

/// All endpoints and services that an edge knows.
///
/// ```
/// use coppersail_load_balancing::EndpointRegistry;
/// use coppersail_peer_protocol::{EndpointState, EndpointUpdate, Update};
///
/// let mut registry = EndpointRegistry::new("north");
/// let endpoint = |state, heartbeat_sequence| EndpointUpdate {
///     id: "i-1".into(),
///     service: "b".into(),
///     address: "10.0.0.9:80".into(),
///     state,
///     heartbeat_sequence,
///     ..EndpointUpdate::default()
/// };
/// registry.merge(&Update { endpoints: vec![endpoint(EndpointState::Draining, 4)], ..Update::default() }, 0);
/// // An older update arrives late.
/// registry.merge(&Update { endpoints: vec![endpoint(EndpointState::Ready, 3)], ..Update::default() }, 1);
/// assert_eq!(registry.endpoint("i-1").unwrap().state, EndpointState::Draining);
/// ```
#[derive(Debug, Default)]
pub struct EndpointRegistry {
    pub(crate) zone: String,
    pub(crate) endpoints: FxHashMap<Rc<str>, Endpoint>,
    pub(crate) services: FxHashMap<Rc<str>, ServiceEndpoints>,
    pub(crate) removed: FxHashSet<Rc<str>>,
    /// By feed id, for snapshots that are partially received: the ids of the endpoints listed so far.
    pub(crate) snapshots: FxHashMap<u64, FxHashSet<Box<str>>>,
    /// The largest number of edges that any control-plane node has reported; 0 if none has.
    pub edge_count: u32,
}

impl EndpointRegistry {
    /// An empty registry of an edge in this zone.
    pub fn new(zone: &str) -> EndpointRegistry {
        EndpointRegistry { zone: zone.into(), ..EndpointRegistry::default() }
    }

    /// The endpoint with this id.
    pub fn endpoint(&self, id: &str) -> Option<&Endpoint> {
        self.endpoints.get(id)
    }

    /// The endpoint with this id, to record its load and health.
    pub fn endpoint_mut(&mut self, id: &str) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(id)
    }

    /// The service of this name.
    pub fn service(&self, service: &str) -> Option<&ServiceEndpoints> {
        self.services.get(service)
    }

    /// The service of this name, to record its latency.
    pub fn service_mut(&mut self, service: &str) -> Option<&mut ServiceEndpoints> {
        self.services.get_mut(service)
    }

    /// Whether requests for the service can be sent to any endpoint.
    pub fn can_serve(&self, service: &str, sharded: bool) -> bool {
        self.services.get(service).is_some_and(|service| {
            let has_owner = || service.slices.as_ref().is_some_and(SliceTable::has_owner);
            !service.endpoints.is_empty() && (!sharded || has_owner())
        })
    }

    /// Whether an edge is ready for clients. `services` yields the name of each service and whether it is
    /// sharded; `known_for` is the time (ms) since the first complete update, `None` before it.
    ///
    /// An edge is ready once it can serve all services. After the warm-up time, a service without endpoints
    /// is considered down and no longer prevents the edge from serving the others.
    pub fn is_ready<'a>(
        &self,
        mut services: impl Iterator<Item = (&'a str, bool)>,
        known_for: Option<Ms>,
    ) -> bool {
        known_for.is_some_and(|known_for| {
            known_for >= WARM_UP_MS || services.all(|(name, sharded)| self.can_serve(name, sharded))
        })
    }

    fn slice_table(&self, service: &str) -> Option<&SliceTable> {
        self.services.get(service)?.slices.as_ref()
    }

    /// The slice of a key, or `None` if the service has no slice table.
    pub fn slice(&self, service: &str, key: u16) -> Option<u32> {
        Some(self.slice_table(service)?.slice_of(key))
    }

    /// The id of the endpoint that owns a key, or `None` if the owner is unknown or suspect.
    pub fn owner(&self, service: &str, key: u16, now: Ms) -> Option<&Rc<str>> {
        self.slice_table(service)?.owner(key, now)
    }

    /// Records a response by which the address of endpoint `id` belongs to another endpoint.
    pub fn mark_stale_address(&mut self, id: &str, now: Ms) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.mark_stale_address(now);
        }
    }

    /// Records that endpoint `id` rejected the key because it does not own it.
    pub fn suspect_owner(&mut self, service: &str, key: u16, id: &str, now: Ms) {
        let slices = self.services.get_mut(service).and_then(|service| service.slices.as_mut());
        if let Some(slices) = slices {
            slices.suspect_owner(key, id, now);
        }
    }
}
