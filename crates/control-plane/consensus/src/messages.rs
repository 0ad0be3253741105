//! Messages between nodes, and the changes that they carry. Times are in milliseconds. The serialized names
//! stay as in the first version, because nodes of different versions exchange messages.
use crate::{Id, LeadershipRecord, Term, VoterRequest, VoterResponse};
use crate::{FNV_OFFSET_BASIS, FNV_PRIME};
use serde::{Deserialize, Serialize};

/// An entry of the replicated state or of the metadata: its name and its value.
pub type KeyValue = (String, String);

/// What kind of write a leader sends to a backup (Raft 5.3, 7).
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ReplicaWriteKind {
    /// The whole state, with a checksum.
    Snapshot {
        /// The checksum of the writes.
        #[serde(rename = "sum")]
        checksum: u64,
    },
    /// Without writes; accepted only by a backup whose last change has exactly this term and sequence number.
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
    /// The version of the message format; a backup rejects any other than its own.
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

/// The version of the format of [`ReplicaWrite`].
pub(crate) const REPLICA_WRITE_VERSION: u32 = 1;

/// Ends each text in a checksum; UTF-8 never contains this byte.
const TEXT_TERMINATOR: u8 = 0xff;
/// Low bits shifted out of the hash: the checksum stays below 2^53, so every JSON reader reads it exactly.
const UNUSED_BITS: u32 = 12;

/// The checksum of a snapshot, by which a truncated or altered one is rejected (FNV-1a).
pub(crate) fn snapshot_checksum(writes: &[KeyValue]) -> u64 {
    let add_byte = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    let add_text = |hash: u64, text: &str| add_byte(text.bytes().fold(hash, add_byte), TEXT_TERMINATOR);
    let add_entry = |hash: u64, (name, value): &KeyValue| add_text(add_text(hash, name), value);
    writes.iter().fold(FNV_OFFSET_BASIS, add_entry) >> UNUSED_BITS
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
    /// The id of the sender.
    pub id: Id,
    /// It is the leader and holds the lease.
    #[serde(rename = "acting")]
    pub holds_lease: bool,
    /// Its disk takes writes.
    #[serde(rename = "fit")]
    pub disk_healthy: bool,
    /// It is shutting down.
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

/// A proposed change, with a ticket that identifies it to its proposer.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Change {
    /// Identifies the change to its proposer; the outcome is reported under it.
    pub ticket: u64,
    /// The entries to write.
    pub writes: Vec<KeyValue>,
}
