//! The sections of the settings, and the path and unit of each setting.
//!
//! Settings that the director does not use are kept as well, so that the settings can be passed on in full. The values
//! of paths that end in `-ns` are in nanoseconds.

use super::values::{
    Admission, Discovery, Flag, HostSelection, KeyScope, List, ReportSource, Semantics, ValueUnit,
    WeightSource,
};
use crate::{InvalidField, LineField, Value};
use std::collections::BTreeMap;

/// Texts of settings by their paths.
pub type Paths<'a> = BTreeMap<&'a str, &'a str>;

/// Parses the setting at a path, if it is present.
pub(super) fn read_optional<T: Value>(paths: &Paths<'_>, path: &str) -> Result<Option<T>, InvalidField> {
    let Some(text) = paths.get(path) else {
        return Ok(None);
    };
    match T::parse(text) {
        Some(value) => Ok(Some(value)),
        None => Err(InvalidField {
            field: path.to_string(),
            found: Some(text.to_string()),
            expected: T::EXPECTED,
        }),
    }
}

/// Declares a section. Each setting is given with the part of its path that follows the section's prefix.
macro_rules! section {
    ($(#[$attribute:meta])* $name:ident, $($(#[$field_attribute:meta])* $field:ident: $type:ty = $path:literal),+ $(,)?) => {
        $(#[$attribute])*
        #[derive(Clone, Debug, Default, PartialEq)]
        pub struct $name {
            $(
                $(#[$field_attribute])*
                #[doc = concat!("\n\nPath: `", $path, "`.")]
                pub $field: Option<$type>,
            )+
        }

        impl $name {
            pub(super) fn read(paths: &Paths<'_>, prefix: &str) -> Result<Self, InvalidField> {
                Ok($name { $($field: read_optional(paths, &format!("{prefix}{}", $path))?),+ })
            }

            pub(super) fn write(&self, prefix: &str, out: &mut String) {
                $(
                    if let Some(value) = &self.$field {
                        value.write(&format!("{prefix}{}", $path), out);
                    }
                )+
            }
        }
    };
}

section!(
    /// One class of requests, which is a route.
    RouteClass,
    /// Factor by which the latency target is multiplied.
    latency_target_stretch: f64 = "aim-stretch",
    /// Latency target, nanoseconds: an answer within this time earns the full weight.
    latency_target_ns: u64 = "aim-ns",
    /// Time after which clients give up, all attempts included, nanoseconds; absent: the latency target.
    deadline_ns: u64 = "give-up-ns",
    /// Whether its requests may be executed more than once; absent: they must not.
    semantics: Semantics = "semantics",
    /// Which hosts share the idempotency keys by which they drop repeated requests; absent: hosts of one cell.
    key_scope: KeyScope = "group",
    /// Weight of an answer after the latency target.
    late_weight: f64 = "late-worth",
    /// Name of the route.
    name: String = "name",
    /// How long hosts remember the idempotency keys of requests, nanoseconds.
    key_window_ns: u64 = "window-ns",
    /// Priority weight, earned by an answer within the latency target; absent: 1.
    weight: f64 = "worth",
);

section!(
    /// Settings outside of any section.
    General,
    /// Name of the director's zone.
    zone: String = "az",
    /// Number of directors; absent: 1.
    directors: u64 = "balancers",
    /// How the director receives the endpoint list; absent: pushed.
    discovery: Discovery = "discovery",
    /// Name of the family of platforms.
    family: String = "family",
    /// Names of the machine kinds.
    kinds: List<String> = "kinds",
    /// This director's number; absent: 0.
    director_id: u64 = "me",
    /// Duration of a round, nanoseconds.
    round_ns: u64 = "round-ns",
    /// Unit in which the value of an answer is counted.
    value_by: ValueUnit = "value-by",
    /// Source of the weights in the endpoint list; absent: the list has none.
    weight_source: WeightSource = "weight-source",
    /// Names of the zones.
    zones: List<String> = "zones",
    /// Names of the values in load reports.
    report_columns: List<String> = "report.columns",
    /// How the director receives load reports.
    report_source: ReportSource = "report.source",
);

section!(
    /// Goals of the service. The director's decisions do not depend on them.
    Goals,
    /// Goal for the tail.
    tail: f64 = "tail",
    /// Goal for missed tails.
    tail_miss: f64 = "tail-miss",
    /// Goal for the service as a whole.
    overall: f64 = "whole",
    /// Goal for the worst class.
    worst_class: f64 = "worst-class",
    /// Goal for the worst tenant.
    worst_tenant: f64 = "worst-tenant",
    /// Goal for the worst window of time.
    worst_window: f64 = "worst-window",
);

section!(
    /// What hosts, proxies and the endpoint list guarantee.
    Guarantees,
    /// Time without a fetch of the endpoint list after which the director is deemed to know all changes, nanoseconds.
    notified_within_ns: u64 = "ask-within-ns",
    /// Minimum share of its full capacity that a host has right after its start; absent: 0.
    cold_capacity_share: f64 = "cold-from",
    /// Load, as a multiple of its current capacity, under which a cold host collapses; absent: 1.
    collapse_multiple: f64 = "fall-multiple",
    /// How long this load must last until a cold host collapses, nanoseconds.
    collapse_time_ns: u64 = "fall-ns",
    /// Whether a request that was rejected because of overload may still have been executed; absent: no.
    rejected_may_have_run: Flag = "full-may-have-run",
    /// Whether a host that the list shows as gone may still serve, so that the list is only advisory; absent: no.
    gone_is_advisory: Flag = "gone-is-advice",
    /// Maximum time from its start until a host has its full capacity, nanoseconds.
    slow_start_ns: u64 = "ramp-time-ns",
    /// Time allowed for an order to take effect, nanoseconds.
    stop_sending_within_ns: u64 = "stop-sending-within-ns",
);

section!(
    /// Actions and resources that the director is allowed.
    Limits,
    /// Time limit for connecting, nanoseconds.
    connect_timeout_ns: u64 = "connect-timeout-ns",
    /// Processor time that the director may use, microseconds per second.
    cpu_us_per_s: f64 = "cpu-us-per-s",
    /// Time after which an idle connection is closed, nanoseconds.
    idle_close_ns: u64 = "idle-close-ns",
    /// Whether the director may send health checks to hosts; absent: no.
    health_checks: Flag = "may-probe",
    /// Concurrent requests on one connection.
    multiplex: u64 = "multiplex",
    /// Whether directors may send messages to each other; absent: no.
    peer_messages: Flag = "peers",
);

section!(
    /// Properties of the platform.
    Specifics,
    /// How proxies can limit admission; absent: they cannot.
    admission: Admission = "admission",
    /// Maximum number of table lines waiting to be sent.
    backlog_lines: f64 = "backlog",
    /// For each class, whether its requests stay in their own zone; absent: no.
    class_own_zone: List<Flag> = "class-own-zone",
    /// Cost of a table line.
    cost_per_line: f64 = "cost-per-line",
    /// Default size.
    default_size: u64 = "default-size",
    /// Number of consecutive failures after which a proxy ejects a host by itself; absent or 0: never.
    eject_after_failures: u64 = "ejects",
    /// Whether a slice has only one director at a time; absent: no.
    exclusive: Flag = "exclusive",
    /// Cost of a handover.
    handover_cost: f64 = "handover-fee",
    /// Maximum time from the arrival of a write at its proxy until no host is processing it any more, nanoseconds.
    max_in_flight_ns: u64 = "in-flight-max-ns",
    /// Rate at which table lines are ingested.
    ingest_rate: f64 = "ingest-rate",
    /// Interval between reports, nanoseconds.
    report_interval_ns: u64 = "interval-ns",
    /// Table lines that can be sent per second.
    lines_per_s: f64 = "lines-per-s",
    /// For each class, whether its requests are writes; absent: yes.
    mutating: List<Flag> = "mutating",
    /// Cost of a message without its table lines.
    message_overhead: f64 = "overhead",
    /// Cost of an attempt.
    cost_per_attempt: f64 = "per-try",
    /// How proxies select a host of a table.
    pick: HostSelection = "pick",
    /// Number of proxies, which are numbered from 0; absent or 0: unknown.
    proxy_count: u64 = "proxy-count",
    /// Maximum number of messages to one proxy within `update-window-ns`; absent or 0: no limit.
    max_updates: u64 = "reloads-max",
    /// Retry policy where no order sets one. 1: one retry if the first attempt was not executed; 2: one retry; 3: two
    /// retries; absent or another number: no retry.
    default_retries: u64 = "retry-default",
    /// Number of slices, which are numbered from 0; absent or 0: there are no slices.
    slices: u64 = "slices",
    /// Size of the smallest connection table.
    smallest_connection_table: f64 = "smallest-conn-table",
    /// Duration of a slice lease, nanoseconds.
    lease_ns: u64 = "tenure-ns",
    /// Maximum time until an order reaches the proxies, nanoseconds.
    max_propagation_ns: u64 = "transit-max-ns",
    /// Typical time until an order reaches the proxies, nanoseconds.
    propagation_ns: u64 = "transit-ns",
    /// Maximum time that a proxy may be without a table line, nanoseconds.
    max_unserved_ns: u64 = "unserved-max-ns",
    /// Period over which `reloads-max` limits the messages to a proxy, nanoseconds.
    update_window_ns: u64 = "update-window-ns",
    /// Time that a request waits at a proxy for a table, nanoseconds.
    waits_for_table_ns: u64 = "waits-for-table-ns",
    /// Whether hosts cache state of the keys that they serve, so that moving a key to another host has a cost; absent:
    /// no.
    warm_keys: Flag = "warm-keys",
    /// Whether tables differ between zones.
    zonal: Flag = "zonal",
);

section!(
    /// Costs, relative to each other. The director's decisions do not depend on them.
    Tariffs,
    /// Cost of a connection.
    connection: f64 = "connection",
    /// Cost of traffic between zones.
    cross_zone: f64 = "cross-zone",
    /// Cost of requests to the discovery service.
    discovery: f64 = "discovery",
    /// Cost of the fleet of hosts.
    fleet: f64 = "fleet",
    /// Cost of a handshake.
    handshake: f64 = "handshake",
    /// Cost of a late failure.
    late_failure: f64 = "late-fail",
    /// Cost of moving keys to another host.
    moves: f64 = "moves",
    /// Cost of a message between directors.
    peer_message: f64 = "peer",
    /// Cost of a health check.
    health_check: f64 = "probe",
    /// Cost of wasted work.
    waste: f64 = "waste",
);
