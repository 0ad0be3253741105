//! The fake of discovery: it sends the list of hosts, and each change of it, to the connections that watch.

use super::http;
use crate::platform::Platform;
use coppersail::interface::{HostId, HostListEntry, Input};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The fake of discovery, shared by the threads of its connections.
pub(super) struct Discovery {
    platform: Arc<Platform>,
    /// Where each host's fake listens.
    addresses: BTreeMap<HostId, SocketAddr>,
    state: Mutex<DiscoveryState>,
}

#[derive(Default)]
struct DiscoveryState {
    version: u64,
    entries: BTreeMap<HostId, HostListEntry>,
    watchers: Vec<TcpStream>,
}

impl Discovery {
    /// Knows the hosts that the inputs list.
    pub(super) fn new(
        platform: Arc<Platform>,
        addresses: BTreeMap<HostId, SocketAddr>,
        inputs: &[Input],
    ) -> Self {
        let mut state = DiscoveryState::default();
        for input in inputs {
            if let Input::HostListUpdate { version, entries, .. } = input {
                state.update(*version, entries);
            }
        }
        Discovery { platform, addresses, state: Mutex::new(state) }
    }

    fn lock(&self) -> MutexGuard<'_, DiscoveryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The list as JSON: all entries if `full`, else those that changed.
    fn encode(&self, version: u64, full: bool, entries: &[HostListEntry]) -> String {
        self.platform.endpoint_list(version, full, entries, &|host| self.addresses[&host])
    }

    fn encode_full(&self, state: &DiscoveryState) -> String {
        let entries: Vec<HostListEntry> = state.entries.values().cloned().collect();
        self.encode(state.version, true, &entries)
    }

    /// The whole list as JSON.
    pub(super) fn membership(&self) -> String {
        self.encode_full(&self.lock())
    }

    /// Sends the whole list to a connection that asks for it, and changes from now on.
    pub(super) fn handle_connection(&self, mut stream: TcpStream) {
        if !http::read_head(&stream) {
            return;
        }
        // The lock is held until the connection watches, so that no change is missed.
        let mut state = self.lock();
        let body = self.encode_full(&state) + "\n";
        let text = format!("{}{}", http::CHUNKED_HEAD, http::chunk(&body));
        if stream.write_all(text.as_bytes()).is_ok() {
            state.watchers.push(stream);
        }
    }

    /// Sends the changes of the list that are among the inputs to all who watch.
    pub(super) fn deliver(&self, inputs: &[Input]) {
        let mut state = self.lock();
        for input in inputs {
            if let Input::HostListUpdate { version, entries, .. } = input {
                state.update(*version, entries);
                let body = self.encode(*version, false, entries) + "\n";
                state.broadcast(&http::chunk(&body));
            }
        }
    }
}

impl DiscoveryState {
    fn update(&mut self, version: u64, entries: &[HostListEntry]) {
        self.version = version;
        for entry in entries {
            self.entries.insert(entry.host, entry.clone());
        }
    }

    fn broadcast(&mut self, text: &str) {
        self.watchers.retain_mut(|stream| stream.write_all(text.as_bytes()).is_ok());
    }
}
