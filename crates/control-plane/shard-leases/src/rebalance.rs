//! Rebalancing: which ranges of slices should be transferred to which endpoint.
use crate::candidate::{rebalancer_holders, Candidate, CandidateIndex};
use crate::grant::FULL_GRANT_BYTES;
use crate::lease::{Ms, SliceLease, SliceRange};
use crate::table::{LeaseTable, ServiceLeases};
use coppersail_rebalancer::{Assignment, Holder, Move};

/// The score that is added to each range's request count when hot endpoints are relieved. Ranges without
/// requests are no load; where most are idle, adding an average score of 1 to each would hide the load of the
/// others. This small score only keeps idle ranges in the order of their numbers.
const IDLE_SCORE: f64 = 0.01;

impl LeaseTable {
    /// Chooses the targets of transfers by the rebalancer; `renew`, `release` and `expire` then carry them
    /// out.
    ///
    /// At most `max_transfers` ranges are transferred at a time; those whose owner is lost or draining can't
    /// wait and are not limited. `all_reported` says that every endpoint has had time for a heartbeat to this
    /// leader, so that an unknown one is gone.
    pub fn plan_transfers(
        &mut self,
        now: Ms,
        service: &str,
        endpoints: &[Candidate],
        max_transfers: usize,
        all_reported: bool,
    ) {
        let Some(table) = self.services.get_mut(service) else { return };
        let candidates = CandidateIndex::new(endpoints, all_reported);
        table.split_ranges(endpoints.len());
        table.update_targets(&candidates);
        for next in table.choose_moves(&candidates, max_transfers) {
            if let Some(target) = endpoints.get(next.to) {
                let range = table.ranges[next.slice];
                table.set_target(now, range, target, &candidates);
            }
        }
        table.keep_leases_of_returned_owners(now, &candidates);
    }
}

impl ServiceLeases {
    /// Drops targets that no longer apply, and marks slices of lost owners as to be released.
    fn update_targets(&mut self, candidates: &CandidateIndex) {
        for lease in &mut self.leases {
            let target_gone =
                lease.target.as_deref().is_some_and(|target| !candidates.accepts_slices(target));
            if target_gone && !lease.write_pending {
                lease.target = None;
            }
            // The owner can't be asked to release the slice, so the lease has to expire.
            if lease.target.is_some() && !lease.owner.is_empty() && candidates.is_lost(&lease.owner) {
                lease.release_requested = true;
            }
            // The target is the owner, which has not been asked to release the slice: there is nothing to
            // transfer.
            if !lease.release_requested && lease.target.as_deref() == Some(lease.owner.as_str()) {
                lease.target = None;
            }
        }
    }

    /// The moves that the rebalancer plans. Its slices are the ranges here.
    fn choose_moves(&mut self, candidates: &CandidateIndex, max_transfers: usize) -> Vec<Move> {
        let requests: Vec<[f64; 1]> = self.ranges.iter().map(|range| [self.requests_of(*range)]).collect();
        let mut assignment = self.assignment(candidates, &requests);
        let limit = self.transfer_limit(candidates, max_transfers);
        let moves = self.rebalancer.plan_moves(&assignment, limit);
        if !moves.is_empty() || self.significant_requests(candidates.all().len()).is_none() {
            return moves;
        }
        // The numbers of ranges are balanced. Next, the requests are balanced.
        let weights: Vec<f64> = assignment.holders.iter().map(|holder| holder.weight).collect();
        assignment.scores = requests.iter().map(|count| count[0] + IDLE_SCORE).collect();
        self.rebalancer.relieve_hot_holders(&assignment, &weights, limit)
    }

    /// Converts the present state for the rebalancer. The last holder stands for all unknown owners.
    fn assignment(&self, candidates: &CandidateIndex, requests: &[[f64; 1]]) -> Assignment {
        let mut holders = rebalancer_holders(candidates.all());
        for (candidate, holder) in candidates.all().iter().zip(&mut holders) {
            // An endpoint whose leases nearly fill an answer is assigned no more.
            holder.open &= self.granted_bytes(&candidate.id) < FULL_GRANT_BYTES;
        }
        let unknown = holders.len();
        holders.push(Holder { listed_at: None, open: false, leaving: true, ..Holder::default() });
        let owner = |lease: &SliceLease| {
            let id = lease.target.as_deref().unwrap_or(&lease.owner);
            (!id.is_empty()).then(|| candidates.index_of(id).unwrap_or(unknown))
        };
        let in_transfer = |(_, lease): &(usize, &SliceLease)| lease.is_in_transfer(candidates);
        Assignment {
            holders,
            owners: self.range_leases().map(owner).collect(),
            scores: coppersail_rebalancer::scores(requests, None, 1.0),
            pinned: self.range_leases().enumerate().filter(in_transfer).map(|(range, _)| range).collect(),
            ..Assignment::default()
        }
    }

    /// How many transfers may begin. Ranges whose owner can't continue to serve them are not limited.
    fn transfer_limit(&self, candidates: &CandidateIndex, max_transfers: usize) -> usize {
        let in_transfer = self.range_leases().filter(|lease| lease.is_in_transfer(candidates)).count();
        let must_move = |lease: &&SliceLease| {
            !lease.is_in_transfer(candidates) && !candidates.accepts_slices(&lease.owner)
        };
        self.range_leases().filter(must_move).count().max(max_transfers.saturating_sub(in_transfer))
    }

    /// The lease of the first slice of each range; the other slices of the range are in the same state.
    fn range_leases(&self) -> impl Iterator<Item = &SliceLease> {
        self.ranges.iter().map(|range| &self.leases[range.first])
    }

    fn set_target(&mut self, now: Ms, range: SliceRange, target: &Candidate, candidates: &CandidateIndex) {
        for lease in &mut self.leases[range.slices()] {
            lease.target = Some(target.id.clone());
            lease.target_since = now;
            if lease.owner.is_empty() {
                lease.expires_at = lease.expires_at.min(now);
            } else if candidates.is_unknown_or_suspect(&lease.owner) {
                lease.release_requested = true;
            }
        }
    }

    /// Lets an owner that sends heartbeats again before its leases expire keep those without a target.
    fn keep_leases_of_returned_owners(&mut self, now: Ms, candidates: &CandidateIndex) {
        for lease in &mut self.leases {
            let still_owned = lease.granted && !lease.write_pending && lease.expires_at > now;
            if lease.release_requested
                && still_owned
                && lease.target.is_none()
                && candidates.accepts_slices(&lease.owner)
            {
                lease.release_requested = false;
            }
        }
    }
}

impl SliceLease {
    /// Whether the slice is being transferred, or its owner may still report. The rebalancer must not move it
    /// then.
    fn is_in_transfer(&self, candidates: &CandidateIndex) -> bool {
        self.write_pending || self.target.is_some() || candidates.may_still_report(&self.owner)
    }
}
