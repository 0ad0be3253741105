//! The long poll by which edges and control-plane nodes watch a node: the request and its answer.
use crate::assignments::{AssignmentUpdate, RequestCounts};
use crate::endpoints::EndpointUpdate;
use crate::optional::is_default;
use crate::status::MemberStatus;
use serde::{Deserialize, Serialize};

/// A long poll. An edge, or another control-plane node, sends the next one when it has taken over the answer to the last.
///
/// The node that receives it takes the sequence number as acknowledgement, adds up the counts and reports (or passes them on
/// to the leader), and answers with an [`Update`].
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchRequest {
    /// Who watches: the edge's own address without a port.
    pub edge: String,
    /// The zone of the edge.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "area")]
    pub zone: String,
    /// [`Update::feed_id`] of the last answer that was taken over; 0 at first.
    #[serde(rename = "feed")]
    pub feed_id: u64,
    /// [`Update::sequence`] of the last answer that was taken over; 0 at first.
    #[serde(rename = "seq")]
    pub sequence: u64,
    /// How long the answer may be delayed while there is nothing new, in milliseconds.
    pub wait_ms: u64,
    /// The revision of the configuration that the sender has. The answer has the configuration only if it is newer; without
    /// this field, if it changed after `sequence`.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "revision")]
    pub known_revision: Option<u64>,
    /// The longest answer that the sender takes, in bytes: what does not fit comes with the next answers. Without it all comes
    /// in one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_bytes: Option<u64>,
    /// Requests by slice since the last poll that was answered.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "asked")]
    pub request_counts: Vec<RequestCounts>,
    /// What was counted of versions under rollout since the last poll that was answered. Nodes that do not lead pass it on.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "evidence")]
    pub rollout_reports: Vec<coppersail_rollout::EvidenceReport>,
    /// The sender's own status, if it is a control-plane node.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "standing")]
    pub status: Option<MemberStatus>,
}

/// The answer to a [`WatchRequest`]: what is new since its sequence number, or everything if its feed was another; as much
/// of that as the request takes, the oldest changes first, but for the configuration, which always comes at once.
///
/// The parts may be taken over twice and in any order: the higher revision, row version, endpoint state, heartbeat sequence
/// and rollout number win.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Update {
    /// Identifies the change feed: one run of one control-plane node.
    #[serde(rename = "feed")]
    pub feed_id: u64,
    /// The number of the newest change in the feed; the next request acknowledges it.
    #[serde(rename = "seq")]
    pub sequence: u64,
    /// The answer has everything, not only what is new; or begins to, if it is `incomplete`.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "whole")]
    pub is_snapshot: bool,
    /// There is more than fits into [`WatchRequest::max_bytes`]: the next request is answered at once.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "more")]
    pub incomplete: bool,
    /// The node has no contact with a quorum. The receiver takes over nothing of this answer, and watches another node if one
    /// answers.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "alone")]
    pub isolated: bool,
    /// How long the node has been up, in milliseconds. One that has just started may not know all endpoints yet.
    #[serde(rename = "up_ms")]
    pub uptime_ms: u64,
    /// The addresses, "ip:port", at which control-plane nodes can be watched.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "centres")]
    pub control_plane_addresses: Vec<String>,
    /// How many edges watch any control-plane node: the highest number of late. Edges divide shared limits by it.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "edges")]
    pub edge_count: u32,
    /// The node's own status, if the request had one.
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
    /// Changed rollouts; of one rollout the higher number counts.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "plans")]
    pub rollouts: Vec<coppersail_rollout::RolloutState>,
    /// How current all rollouts are that this node has sent; nothing where there are none.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "plans_seen")]
    pub rollouts_as_of: Option<RolloutsAsOf>,
    /// When the receiver sent its request. It is not on the wire; the receiver sets it.
    #[serde(skip)]
    pub requested_at: Option<std::time::Instant>,
}

/// The leader of a term had exactly the rollouts that were sent, so long ago.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutsAsOf {
    /// The number of the leader's term.
    #[serde(rename = "epoch")]
    pub term: u64,
    /// In milliseconds.
    pub age_ms: u64,
}

/// A configuration that was acknowledged to the operator.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigDocument {
    /// The higher revision counts.
    pub revision: u64,
    /// JSON as the operator sent it.
    pub body: String,
}
