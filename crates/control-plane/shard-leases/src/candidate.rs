//! The endpoints that slices can be assigned to.
use crate::lease::Ms;
use coppersail_rebalancer::Holder;
use std::collections::BTreeMap;

/// The lowest weight of an endpoint, as a share of the mean.
const MIN_WEIGHT: f64 = 0.01;

/// An endpoint of a sharded service, as a candidate for the assignment of slices.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// The id of the endpoint.
    pub id: String,
    /// Its position in the order in which endpoints registered.
    pub registration_order: u64,
    /// Its weight relative to the other endpoints; above 0.
    pub capacity: f64,
    /// It has registered only recently, so it is assigned only the slices with the fewest requests.
    pub is_new: bool,
    /// It is shutting down or suspect: its slices are moved first, and it is assigned none.
    pub draining: bool,
    /// It has missed heartbeats, so it can't be asked to release slices, and its leases have to expire.
    pub suspect: bool,
    /// When its next heartbeat is due.
    pub next_heartbeat_at: Ms,
}

impl Candidate {
    /// A healthy endpoint of capacity 1 that is not new.
    pub fn new(id: &str, registration_order: u64) -> Candidate {
        Candidate {
            id: id.into(),
            registration_order,
            capacity: 1.0,
            is_new: false,
            draining: false,
            suspect: false,
            next_heartbeat_at: 0,
        }
    }

    /// Whether slices may be assigned to it.
    pub(crate) fn accepts_slices(&self) -> bool {
        !self.draining && !self.suspect
    }
}

/// The candidates of one planning round, by id.
pub(crate) struct CandidateIndex<'a> {
    all: &'a [Candidate],
    by_id: BTreeMap<&'a str, usize>,
    /// Every endpoint has had time for a heartbeat to this leader, so an unknown one is gone.
    all_reported: bool,
}

impl<'a> CandidateIndex<'a> {
    pub(crate) fn new(all: &'a [Candidate], all_reported: bool) -> CandidateIndex<'a> {
        let by_id = all.iter().enumerate().map(|(index, candidate)| (candidate.id.as_str(), index)).collect();
        CandidateIndex { all, by_id, all_reported }
    }

    pub(crate) fn all(&self) -> &'a [Candidate] {
        self.all
    }

    pub(crate) fn index_of(&self, id: &str) -> Option<usize> {
        self.by_id.get(id).copied()
    }

    fn get(&self, id: &str) -> Option<&'a Candidate> {
        self.index_of(id).map(|index| &self.all[index])
    }

    pub(crate) fn accepts_slices(&self, id: &str) -> bool {
        self.get(id).is_some_and(Candidate::accepts_slices)
    }

    /// Whether an owner is known to be unable to release its slices. An unknown owner counts as lost only
    /// once all endpoints have had time to report.
    pub(crate) fn is_lost(&self, id: &str) -> bool {
        self.get(id).map_or(self.all_reported, |candidate| candidate.suspect)
    }

    /// Whether an owner can't be expected to release slices at present.
    pub(crate) fn is_unknown_or_suspect(&self, id: &str) -> bool {
        self.get(id).is_none_or(|candidate| candidate.suspect)
    }

    /// Whether an owner may still send its first heartbeat to this leader.
    pub(crate) fn may_still_report(&self, id: &str) -> bool {
        !self.all_reported && !id.is_empty() && self.index_of(id).is_none()
    }
}

/// Converts the candidates to holders for the rebalancer.
pub(crate) fn rebalancer_holders(candidates: &[Candidate]) -> Vec<Holder> {
    let total = candidates.iter().map(|candidate| candidate.capacity).sum::<f64>();
    let mean = total.max(1.0) / candidates.len().max(1) as f64;
    candidates.iter().map(|candidate| rebalancer_holder(candidate, mean)).collect()
}

fn rebalancer_holder(candidate: &Candidate, mean_capacity: f64) -> Holder {
    let open = candidate.accepts_slices();
    Holder {
        weight: (candidate.capacity / mean_capacity).max(MIN_WEIGHT),
        listed_at: Some(candidate.registration_order as f64),
        is_new: candidate.is_new,
        open,
        leaving: !open,
        ..Holder::default()
    }
}
