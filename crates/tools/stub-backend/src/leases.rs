//! The key ranges that an endpoint holds under lease: granted and withdrawn by the responses to its heartbeats.
//!
//! Invariants: no key is held twice; a grant is applied only if its fencing token is not below the highest one seen
//! for any of its keys; a range is released only once no request runs on it, and its release is reported until a
//! heartbeat that contains it is acknowledged.
use crate::heartbeat::{ActiveLease, LeaseGrant, ReleasedRange};
use crate::key_range::KeyRange;
use std::time::Duration;

#[derive(Debug, Clone, PartialEq)]
struct Lease {
    range: KeyRange,
    fencing_token: u64,
    expires_at: Duration,
    /// Missing from the last response: no request starts on it any more, and it is released once none runs on it.
    draining: bool,
}

/// A request that runs on a key.
#[derive(Debug, Clone)]
struct ActiveRequest {
    id: usize,
    key: u32,
    /// The lease expired while it ran; this stays so if the key is granted anew.
    lease_lost: bool,
}

/// The highest fencing token that was granted for a range.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct HighestToken {
    range: KeyRange,
    fencing_token: u64,
}

/// What a heartbeat reports of the leases.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseReport {
    /// Ranges under lease, ascending.
    pub leases: Vec<ActiveLease>,
    /// Ranges whose release has not been acknowledged, the oldest first.
    pub released: Vec<ReleasedRange>,
}

/// The leases of one endpoint. All times are counted from its start.
#[derive(Debug, Clone, Default)]
pub struct LeasedRanges {
    leases: Vec<Lease>,
    /// Ascending, and no two overlap.
    highest_tokens: Vec<HighestToken>,
    active: Vec<ActiveRequest>,
    /// Releases that have not been acknowledged.
    released: Vec<ReleasedRange>,
    /// How many of `released` are in the heartbeat that is in flight.
    reported: usize,
    /// Releases of this incarnation, which makes each handover unique.
    release_count: u64,
}

impl LeaseGrant {
    fn range(&self) -> KeyRange {
        KeyRange { from: self.from, to: self.to }
    }
}

impl LeasedRanges {
    /// Applies the complete list of a response. The leases hold for `lease_duration` from `sent_at`, when the
    /// heartbeat was sent, so that they end here before they end at the control plane.
    pub fn apply_grants(
        &mut self,
        now: Duration,
        sent_at: Duration,
        lease_duration: Duration,
        grants: &[LeaseGrant],
    ) {
        self.expire(now);
        let (current, stale): (Vec<_>, Vec<_>) = grants
            .iter()
            .filter(|grant| grant.range().is_valid())
            .partition(|grant| self.highest_token(grant.range()) <= grant.fencing_token);
        let mut leases = new_leases(&current, sent_at, lease_duration);
        for previous in std::mem::take(&mut self.leases) {
            leases.extend(remaining_leases(&previous, &current, &stale));
        }
        leases.sort_by_key(|lease| lease.range.from);
        self.leases = leases;
        self.record_tokens(&current);
        self.expire(now);
    }

    fn highest_token(&self, range: KeyRange) -> u64 {
        let overlapping =
            self.highest_tokens.iter().filter(|highest| highest.range.intersection(range).is_some());
        overlapping.map(|highest| highest.fencing_token).max().unwrap_or(0)
    }

    fn record_tokens(&mut self, grants: &[&LeaseGrant]) {
        for grant in grants {
            let range = grant.range();
            let others = std::mem::take(&mut self.highest_tokens).into_iter().flat_map(|highest| {
                let remaining = highest.range.difference([range]).into_iter();
                remaining.map(move |range| HighestToken { range, ..highest })
            });
            self.highest_tokens =
                others.chain([HighestToken { range, fencing_token: grant.fencing_token }]).collect();
        }
        self.highest_tokens.sort_unstable();
        // Neighbours with the same token become one, so that the list doesn't grow with every grant.
        self.highest_tokens.dedup_by(|next, last| {
            let joins = last.fencing_token == next.fencing_token && last.range.to + 1 == next.range.from;
            if joins {
                last.range.to = next.range.to;
            }
            joins
        });
    }

