//! A stand-in of discovery, which sends host lists on each open watch, one per line.

use super::heartbeats::spawn_heartbeats;
use super::http_server::{self, HttpResponse};
use super::shared_state::Shared;
use bytes::Bytes;
use http_body_util::channel::{Channel, Sender};
use http_body_util::BodyExt;
use hyper::body::Frame;
use hyper::Response;
use std::net::TcpListener;

/// Maximum number of unread lines of a watch.
const WATCH_QUEUE_LENGTH: usize = 1024;

/// The state of discovery. Tests change it to cause faults.
#[derive(Default)]
pub(crate) struct DiscoveryStandIn {
    /// Paths of the requests, in their order.
    pub(crate) requested_paths: Vec<String>,
    /// The first line of the next watch.
    pub(crate) first_line: String,
    watches: Vec<Sender<Bytes>>,
    /// Watches can be opened but receive nothing.
    pub(crate) is_mute: bool,
    /// How many of the watches were opened before discovery last moved to another address.
    watches_at_old_address: usize,
}

impl DiscoveryStandIn {
    /// Creates a discovery whose watches begin with this line.
    pub(crate) fn new(first_line: String) -> Self {
        DiscoveryStandIn { first_line, ..DiscoveryStandIn::default() }
    }

    /// Starts to serve watches, and to send heartbeats on them.
    pub(crate) fn spawn(listener: TcpListener, state: &Shared<DiscoveryStandIn>) {
        http_server::spawn(listener, state.clone(), open_watch);
        spawn_heartbeats(state.clone(), |discovery| {
            if !discovery.is_mute {
                discovery.send_line("");
            }
        });
    }

    /// Starts to serve watches at another address; open watches stay open.
    pub(crate) fn relocate(listener: TcpListener, state: &Shared<DiscoveryStandIn>) {
        state.update(|discovery| discovery.watches_at_old_address = discovery.watches.len());
        http_server::spawn(listener, state.clone(), open_watch);
    }

    /// Closes the watches that were opened before the last move.
    pub(crate) fn close_watches_at_old_address(&mut self) {
        self.watches.drain(..self.watches_at_old_address.min(self.watches.len()));
    }

    /// Sends a line on all watches.
    pub(crate) fn send_line(&mut self, line: &str) {
        let line = Bytes::from(format!("{line}\n"));
        self.watches.retain_mut(|watch| watch.try_send(Frame::data(line.clone())).is_ok());
    }

    /// Closes all watches.
    pub(crate) fn close_watches(&mut self) {
        self.watches.clear();
    }
}

fn open_watch(path: String, state: &Shared<DiscoveryStandIn>) -> Option<HttpResponse> {
    let (mut watch, body) = Channel::new(WATCH_QUEUE_LENGTH);
    state.update(|discovery| {
        discovery.requested_paths.push(path);
        if !discovery.is_mute {
            let first_line = Bytes::from(format!("{}\n", discovery.first_line));
            let _ = watch.try_send(Frame::data(first_line));
        }
        discovery.watches.push(watch);
    });
    Some(Response::new(body.boxed()))
}
