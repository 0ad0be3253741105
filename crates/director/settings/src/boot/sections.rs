//! The sections of the settings, and the path and unit of each setting.
//!
//! Settings whose meaning is not used here are kept so that settings can be passed on complete. Paths that end in `-ns`
//! hold nanoseconds.

use super::values::{
    Admission, Discovery, Flag, HostSelection, KeyScope, List, ReportSource, Semantics, ValueUnit,
    WeightSource,
};
use crate::{InvalidField, LineField, Value};
use std::collections::BTreeMap;

/// Texts of settings by their paths.
pub type Paths<'a> = BTreeMap<&'a str, &'a str>;

/// Reads the setting at a path, if there is one.
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

/// Declares a section, with the last part of the path of each setting.
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
    /// One class of requests: a route.
    RouteClass,
    /// Factor on the latency target.
    latency_target_stretch: f64 = "aim-stretch",
    /// An answer within this time earns the full weight, nanoseconds.
    latency_target_ns: u64 = "aim-ns",
    /// When clients give up, over all attempts, nanoseconds; absent: at the latency target.
    deadline_ns: u64 = "give-up-ns",
    /// Whether its requests may run more than once; absent: they must not.
    semantics: Semantics = "semantics",
    /// Which hosts share the keys of repeated requests; absent: hosts of one cell.
    key_scope: KeyScope = "group",
    /// Weight of an answer after the latency target.
    late_weight: f64 = "late-worth",
    /// Name of the route.
    name: String = "name",
    /// How long hosts remember the keys of requests, nanoseconds.
    key_window_ns: u64 = "window-ns",
    /// Priority weight; absent: 1.
    weight: f64 = "worth",
);

section!(
    /// Settings without a section.
    General,
    /// Name of the director's zone.
    zone: String = "az",
    /// Number of directors; absent: 1.
    directors: u64 = "balancers",
    /// How the endpoint list comes; absent: pushed.
    discovery: Discovery = "discovery",
    /// Name of the family of platforms.
    family: String = "family",
    /// Names of the machine kinds.
    kinds: List<String> = "kinds",
    /// This director's number; absent: 0.
    director_id: u64 = "me",
    /// Length of a round, nanoseconds.
    round_ns: u64 = "round-ns",
    /// What the value of an answer is counted by.
    value_by: ValueUnit = "value-by",
    /// Where the list's weights come from; absent: it has none.
    weight_source: WeightSource = "weight-source",
    /// Names of the zones.
    zones: List<String> = "zones",
    /// Names of the figures in load reports.
    report_columns: List<String> = "report.columns",
    /// How load reports come.
    report_source: ReportSource = "report.source",
);

section!(
    /// Goals of the service. They do not enter the decisions.
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
    /// Silence of the endpoint list after which the director counts as notified, nanoseconds.
    notified_within_ns: u64 = "ask-within-ns",
    /// Share of its capacity that a host has at its start, at least; absent: 0.
    cold_capacity_share: f64 = "cold-from",
    /// A cold host collapses when it gets this multiple of the requests that it can serve; absent: 1.
    collapse_multiple: f64 = "fall-multiple",
    /// How long a cold host must get as much until it collapses, nanoseconds.
    collapse_time_ns: u64 = "fall-ns",
    /// A request that was rejected as too much may have run all the same; absent: not.
    rejected_may_have_run: Flag = "full-may-have-run",
    /// A host that the list shows as gone may still serve: the list only advises; absent: it doesn't serve.
    gone_is_advisory: Flag = "gone-is-advice",
    /// Time after its start at which a host has its full capacity at the latest, nanoseconds.
    slow_start_ns: u64 = "ramp-time-ns",
    /// Time allowed for an order to take effect, nanoseconds.
    stop_sending_within_ns: u64 = "stop-sending-within-ns",
);

section!(
    /// What the director may do and use.
    Limits,
    /// Time limit for connecting, nanoseconds.
    connect_timeout_ns: u64 = "connect-timeout-ns",
    /// Processor time that the director may use, microseconds per second.
    cpu_us_per_s: f64 = "cpu-us-per-s",
    /// Time after which an idle connection is closed, nanoseconds.
    idle_close_ns: u64 = "idle-close-ns",
    /// Whether hosts may be health-checked; absent: not.
    health_checks: Flag = "may-probe",
    /// Requests under way on one connection.
    multiplex: u64 = "multiplex",
    /// Whether directors may send each other messages; absent: not.
    peer_messages: Flag = "peers",
);

