//! The settings of a process, from the file that `COPPERSAIL_SETTINGS` names. It is read at the start and
//! again on SIGHUP.
use crate::checks::{accept_any, expect, not_blank, positive_time};
use crate::error::FieldError;
use crate::readers::{boolean, list, non_negative, object, optional, text, text_map, time, unsigned};
use crate::table::{default_ms, default_to, required, table};
use serde_json::Value;
use std::collections::BTreeMap;
use std::time::Duration;

/// The environment variable that holds the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "COPPERSAIL_SETTINGS";

table! {
    /// The settings that the programs use; other fields of the file are ignored.
    pub struct ProcessSettings {
        /// The name of the machine.
        node_name: String = "self.nodeName", text, default_to(String::new()), accept_any;
        /// The IP address of the machine; it identifies the process among its peers.
        ip_address: String = "self.ipAddress", text, required(), ip_address;
        /// The zone of the machine.
        zone: String = "self.area", text, required(), not_blank;
        /// The region of the zone.
        region: String = "self.place", text, default_to(String::new()), accept_any;
        /// Whether a loss of this machine counts towards `max_machine_failures`.
        counts_as_loss: bool = "self.countsAsLoss", boolean, default_to(false), accept_any, apply;
        /// Whether the whole system starts for the first time, with empty disks. The default is false,
        /// because a process that wrongly assumed a first start could mistake lost state for empty state.
        initial_boot: bool = "self.initialBoot", boolean, default_to(false), accept_any, keep_first;
        /// The folder of durable state; absent for a process without durable state.
        data_folder: Option<String> = "self.dataFolder", optional(text), default_to(None), accept_any;
        /// The limit of memory, in MiB; the greatest number if there is no limit.
        ram_mb: u64 = "self.caps.ramMb", unsigned, default_to(u64::MAX), accept_any, apply;
        /// The limit of open file descriptors; the greatest number if there is no limit.
        open_files: u64 = "self.caps.openFiles", unsigned, default_to(u64::MAX), accept_any, apply;
        /// The address at which clients are served, "ip:port". It and the other addresses are absent if the
        /// program does not serve them.
        client_address: Option<String> = "network.binds.publicPlain", optional(text), default_to(None), optional_address;
        /// The address at which readiness is served, "ip:port".
        readiness_address: Option<String> = "network.binds.readiness", optional(text), default_to(None), optional_address;
        /// The address at which operators and endpoints are served, "ip:port".
        admin_address: Option<String> = "network.binds.admin", optional(text), default_to(None), optional_address;
        /// The first and the last of the ports that edges and control-plane nodes use among themselves.
        peer_ports: (u16, u16) = "network.sparePorts", port_range, required(), accept_any;
        /// The admin addresses, "ip:port", of some control-plane nodes, by which the others are found.
        known_peers: Vec<String> = "network.knownPeers", list(text), default_to(Vec::new()), addresses, apply;
        /// The region of each zone.
        zone_regions: BTreeMap<String, String> = "network.zones", text_map, default_to(BTreeMap::new()), accept_any, apply;
        /// The interval at which endpoints send heartbeats.
        heartbeat: Duration = "provider.heartbeat", time, default_ms(1000), positive_time, apply;
        /// How many machines may be lost at once while all guarantees hold.
        max_machine_failures: u32 = "terms.survive.boxes", unsigned, default_to(0), accept_any, apply;
        /// The names of the guarantees that the system has to keep.
        guarantees: Vec<String> = "terms.promises", list(text), default_to(Vec::new()), accept_any, apply;
        /// Time limits and retry limits.
        limits: TimeLimits = "terms.timeLimits", limits, default_to(TimeLimits::default()), accept_any, reload_each;
    }
}

