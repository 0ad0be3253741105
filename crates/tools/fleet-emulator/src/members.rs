//! The members of a fleet: one task each, until the fleet stops.
use crate::fleet::{Client, Fleet, CALL_TIMEOUT};
use coppersail_fleet_emulator::{service_name, EmulatedEdge};
use coppersail_peer_protocol::{RequestCounts, Update};
use coppersail_stub_backend::{Endpoint, EndpointConfig, HeartbeatResponse};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// What each endpoint reports as its capacity.
const ENDPOINT_CAPACITY: u32 = 4;
/// Edges begin within this time.
const EDGE_START_SPREAD: Duration = Duration::from_secs(1);

fn endpoint_config(fleet: &Fleet, number: usize) -> EndpointConfig {
    let size = &fleet.options.config_size;
    let (third, fourth) = (number >> 8 & 255, number & 255);
    EndpointConfig {
        id: format!("i-{:04x}{number:04x}", fleet.run_id),
        service: service_name(number, size.services),
        // Of the loopback net, and never the address of an emulated edge.
        address: format!("127.{}.{third}.{fourth}:8080", 128 + (number >> 16 & 63)),
        zone: fleet.zone(number),
        revision: "v1".into(),
        capacity: ENDPOINT_CAPACITY,
        sharded: number % size.services.max(1) < size.sharded_services,
        heartbeat_interval: fleet.options.heartbeat_interval,
        ..EndpointConfig::default()
    }
}

/// Endpoint `number`: sends heartbeats, and signs off when the fleet stops.
pub(crate) async fn run_endpoint(fleet: Arc<Fleet>, number: usize) {
    let mut endpoint = Endpoint::new(endpoint_config(&fleet, number));
    let mut client = fleet.client(number);
    let server_path = format!("/servers/{}", endpoint.config().id);
    let (pulse_path, sign_off_path) = (format!("{server_path}/pulse"), format!("{server_path}/sign-off"));
    // Spread over an interval, as the heartbeats of real endpoints are.
    sleep(fleet.options.heartbeat_interval.mul_f64(fastrand::f64())).await;
    while !fleet.is_stopping() {
        send_heartbeat(&fleet, &mut client, &mut endpoint, &pulse_path).await;
        let not_before = client.backoff().map_or(Duration::ZERO, |backoff| fleet.now() + backoff);
        sleep(endpoint.heartbeat_due_at().max(not_before).saturating_sub(fleet.now())).await;
    }
    // As after a graceful shutdown, so that the control plane does not keep it as a suspect.
    let _ = client.call(&sign_off_path, Vec::new(), CALL_TIMEOUT).await;
}

async fn send_heartbeat(fleet: &Fleet, client: &mut Client<'_>, endpoint: &mut Endpoint, path: &str) {
    let started_at = fleet.now();
    let body = serde_json::to_vec(&endpoint.next_heartbeat(started_at)).unwrap_or_default();
    let response = client.call(path, body, CALL_TIMEOUT).await;
    match response.ok().and_then(|body| HeartbeatResponse::parse(&body).ok()) {
        Some(response) => {
            client.record_success(started_at, response.leases.is_some(), response.report_to.as_deref());
            endpoint.acknowledge_heartbeat(fleet.now(), &response);
        }
        None => client.record_failure(),
    }
}

/// Edge `number`: one watch request after the other.
pub(crate) async fn run_edge(fleet: Arc<Fleet>, number: usize) {
    let options = &fleet.options;
    let mut edge = EmulatedEdge::new(number as u32, fleet.zone(number), options.watch_wait_ms);
    let mut client = fleet.client(number);
    let request_counts = request_counts(options.counted_slices);
    let timeout = Duration::from_millis(options.watch_wait_ms) + CALL_TIMEOUT;
    sleep(EDGE_START_SPREAD.mul_f64(fastrand::f64())).await;
    while !fleet.is_stopping() {
        let started_at = fleet.now();
        let body = serde_json::to_vec(&edge.watch_request(&request_counts)).unwrap_or_default();
        let response = client.call("/follow", body, timeout).await;
        match response.ok().and_then(|body| serde_json::from_slice::<Update>(&body).ok()) {
            Some(update) => client.record_success(started_at, edge.apply_update(&update), None),
            None => client.record_failure(),
        }
        sleep(client.backoff().unwrap_or_default().max(options.watch_delay)).await;
    }
}

/// One request on each of the first slices of a service.
fn request_counts(slices: u32) -> Vec<RequestCounts> {
    if slices == 0 {
        return Vec::new();
    }
    let counts = (0..slices).map(|slice| (slice, 1)).collect();
    vec![RequestCounts { service: service_name(0, 1), counts }]
}
