//! All fakes around one director, with their listeners and threads.

use super::discovery::Discovery;
use super::error::StartError;
use super::hosts::Hosts;
use super::relay::{Relay, HEARTBEAT_INTERVAL};
use super::threads::{LoopbackListener, Threads};
use crate::platform::Platform;
use coppersail::interface::{HostId, Input, Order};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;

/// The fakes of the relay, of discovery and of the hosts. Dropping it ends their threads.
pub(super) struct Fakes {
    relay: Arc<Relay>,
    discovery: Arc<Discovery>,
    hosts: Arc<Hosts>,
    orders: Receiver<Vec<Order>>,
    /// Where the relay listens.
    pub(super) relay_address: SocketAddr,
    /// Where discovery listens.
    pub(super) discovery_address: SocketAddr,
    _threads: Threads,
}

impl Fakes {
    /// Starts the fakes, with what the inputs tell.
    ///
    /// # Errors
    /// [`StartError::Listen`]: there are not enough ports.
    pub(super) fn start(platform: &Arc<Platform>, inputs: &[Input]) -> Result<Self, StartError> {
        let (sender, orders) = channel();
        let relay_listener = LoopbackListener::bind()?;
        let discovery_listener = LoopbackListener::bind()?;
        let host_listeners = bind_hosts(inputs)?;
        let relay_address = relay_listener.address;
        let discovery_address = discovery_listener.address;
        let addresses = host_listeners.iter().map(|(host, listener)| (*host, listener.address)).collect();

        let relay = Arc::new(Relay::new(platform.clone(), sender.clone(), inputs));
        let discovery = Arc::new(Discovery::new(platform.clone(), addresses, inputs));
        let hosts = Arc::new(Hosts::new(sender));

        let mut threads = Threads::default();
        let shared_relay = relay.clone();
        threads.accept(relay_listener, move |stream| shared_relay.handle_connection(stream));
        let shared_discovery = discovery.clone();
        threads.accept(discovery_listener, move |stream| shared_discovery.handle_connection(stream));
        for (host, listener) in host_listeners {
            let shared_hosts = hosts.clone();
            threads.accept(listener, move |stream| shared_hosts.handle_connection(host, stream));
        }
        let shared_relay = relay.clone();
        threads.repeat(HEARTBEAT_INTERVAL, move || shared_relay.send_heartbeat());
        Ok(Fakes { relay, discovery, hosts, orders, relay_address, discovery_address, _threads: threads })
    }

    /// The list of hosts as JSON, as discovery tells it.
    pub(super) fn membership(&self) -> String {
        self.discovery.membership()
    }

    /// Passes inputs on to the director over the connections that it has to them.
    pub(super) fn deliver(&self, inputs: &[Input], store_down: bool) {
        self.relay.deliver(inputs, store_down);
        self.discovery.deliver(inputs);
        self.hosts.deliver(inputs);
    }

    /// What the director has ordered since the last call, without waiting.
    pub(super) fn take_orders(&self) -> Vec<Order> {
        self.orders.try_iter().flatten().collect()
    }
}

impl Drop for Fakes {
    fn drop(&mut self) {
        self.relay.close_connections();
    }
}

/// A listener for each host that the inputs list.
fn bind_hosts(inputs: &[Input]) -> Result<BTreeMap<HostId, LoopbackListener>, StartError> {
    let mut listeners = BTreeMap::new();
    for input in inputs {
        if let Input::HostListUpdate { entries, .. } = input {
            for entry in entries {
                listeners.insert(entry.host, LoopbackListener::bind()?);
            }
        }
    }
    Ok(listeners)
}
