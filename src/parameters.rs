//! Values that the decisions use, taken or derived from the settings. Makes no decisions.

use crate::interface::{AdmissionUnit, Idempotency, RetryPolicy, Settings};

/// Parameters of the decisions. Times are in seconds, shares from 0 to 1.
pub(crate) struct Parameters {
    /// Minimum share of its capacity that a host has when it starts.
    pub(crate) cold_capacity_share: f64,
    /// Time from a host's start until it has its full capacity.
    pub(crate) slow_start_duration: f64,
    /// Load, as a multiple of a host's capacity, at which its service collapses.
    pub(crate) collapse_multiple: f64,
    /// Period of the proxies' reports.
    pub(crate) report_interval: f64,
    /// Health checks may be sent to hosts.
    pub(crate) probes_allowed: bool,
    /// A host that the list drops, without having shown it as draining, may continue to serve.
    pub(crate) removal_is_advisory: bool,
    /// A slice has one owner and no standby, so its table has one entry.
    pub(crate) exclusive_ownership: bool,
    /// Relative value of a timely answer, by route.
    pub(crate) route_values: Vec<f64>,
    /// Latency objective, by route.
    pub(crate) latency_slos: Vec<f64>,
    /// The shortest latency objective; infinite without routes.
    pub(crate) tightest_slo: f64,
    /// Whether calls may be executed twice, by route.
    pub(crate) idempotent: Vec<bool>,
    /// Retry policy of the proxies for routes that no order has set.
    pub(crate) default_retry: RetryPolicy,
    /// Proxies admit a share of the calls. Other kinds of admission control are not used.
    pub(crate) admission_by_share: bool,
    /// Overhead of a message to one proxy, in lines.
    pub(crate) message_overhead: f64,
    /// Highest possible number of proxies.
    pub(crate) proxy_count: f64,
    /// Proxies use the tables of slices instead of a table for each proxy.
    pub(crate) uses_slices: bool,
    /// Number of slices of all directors together.
    pub(crate) slice_count: f64,
    /// Rate of the channel to the proxies, in lines per second.
    pub(crate) lines_per_s: f64,
    /// Time that the channel takes for a message with one order to every proxy.
    pub(crate) round_time: f64,
    /// Most lines that may be queued in the channel.
    pub(crate) max_backlog: f64,
    /// Longest time from when a message leaves the channel until it is received.
    pub(crate) max_transit_time: f64,
    /// Most messages to one proxy within `message_window`.
    pub(crate) max_messages: usize,
    /// Window of the limit on messages.
    pub(crate) message_window: f64,
    /// Time without a fetch of the host list after which the director is held to know all changes; `None` if the list
    /// is pushed.
    pub(crate) max_list_silence: Option<f64>,
}

impl Parameters {
    /// Derives the parameters from a director's settings.
    pub(crate) fn new(settings: &Settings) -> Self {
        let routes = &settings.routes;
        let latency_slos: Vec<f64> = routes.iter().map(|route| route.latency_target).collect();
        let tightest_slo = latency_slos.iter().copied().fold(f64::INFINITY, f64::min);
        let proxy_count = settings.proxy_count as f64;
        // The settings state the absence of a limit as 0.
        let max_messages = match settings.max_messages_per_window {
            0 => usize::MAX,
            limit => limit as usize,
        };
        Parameters {
            cold_capacity_share: settings.cold_capacity_share,
            slow_start_duration: settings.slow_start_duration,
            collapse_multiple: settings.collapse_multiple,
            report_interval: settings.report_interval,
            probes_allowed: settings.probes_allowed,
            removal_is_advisory: settings.removal_is_advisory,
            exclusive_ownership: settings.exclusive_ownership,
            route_values: routes.iter().map(|route| route.value).collect(),
            latency_slos,
            tightest_slo,
            idempotent: routes.iter().map(|route| route.idempotency == Idempotency::Idempotent).collect(),
            default_retry: settings.default_retry_policy,
            admission_by_share: settings.admission_unit == AdmissionUnit::Fraction,
            message_overhead: settings.message_overhead_lines,
            proxy_count,
            uses_slices: settings.slice_count > 0,
            slice_count: settings.slice_count as f64,
            lines_per_s: settings.channel_lines_per_s,
            round_time: proxy_count * (settings.message_overhead_lines + 1.0)
                / settings.channel_lines_per_s.max(1.0),
            max_backlog: settings.channel_backlog_lines,
            max_transit_time: settings.max_transit_time,
            max_messages,
            message_window: settings.message_window,
            max_list_silence: (!settings.host_list_is_pushed).then_some(settings.host_list_max_silence),
        }
    }
}
