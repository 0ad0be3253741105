//! Renewal: the leases that an endpoint is granted in the answer to its heartbeat.
use crate::grant::{GrantList, LeaseGrant};
use crate::lease::{max_lease_time, Ms, OwnerChange, SliceLease};
use crate::sizing::slice_keys;
use crate::table::LeaseTable;

impl LeaseTable {
    /// Renews all leases of an endpoint from `now`, and returns them as grants.
    ///
    /// A slice that has to be transferred is left out, which asks the owner to release it, as soon as its
    /// target is in `reachable` (the target's heartbeat waits for an answer or is due soon). The target can
    /// then be granted the slice right after the release. Heartbeats come at fixed intervals, so those of two
    /// endpoints may never coincide; after `max_wait` (ms) the slice is left out in any case.
    pub fn renew(
        &mut self,
        now: Ms,
        service: &str,
        endpoint: &str,
        reachable: &[String],
        max_wait: Ms,
    ) -> Vec<LeaseGrant> {
        let expires_at = now + max_lease_time(self.lease_duration());
        let Some(table) = self.services.get_mut(service) else { return Vec::new() };
        let width = table.slice_width();
        let mut grants = GrantList::default();
        let mut report = |slice: usize, owner: &str| {
            let change = OwnerChange { service: service.into(), slice: slice as u32, owner: owner.into() };
            self.owner_changes.push(change);
        };
        let owned = table.leases.iter_mut().enumerate().filter(|(_, lease)| lease.owner == endpoint);
        for (slice, lease) in owned {
            let keys = slice_keys(slice, width);
            let extends_last = grants.extends_last(keys.0, lease);
            // A slice that the answer has no space for is not renewed, so another endpoint gets it.
            let has_space = extends_last || grants.has_space_for(lease);
            if (lease.is_transfer_due(now, reachable, max_wait) || !has_space) && !lease.release_requested {
                lease.release_requested = true;
                report(slice, "");
            }
            if lease.release_requested || lease.write_pending {
                continue;
            }
            lease.expires_at = lease.expires_at.max(expires_at);
            if !lease.granted {
                lease.granted = true;
                report(slice, endpoint);
            }
            grants.add(keys, lease, extends_last);
        }
        grants.into_grants()
    }
}

impl SliceLease {
    /// Whether the owner is to be asked to release the slice for its target.
    fn is_transfer_due(&self, now: Ms, reachable: &[String], max_wait: Ms) -> bool {
        self.target
            .as_ref()
            .is_some_and(|target| reachable.contains(target) || now >= self.target_since + max_wait)
    }
}
