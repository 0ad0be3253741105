//! Assignments of shards to endpoints: the shard leases, the initial assignment of a service, and the
//! publication of changes to followers. Each published row has a number: the leader's term in the upper 32
//! bits and a counter within the term in the lower.
use crate::feed::ChangeFeed;
use crate::placement_gate::PlacementGate;
use crate::store::KeyValue;
use crate::timeouts::Timeouts;
use coppersail_consensus::Ms;
use coppersail_peer_protocol::RequestCounts;
use coppersail_shard_leases::{initial_range_count, slice_count_for, Candidate, LeaseTable, OwnerChange};
use std::collections::{BTreeMap, BTreeSet};

/// The number of bits below the term in a row's number.
const TERM_SHIFT: u32 = 32;

pub(crate) struct Assignments {
    pub(crate) leases: LeaseTable,
    /// Sharded services that wait for their first assignments.
    gates: BTreeMap<String, PlacementGate>,
    /// Before this time a new leader may not know all endpoints.
    endpoints_known_at: Ms,
    /// The number of the last row, within the term, that was published to followers.
    last_row_number: u64,
    /// Request counts by service and shard that have not been sent to the leader yet.
    unforwarded_counts: BTreeMap<String, BTreeMap<u32, u32>>,
}

impl Assignments {
    pub(crate) fn new(timeouts: &Timeouts) -> Assignments {
        Assignments {
            leases: LeaseTable::new(timeouts.lease_duration),
            gates: BTreeMap::new(),
            endpoints_known_at: 0,
            last_row_number: 0,
            unforwarded_counts: BTreeMap::new(),
        }
    }

    /// Recovers the leases of a new leader from the replicated state, and publishes all owners under its
    /// term.
    pub(crate) fn recover<'a>(
        &mut self,
        now: Ms,
        term: u64,
        state: impl Iterator<Item = (&'a str, &'a str)>,
        timeouts: &Timeouts,
        feed: &mut ChangeFeed,
    ) {
        self.leases = LeaseTable::recover(timeouts.lease_duration, now, state);
        self.last_row_number = 1;
        for OwnerChange { service, slice: shard, owner } in self.leases.all_owners() {
            self.publish_row(term, &service, shard, &owner, feed);
        }
        // By then every live endpoint has sent a heartbeat to this leader.
        self.endpoints_known_at = now + timeouts.suspect_after();
        self.gates.clear();
    }

    /// Publishes changes of owners. Neighbouring shards with the same number are sent as one row; a shard
    /// that changes twice needs two numbers.
    pub(crate) fn publish_changes(&mut self, term: u64, feed: &mut ChangeFeed) {
        let mut published = BTreeSet::new();
        for OwnerChange { service, slice: shard, owner } in self.leases.take_owner_changes() {
            if published.is_empty() || !published.insert((service.clone(), shard)) {
                published = BTreeSet::from([(service.clone(), shard)]);
                self.last_row_number += 1;
            }
            self.publish_row(term, &service, shard, &owner, feed);
        }
    }

    fn publish_row(&self, term: u64, service: &str, shard: u32, owner: &str, feed: &mut ChangeFeed) {
        let shard_count = self.leases.slice_count(service);
        let number = (term << TERM_SHIFT) + self.last_row_number;
        feed.put_owner(service, shard_count, shard, owner, number);
    }

    /// Plans transfers of a service's shards and returns the writes that are due, if any.
    pub(crate) fn reconcile(
        &mut self,
        now: Ms,
        service: &str,
        candidates: &[Candidate],
        timeouts: &Timeouts,
    ) -> Option<Vec<KeyValue>> {
        if self.leases.slice_count(service) == 0 {
            return self.assign_initially(now, service, candidates, timeouts);
        }
        // At most half of the ranges that an endpoint initially owns are transferred at a time.
        let max_transfers = initial_range_count(candidates.len()) as usize / candidates.len().max(1) / 2 + 1;
        let endpoints_known = now >= self.endpoints_known_at;
        self.leases.plan_transfers(now, service, candidates, max_transfers, endpoints_known);
        let writes = self.leases.expire(now, service);
        (!writes.is_empty()).then_some(writes)
    }

    fn assign_initially(
        &mut self,
        now: Ms,
        service: &str,
        candidates: &[Candidate],
        timeouts: &Timeouts,
    ) -> Option<Vec<KeyValue>> {
        let count = candidates.len();
        let gate = self.gates.entry(service.into()).or_default();
        if !gate.update(now, count, timeouts.heartbeat_interval, timeouts.lease_duration) {
            return None;
        }
        Some(self.leases.assign_initially(
            now,
            service,
            slice_count_for(count),
            initial_range_count(count),
            candidates,
        ))
    }

    /// Records request counts of edges. The leader rebalances by them; other members keep them for the
    /// leader.
    pub(crate) fn record_requests(&mut self, is_leader: bool, requests: &[RequestCounts]) {
        for service in requests {
            if is_leader {
                self.leases.record_requests(&service.service, &service.counts);
                continue;
            }
            let sums = self.unforwarded_counts.entry(service.service.clone()).or_default();
            for (shard, count) in &service.counts {
                *sums.entry(*shard).or_default() += count;
            }
        }
    }

    /// Takes the counts that have to be sent to the leader.
    pub(crate) fn take_unforwarded_counts(&mut self) -> Vec<RequestCounts> {
        let services = std::mem::take(&mut self.unforwarded_counts).into_iter();
        let counts = |(service, sums): (String, BTreeMap<u32, u32>)| RequestCounts {
            service,
            counts: sums.into_iter().collect(),
        };
        services.map(counts).collect()
    }
}
