//! Settings of a director at its start. `coppersail-settings` derives them from the start-up settings and environment.

use super::{AdmissionUnit, Idempotency, PeerId, RetryPolicy, ZoneId};

/// A kind of call.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Latency objective in seconds: a response within it has the full value.
    pub latency_target: f64,
    /// Seconds after which a client gives up, over all attempts.
    pub deadline: f64,
    /// Value of a timely response relative to the other routes.
    pub value: f64,
    /// Whether its calls may be executed again.
    pub idempotency: Idempotency,
    /// Its calls are writes.
    pub is_write: bool,
    /// Its calls may only go to hosts of the proxy's zone.
    pub zone_local: bool,
}

/// Settings of a director at its start. Values that the start-up settings leave out have the most restrictive
/// interpretation. The decisions do not use all of them, but the capacity guard, the adapters and the lab also read
/// them.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Identifier of this director.
    pub peer_id: PeerId,
    /// Number of directors in the tier.
    pub director_count: u64,
    /// This director's zone, if it has one.
    pub zone: Option<ZoneId>,
    /// Names of the zones.
    pub zone_names: Vec<String>,
    /// Names of the machine types.
    pub machine_types: Vec<String>,
    /// The routes.
    pub routes: Vec<Route>,
    /// Changes of the host list are pushed; otherwise the list must be watched or fetched.
    pub host_list_is_pushed: bool,
    /// Seconds without a fetch of the host list after which the director is held to know all changes.
    pub host_list_max_silence: f64,
    /// The host list contains weights.
    pub listed_weights: bool,
    /// Health checks may be sent.
    pub probes_allowed: bool,
    /// Messages may be sent to other directors.
    pub peer_messages_allowed: bool,
    /// Minimum share of its capacity, 0 to 1, that a host has when it starts. It grows with the host's age.
    pub cold_capacity_share: f64,
    /// Seconds from a host's start until it has its full capacity (slow start).
    pub slow_start_duration: f64,
    /// Load, as a multiple of a host's capacity, under which it collapses.
    pub collapse_multiple: f64,
    /// Seconds that such a load must last for the host to collapse.
    pub collapse_time: f64,
    /// Seconds within which calls to a host that is gone must stop.
    pub grace_period: f64,
    /// A call that a host rejected because it was at its limit may have been executed.
    pub throttled_may_have_executed: bool,
    /// A host that the list drops may continue to serve.
    pub removal_is_advisory: bool,
    /// Longest time, in seconds, that a proxy may have no host for a slice.
    pub max_unserved_time: f64,
    /// Number of slices of all directors; 0 means that there are no slices.
    pub slice_count: u64,
    /// Number of proxies.
    pub proxy_count: u64,
    /// A slice may only be served by its owner, without a standby.
    pub exclusive_ownership: bool,
    /// What admission control limits.
    pub admission_unit: AdmissionUnit,
    /// Retry policy of the proxies for routes without an order.
    pub default_retry_policy: RetryPolicy,
    /// Consecutive failures after which a proxy itself ejects a host; 0 means that it does not.
    pub proxy_ejection_threshold: u64,
    /// Overhead of a message to one proxy, in lines. Each order in it costs one line more.
    pub message_overhead_lines: f64,
    /// Lines per second that the channel to the proxies delivers.
    pub channel_lines_per_s: f64,
    /// Highest number of lines that may be queued in the channel.
    pub channel_backlog_lines: f64,
    /// Highest number of messages to one proxy within `message_window`; 0 means no limit.
    pub max_messages_per_window: u64,
    /// Window of the limit on messages, in seconds.
    pub message_window: f64,
    /// Typical time, in seconds, from when a message leaves the channel until it is applied.
    pub typical_transit_time: f64,
    /// Longest time, in seconds, from when a message leaves the channel until it is applied.
    pub max_transit_time: f64,
    /// Seconds between two reports of the proxies.
    pub report_interval: f64,
    /// Longest time, in seconds, from a write's arrival at its proxy until its end at a host.
    pub max_write_in_flight_time: f64,
    /// Hosts respond faster for keys that they have served recently.
    pub hosts_cache_keys: bool,
}
