//! The long poll by which edges and control-plane nodes watch a control-plane node: the request and its
//! response.
use crate::assignments::{AssignmentUpdate, RequestCounts};
use crate::endpoints::EndpointUpdate;
use crate::optional::is_default;
use crate::status::MemberStatus;
use serde::{Deserialize, Serialize};

/// A long poll. An edge, or another control-plane node, sends the next one once it has applied the response
/// to the last.
///
/// The receiving node treats the sequence number as an acknowledgement, adds up the counts and reports (or
/// forwards them to the leader), and responds with an [`Update`].
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchRequest {
    /// The sender: the edge's own address without a port.
    pub edge: String,
    /// The zone of the edge.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "area")]
    pub zone: String,
    /// [`Update::feed_id`] of the last response that the sender applied; 0 if there is none.
    #[serde(rename = "feed")]
    pub feed_id: u64,
    /// [`Update::sequence`] of the last response that the sender applied; 0 if there is none.
    #[serde(rename = "seq")]
    pub sequence: u64,
    /// How long the response may be delayed while there is nothing new, in milliseconds.
    pub wait_ms: u64,
    /// The revision of the configuration that the sender has. The response contains the configuration only if
    /// it is newer than this revision or, if this field is omitted, if it changed after `sequence`.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "revision")]
    pub known_revision: Option<u64>,
    /// The longest response that the sender accepts, in bytes; changes that do not fit are in the next
    /// responses. Without this field one response contains all changes.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_bytes: Option<u64>,
    /// Requests by slice since the last poll that got a response.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "asked")]
    pub request_counts: Vec<RequestCounts>,
    /// Counts for versions under rollout since the last poll that got a response. A node that is not the
    /// leader forwards them to it.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "evidence")]
    pub rollout_reports: Vec<coppersail_rollout::EvidenceReport>,
    /// The sender's own status, if it is a control-plane node.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "standing")]
    pub status: Option<MemberStatus>,
}

/// The response to a [`WatchRequest`]: the changes since its sequence number, or everything if the request
/// names another feed. It contains as many changes as [`WatchRequest::max_bytes`] allows, oldest first,
/// except that a new configuration is always included at once.
///
/// Applying the parts is idempotent and independent of their order: the higher revision, row version,
/// endpoint state, heartbeat sequence or rollout number wins.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Update {
    /// Identifies the change feed; each start of a control-plane node begins a new one.
    #[serde(rename = "feed")]
    pub feed_id: u64,
    /// The number of the newest change in the feed; the next request acknowledges it.
    #[serde(rename = "seq")]
    pub sequence: u64,
    /// The response is a full snapshot, not only changes; if it is also `incomplete`, it is the first part of
    /// one.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "whole")]
    pub is_snapshot: bool,
    /// There are more changes than fit into [`WatchRequest::max_bytes`]; the next request gets its response
    /// at once.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "more")]
    pub incomplete: bool,
    /// The node has no contact with a quorum. The receiver applies nothing of this response, and watches
    /// another node if one responds.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "alone")]
    pub isolated: bool,
    /// How long the node has been running, in milliseconds. A recently started node may not know all
    /// endpoints yet.
    #[serde(rename = "up_ms")]
    pub uptime_ms: u64,
    /// The addresses, "ip:port", at which control-plane nodes can be watched.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "centres")]
    pub control_plane_addresses: Vec<String>,
    /// How many edges have recently polled any control-plane node. Edges divide shared limits by it.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "edges")]
    pub edge_count: u32,
    /// The node's own status, if the request contained one.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "standing")]
    pub status: Option<MemberStatus>,
    /// The configuration in force.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "settings")]
    pub config: Option<ConfigDocument>,
    /// Changed endpoints.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "hosts")]
    pub endpoints: Vec<EndpointUpdate>,
    /// Changed owners of slices.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "slices")]
    pub assignments: Vec<AssignmentUpdate>,
    /// Changed rollouts; of two states of one rollout, the one with the higher number applies.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "plans")]
    pub rollouts: Vec<coppersail_rollout::RolloutState>,
    /// How current the rollouts are that this node has sent; omitted if there are none.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "plans_seen")]
    pub rollouts_as_of: Option<RolloutsAsOf>,
    /// When the receiver sent its request. It is not on the wire; the receiver sets it.
    #[serde(skip)]
    pub requested_at: Option<std::time::Instant>,
}

/// A statement that the leader of a term had exactly the sent rollouts `age_ms` ago.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutsAsOf {
    /// The number of the leader's term.
    #[serde(rename = "epoch")]
    pub term: u64,
    /// How long ago the leader had these rollouts, in milliseconds.
    pub age_ms: u64,
}

/// A configuration that was acknowledged to the operator.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigDocument {
    /// The revision; the document with the higher revision applies.
    pub revision: u64,
    /// The JSON text, unchanged from how the operator sent it.
    pub body: String,
}
