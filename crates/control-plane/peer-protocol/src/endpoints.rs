//! Changes of the endpoints of backend services.
use crate::optional::is_default;
use serde::{Deserialize, Serialize};
use std::fmt;

/// The states of an endpoint, in the order in which it goes through them; it never returns to an earlier one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointState {
    /// It accepts requests.
    #[default]
    Ready,
    /// It finishes its requests and accepts no new ones.
    #[serde(rename = "emptying")]
    Draining,
    /// It has terminated. Its id is not used again.
    #[serde(rename = "gone")]
    Removed,
}

impl fmt::Display for EndpointState {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            EndpointState::Ready => "ready",
            EndpointState::Draining => "draining",
            EndpointState::Removed => "removed",
        })
    }
}

/// The state of one instance of a backend service, from its registration to its end.
///
/// The control-plane node that receives the endpoint's heartbeats sends an update when any field changes. Of
/// two updates with the same id the receiver keeps the one with the higher heartbeat sequence, but the later
/// of both states.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct EndpointUpdate {
    /// Identifies this instance; an instance has a new id after a restart.
    #[serde(rename = "ident")]
    pub id: String,
    /// The name of its service.
    #[serde(rename = "backend")]
    pub service: String,
    /// The address at which it serves, "ip:port".
    pub address: String,
    /// Its zone.
    #[serde(rename = "area")]
    pub zone: String,
    /// Its weight relative to the other endpoints of the service.
    pub capacity: u32,
    /// The version of the service that it runs; rollouts distinguish endpoints by it.
    #[serde(rename = "revision")]
    pub version: String,
    /// The stage of its life cycle.
    #[serde(rename = "stage")]
    pub state: EndpointState,
    /// It has missed heartbeats, but is not removed and may recover.
    #[serde(rename = "silent")]
    pub suspect: bool,
    /// The remaining time of its slow start, in milliseconds from when this update was sent.
    #[serde(rename = "cold_ms")]
    pub slow_start_ms: u64,
    /// How many heartbeats it has sent.
    #[serde(rename = "calls")]
    pub heartbeat_sequence: u64,
    /// The control-plane node that receives its heartbeats.
    #[serde(rename = "via")]
    pub reported_by: String,
    /// It is draining, and that may have been acknowledged some time ago: a receiver that learns of it now
    /// must not count the drain from now.
    #[serde(skip_serializing_if = "is_default")]
    pub drain_acknowledged: bool,
}
