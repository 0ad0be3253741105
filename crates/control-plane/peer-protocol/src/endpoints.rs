//! Changes of the endpoints of backend services.
use serde::{Deserialize, Serialize};

/// The states of an endpoint, in the order in which it goes through them; none goes back.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointState {
    /// It takes requests.
    #[default]
    Ready,
    /// It finishes its requests and takes no new ones.
    #[serde(rename = "emptying")]
    Draining,
    /// It has ended. Its id does not come back.
    #[serde(rename = "gone")]
    Removed,
}

/// The state of one instance of a backend service, from its registration to its end.
///
/// The control-plane node that receives the endpoint's heartbeats sends it when anything of it changes. Of two updates of one
/// id the receiver keeps the one with the higher heartbeat sequence, but the later state of both.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct EndpointUpdate {
    /// Identifies this instance; a restarted one has another id.
    #[serde(rename = "ident")]
    pub id: String,
    /// The name of its service.
    #[serde(rename = "backend")]
    pub service: String,
    /// "ip:port".
    pub address: String,
    /// Its zone.
    #[serde(rename = "area")]
    pub zone: String,
    /// Its weight relative to the other endpoints of the service.
    pub capacity: u32,
    /// The version of the service that it runs, for rollouts.
    #[serde(rename = "revision")]
    pub version: String,
    /// How far it is in its life.
    #[serde(rename = "stage")]
    pub state: EndpointState,
    /// It has missed heartbeats, but is not removed and may come back.
    #[serde(rename = "silent")]
    pub suspect: bool,
    /// How much longer its slow start lasts, in milliseconds from when this was sent.
    #[serde(rename = "cold_ms")]
    pub slow_start_ms: u64,
    /// How many heartbeats it has sent.
    #[serde(rename = "calls")]
    pub heartbeat_sequence: u64,
    /// The control-plane node that receives its heartbeats.
    #[serde(rename = "via")]
    pub reported_by: String,
}
