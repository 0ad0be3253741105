//! The endpoint list, as the discovery service sends it.

use super::context::{host_name, Platform};
use coppersail::interface::{HostId, HostListEntry, HostState};
use serde_json::{json, Value};
use std::net::SocketAddr;

/// Milliseconds in a second.
const MS_PER_SECOND: f64 = 1e3;

impl Platform {
    /// The endpoint list as JSON: all of it (`full`) or the entries that have changed. `address` gives the address of
    /// a host.
    pub fn endpoint_list(
        &self,
        version: u64,
        full: bool,
        entries: &[HostListEntry],
        address: &dyn Fn(HostId) -> SocketAddr,
    ) -> String {
        let servers: Vec<Value> =
            entries.iter().map(|entry| self.entry_json(entry, address(entry.host))).collect();
        json!({"version": version, "full": full, "servers": servers}).to_string()
    }

    fn entry_json(&self, entry: &HostListEntry, address: SocketAddr) -> Value {
        let state = match entry.state {
            HostState::Ready => "in_service",
            HostState::Draining => "terminating",
            HostState::Removed => "terminated",
        };
        let started_ms =
            entry.started_at.map_or(0, |started_at| self.start_ms + (started_at * MS_PER_SECOND) as u64);
        json!({
            "id": host_name(entry.host),
            "addr": address,
            "zone": self.zone(entry.zone),
            "kind": self.settings.machine_types[entry.machine_type.0 as usize],
            "cell": entry.cell.0,
            "state": state,
            "weight": entry.weight,
            "started_ms": started_ms,
        })
    }
}
