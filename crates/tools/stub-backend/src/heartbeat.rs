//! The messages between an endpoint and a control-plane node: heartbeat, response, and the lease rows in both.
use serde::{Deserialize, Serialize};

/// The state that an endpoint reports. A stub is ready at once, so it never reports that it is starting; after
/// draining it signs off and is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointState {
    /// It takes requests.
    Ready,
    /// It shuts down gracefully: new requests should go elsewhere.
    #[serde(rename = "emptying")]
    Draining,
}

/// The body of `POST /servers/ID/pulse`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Heartbeat {
    /// The service to which the endpoint belongs.
    #[serde(rename = "backend")]
    pub service: String,
    /// Where it serves, as "ip:port".
    pub address: String,
    /// Its zone.
    #[serde(rename = "area")]
    pub zone: String,
    /// The revision of its software.
    pub revision: String,
    /// Requests that it runs at once.
    pub capacity: u32,
    /// Whether it is ready or draining.
    #[serde(rename = "stage")]
    pub state: EndpointState,
    /// What remains of its slow start, as a duration with its unit.
    #[serde(rename = "warmLeft")]
    pub slow_start_left: String,
    /// Heartbeats that this incarnation has sent, this one included.
    #[serde(rename = "callCount")]
    pub sequence: u64,
    /// Key ranges under lease; only of a sharded service.
    #[serde(rename = "held", default, skip_serializing_if = "Option::is_none")]
    pub leases: Option<Vec<ActiveLease>>,
    /// Key ranges whose release has not been acknowledged yet; only of a sharded service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub released: Option<Vec<ReleasedRange>>,
}

/// The response to a heartbeat.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct HeartbeatResponse {
    /// The node to which the next heartbeats go, as "ip:port".
    #[serde(rename = "reportTo", skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
    /// All leases of the endpoint: what is missing is to be released.
    #[serde(rename = "held", skip_serializing_if = "Option::is_none")]
    pub leases: Option<Vec<LeaseGrant>>,
    /// For how long the leases hold from when the heartbeat was sent, as a duration with its unit.
    #[serde(rename = "keep_time", skip_serializing_if = "Option::is_none")]
    pub lease_duration: Option<String>,
}

/// A body that is no response to a heartbeat.
#[derive(Debug, thiserror::Error)]
#[error("an answer that can't be read")]
pub struct InvalidResponse(#[from] serde_json::Error);

impl HeartbeatResponse {
    /// The longest response that an endpoint accepts, in bytes.
    pub const MAX_BYTES: usize = 4096;

    /// Parses the body of a response. An empty body acknowledges the heartbeat and says nothing else.
    ///
    /// # Errors
    /// The body is neither empty nor a JSON object of this form.
    pub fn parse(body: &[u8]) -> Result<HeartbeatResponse, InvalidResponse> {
        match body {
            [] => Ok(HeartbeatResponse::default()),
            _ => Ok(serde_json::from_slice(body)?),
        }
    }
}

/// A lease of the keys `from` to `to`: `[from, to, fencing token, handover]`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u32, u64, String)", into = "(u32, u32, u64, String)")]
pub struct LeaseGrant {
    /// First key.
    pub from: u32,
    /// Last key.
    pub to: u32,
    /// Rises with each owner of a key (Kleppmann, How to do distributed locking).
    pub fencing_token: u64,
    /// What the last owner named for the state transfer, or "".
    pub handover: String,
}

impl From<(u32, u32, u64, String)> for LeaseGrant {
    fn from((from, to, fencing_token, handover): (u32, u32, u64, String)) -> LeaseGrant {
        LeaseGrant { from, to, fencing_token, handover }
    }
}

impl From<LeaseGrant> for (u32, u32, u64, String) {
    fn from(grant: LeaseGrant) -> Self {
        (grant.from, grant.to, grant.fencing_token, grant.handover)
    }
}

/// A lease, as a heartbeat reports it: `[from, to, fencing token]`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u32, u64)", into = "(u32, u32, u64)")]
pub struct ActiveLease {
    /// First key.
    pub from: u32,
    /// Last key.
    pub to: u32,
    /// The fencing token of its grant.
    pub fencing_token: u64,
}

impl From<(u32, u32, u64)> for ActiveLease {
    fn from((from, to, fencing_token): (u32, u32, u64)) -> ActiveLease {
        ActiveLease { from, to, fencing_token }
    }
}

impl From<ActiveLease> for (u32, u32, u64) {
    fn from(lease: ActiveLease) -> Self {
        (lease.from, lease.to, lease.fencing_token)
    }
}

/// Keys that the endpoint has released, as a heartbeat reports them: `[from, to, handover]`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u32, String)", into = "(u32, u32, String)")]
pub struct ReleasedRange {
    /// First key.
    pub from: u32,
    /// Last key.
    pub to: u32,
    /// Names the state that the next owner may fetch; unique in this incarnation of the endpoint.
    pub handover: String,
}

impl From<(u32, u32, String)> for ReleasedRange {
    fn from((from, to, handover): (u32, u32, String)) -> ReleasedRange {
        ReleasedRange { from, to, handover }
    }
}

impl From<ReleasedRange> for (u32, u32, String) {
    fn from(released: ReleasedRange) -> Self {
        (released.from, released.to, released.handover)
    }
}
