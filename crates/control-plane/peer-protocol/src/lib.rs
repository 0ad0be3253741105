//! What directors tell each other, as JSON over HTTP on the first of the spare ports.
//!
//! Edges follow one centre at a time: `POST /follow` with a [`WatchRequest`], answered with [`Update`] as soon as there is any,
//! or after `wait_ms`. What a poll says it has is the receipt for the answer before it.
//!
//! ```
//! let follow = coppersail_peer_protocol::Follow { edge: "10.1.0.34".into(), seq: 7, ..Default::default() };
//! let text = serde_json::to_string(&follow).unwrap();
//! assert_eq!(serde_json::from_str::<coppersail_peer_protocol::Follow>(&text).unwrap().seq, 7);
//! ```
use coppersail_consensus::{Id, LeadershipRecord, Term};
use serde::{Deserialize, Serialize};

/// An edge's poll. `feed` and `seq` are those of the last answer taken (0 and 0 at first).
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchRequest {
    /// The edge's own address, without a port: who it is.
    pub edge: String,
    #[serde(skip_serializing_if = "nothing")]
    #[serde(rename = "area")]
    pub zone: String,
    #[serde(rename = "feed")]
    pub feed_id: u64,
    #[serde(rename = "seq")]
    pub sequence: u64,
    /// How long the answer may be held when there is nothing new.
    pub wait_ms: u64,
    /// Requests counted by slice since the last poll that was answered.
    #[serde(skip_serializing_if = "nothing")]
    #[serde(rename = "asked")]
    pub request_counts: Vec<RequestCounts>,
    /// What was counted of versions since, where a plan steers; centres that are not primary pass it on.
    #[serde(skip_serializing_if = "nothing")]
    #[serde(rename = "evidence")]
    pub rollout_reports: Vec<coppersail_rollout::EvidenceReport>,
    /// Where a centre follows another: who it is, and how it stands.
    #[serde(skip_serializing_if = "nothing")]
    #[serde(rename = "standing")]
    pub status: Option<MemberStatus>,
}

/// What a centre says of itself with every poll and answer: its heartbeat. What seldom changes comes with it only
/// until the other has it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct MemberStatus {
    pub id: Id,
    /// It is the primary and holds the lease.
    #[serde(rename = "acting")]
    pub holds_lease: bool,
    /// Its disk takes writes.
    #[serde(rename = "fit")]
    pub disk_healthy: bool,
    /// It was told to end.
    #[serde(skip_serializing_if = "nothing")]
    #[serde(rename = "leaving")]
    pub draining: bool,
    /// The sum of its detail, and of the other's that it has.
    #[serde(rename = "sum")]
    pub detail_sum: u64,
    #[serde(rename = "seen")]
    pub acknowledged_sum: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub detail: Option<MemberDetail>,
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct MemberDetail {
    /// Of its disk: drawn anew when that was lost.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The newest epoch in which its disk took part.
    #[serde(rename = "floor")]
    pub last_durable_term: Term,
    /// The newest record that it knows.
    pub record: LeadershipRecord,
    pub members: Vec<Id>,
    /// Edges that follow it.
    pub edges: Vec<String>,
    /// Its zone: primary and backup are not to be lost with one.
    #[serde(rename = "area")]
    pub zone: String,
}

impl MemberDetail {
    /// Equal details have equal sums; below 2^53, which every JSON reader takes. Never 0.
    pub fn sum(&self) -> u64 {
        let text = serde_json::to_vec(self).unwrap_or_default();
        let mix = |h: u64, b: &u8| (h ^ u64::from(*b)).wrapping_mul(0x100_0000_01b3);
        (text.iter().fold(0xcbf2_9ce4_8422_2325, mix) >> 12) | 1
    }
}

/// What says nothing is left out.
fn nothing<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct RequestCounts {
    #[serde(rename = "backend")]
    pub service: String,
    /// (slice, requests).
    pub counts: Vec<(u32, u32)>,
}