section!(
    /// Properties of the platform.
    Specifics,
    /// What proxies can limit admission by; absent: they can't.
    admission: Admission = "admission",
    /// Table lines that may wait to be sent.
    backlog_lines: f64 = "backlog",
    /// For each class, whether its requests stay in their own zone; absent: they don't.
    class_own_zone: List<Flag> = "class-own-zone",
    /// Cost of a table line.
    cost_per_line: f64 = "cost-per-line",
    /// Default size.
    default_size: u64 = "default-size",
    /// Failures in a row after which a proxy ejects a host by itself; absent or 0: it never does.
    eject_after_failures: u64 = "ejects",
    /// A slice has one director at a time; absent: not.
    exclusive: Flag = "exclusive",
    /// Cost of a handover.
    handover_cost: f64 = "handover-fee",
    /// Longest time from the arrival of a write at its proxy until no host works on it any more, nanoseconds.
    max_in_flight_ns: u64 = "in-flight-max-ns",
    /// Rate at which table lines are taken in.
    ingest_rate: f64 = "ingest-rate",
    /// Interval of reports, nanoseconds.
    report_interval_ns: u64 = "interval-ns",
    /// Table lines that can be sent per second.
    lines_per_s: f64 = "lines-per-s",
    /// For each class, whether its requests write; absent: they do.
    mutating: List<Flag> = "mutating",
    /// Cost of a message without its table lines.
    message_overhead: f64 = "overhead",
    /// Cost of an attempt.
    cost_per_attempt: f64 = "per-try",
    /// How proxies select a host.
    pick: HostSelection = "pick",
    /// Number of proxies, whose numbers are below it; absent or 0: unknown.
    proxy_count: u64 = "proxy-count",
    /// Most messages to one proxy within `update-window-ns`; absent or 0: no limit.
    max_updates: u64 = "reloads-max",
    /// Retries where no order says otherwise: 1 if the first attempt did not run, 2 once, 3 twice; absent or else:
    /// never.
    default_retries: u64 = "retry-default",
    /// Number of slices, whose numbers are below it; absent or 0: there are no slices.
    slices: u64 = "slices",
    /// Size of the smallest connection table.
    smallest_connection_table: f64 = "smallest-conn-table",
    /// Length of a slice lease, nanoseconds.
    lease_ns: u64 = "tenure-ns",
    /// Longest time that an order takes to the proxies, nanoseconds.
    max_propagation_ns: u64 = "transit-max-ns",
    /// Time that an order usually takes to the proxies, nanoseconds.
    propagation_ns: u64 = "transit-ns",
    /// Longest time that a proxy may be without a line, nanoseconds.
    max_unserved_ns: u64 = "unserved-max-ns",
    /// Period in which messages to a proxy are counted, nanoseconds.
    update_window_ns: u64 = "update-window-ns",
    /// Time that a request waits at a proxy for a table, nanoseconds.
    waits_for_table_ns: u64 = "waits-for-table-ns",
    /// Hosts keep state of the keys that they serve, so that moving keys costs; absent: not.
    warm_keys: Flag = "warm-keys",
    /// Tables differ by zone.
    zonal: Flag = "zonal",
);

section!(
    /// Costs, in relation to each other. They do not enter the decisions.
    Tariffs,
    /// Of a connection.
    connection: f64 = "connection",
    /// Of traffic between zones.
    cross_zone: f64 = "cross-zone",
    /// Of requests to discovery.
    discovery: f64 = "discovery",
    /// Of the fleet.
    fleet: f64 = "fleet",
    /// Of a handshake.
    handshake: f64 = "handshake",
    /// Of a late failure.
    late_failure: f64 = "late-fail",
    /// Of keys moved to another host.
    moves: f64 = "moves",
    /// Of a message between directors.
    peer_message: f64 = "peer",
    /// Of a health check.
    health_check: f64 = "probe",
    /// Of wasted work.
    waste: f64 = "waste",
);
