//! Endpoint selection: the owner of the request's key, or without a key the endpoint with the lowest expected
//! latency.
use crate::endpoint::Endpoint;
use crate::load::UNMEASURED_LATENCY_MS;
use crate::registry::EndpointRegistry;
use crate::service::ServiceEndpoints;
use crate::Ms;
use std::rc::Rc;

/// Factor on the expected latency of an endpoint in another zone. Cross-zone traffic has a cost, but a far
/// lower one than a late response.
const OTHER_ZONE_PENALTY: f32 = 1.15;
/// Factor on the expected latency of an endpoint that has just started, which is about this much slower.
const SLOW_START_PENALTY: f32 = 3.0;
/// Factor on the expected latency of a suspect endpoint, which makes it a last resort.
const SUSPECT_PENALTY: f32 = 20.0;
/// Relative spread of the random factor on each expected latency. Similar latencies count as equal, so that
/// edges do not all select the same endpoint.
const RANDOM_SPREAD: f32 = 0.1;
/// A request of rank 0 is rejected when its expected latency exceeds the time left by this factor. The factor
/// is above 1 because the information about requests of other edges is old.
const OVERLOAD_FACTOR: f32 = 1.3;
/// Decrease of the overload factor with each further rank: [`OVERLOAD_FACTOR`] is divided by one plus this
/// times the rank.
const OVERLOAD_FACTOR_PER_RANK: f32 = 0.15;
/// An endpoint is considered to have a queue if its expected latency exceeds the service's mean by this
/// factor.
const QUEUEING_FACTOR: f32 = 2.0;
/// At most one in this many usable endpoints is excluded as ejected (compare Envoy's maximum ejection
/// percentage).
const MIN_ENDPOINTS_PER_EJECTED: usize = 2;

/// Restricts the software versions of a service that may process a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionFilter<'a> {
    /// Endpoints of this version only.
    Only(&'a str),
    /// All endpoints except those of this version.
    Except(&'a str),
}

impl VersionFilter<'_> {
    fn matches(self, version: &str) -> bool {
        match self {
            VersionFilter::Only(wanted) => version == wanted,
            VersionFilter::Except(excluded) => version != excluded,
        }
    }
}

/// The inputs to the endpoint selection for one attempt of a request.
#[derive(Debug, Clone)]
pub struct SelectionRequest<'a> {
    /// Name of the service that processes the request.
    pub service: &'a str,
    /// The shard key, if the service is sharded and the request carries one.
    pub key: Option<u16>,
    /// Whether the request may be retried when its outcome is unknown.
    pub idempotent: bool,
    /// Importance of the request; 0 is the most important.
    pub rank: u32,
    /// Time (ms) until the request's deadline.
    pub time_left: Ms,
    /// How long (ms) a draining endpoint still gets requests for keys that it owns.
    pub drain_grace: Ms,
    /// The versions allowed by a rollout, if one distinguishes them.
    pub version: Option<VersionFilter<'a>>,
    /// Ids of endpoints at which earlier attempts failed.
    pub excluded: &'a [Rc<str>],
}

/// The result of a selection.
#[derive(Debug, Clone, PartialEq)]
pub enum Selection {
    /// The id of the selected endpoint.
    Endpoint(Rc<str>),
    /// No reachable endpoint is known to own the key; a later update may name one.
    NoLeaseHolder,
    /// No candidate endpoint remains.
    NoEndpoint,
    /// Even the best endpoint is expected to respond too late.
    Overloaded,
}

/// Selects the endpoint for the next attempt of a request.
///
/// ```
/// use coppersail_load_balancing::selection::select_endpoint;
/// use coppersail_load_balancing::{EndpointRegistry, Selection, SelectionRequest};
///
/// let request = SelectionRequest {
///     service: "b",
///     key: None,
///     idempotent: true,
///     rank: 0,
///     time_left: 900,
///     drain_grace: 0,
///     version: None,
///     excluded: &[],
/// };
/// let mut random = fastrand::Rng::with_seed(1);
/// let selection = select_endpoint(&EndpointRegistry::new("north"), &request, 0, &mut random);
/// assert_eq!(selection, Selection::NoEndpoint);
/// ```
pub fn select_endpoint(
    registry: &EndpointRegistry,
    request: &SelectionRequest,
    now: Ms,
    random: &mut fastrand::Rng,
) -> Selection {
    let Some(service) = registry.service(request.service) else { return Selection::NoEndpoint };
    if let Some(key) = request.key {
        return select_owner(registry, service, request, key, now);
    }
    let mut candidates = usable_endpoints(registry, service, request, now);
    remove_ejected(&mut candidates, request, now);
    candidates.retain(|endpoint| !request.excluded.contains(&endpoint.id));
    match least_expected_latency(&candidates, service_latency(service), now, random) {
        None => Selection::NoEndpoint,
        Some(endpoint) if is_overloaded(endpoint, service, request, now) => Selection::Overloaded,
        Some(endpoint) => Selection::Endpoint(endpoint.id.clone()),
    }
}