/// What is new since the poll's `seq`, or everything (`whole`) where the feed is another.
/// All of it may be taken twice or in any order: the higher revision, fence, stage and count of calls win.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Update {
    /// Which life of which centre speaks.
    #[serde(rename = "feed")]
    pub feed_id: u64,
    #[serde(rename = "seq")]
    pub sequence: u64,
    #[serde(skip_serializing_if = "nothing")]
    #[serde(rename = "whole")]
    pub is_snapshot: bool,
    /// The centre is out of touch with most witnesses: follow another if one answers, and take nothing from this.
    #[serde(skip_serializing_if = "nothing")]
    #[serde(rename = "alone")]
    pub isolated: bool,
    /// How long this centre has been up: a young one may not know all hosts yet.
    #[serde(rename = "up_ms")]
    pub uptime_ms: u64,
    /// Where centres listen for directors, "ip:port".
    #[serde(skip_serializing_if = "nothing")]
    #[serde(rename = "centres")]
    pub control_plane_addresses: Vec<String>,
    /// How many edges follow any centre, at the highest of late.
    #[serde(skip_serializing_if = "nothing")]
    #[serde(rename = "edges")]
    pub edge_count: u32,
    #[serde(skip_serializing_if = "nothing")]
    #[serde(rename = "standing")]
    pub status: Option<MemberStatus>,
    #[serde(skip_serializing_if = "nothing")]
    #[serde(rename = "settings")]
    pub config: Option<ConfigDocument>,
    #[serde(skip_serializing_if = "nothing")]
    #[serde(rename = "hosts")]
    pub endpoints: Vec<EndpointUpdate>,
    #[serde(skip_serializing_if = "nothing")]
    #[serde(rename = "slices")]
    pub assignments: Vec<AssignmentUpdate>,
    /// Plans; the higher number counts.
    #[serde(skip_serializing_if = "nothing")]
    #[serde(rename = "plans")]
    pub rollouts: Vec<coppersail_rollout::RolloutState>,
    /// How new all plans are that this centre has told, where there are any.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "plans_seen")]
    pub rollouts_as_of: Option<RolloutsAsOf>,
    /// When the follower asked for this: not told, put in by it.
    #[serde(skip)]
    pub requested_at: Option<std::time::Instant>,
}

/// The primary of an epoch had these plans so long ago, and no others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutsAsOf {
    #[serde(rename = "epoch")]
    pub term: u64,
    pub age_ms: u64,
}

/// An acknowledged configuration, as the operator sent it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigDocument {
    pub revision: u64,
    pub body: String,
}

/// The order is that in which a host goes through them; none goes back.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointState {
    #[default]
    Ready,
    #[serde(rename = "emptying")]
    Draining,
    #[serde(rename = "gone")]
    Removed,
}

/// One life of a host. `silent`: it has missed beats; it may come back.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct EndpointUpdate {
    #[serde(rename = "ident")]
    pub id: String,
    #[serde(rename = "backend")]
    pub service: String,
    pub address: String,
    #[serde(rename = "area")]
    pub zone: String,
    pub capacity: u32,
    #[serde(rename = "revision")]
    pub version: String,
    #[serde(rename = "stage")]
    pub state: EndpointState,
    #[serde(rename = "silent")]
    pub suspect: bool,
    /// How much longer it is slow after its start, when this was written.
    #[serde(rename = "cold_ms")]
    pub slow_start_ms: u64,
    #[serde(rename = "calls")]
    pub heartbeat_sequence: u64,
    /// The centre that hears its beats.
    #[serde(rename = "via")]
    pub reported_by: String,
}

/// Who holds which slices of a divided service: slice = key * slices / 65536.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct AssignmentUpdate {
    #[serde(rename = "backend")]
    pub service: String,
    #[serde(rename = "slices")]
    pub slice_count: u32,
    /// (first, last, ident of their holder or "" while they change hands, number). A higher number replaces a lower one: it
    /// counts what a primary has told edges, on top of its epoch; the fences that hosts see are others.
    pub rows: Vec<(u32, u32, String, u64)>,
}
