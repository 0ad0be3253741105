//! Messages between nodes, and the changes that they carry. Times are milliseconds. The serialized names are those of
//! the first version: builds of different versions talk to each other.
use crate::{Id, LeadershipRecord, Term, VoterRequest, VoterResponse};
use serde::{Deserialize, Serialize};

/// A name of the control state and its value.
pub type KeyValue = (String, String);

/// What a primary writes to a backup.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ReplicaWriteKind {
    /// All of the state, with a sum over it.
    Snapshot { sum: u64 },
    /// Nothing, if the backup holds just this number of this epoch.
    #[serde(rename = "Join")]
    Probe { epoch: Term, seq: u64 },
    /// The change after `seq - 1`.
    #[default]
    #[serde(rename = "Change")]
    Append,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct ReplicaWrite {
    /// The form of what follows; another one is refused.
    pub version: u32,
    #[serde(rename = "epoch")]
    pub term: Term,
    #[serde(rename = "seq")]
    pub sequence: u64,
    pub kind: ReplicaWriteKind,
    #[serde(rename = "puts")]
    pub writes: Vec<KeyValue>,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct ReplicaWriteResponse {
    #[serde(rename = "ok")]
    pub accepted: bool,
    #[serde(rename = "why")]
    pub reason: String,
    #[serde(rename = "life")]
    pub incarnation: u64,
}

pub(crate) const REPLICA_WRITE_VERSION: u32 = 1;

/// The sum of a snapshot: what is taken is what was sent, whole.
pub(crate) fn snapshot_checksum(puts: &[KeyValue]) -> u64 {
    let mix = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3);
    let text = |h: u64, t: &str| mix(t.bytes().fold(h, mix), 0xff);
    puts.iter().fold(0xcbf2_9ce4_8422_2325, |h, (n, v)| text(text(h, n), v)) >> 12
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Request {
    #[serde(rename = "Witness")]
    Voter(VoterRequest),
    #[serde(rename = "Copy")]
    ReplicaWrite(ReplicaWrite),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Response {
    #[serde(rename = "Witness")]
    Voter(VoterResponse),
    #[serde(rename = "Copy")]
    ReplicaWrite(ReplicaWriteResponse),
}

/// What a centre says of itself with every heartbeat.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct PeerStatus {
    pub id: Id,
    /// It is the primary and holds the lease.
    #[serde(rename = "acting")]
    pub holds_lease: bool,
    /// Its disk takes writes.
    #[serde(rename = "fit")]
    pub disk_healthy: bool,
    /// It was told to end.
    #[serde(rename = "leaving")]
    pub draining: bool,
    #[serde(rename = "life")]
    pub incarnation: u64,
    #[serde(rename = "floor")]
    pub last_durable_term: Term,
    #[serde(rename = "area")]
    pub zone: String,
    /// The newest record that it knows.
    pub record: LeadershipRecord,
    pub members: Vec<Id>,
}

/// A change that waits to be written, with the ticket by which its caller is known.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Change {
    pub ticket: u64,
    pub writes: Vec<KeyValue>,
}
