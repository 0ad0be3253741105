//! A simulated disk. Its content outlives processes and losses of power.

use crate::time::Micros;
use coppersail_control_plane::store::{FolderCondition, RecoveredState, WriteBatch};
use fastrand::Rng;
use std::collections::{BTreeMap, VecDeque};
use std::ops::Range;

const WRITE_TIME: Range<Micros> = 1000..5000;
const SLOW_WRITE_TIME: Range<Micros> = 150_000..250_000;

/// A write that the disk has not done yet.
pub(crate) struct PendingWrite {
    pub(crate) batch: WriteBatch,
    /// False on a full disk: the write will fail.
    pub(crate) accepted: bool,
}

#[derive(Default)]
pub(crate) struct Disk {
    state: BTreeMap<String, String>,
    own: BTreeMap<String, String>,
    folder_condition: FolderCondition,
    /// In the order in which they will be done.
    pending_writes: VecDeque<PendingWrite>,
    busy_until: Micros,
    pub(crate) slow_until: Micros,
    pub(crate) hangs_until: Micros,
    pub(crate) full_until: Micros,
}

impl Disk {
    /// A disk whose content was lost.
    pub(crate) fn empty(folder_condition: FolderCondition) -> Disk {
        Disk { folder_condition, ..Disk::default() }
    }

    /// Enqueues a write and returns the time at which it will be done.
    pub(crate) fn enqueue_write(&mut self, now: Micros, batch: WriteBatch, rng: &mut Rng) -> Micros {
        let starts_at = now.max(self.busy_until).max(self.hangs_until);
        let write_time = if now < self.slow_until { SLOW_WRITE_TIME } else { WRITE_TIME };
        self.busy_until = starts_at + rng.u64(write_time);
        self.pending_writes.push_back(PendingWrite { batch, accepted: now >= self.full_until });
        self.busy_until
    }

    /// Does the oldest pending write. Returns whether it succeeded, or none if there is no such write.
    pub(crate) fn complete_write(&mut self) -> Option<bool> {
        let write = self.pending_writes.pop_front()?;
        let accepted = write.accepted;
        self.apply(write);
        Some(accepted)
    }

    fn apply(&mut self, write: PendingWrite) {
        if !write.accepted {
            return;
        }
        if write.batch.replace_state {
            self.state.clear();
        }
        self.folder_condition = FolderCondition::Intact;
        self.state.extend(write.batch.state);
        self.own.extend(write.batch.metadata);
    }

    /// The process or the power is gone: a random prefix of the pending writes survives.
    pub(crate) fn crash(&mut self, rng: &mut Rng) {
        let surviving = rng.usize(0..=self.pending_writes.len());
        let writes = std::mem::take(&mut self.pending_writes);
        for write in writes.into_iter().take(surviving) {
            self.apply(write);
        }
        self.busy_until = 0;
    }

    /// What a process that starts now finds.
    pub(crate) fn recover(&self) -> RecoveredState {
        RecoveredState {
            state: self.state.clone(),
            metadata: self.own.clone(),
            condition: self.folder_condition,
            batch_number: 0,
        }
    }

    /// All faults of the disk end; its content stays.
    pub(crate) fn heal(&mut self) {
        (self.slow_until, self.full_until, self.hangs_until) = (0, 0, 0);
    }

    pub(crate) fn is_impaired(&self, now: Micros) -> bool {
        now < self.slow_until || now < self.hangs_until || now < self.full_until
    }
}
