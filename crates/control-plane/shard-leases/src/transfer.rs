//! Transfer of slices to their targets: after a release, with its handover state, or after expiry, without
//! one.
use crate::lease::{Ms, ReleasedRange, SliceLease};
use crate::sizing::slice_keys;
use crate::stored::Write;
use crate::table::{LeaseChange, LeaseTable, ServiceLeases};

impl LeaseTable {
    /// Transfers the slices that an endpoint reports as released, with the handover state, and returns the
    /// writes to replicate. A slice whose target has been dropped meanwhile has no owner until
    /// [`LeaseTable::expire`].
    ///
    /// Only slices that the endpoint owns and was asked to release count: it may have been granted any other
    /// one again since then.
    pub fn release(&mut self, service: &str, endpoint: &str, released: &[ReleasedRange]) -> Vec<Write> {
        let Some(table) = self.services.get(service) else { return Vec::new() };
        let changes = released.iter().flat_map(|range| table.changes_by_release(endpoint, range)).collect();
        self.propose(service, changes)
    }

    /// Transfers slices with a target that have no owner, or whose owner's lease has expired after it was
    /// asked to release them. Returns the writes to replicate.
    pub fn expire(&mut self, now: Ms, service: &str) -> Vec<Write> {
        let Some(table) = self.services.get(service) else { return Vec::new() };
        let change = |(slice, lease): (usize, &SliceLease)| {
            let target = lease.target.as_ref().filter(|_| lease.is_free(now))?;
            // A handover state comes from the last release. An owner whose lease has expired has sent none.
            let handover = if lease.owner.is_empty() { lease.handover.clone() } else { String::new() };
            Some(LeaseChange { slice, owner: target.clone(), handover })
        };
        let changes = table.leases.iter().enumerate().filter_map(change).collect();
        self.propose(service, changes)
    }

    /// Whether a slice is being transferred to this endpoint, or about to be, so that it is worthwhile to
    /// delay the answer to its heartbeat. `is_heartbeat_due` returns whether the heartbeat of the current
    /// owner is due before that answer has to be sent.
    pub fn has_pending_transfer(
        &self,
        service: &str,
        endpoint: &str,
        is_heartbeat_due: impl Fn(&str) -> bool,
    ) -> bool {
        let is_pending = |lease: &SliceLease| {
            lease.target.as_deref() == Some(endpoint)
                && (lease.release_requested || is_heartbeat_due(&lease.owner))
        };
        self.services.get(service).is_some_and(|table| table.leases.iter().any(is_pending))
    }
}

impl ServiceLeases {
    fn changes_by_release(&self, owner: &str, range: &ReleasedRange) -> Vec<LeaseChange> {
        let width = self.slice_width();
        let mut changes = Vec::new();
        for (slice, lease) in self.leases.iter().enumerate().skip((range.from / width) as usize) {
            let (first_key, last_key) = slice_keys(slice, width);
            if last_key > range.to {
                break;
            }
            let releasable = lease.owner == owner && lease.release_requested && !lease.write_pending;
            if first_key >= range.from && releasable {
                let target = lease.target.clone().unwrap_or_default();
                changes.push(LeaseChange { slice, owner: target, handover: range.handover.clone() });
            }
        }
        changes
    }
}

impl SliceLease {
    /// Whether no endpoint can still believe that it owns the slice.
    fn is_free(&self, now: Ms) -> bool {
        let is_not_renewed = self.owner.is_empty() || self.release_requested;
        !self.write_pending && self.expires_at <= now && is_not_renewed
    }
}