table! {
    /// Limits by which the guarantees are measured. The file leaves out a limit that no guarantee needs. The
    /// defaults are conservative: short where the system has to act, long where it has to wait.
    pub struct TimeLimits {
        /// The maximum age of the list of control-plane nodes by which operators and endpoints reach them.
        member_list_max_age: Duration = "peerDelay", time, default_ms(3000), accept_any, apply;
        /// The time after the end of an endpoint until its address may be reused by an endpoint of another
        /// service.
        address_reuse_delay: Duration = "recycleAfter", time, default_ms(1000), accept_any, apply;
        /// How long a machine has to be connected and running before the guarantees apply to it.
        min_contact_time: Duration = "inContact", time, default_ms(3000), accept_any, apply;
        /// The time within which an operator's order is acknowledged.
        order_ack_timeout: Duration = "confirm", time, default_ms(5000), accept_any, apply;
        /// How long after its return a machine still counts as lost.
        sync_time: Duration = "sync_time", time, default_ms(5000), accept_any, apply;
        /// The time after the start of draining within which an endpoint stops getting requests.
        drain_time: Duration = "empty", time, default_ms(2000), accept_any, apply;
        /// The time between SIGTERM and SIGKILL.
        shutdown_grace: Duration = "leeway", time, default_ms(5000), accept_any, apply;
        /// The time from the start of a request within which its connection may be closed without an answer,
        /// if no endpoint has got the request.
        unanswered_close_window: Duration = "missing", time, default_ms(200), accept_any, apply;
        /// The time after its acknowledgement within which a configuration is in force at all edges.
        config_apply_timeout: Duration = "apply", time, default_ms(2000), accept_any, apply;
        /// How long after a newer configuration an older one may still be in effect within one run of an
        /// edge.
        config_regression_window: Duration = "revert", time, default_ms(200), accept_any, apply;
        /// The additional time until a configuration is in force at an edge while members of the control
        /// plane fail or recover.
        extra_config_apply_time: Duration = "stretch_time", time, default_ms(5000), accept_any, apply;
        /// The retry budget of each window, as a share of its requests.
        retry_ratio: f64 = "retryRatio", non_negative, default_to(0.1), accept_any, apply;
        /// The window over which retries are counted.
        retry_window: Duration = "retryWindow", time, default_ms(10000), accept_any, apply;
        /// Retries in each window in addition to the share. The number is the edge's part of a total for all
        /// edges, so it may be a fraction.
        extra_attempts: f64 = "extraTries", non_negative, default_to(0.0), accept_any, apply;
        /// How long after the loss and return of machines most requests may still fail.
        recovery_time: Duration = "heal", time, default_ms(10000), accept_any, apply;
        /// The longest lease duration of a slice, by the endpoint's clock.
        max_lease_duration: Duration = "keepMax", time, default_ms(5000), accept_any, apply;
        /// Requests received within this time after a process was suspended, or a link was cut, are not
        /// counted.
        post_freeze_exclusion: Duration = "unfreeze", time, default_ms(0), accept_any, apply;
    }
}

impl ProcessSettings {
    /// Reads the file that the environment variable [`SETTINGS_VARIABLE`] names.
    ///
    /// # Errors
    /// The variable is not set, the file can't be read, or a field is not valid.
    pub fn read() -> Result<ProcessSettings, FieldError> {
        let path = std::env::var(SETTINGS_VARIABLE).unwrap_or_default();
        if path.is_empty() {
            return Err(FieldError::missing("the path of the settings file").within(SETTINGS_VARIABLE));
        }
        let text = std::fs::read_to_string(&path)
            .map_err(|error| FieldError::unreadable_file(SETTINGS_VARIABLE, &path, &error))?;
        ProcessSettings::from_json(&text)
    }

    /// Reads settings from their text.
    ///
    /// # Errors
    /// The text is not JSON, or a field is not valid.
    ///
    /// ```
    /// let settings = coppersail_config::ProcessSettings::from_json(r#"{
    ///     "self": {"ipAddress": "10.1.0.34", "area": "north", "mood": "unknown fields are skipped"},
    ///     "network": {"sparePorts": [7540, 7555]},
    ///     "provider": {"heartbeat": "1300ms"},
    ///     "terms": {"timeLimits": {"leeway": "6s"}}
    /// }"#).unwrap();
    /// assert_eq!((settings.peer_ports.0, settings.limits.shutdown_grace.as_secs()), (7540, 6));
    /// ```
    pub fn from_json(text: &str) -> Result<ProcessSettings, FieldError> {
        let value: Value = serde_json::from_str(text)
            .map_err(|error| FieldError::not_json(&error, "the settings as one table"))?;
        ProcessSettings::from_source(object(&value)?)
    }
}

fn limits(value: &Value) -> Result<TimeLimits, FieldError> {
    TimeLimits::from_source(object(value)?)
}

fn port_range(value: &Value) -> Result<(u16, u16), FieldError> {
    match list(unsigned)(value)?[..] {
        [first, last] if first <= last => Ok((first, last)),
        _ => Err(FieldError::new(value, "the first and the last port")),
    }
}

fn ip_address(text: &str) -> Result<(), &'static str> {
    expect(text.parse::<std::net::IpAddr>().is_ok(), "an IP address")
}

fn address(text: &str) -> Result<(), &'static str> {
    expect(text.parse::<std::net::SocketAddr>().is_ok(), "an address such as \"10.0.0.4:8080\"")
}

fn optional_address(text: &Option<String>) -> Result<(), &'static str> {
    text.as_deref().map_or(Ok(()), address)
}

fn addresses(texts: &[String]) -> Result<(), &'static str> {
    texts.iter().try_for_each(|text| address(text))
}
