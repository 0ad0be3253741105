//! The lease table: recovery, replicated changes, owner changes for edges, and request counts.
use crate::lease::{max_lease_time, Ms, OwnerChange, SliceLease, SliceRange};
use crate::sizing::slice_width;
use crate::stored::{self, Write};
use coppersail_rebalancer::Rebalancer;
use std::collections::BTreeMap;

/// The leases of one service.
#[derive(Debug, Clone, Default)]
pub(crate) struct ServiceLeases {
    /// By slice.
    pub(crate) leases: Vec<SliceLease>,
    /// Request counts by slice; old requests decay.
    pub(crate) request_counts: Vec<f64>,
    /// The ranges that the rebalancer moves; together they cover all slices, in order. Empty until the first
    /// planning round.
    pub(crate) ranges: Vec<SliceRange>,
    pub(crate) rebalancer: Rebalancer,
}

impl ServiceLeases {
    pub(crate) fn slice_width(&self) -> u32 {
        slice_width(self.leases.len())
    }

    fn resize(&mut self, slice_count: usize) {
        self.leases.resize(slice_count, SliceLease::default());
        self.request_counts.resize(slice_count, 0.0);
    }
}

/// A proposed change of one slice.
pub(crate) struct LeaseChange {
    pub(crate) slice: usize,
    pub(crate) owner: String,
    pub(crate) handover: String,
}

/// The shard leases of all services, as the leader keeps them.
#[derive(Debug, Clone, Default)]
pub struct LeaseTable {
    lease_duration: Ms,
    /// The highest fencing token that was ever proposed or read.
    fencing_token: u64,
    pub(crate) services: BTreeMap<String, ServiceLeases>,
    /// Changes that have not been sent to edges.
    pub(crate) owner_changes: Vec<OwnerChange>,
}

impl LeaseTable {
    /// An empty table. `lease_duration`: how long an endpoint owns what it is granted, in milliseconds of its
    /// own clock.
    pub fn new(lease_duration: Ms) -> LeaseTable {
        LeaseTable { lease_duration, ..LeaseTable::default() }
    }

    /// How long an endpoint owns what it is granted, in milliseconds of its own clock.
    pub fn lease_duration(&self) -> Ms {
        self.lease_duration
    }

    /// The table of a new leader, from the replicated state (key, value); keys other than those of leases are
    /// skipped.
    ///
    /// Renewals by earlier leaders are not stored. The last of them was sent before this leader's own term
    /// began, so every lease expires within one lease duration from `now`.
    pub fn recover<'a>(
        lease_duration: Ms,
        now: Ms,
        state: impl Iterator<Item = (&'a str, &'a str)>,
    ) -> LeaseTable {
        let mut table = LeaseTable::new(lease_duration);
        let expires_at = now + max_lease_time(lease_duration);
        for (key, value) in state {
            table.load(key, value, expires_at);
        }
        table
    }

    /// Loads a stored row, and returns its service and slice; `None` if it is not a row of a lease.
    fn load(&mut self, key: &str, value: &str, expires_at: Ms) -> Option<(String, usize)> {
        let row = stored::parse(key, value)?;
        let service = self.services.entry(row.service.clone()).or_default();
        if service.leases.len() <= row.slice {
            service.resize(row.slice + 1);
        }
        self.fencing_token = self.fencing_token.max(row.fencing_token);
        service.leases[row.slice] = SliceLease {
            owner: row.owner,
            fencing_token: row.fencing_token,
            handover: row.handover,
            expires_at,
            ..SliceLease::default()
        };
        Some((row.service, row.slice))
    }

    /// Applies changes that have been replicated. They are in force from now on, but their new owners have
    /// not been granted the leases yet.
    pub fn apply(&mut self, now: Ms, writes: &[Write]) {
        for (key, value) in writes {
            if let Some((service, slice)) = self.load(key, value, now) {
                self.report_owner(&service, slice, "");
            }
        }
    }

    /// Turns changes of a service into writes. All changes of a call get the same fencing token, so that
    /// neighbouring slices with the same new owner form one grant.
    pub(crate) fn propose(&mut self, service: &str, changes: Vec<LeaseChange>) -> Vec<Write> {
        if changes.is_empty() {
            return Vec::new();
        }
        self.fencing_token += 1;
        let fencing_token = self.fencing_token;
        let Some(table) = self.services.get_mut(service) else { return Vec::new() };
        let write = |change: LeaseChange| {
            table.leases[change.slice].write_pending = true;
            let value = stored::value(fencing_token, &change.owner, &change.handover);
            (stored::key(service, change.slice), value)
        };
        changes.into_iter().map(write).collect()
    }

    /// How many slices a service has; 0 before its initial assignment.
    pub fn slice_count(&self, service: &str) -> u32 {
        self.services.get(service).map_or(0, |table| table.leases.len() as u32)
    }

    fn report_owner(&mut self, service: &str, slice: usize, owner: &str) {
        self.owner_changes.push(OwnerChange {
            service: service.into(),
            slice: slice as u32,
            owner: owner.into(),
        });
    }

    /// The owner changes since the last call, oldest first; they have to be sent to edges.
    pub fn take_owner_changes(&mut self) -> Vec<OwnerChange> {
        std::mem::take(&mut self.owner_changes)
    }

    /// The owners of all slices, which a new leader sends to edges. A stored owner counts as if its lease
    /// were granted.
    pub fn all_owners(&self) -> Vec<OwnerChange> {
        let of_service = |(service, table): (&String, &ServiceLeases)| {
            let owner = |(slice, lease): (usize, &SliceLease)| OwnerChange {
                service: service.clone(),
                slice: slice as u32,
                owner: lease.owner.clone(),
            };
            table.leases.iter().enumerate().map(owner).collect::<Vec<_>>()
        };
        self.services.iter().flat_map(of_service).collect()
    }

    /// Adds counted requests, as (slice, requests); slices that the service doesn't have are skipped.
    pub fn record_requests(&mut self, service: &str, counts: &[(u32, u32)]) {
        let Some(table) = self.services.get_mut(service) else { return };
        for (slice, requests) in counts {
            if let Some(count) = table.request_counts.get_mut(*slice as usize) {
                *count += *requests as f64;
            }
        }
    }

    /// Halves all request counts. The caller does so at fixed intervals, so that old requests count less.
    pub fn decay_counts(&mut self) {
        self.services
            .values_mut()
            .flat_map(|table| &mut table.request_counts)
            .for_each(|count| *count /= 2.0);
    }
}
