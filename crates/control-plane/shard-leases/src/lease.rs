//! The lease of one slice, and what the table reports and receives about slices.
use serde::Deserialize;

/// A time or a duration in milliseconds.
pub type Ms = u64;

/// The longest time that an owner whose clock runs slow may use a lease of `duration`, in the time of this node.
///
/// An endpoint's clock may run 2% slow, so what it counts as a second lasts up to 1.0205 s here. Half a per cent and 2 ms
/// are for rounding on both sides. A smaller allowance would let two endpoints own a slice at once.
pub(crate) fn max_lease_time(duration: Ms) -> Ms {
    duration + duration * 25 / 1000 + 2
}

/// The state of one slice. `owner`, `fencing_token` and `handover` are durable, the rest is known to the leader only.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct SliceLease {
    /// The endpoint that owns the slice; empty while nobody does.
    pub(crate) owner: String,
    pub(crate) fencing_token: u64,
    /// The state that the previous owner has handed over, opaque to the control plane.
    pub(crate) handover: String,
    /// Before this no other endpoint may get the slice without a release.
    pub(crate) expires_at: Ms,
    /// This leader has granted the lease to its owner.
    pub(crate) granted: bool,
    /// The endpoint to which the slice is to be transferred.
    pub(crate) target: Option<String>,
    /// When `target` was chosen.
    pub(crate) target_since: Ms,
    /// The lease is left out of the owner's renewals, which tells it to release the slice.
    pub(crate) release_requested: bool,
    /// A change of the row is being replicated.
    pub(crate) write_pending: bool,
}

impl SliceLease {
    /// Whether the slice can move together with `other`.
    pub(crate) fn moves_like(&self, other: &SliceLease) -> bool {
        self.owner == other.owner
            && self.target == other.target
            && self.write_pending == other.write_pending
            && self.release_requested == other.release_requested
            && self.granted == other.granted
    }
}

/// Neighbouring slices that move as one: `count` slices from `first`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SliceRange {
    pub(crate) first: usize,
    pub(crate) count: usize,
}

impl SliceRange {
    pub(crate) fn slices(self) -> std::ops::Range<usize> {
        self.first..self.first + self.count
    }
}

/// What edges have to know of a slice: who owns it now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnerChange {
    /// The service that the slice belongs to.
    pub service: String,
    /// The number of the slice.
    pub slice: u32,
    /// The endpoint that owns it; empty while it is being transferred.
    pub owner: String,
}

/// A range of keys that an endpoint has released. In a heartbeat it is the array `[from, to, handover]`.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(from = "(u32, u32, String)")]
pub struct ReleasedRange {
    /// The first key.
    pub from: u32,
    /// The last key, inclusive.
    pub to: u32,
    /// State for the next owner, opaque to the control plane.
    pub handover: String,
}

impl From<(u32, u32, String)> for ReleasedRange {
    fn from((from, to, handover): (u32, u32, String)) -> Self {
        ReleasedRange { from, to, handover }
    }
}
