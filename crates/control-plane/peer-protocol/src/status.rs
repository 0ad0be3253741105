//! The status of a control-plane node: its heartbeat to the other nodes.
use crate::optional::is_default;
use coppersail_consensus::{Id, LeadershipRecord, Term};
use serde::{Deserialize, Serialize};

/// The status of a control-plane node, in each of its polls of another node and each of its responses to one.
///
/// The fields that seldom change are in [`MemberDetail`], which is sent only until the receiver acknowledges
/// its checksum.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct MemberStatus {
    /// The sender.
    pub id: Id,
    /// It is the leader and holds the leader lease.
    #[serde(rename = "acting")]
    pub holds_lease: bool,
    /// Its disk accepts writes.
    #[serde(rename = "fit")]
    pub disk_healthy: bool,
    /// It is shutting down.
    #[serde(skip_serializing_if = "is_default")]
    #[serde(rename = "leaving")]
    pub draining: bool,
    /// [`MemberDetail::checksum`] of the sender.
    #[serde(rename = "sum")]
    pub detail_checksum: u64,
    /// The checksum of the receiver's detail that the sender has; 0 if it has none.
    #[serde(rename = "seen")]
    pub acknowledged_checksum: u64,
    /// The sender's detail, unless the receiver has it already.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub detail: Option<MemberDetail>,
}

/// The part of a node's status that seldom changes.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct MemberDetail {
    /// Identifies the node's disk; a disk that replaces a lost one has another incarnation.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The newest term in which its disk took part.
    #[serde(rename = "floor")]
    pub last_durable_term: Term,
    /// The newest leadership record that it knows.
    pub record: LeadershipRecord,
    /// The control-plane nodes that it knows.
    pub members: Vec<Id>,
    /// The addresses of the edges that watch it.
    pub edges: Vec<String>,
    /// Its zone; the leader and its backups are chosen in different zones if possible.
    #[serde(rename = "area")]
    pub zone: String,
}

/// Parameters of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x100_0000_01b3;
/// Low bits shifted out of the hash: the checksum stays below 2^53, so every JSON reader reads it exactly.
const UNUSED_BITS: u32 = 12;

impl MemberDetail {
    /// A checksum of the JSON form: FNV-1a, below 2^53 and never 0. Nodes of all versions must compute the
    /// same number.
    pub fn checksum(&self) -> u64 {
        let text = serde_json::to_vec(self).unwrap_or_default();
        let add = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        let hash = text.iter().fold(FNV_OFFSET_BASIS, add);
        // 0 is reserved for "no detail known".
        (hash >> UNUSED_BITS) | 1
    }
}
