//! Rebalancing: which ranges of slices should be transferred to which endpoint.
use crate::candidate::{rebalancer_holders, Candidate, CandidateIndex};
use crate::grant::FULL_GRANT_BYTES;
use crate::lease::{Ms, SliceLease, SliceRange};
use crate::table::{LeaseTable, ServiceLeases};
use coppersail_rebalancer::{Assignment, Holder, Move};

/// Added to each request count when load is relieved. Slices without requests are no load, and with most of them idle an
/// average one each would hide it; this keeps idle slices in the order of their numbers.
const IDLE_SCORE: f64 = 0.01;

impl LeaseTable {
    /// Chooses targets by the rebalancer's mechanism; transfers are then made by `renew`, `release` and `expire`.
    ///
    /// At most `max_transfers` ranges are transferred at a time, except for those whose owner is lost or draining, which can't wait.
    /// `all_reported`: every endpoint has had the time for a heartbeat to this leader, so that an unknown one is gone.
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
    /// Drops targets that no longer apply, and gives up on owners that can't be asked to release.
    fn update_targets(&mut self, candidates: &CandidateIndex) {
        for lease in &mut self.leases {
            let target_gone =
                lease.target.as_deref().is_some_and(|target| !candidates.accepts_slices(target));
            if target_gone && !lease.write_pending {
                lease.target = None;
            }
            // Its owner can't be asked: the lease has to expire.
            if lease.target.is_some() && !lease.owner.is_empty() && candidates.is_lost(&lease.owner) {
                lease.release_requested = true;
            }
            // It need not move any more, and its owner has not been asked yet.
            if !lease.release_requested && lease.target.as_deref() == Some(lease.owner.as_str()) {
                lease.target = None;
            }
        }
    }

    /// The rebalancer's moves; in them a range counts as a slice.
    fn choose_moves(&mut self, candidates: &CandidateIndex, max_transfers: usize) -> Vec<Move> {
        let requests: Vec<[f64; 1]> = self.ranges.iter().map(|range| [self.requests_of(*range)]).collect();
        let mut board = self.board(candidates, &requests);
        let limit = self.transfer_limit(candidates, max_transfers);
        let moves = self.balance.plan_moves(&board, limit);
        if !moves.is_empty() || self.significant_requests(candidates.all().len()).is_none() {
            return moves;
        }
        // The counts of slices are even. Now the requests themselves are.
        let weights: Vec<f64> = board.holders.iter().map(|holder| holder.weight).collect();
        board.scores = requests.iter().map(|count| count[0] + IDLE_SCORE).collect();
        self.balance.relieve_hot_holders(&board, &weights, limit)
    }

    /// The present state in the rebalancer's terms. The last holder stands for all owners that are not known any more.
    fn board(&self, candidates: &CandidateIndex, requests: &[[f64; 1]]) -> Assignment {
        let mut holders = rebalancer_holders(candidates.all());
        for (candidate, holder) in candidates.all().iter().zip(&mut holders) {
            // An endpoint with nearly as many leases as an answer has space for is assigned no more.
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

    /// How many transfers may begin. Ranges without an owner that can go on serving them are not limited.
    fn transfer_limit(&self, candidates: &CandidateIndex, max_transfers: usize) -> usize {
        let in_transfer = self.range_leases().filter(|lease| lease.is_in_transfer(candidates)).count();
        let must_move = |lease: &&SliceLease| {
            !lease.is_in_transfer(candidates) && !candidates.accepts_slices(&lease.owner)
        };
        self.range_leases().filter(must_move).count().max(max_transfers.saturating_sub(in_transfer))
    }

    /// The lease of each range's first slice; the others of the range are alike.
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

    /// An owner that sends heartbeats again before its leases expire keeps those that have no target.
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
    /// Whether the slice is being transferred, or its owner may still report: the rebalancer must not move it.
    fn is_in_transfer(&self, candidates: &CandidateIndex) -> bool {
        self.write_pending || self.target.is_some() || candidates.may_still_report(&self.owner)
    }
}
