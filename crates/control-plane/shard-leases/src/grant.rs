//! Grants: the leases that an endpoint gets in the answer to a heartbeat, limited to the size that it reads.
use crate::lease::SliceLease;

/// The limit of the grants in an answer. An endpoint reads an answer of up to 4 KiB; the difference is left
/// for the rest of the answer.
pub(crate) const MAX_GRANT_BYTES: usize = 3800;
/// An endpoint whose grants are estimated to have this size is assigned no more slices.
pub(crate) const FULL_GRANT_BYTES: usize = MAX_GRANT_BYTES * 9 / 10;

/// The bytes of a grant in an answer for its two keys and the punctuation.
const FIXED_GRANT_BYTES: usize = 18;

/// A range of keys that an endpoint may serve for the lease duration, counted from when it sent its
/// heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseGrant {
    /// The first key.
    pub from: u32,
    /// The last key, inclusive.
    pub to: u32,
    /// It increases with every change of the owner.
    pub fencing_token: u64,
    /// The state that the previous owner has handed over; empty without one.
    pub handover: String,
}

/// The size of a lease in an answer, in bytes, if it is not joined to the previous grant.
pub(crate) fn grant_bytes(lease: &SliceLease) -> usize {
    let digits = (lease.fencing_token.max(1).ilog10() + 1) as usize;
    FIXED_GRANT_BYTES + digits + lease.handover.len()
}

/// The grants of one answer, in the order of their keys. Neighbouring slices with equal token and handover
/// are one grant.
#[derive(Default)]
pub(crate) struct GrantList {
    grants: Vec<LeaseGrant>,
    bytes: usize,
}

impl GrantList {
    /// Whether a lease that begins at key `from` extends the last grant.
    pub(crate) fn extends_last(&self, from: u32, lease: &SliceLease) -> bool {
        self.grants.last().is_some_and(|last| {
            last.to + 1 == from
                && last.fencing_token == lease.fencing_token
                && last.handover == lease.handover
        })
    }

    /// Whether there is space for the lease as a separate grant.
    pub(crate) fn has_space_for(&self, lease: &SliceLease) -> bool {
        self.bytes + grant_bytes(lease) <= MAX_GRANT_BYTES
    }

    /// Adds a lease; `extends_last` is the result of [`GrantList::extends_last`] for it.
    pub(crate) fn add(&mut self, (from, to): (u32, u32), lease: &SliceLease, extends_last: bool) {
        if let Some(last) = self.grants.last_mut().filter(|_| extends_last) {
            last.to = to;
            return;
        }
        self.bytes += grant_bytes(lease);
        let (fencing_token, handover) = (lease.fencing_token, lease.handover.clone());
        self.grants.push(LeaseGrant { from, to, fencing_token, handover });
    }

    pub(crate) fn into_grants(self) -> Vec<LeaseGrant> {
        self.grants
    }
}
