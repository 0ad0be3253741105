//! Messages between nodes, and the changes that they carry. Times are milliseconds. The serialized names are those of
//! the first version: builds of different versions talk to each other.
use crate::{Id, LeadershipRecord, Term, VoterRequest, VoterResponse};
use serde::{Deserialize, Serialize};

/// A name of the control state and its value.
pub type KeyValue = (String, String);

/// What kind of write a leader sends to a backup (Raft 5.3, 7).
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ReplicaWriteKind {
    /// All of the state, with a checksum.
    Snapshot {
        /// The checksum of the writes.
        #[serde(rename = "sum")]
        checksum: u64,
    },
    /// No writes; accepted only by a backup that holds exactly this sequence number of this term.
    #[serde(rename = "Join")]
    Probe {
        /// The term that the backup must hold.
        #[serde(rename = "epoch")]
        term: Term,
        /// The sequence number that it must hold.
        #[serde(rename = "seq")]
        sequence: u64,
    },
    /// The change after sequence number `sequence - 1`.
    #[default]
    #[serde(rename = "Change")]
    Append,
}

/// A write of a leader to a backup.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct ReplicaWrite {
    /// The form of what follows; another one is refused.
    pub version: u32,
    /// The sender's term.
    #[serde(rename = "epoch")]
    pub term: Term,
    /// The sequence number of the change in its term.
    #[serde(rename = "seq")]
    pub sequence: u64,
    /// Snapshot, probe or append.
    pub kind: ReplicaWriteKind,
    /// The entries; an empty value removes the entry.
    #[serde(rename = "puts")]
    pub writes: Vec<KeyValue>,
}

/// A backup's response, given once the write is on its disk.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct ReplicaWriteResponse {
    /// Whether the write is on the disk.
    #[serde(rename = "ok")]
    pub accepted: bool,
    /// Why it was rejected.
    #[serde(rename = "why")]
    pub reason: String,
    /// The incarnation of the disk of the backup.
    #[serde(rename = "life")]
    pub incarnation: u64,
}

pub(crate) const REPLICA_WRITE_VERSION: u32 = 1;

/// The checksum of a snapshot, so that a truncated or altered one is rejected (FNV-1a).
pub(crate) fn snapshot_checksum(writes: &[KeyValue]) -> u64 {
    let mix = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3);
    let text = |h: u64, t: &str| mix(t.bytes().fold(h, mix), 0xff);
    writes.iter().fold(0xcbf2_9ce4_8422_2325, |h, (n, v)| text(text(h, n), v)) >> 12
}

/// A request between nodes.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Request {
    /// To or from the voter of a node.
    #[serde(rename = "Witness")]
    Voter(VoterRequest),
    /// To or from a replica.
    #[serde(rename = "Copy")]
    ReplicaWrite(ReplicaWrite),
}

/// A response between nodes.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Response {
    /// To or from the voter of a node.
    #[serde(rename = "Witness")]
    Voter(VoterResponse),
    /// To or from a replica.
    #[serde(rename = "Copy")]
    ReplicaWrite(ReplicaWriteResponse),
}

/// The status that a node sends with every heartbeat.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct PeerStatus {
    /// Its id.
    pub id: Id,
    /// It is the leader and holds the lease.
    #[serde(rename = "acting")]
    pub holds_lease: bool,
    /// Its disk takes writes.
    #[serde(rename = "fit")]
    pub disk_healthy: bool,
    /// It shuts down.
    #[serde(rename = "leaving")]
    pub draining: bool,
    /// The incarnation of its disk.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The newest term in which its disk took part.
    #[serde(rename = "floor")]
    pub last_durable_term: Term,
    /// Its zone.
    #[serde(rename = "area")]
    pub zone: String,
    /// The newest record that it knows.
    pub record: LeadershipRecord,
    /// All nodes that it knows.
    pub members: Vec<Id>,
}

/// A change that waits to be written, with the ticket by which its caller is known.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Change {
    /// The id by which the proposer knows the change.
    pub ticket: u64,
    /// The entries to write.
    pub writes: Vec<KeyValue>,
}
