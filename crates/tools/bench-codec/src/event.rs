//! What the bench sends.

use crate::field::{Octets, Outcome, Scope, Status, Telemetry};
use coppersail_settings::DirectorSettings;

messages!(
    /// An event at one director instance, whose number is `instance`. Durations and times are in nanoseconds.
    Event,
    /// The instance starts.
    "CONFIGURE" => Configure {
        /// Number of the instance.
        instance: u64 = "who",
        /// Seed of its random numbers.
        seed: u64 = "init-seed",
        /// Its settings, as fields under their paths.
        boot: Box<DirectorSettings> = "boot-info",
    },
    /// An endpoint list; its entries follow as `Item`s.
    "MEMBERS" => Members {
        /// Number of the instance.
        instance: u64 = "who",
        /// What the entries are.
        scope: Scope = "scope",
        /// Version of the list.
        version: u64 = "rev",
        /// Number of entries; absent: none.
        count: Option<u64> = "members-list",
    },
    /// An entry of the endpoint list before it.
    "ITEM" => Item {
        /// Name of the machine kind.
        machine_kind: String = "sku",
        /// When the process last started, nanoseconds of the bench's clock; absent or 0: unknown, long ago.
        born_ns: Option<u64> = "born-ns",
        /// Address of the host.
        host: String = "host",
        /// Capacity in relation to the others.
        weight: f64 = "w",
        /// The small group of hosts that it belongs to (cell).
        cell: u64 = "block",
        /// Name of its zone.
        zone: String = "rack-zone",
        /// Whether it takes requests.
        status: Status = "status",
    },
    /// Requests for one slice in one route.
    "HEAT" => Demand {
        /// Number of the instance.
        instance: u64 = "who",
        /// Length of the period, nanoseconds.
        window_ns: u64 = "covers-ns",
        /// Name of the route.
        route: String = "grade",
        /// Requests that were dropped.
        dropped: u64 = "bad",
        /// Requests that came.
        requests: u64 = "many",
        /// Number of the slice.
        slice: u16 = "table",
    },
    /// The instance's ownership of a slice changes.
    "TENURE" => SliceOwnership {
        /// Number of the instance.
        instance: u64 = "who",
        /// It owns the slice from now on; else not any more.
        set: bool = "set",
        /// Number of the slice.
        slice: u16 = "table",
    },
    /// The instance ends.
    "STOP" => Stop {
        /// Number of the instance.
        instance: u64 = "who",
    },
    /// A timer that `Order::SetTimer` set.
    "REMINDER" => TimerFired {
        /// Number of the instance.
        instance: u64 = "who",
        /// The timer's number.
        token: u64 = "ref",
    },
    /// A proxy has connected.
    "CHECKED_IN" => ProxyJoined {
        /// Number of the instance.
        instance: u64 = "who",
        /// Number of the proxy.
        proxy: u16 = "proxy",
        /// Name of its zone.
        zone: String = "rack-zone",
        /// Requests per second that it carries.
        weight: f64 = "w",
        /// It has had no table from this instance since its own start.
        set: bool = "set",
    },
    /// A weight that is stored for a slice.
    "CURRENT_OWNER" => StoredWeight {
        /// Number of the instance.
        instance: u64 = "who",
        /// Number of the slice.
        slice: u16 = "table",
        /// The weight.
        weight: f64 = "w",
        /// Address of the host.
        host: String = "host",
    },
    /// A message of another instance.
    "DATAGRAM" => Datagram {
        /// Number of the instance.
        instance: u64 = "who",
        /// Number of the sender.
        sender: u64 = "src",
        /// The message.
        payload: Octets = "octets",
    },
    /// The outcome of a health check.
    "PONG" => HealthCheckResult {
        /// Number of the instance.
        instance: u64 = "who",
        /// Address of the host.
        host: String = "host",
        /// How it ended.
        outcome: Outcome = "outcome",
        /// How long it took, nanoseconds.
        duration_ns: u64 = "time-taken-ns",
        /// The load report in its answer.
        telemetry: Option<Telemetry> = "telemetry",
    },
    /// A proxy acknowledges the orders up to an `Order::RequestAcknowledgement`.
    "RECEIPT" => Acknowledged {
        /// Number of the instance.
        instance: u64 = "who",
        /// Number of the proxy.
        proxy: u16 = "proxy",
        /// Time from the order to its application, nanoseconds.
        duration_ns: u64 = "time-taken-ns",
        /// The number of the `Order::RequestAcknowledgement`.
        version: u16 = "rev",
    },
    /// A proxy has disconnected.
    "DROPPED_OFF" => ProxyLeft {
        /// Number of the instance.
        instance: u64 = "who",
        /// Number of the proxy.
        proxy: u16 = "proxy",
    },
    /// Requests of one proxy in one route, where there are no slices.
    "INTAKE" => Intake {
        /// Number of the instance.
        instance: u64 = "who",
        /// Number of the proxy.
        proxy: u16 = "proxy",
        /// Name of the route.
        route: String = "grade",
        /// Requests that came.
        requests: u64 = "many",
        /// Requests that were dropped.
        dropped: u64 = "bad",
        /// Length of the period, nanoseconds.
        window_ns: u64 = "covers-ns",
    },
    /// The outcomes of the attempts that the proxies of one zone made at one host.
    "ROUNDUP" => AttemptReport {
        /// Number of the instance.
        instance: u64 = "who",
        /// Mean response time of the answered attempts, nanoseconds; 0 if there were none.
        duration_ns: u64 = "time-taken-ns",
        /// Name of the proxies' zone.
        zone: String = "rack-zone",
        /// Length of the period, nanoseconds.
        window_ns: u64 = "covers-ns",
        /// Address of the host.
        host: String = "host",
        /// Attempts that ended.
        requests: u64 = "many",
        /// Attempts without a usable answer.
        dropped: u64 = "bad",
        /// The load report that came with the answers.
        telemetry: Option<Telemetry> = "telemetry",
    },
);
