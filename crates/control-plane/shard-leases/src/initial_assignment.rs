//! The first assignment of a service's slices.
use crate::candidate::{rebalancer_holders, Candidate};
use crate::lease::{Ms, SliceLease};
use crate::stored::Write;
use crate::table::{LeaseChange, LeaseTable, ServiceLeases};

impl LeaseTable {
    /// Assigns the slices of a new service: `slices` of them, in `pieces` ranges of equal size. Returns the writes to
    /// replicate. What the service had before is dropped.
    pub fn assign_initially(
        &mut self,
        now: Ms,
        service: &str,
        slices: u32,
        pieces: u32,
        hosts: &[Candidate],
    ) -> Vec<Write> {
        let leases = vec![SliceLease { expires_at: now, ..SliceLease::default() }; slices as usize];
        let request_counts = vec![0.0; slices as usize];
        let table = ServiceLeases { leases, request_counts, ..ServiceLeases::default() };
        self.services.insert(service.into(), table);

        let range_size = (slices / pieces.max(1)).max(1) as usize;
        let range_count = slices as usize / range_size;
        let owners = coppersail_rebalancer::lay(range_count, &rebalancer_holders(hosts));
        let mut changes = Vec::new();
        for (range, owner) in owners.into_iter().enumerate() {
            let Some(owner) = owner else { continue };
            for slice in range * range_size..(range + 1) * range_size {
                changes.push(LeaseChange { slice, owner: hosts[owner].id.clone(), handover: String::new() });
            }
        }
        self.propose(service, changes)
    }
}
