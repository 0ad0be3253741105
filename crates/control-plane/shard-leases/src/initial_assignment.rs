//! The first assignment of a service's slices.
use crate::candidate::{rebalancer_holders, Candidate};
use crate::lease::{Ms, SliceLease};
use crate::stored::Write;
use crate::table::{LeaseChange, LeaseTable, ServiceLeases};

impl LeaseTable {
    /// Assigns the slices of a new service: `slice_count` of them, in `range_count` ranges of equal size.
    /// Returns the writes to replicate. Former leases of the service are dropped.
    pub fn assign_initially(
        &mut self,
        now: Ms,
        service: &str,
        slice_count: u32,
        range_count: u32,
        endpoints: &[Candidate],
    ) -> Vec<Write> {
        let leases = vec![SliceLease { expires_at: now, ..SliceLease::default() }; slice_count as usize];
        let request_counts = vec![0.0; slice_count as usize];
        let table = ServiceLeases { leases, request_counts, ..ServiceLeases::default() };
        self.services.insert(service.into(), table);

        let range_size = (slice_count / range_count.max(1)).max(1) as usize;
        let range_count = slice_count as usize / range_size;
        let owners = coppersail_rebalancer::initial_assignment(range_count, &rebalancer_holders(endpoints));
        let mut changes = Vec::new();
        for (range, owner) in owners.into_iter().enumerate() {
            let Some(owner) = owner else { continue };
            for slice in range * range_size..(range + 1) * range_size {
                changes.push(LeaseChange {
                    slice,
                    owner: endpoints[owner].id.clone(),
                    handover: String::new(),
                });
            }
        }
        self.propose(service, changes)
    }
}
