//! Owners of the slices of sharded services, and the requests counted by slice.
use serde::{Deserialize, Serialize};

/// Requests of one service by slice, as an edge counted them since its last poll. The leader adds them up to balance load.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct RequestCounts {
    /// The name of the service.
    #[serde(rename = "backend")]
    pub service: String,
    /// (slice, requests).
    pub counts: Vec<(u32, u32)>,
}

/// The owners of a service's slices. The slice of a key is `key * slice_count / 65536`.
///
/// The leader sends it when owners change. A receiver that knows another number of slices starts over, unless it has a row
/// with a version that is at least as high as all of these.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct AssignmentUpdate {
    /// The name of the service.
    #[serde(rename = "backend")]
    pub service: String,
    /// Into how many slices its keys are divided.
    #[serde(rename = "slices")]
    pub slice_count: u32,
    /// Changed ranges of slices.
    pub rows: Vec<AssignmentRow>,
}

/// The owner of neighbouring slices. On the wire it is the array `[first, last, owner, version]`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u32, String, u64)", into = "(u32, u32, String, u64)")]
pub struct AssignmentRow {
    /// The first slice.
    pub first: u32,
    /// The last slice, inclusive.
    pub last: u32,
    /// The id of the endpoint that owns the slices; empty while they are being transferred.
    pub owner: String,
    /// A higher version replaces a lower one. It has the leader's term in its upper 32 bits and counts that leader's owner
    /// changes below; it is not the fencing token that endpoints get.
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
