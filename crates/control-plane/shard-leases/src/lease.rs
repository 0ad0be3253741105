//! The lease of one slice, and the changes that the table reports and receives.
use serde::Deserialize;

/// A time or a duration in milliseconds.
pub type Ms = u64;

/// The allowance for the clocks of endpoints, in thousandths of a lease's duration.
const CLOCK_ALLOWANCE_PER_MILLE: Ms = 25;
/// The allowance for rounding, in ms.
const ROUNDING_ALLOWANCE: Ms = 2;

/// The longest time, by the clock of this node, for which an owner with a slow clock may use a lease of
/// `duration`.
///
/// An endpoint's clock may run 2% slow, so its second lasts up to 1.0205 s by this node's clock. The
/// remaining half per cent and 2 ms allow for rounding on both sides. With a smaller allowance two endpoints
/// could own a slice at once.
pub(crate) fn max_lease_time(duration: Ms) -> Ms {
    duration + duration * CLOCK_ALLOWANCE_PER_MILLE / 1000 + ROUNDING_ALLOWANCE
}

/// The state of one slice. `owner`, `fencing_token` and `handover` are durable; the rest is known only to the
/// leader.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct SliceLease {
    /// The endpoint that owns the slice; empty while it has no owner.
    pub(crate) owner: String,
    pub(crate) fencing_token: u64,
    /// The state that the previous owner has handed over, opaque to the control plane.
    pub(crate) handover: String,
    /// Before this time no other endpoint may get the slice without a release.
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
    /// Whether the slice is in the same state of transfer as `other`, so that both can be moved as one.
    pub(crate) fn moves_with(&self, other: &SliceLease) -> bool {
        self.owner == other.owner
            && self.target == other.target
            && self.write_pending == other.write_pending
            && self.release_requested == other.release_requested
            && self.granted == other.granted
    }
}

/// Neighbouring slices that are moved as one: `count` slices from `first`.
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

/// A change of a slice's owner, which edges have to be sent.
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
