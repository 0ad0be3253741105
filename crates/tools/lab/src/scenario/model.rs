//! The fields of a scenario. Times are in seconds. `rename` holds a field's name in files, whatever it is called here.

use super::changes::Change;
use super::faults::Fault;
use serde::{Deserialize, Serialize};

/// Share of calls whose key is remembered, where a slice has one host and calls come as they do by default.
const DEFAULT_HIT_RATIO: f64 = 0.9;

/// A play: what is there, what happens to it, and what must hold.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Scenario {
    /// Its name in tables; that of its file if it has none.
    pub name: String,
    /// Calls arrive for so many seconds; the play goes on until all are answered or given up.
    pub seconds: f64,
    /// Hosts, proxies and directors.
    pub fleet: Fleet,
    /// The clients' calls.
    pub load: Load,
    /// How orders reach the proxies.
    pub channel: Channel,
    /// What directors are told of calls and hosts.
    pub reports: Reports,
    /// How directors learn of hosts.
    pub list: EndpointSettings,
    /// What goes wrong, and when.
    pub faults: Vec<Fault>,
    /// What operators submit; only the director's reducer takes it.
    pub changes: Vec<Change>,
    /// What must hold.
    pub checks: Checks,
}

/// The emulated fleet.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// Number of zones, over which hosts, proxies and directors are spread.
    pub zones: u16,
    /// Number of hosts.
    pub hosts: u32,
    /// Number of directors, between which the slices are divided.
    pub directors: usize,
    /// Number of proxies.
    pub proxies: u16,
    /// Number of slices.
    pub slices: u16,
    /// Cores of each host; each works on one call at a time.
    pub cores: u32,
    /// How far hosts' speeds lie about 1, as a share.
    pub speed_spread: f64,
    /// Share of its speed with which a host starts.
    #[serde(rename = "cold_from")]
    pub slow_start_speed: f64,
    /// Seconds until a host that starts has its full speed.
    #[serde(rename = "ramp_time")]
    pub slow_start_duration: f64,
    /// A host in slow start fails when it is sent so many times the work that it can do...
    #[serde(rename = "fall_multiple")]
    pub collapse_multiple: f64,
    /// ...in so many seconds.
    #[serde(rename = "fall_time")]
    pub collapse_time: f64,
    /// Seconds within which attempts at a draining host must end.
    pub grace: f64,
    /// Mean latency within a zone, one way, in seconds.
    #[serde(rename = "near")]
    pub intra_zone_latency: f64,
    /// Mean latency between zones, one way, in seconds.
    #[serde(rename = "far")]
    pub inter_zone_latency: f64,
    /// Share of the work that a host saves on a call whose key it has met lately.
    #[serde(rename = "memory_saves")]
    pub cache_saving: f64,
    /// Seconds for which a host remembers a key.
    #[serde(rename = "memory_time")]
    pub cache_lifetime: f64,
    /// Keys of a slice.
    #[serde(rename = "keys")]
    pub keys_per_slice: f64,
    /// Failures in a row after which a proxy ejects a host; 0: never.
    #[serde(rename = "ejects_after")]
    pub eject_after_failures: u8,
    /// Seconds for which it ejects it.
    #[serde(rename = "ejects_for")]
    pub ejection_time: f64,
    /// Calls that may wait at a host; further ones are rejected.
    #[serde(rename = "queue_most")]
    pub max_queue: usize,
}

/// The load that clients put on the fleet.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// Share of the fleet's warm capacity that is asked for.
    #[serde(rename = "fill")]
    pub utilization: f64,
    /// The routes of calls.
    pub routes: Vec<Route>,
    /// Slices differ in size: the exponent of a Zipf law.
    #[serde(rename = "skew")]
    pub zipf_exponent: f64,
    /// Share of the calls that goes to a few hot slices.
    pub hot_share: f64,
    /// Number of hot slices.
    pub hot_slices: u16,
    /// Mean seconds after which other slices are hot.
    #[serde(rename = "hot_time")]
    pub hot_interval: f64,
    /// How often clients retry by themselves.
    #[serde(rename = "again")]
    pub client_retries: u32,
    /// Seconds after which they do.
    #[serde(rename = "again_after")]
    pub client_retry_delay: f64,
}

/// Calls of one kind.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Route {
    /// Its name in tables and in operators' changes.
    pub name: String,
    /// Its share of the calls, relative to that of the other routes.
    pub share: f64,
    /// Mean work of a call, in seconds of a core of speed 1.
    #[serde(rename = "work")]
    pub mean_work: f64,
    /// Standard deviation of the logarithm of the work.
    #[serde(rename = "tail")]
    pub work_sigma: f64,
    /// Latency target in seconds.
    #[serde(rename = "slo")]
    pub latency_target: f64,
    /// Seconds after which its client gives up.
    #[serde(rename = "limit")]
    pub deadline: f64,
    /// Weight of a call in service.
    pub importance: f64,
    /// A call may be run more than once.
    #[serde(rename = "repeatable")]
    pub idempotent: bool,
}

/// The channel that takes directors' orders to the proxies.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Channel {
    /// Lines a second that it writes, summed over the proxies.
    pub lines_per_s: f64,
    /// Lines that may wait.
    #[serde(rename = "backlog")]
    pub max_backlog: f64,
    /// What a message costs beside its orders, in lines.
    #[serde(rename = "overhead")]
    pub message_overhead: f64,
    /// Mean seconds from the channel to a proxy.
    pub transit: f64,
}

/// Reports about calls and hosts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Reports {
    /// Seconds that a report covers.
    pub interval: f64,
    /// Seconds by which it is late.
    #[serde(rename = "late")]
    pub delay: f64,
    /// Hosts report how busy their cores are; else how many calls wait, and service times.
    #[serde(rename = "cores")]
    pub reports_core_usage: bool,
}

/// The list of hosts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct EndpointSettings {
    /// Seconds by which it is late.
    #[serde(rename = "late")]
    pub delay: f64,
}

/// What must hold.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Checks {
    /// None of the five rules is violated.
    pub rules: bool,
    /// The lowest service, from 0 to 1, of the whole play.
    #[serde(rename = "service_least")]
    pub min_service: f64,
    /// The lowest service in the worst ten seconds.
    #[serde(rename = "worst_least")]
    pub min_worst_service: f64,
}

impl Scenario {
    /// Calls a second that the load comes to, where hosts remember the keys of what they are sent.
    pub fn calls_per_s(&self) -> f64 {
        let shares: f64 = self.load.routes.iter().map(|route| route.share).sum();
        let work: f64 = self.load.routes.iter().map(|route| route.share / shares * route.mean_work).sum();
        let warm_work = work * (1.0 - DEFAULT_HIT_RATIO * self.fleet.cache_saving);
        self.load.utilization * f64::from(self.fleet.hosts) * f64::from(self.fleet.cores) / warm_work
    }
}