    /// Drops the leases that have expired, and releases those that drain and are idle.
    pub fn expire(&mut self, now: Duration) {
        for lease in self.leases.iter().filter(|lease| lease.expires_at <= now) {
            for request in self.active.iter_mut().filter(|request| lease.range.contains(request.key)) {
                request.lease_lost = true;
            }
        }
        self.leases.retain(|lease| lease.expires_at > now);
        self.release_idle();
    }

    fn release_idle(&mut self) {
        let leases = std::mem::take(&mut self.leases);
        let (idle, kept): (Vec<_>, Vec<_>) =
            leases.into_iter().partition(|lease| lease.draining && !self.is_in_use(lease.range));
        self.leases = kept;
        for Lease { range, fencing_token, .. } in idle {
            self.release_count += 1;
            let handover = format!("{fencing_token:08x}{:08x}", self.release_count);
            self.released.push(ReleasedRange { from: range.from, to: range.to, handover });
        }
    }

    fn is_in_use(&self, range: KeyRange) -> bool {
        self.active.iter().any(|request| !request.lease_lost && range.contains(request.key))
    }

    /// Whether a request on a key may start; if so, it runs until [`LeasedRanges::finish_request`].
    pub fn start_request(&mut self, now: Duration, id: usize, key: u32) -> bool {
        self.expire(now);
        let is_leased = self.leases.iter().any(|lease| !lease.draining && lease.range.contains(key));
        if is_leased {
            self.active.push(ActiveRequest { id, key, lease_lost: false });
        }
        is_leased
    }

    /// Ends a request; whether the key was under lease for all of its time.
    pub fn finish_request(&mut self, now: Duration, id: usize) -> bool {
        self.expire(now);
        let index = self.active.iter().position(|request| request.id == id);
        let was_leased = index.is_some_and(|index| !self.active.swap_remove(index).lease_lost);
        self.expire(now);
        was_leased
    }

    /// What the next heartbeat reports.
    pub fn report(&mut self, now: Duration) -> LeaseReport {
        self.expire(now);
        self.reported = self.released.len();
        let leases = self.leases.iter().map(|lease| ActiveLease {
            from: lease.range.from,
            to: lease.range.to,
            fencing_token: lease.fencing_token,
        });
        LeaseReport { leases: leases.collect(), released: self.released.clone() }
    }

    /// The heartbeat with the last [`LeasedRanges::report`] was acknowledged.
    pub fn acknowledge_report(&mut self) {
        self.released.drain(..std::mem::take(&mut self.reported));
    }

    /// A range waits for its release, or a release for its acknowledgement.
    pub fn has_pending_releases(&self) -> bool {
        !self.released.is_empty() || self.leases.iter().any(|lease| lease.draining)
    }
}

/// Leases of the granted ranges. Of two grants of one key the first counts, so that no key is held twice.
fn new_leases(grants: &[&LeaseGrant], sent_at: Duration, lease_duration: Duration) -> Vec<Lease> {
    let mut leases: Vec<Lease> = Vec::with_capacity(grants.len());
    for grant in grants {
        let free = grant.range().difference(leases.iter().map(|lease| lease.range));
        leases.extend(free.into_iter().map(|range| Lease {
            range,
            fencing_token: grant.fencing_token,
            expires_at: sent_at + lease_duration,
            draining: false,
        }));
    }
    leases
}

/// What a response leaves of an earlier lease: what is missing from it drains, what it names with a stale token is
/// held on as it was.
fn remaining_leases(previous: &Lease, current: &[&LeaseGrant], stale: &[&LeaseGrant]) -> Vec<Lease> {
    let mut leases = Vec::new();
    for range in previous.range.difference(current.iter().map(|grant| grant.range())) {
        let unchanged = stale.iter().filter_map(|grant| range.intersection(grant.range()));
        leases.extend(unchanged.map(|range| Lease { range, ..previous.clone() }));
        let missing = range.difference(stale.iter().map(|grant| grant.range()));
        leases.extend(missing.into_iter().map(|range| Lease { range, draining: true, ..previous.clone() }));
    }
    leases
}
