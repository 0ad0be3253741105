//! Settings that every simulated control-plane node starts with; the invariant checks use the same limits.

use crate::time::Millis;
use coppersail_config::ProcessSettings;
use serde_json::json;

/// `heartbeat`: interval of the endpoints' heartbeats.
pub(crate) const HEARTBEAT_MS: Millis = 1300;
/// `empty`: within this time the edges know that an endpoint drains.
pub(crate) const DRAIN_MS: Millis = 2500;
/// `sync_time`: within this time a lost member's redundancy is restored.
pub(crate) const SYNC_MS: Millis = 4000;
/// `leeway`: time from SIGTERM to SIGKILL.
pub(crate) const SHUTDOWN_GRACE_MS: Millis = 6000;
/// `confirm`: within this time an order is acknowledged.
pub(crate) const CONFIRM_MS: Millis = 5000;
/// `apply`: within this time an acknowledged configuration is at the edges.
pub(crate) const APPLY_MS: Millis = 2500;
/// `keepMax`: longest shard lease.
pub(crate) const LEASE_MAX_MS: Millis = 10_000;
/// `peerDelay`: by how much the platform's list of machines lags.
pub(crate) const MEMBERSHIP_DELAY_MS: Millis = 3000;
/// How long, beyond `inContact`, a stable period must have lasted before the control plane must be available.
pub const STABILIZATION_MS: Millis = 2000;

/// Port of a node's `admin` listener.
pub(crate) const ADMIN_PORT: u16 = 8544;
/// Port at which edges watch a node.
pub(crate) const PEER_PORT: u16 = 7540;

/// How many machines a settings file lists.
pub(crate) const CONFIGURED_MACHINES: usize = 3;

/// What differs between the settings of two simulated processes.
pub(crate) struct NodeParameters<'a> {
    pub(crate) ip: &'a str,
    pub(crate) zone: usize,
    /// `initialBoot`: the node may found a new cluster.
    pub(crate) initial_boot: bool,
    /// `knownPeers`, with the port of `admin`.
    pub(crate) known_peers: &'a [String],
    /// `inContact`.
    pub(crate) quorum_contact: Millis,
    /// `survive.boxes`: failures of machines to tolerate.
    pub(crate) max_failures: usize,
}

/// The `admin` address of a machine.
pub(crate) fn admin_address(ip: &str) -> String {
    format!("{ip}:{ADMIN_PORT}")
}

/// The address at which an edge watches a machine.
pub(crate) fn peer_address(ip: &str) -> String {
    format!("{ip}:{PEER_PORT}")
}

/// The settings of one process, through the same parser as the settings file of a real one.
pub(crate) fn process_settings(node: &NodeParameters<'_>) -> ProcessSettings {
    let millis = |ms: Millis| format!("{ms}ms");
    let text = json!({
        "self": {"ipAddress": node.ip, "area": zone_name(node.zone), "countsAsLoss": true,
            "initialBoot": node.initial_boot, "dataFolder": "/data"},
        "network": {"binds": {"admin": admin_address(node.ip)}, "sparePorts": [PEER_PORT, 7555],
            "knownPeers": node.known_peers},
        "provider": {"heartbeat": millis(HEARTBEAT_MS)},
        "terms": {"survive": {"boxes": node.max_failures, "zones": 0, "areas": 0}, "timeLimits": {
            "peerDelay": millis(MEMBERSHIP_DELAY_MS), "inContact": millis(node.quorum_contact),
            "confirm": millis(CONFIRM_MS), "sync_time": millis(SYNC_MS),
            "empty": millis(DRAIN_MS), "leeway": millis(SHUTDOWN_GRACE_MS),
            "apply": millis(APPLY_MS), "keepMax": millis(LEASE_MAX_MS)}}
    });
    ProcessSettings::from_json(&text.to_string()).expect("the simulator's own settings are valid")
}

/// The name of a zone in settings and requests.
pub(crate) fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}
