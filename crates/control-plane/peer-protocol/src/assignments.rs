//! Owners of the slices of sharded services, and request counts by slice.
use serde::{Deserialize, Serialize};

/// Requests of one service by slice, counted by an edge since its last poll. The leader adds them up to
/// balance load.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct RequestCounts {
    /// The name of the service.
    #[serde(rename = "backend")]
    pub service: String,
    /// Pairs of a slice and the number of its requests.
    pub counts: Vec<(u32, u32)>,
}

/// The owners of a service's slices. The slice of a key is `key * slice_count / 65536`.
///
/// The leader sends it when owners change. A receiver that knows a different number of slices discards what
/// it has and starts over, unless it has a row whose version is at least as high as all versions in this
/// update.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct AssignmentUpdate {
    /// The name of the service.
    #[serde(rename = "backend")]
    pub service: String,
    /// The number of slices into which the keys of the service are divided.
    #[serde(rename = "slices")]
    pub slice_count: u32,
    /// Changed ranges of slices.
    pub rows: Vec<AssignmentRow>,
}

/// The owner of a range of slices. On the wire it is the array `[first, last, owner, version]`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u32, String, u64)", into = "(u32, u32, String, u64)")]
pub struct AssignmentRow {
    /// The first slice.
    pub first: u32,
    /// The last slice, inclusive.
    pub last: u32,
    /// The id of the endpoint that owns the slices; empty while they are being transferred.
    pub owner: String,
    /// A higher version replaces a lower one. Its upper 32 bits are the leader's term, and its lower 32 bits
    /// count that leader's owner changes. It is not the fencing token that endpoints receive.
    pub version: u64,
}

impl From<(u32, u32, String, u64)> for AssignmentRow {
    fn from((first, last, owner, version): (u32, u32, String, u64)) -> Self {
        AssignmentRow { first, last, owner, version }
    }
}

impl From<AssignmentRow> for (u32, u32, String, u64) {
    fn from(row: AssignmentRow) -> Self {
        (row.first, row.last, row.owner, row.version)
    }
}