/// Selects the owner of the key, the only endpoint that may process the request.
fn select_owner(
    registry: &EndpointRegistry,
    service: &ServiceEndpoints,
    request: &SelectionRequest,
    key: u16,
    now: Ms,
) -> Selection {
    let owner = registry.owner(request.service, key, now).and_then(|id| registry.endpoint(id));
    let Some(owner) = owner else { return Selection::NoLeaseHolder };
    let is_unreachable = owner.health.unreachable && owner.health.is_ejected(request.idempotent, now);
    if !owner.accepts_owned_keys(now, request.drain_grace) || is_unreachable {
        return Selection::NoLeaseHolder;
    }
    if is_overloaded(owner, service, request, now) {
        return Selection::Overloaded;
    }
    Selection::Endpoint(owner.id.clone())
}

fn usable_endpoints<'a>(
    registry: &'a EndpointRegistry,
    service: &ServiceEndpoints,
    request: &SelectionRequest,
    now: Ms,
) -> Vec<&'a Endpoint> {
    let has_version =
        |endpoint: &Endpoint| request.version.is_none_or(|filter| filter.matches(&endpoint.version));
    let endpoints = service.endpoints.iter().filter_map(|id| registry.endpoint(id));
    endpoints.filter(|endpoint| endpoint.usable(now) && has_version(endpoint)).collect()
}

/// Removes ejected endpoints, but at most half of all candidates: outlier detection may be wrong about many
/// endpoints at once, for example when the fault is in this edge. Endpoints whose ejection ends first are
/// kept.
fn remove_ejected(candidates: &mut Vec<&Endpoint>, request: &SelectionRequest, now: Ms) {
    let is_ejected = |endpoint: &&Endpoint| endpoint.health.is_ejected(request.idempotent, now);
    let mut ejected: Vec<&Endpoint> = candidates.iter().copied().filter(is_ejected).collect();
    ejected.sort_by_key(|endpoint| (endpoint.health.ejected_until(), endpoint.id.clone()));
    let removed = ejected.len().min(candidates.len() / MIN_ENDPOINTS_PER_EJECTED);
    let removed = &ejected[ejected.len() - removed..];
    candidates.retain(|endpoint| removed.iter().all(|other| other.id != endpoint.id));
}

fn least_expected_latency<'a>(
    candidates: &[&'a Endpoint],
    service_latency: f32,
    now: Ms,
    random: &mut fastrand::Rng,
) -> Option<&'a Endpoint> {
    let mut best: Option<(f32, &Endpoint)> = None;
    for endpoint in candidates {
        // One random draw per candidate, in candidate order, so that selections are reproducible for a given
        // seed.
        let cost = latency_cost(endpoint, service_latency, now) * (1.0 + RANDOM_SPREAD * random.f32());
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, endpoint));
        }
    }
    best.map(|(_, endpoint)| endpoint)
}

/// The expected latency (ms) of an endpoint with all penalties applied.
fn latency_cost(endpoint: &Endpoint, service_latency: f32, now: Ms) -> f32 {
    let zone = if endpoint.same_zone { 1.0 } else { OTHER_ZONE_PENALTY };
    let slow_start = if now < endpoint.slow_start_until { SLOW_START_PENALTY } else { 1.0 };
    let suspect = if endpoint.suspect { SUSPECT_PENALTY } else { 1.0 };
    endpoint.load.expected_latency(now, service_latency) * zone * slow_start * suspect
}

/// The mean latency (ms) that is assumed for endpoints without measurements.
fn service_latency(service: &ServiceEndpoints) -> f32 {
    if service.mean_latency > 0.0 {
        service.mean_latency
    } else {
        UNMEASURED_LATENCY_MS
    }
}

/// Whether the response is expected too late for the request. This requires a measured latency and a queue at
/// the endpoint: if requests were rejected because an idle endpoint is too slow, its latency would never be
/// measured again.
fn is_overloaded(
    endpoint: &Endpoint,
    service: &ServiceEndpoints,
    request: &SelectionRequest,
    now: Ms,
) -> bool {
    let expected = endpoint.load.expected_latency(now, service_latency(service));
    let measured = service.mean_latency;
    let factor = OVERLOAD_FACTOR / (1.0 + OVERLOAD_FACTOR_PER_RANK * request.rank as f32);
    measured > 0.0 && expected > request.time_left as f32 * factor && expected > measured * QUEUEING_FACTOR
}

#[cfg(test)]
mod tests;
