//! The settings file of a process (`COPPERSAIL_SETTINGS`), read once and checked.
use std::collections::BTreeMap;
use std::time::Duration;

/// Every field of the settings that the programs use. Unknown fields are passed over.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Boot {
    pub node: String,
    pub ip: String,
    pub area: String,
    pub place: String,
    pub counts_as_loss: bool,
    pub initial_boot: bool,
    pub data_folder: Option<String>,
    pub ram_mb: u64,
    pub open_files: u64,
    /// "ip:port" of each; absent where the role does not serve it.
    pub public_plain: Option<String>,
    pub readiness: Option<String>,
    pub admin: Option<String>,
    /// The first and the last of the ports between directors.
    pub spare_ports: (u16, u16),
    pub known_peers: Vec<String>,
    /// area -> place
    pub zones: BTreeMap<String, String>,
    pub heartbeat: Duration,
    /// `survive.boxes`
    pub survive: u32,
    pub promises: Vec<String>,
    pub limits: Limits,
}

/// `terms.timeLimits`.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Limits {
    pub peer_delay: Duration,
    pub recycle_after: Duration,
    pub in_contact: Duration,
    pub confirm: Duration,
    pub sync_time: Duration,
    pub empty: Duration,
    pub leeway: Duration,
    pub missing: Duration,
    pub apply: Duration,
    pub revert: Duration,
    pub stretch_time: Duration,
    pub retry_ratio: f64,
    pub retry_window: Duration,
    pub extra_tries: u32,
    pub heal: Duration,
    pub keep_max: Duration,
    pub unfreeze: Duration,
}
