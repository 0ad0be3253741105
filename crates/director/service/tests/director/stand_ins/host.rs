//! A stand-in host that answers probes with its load; all hosts of a fleet have its address.

use super::http_server::{self, HttpResponse};
use super::shared_state::Shared;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Response, StatusCode};
use std::net::TcpListener;

/// The host's state. Tests change it to cause faults.
pub(crate) struct HostStandIn {
    /// Paths of the requests, in their order.
    pub(crate) requested_paths: Vec<String>,
    /// The status of its answers.
    pub(crate) status: u16,
    /// How many further connections break before their answer.
    pub(crate) connections_to_break: usize,
}

impl HostStandIn {
    /// A healthy host.
    pub(crate) fn new() -> Self {
        HostStandIn { requested_paths: Vec::new(), status: 200, connections_to_break: 0 }
    }

    /// Starts to answer probes.
    pub(crate) fn spawn(listener: TcpListener, state: &Shared<HostStandIn>) {
        http_server::spawn(listener, state.clone(), answer_probe);
    }
}

fn answer_probe(path: String, state: &Shared<HostStandIn>) -> Option<HttpResponse> {
    let status = state.update(|host| {
        host.requested_paths.push(path);
        if host.connections_to_break > 0 {
            host.connections_to_break -= 1;
            return None;
        }
        Some(host.status)
    })?;
    let mut response = Response::new(Full::new(Bytes::from("TEXT q=0, lat_ms=100.5")).boxed());
    *response.status_mut() = StatusCode::from_u16(status).unwrap();
    Some(response)
}
