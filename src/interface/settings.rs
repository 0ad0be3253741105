//! What a director is told at its start. `coppersail-settings` makes it from the start-up settings and environment.

use super::{AdmissionUnit, Idempotency, PeerId, RetryPolicy, ZoneId};

/// A kind of call.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Latency objective in seconds: an answer within it earns the full importance.
    pub latency_target: f64,
    /// Seconds after which a client gives up, over all attempts.
    pub deadline: f64,
    /// What an answer in time is worth, in relation to the other routes.
    pub value: f64,
    /// Whether its calls may be executed again.
    pub idempotency: Idempotency,
    /// Its calls write.
    pub is_write: bool,
    /// Its calls may only go to hosts of the proxy's zone.
    pub zone_local: bool,
}

/// What a director is told at its start. What the start-up settings leave out has the reading under which least is
/// allowed. The decisions do not use all of it, but the guard, the adapters and the lab read it too.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// This director.
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
    /// Changes of the host list come without being asked for; else it must be followed or fetched.
    pub host_list_is_pushed: bool,
    /// Seconds without a fetch of the host list after which the director counts as informed of all changes.
    pub host_list_max_silence: f64,
    /// The host list has weights.
    pub listed_weights: bool,
    /// Health checks may be sent.
    pub probes_allowed: bool,
    /// Messages may be sent to other directors.
    pub peer_messages_allowed: bool,
    /// Share of its capacity, 0 to 1, that a host has at least when it starts. It grows with the host's age.
    pub cold_capacity_share: f64,
    /// Seconds after its start by which a host has its full capacity (slow start).
    pub slow_start_duration: f64,
    /// Load, as a multiple of what a host can do, under which it collapses.
    pub collapse_multiple: f64,
    /// Seconds that it must last for that.
    pub collapse_time: f64,
    /// Seconds allowed for stopping to send calls to a host that is gone.
    pub grace_period: f64,
    /// A call that a host rejected as it was full may have been executed.
    pub throttled_may_have_executed: bool,
    /// A host that the list drops may serve on.
    pub removal_is_advisory: bool,
    /// Longest time, in seconds, that a proxy may have no host for a slice.
    pub max_unserved_time: f64,
    /// Number of slices of all directors; 0: there are no slices.
    pub slice_count: u64,
    /// Number of proxies.
    pub proxy_count: u64,
    /// A slice may have one owner only.
    pub exclusive_ownership: bool,
    /// What admission control limits.
    pub admission_unit: AdmissionUnit,
    /// Retry policy of the proxies for routes of which nothing was ordered.
    pub default_retry_policy: RetryPolicy,
    /// Failures in a row after which a proxy itself ejects a host; 0: it does not.
    pub proxy_ejection_threshold: u64,
    /// Cost of a message to one proxy beside its orders, in lines. An order costs one line for each proxy.
    pub message_overhead_lines: f64,
    /// Lines per second that the channel to the proxies delivers.
    pub channel_lines_per_s: f64,
    /// Most lines that may be queued in the channel.
    pub channel_backlog_lines: f64,
    /// Most messages to one proxy within `messages_span`; 0: no limit.
    pub max_messages_per_window: u64,
    /// Window of that limit, in seconds.
    pub message_window: f64,
    /// Typical time, in seconds, from a message's leaving the channel to its being applied.
    pub typical_transit_time: f64,
    /// Longest such time, in seconds.
    pub max_transit_time: f64,
    /// Seconds between two reports of the proxies.
    pub report_interval: f64,
    /// Longest time, in seconds, from a write's coming to its proxy to its end at a host.
    pub max_write_in_flight_time: f64,
    /// Hosts answer faster for keys that they have served lately.
    pub hosts_cache_keys: bool,
}
