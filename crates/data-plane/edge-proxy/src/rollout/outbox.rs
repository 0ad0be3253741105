//! Evidence on its way from the edge's thread to the thread that polls the control plane.
use coppersail_rollout::EvidenceReport;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::time::Duration;

/// With a rollout in force, a poll of the control plane is held back for no longer than this, so that evidence and
/// the rollout's lease stay fresh.
pub const ROLLOUT_POLL_WAIT: Duration = Duration::from_millis(300);

/// Reports that go to the control plane with the next poll.
#[derive(Debug, Default)]
pub struct EvidenceOutbox {
    reports: Mutex<Vec<EvidenceReport>>,
    active: AtomicBool,
}

impl EvidenceOutbox {
    /// Removes and returns all reports, oldest first.
    pub fn take(&self) -> Vec<EvidenceReport> {
        std::mem::take(&mut *self.reports.lock().expect("evidence outbox"))
    }

    /// Puts reports before those that wait: what a failed poll had taken is older.
    pub fn put_back(&self, reports: Vec<EvidenceReport>) {
        self.reports.lock().expect("evidence outbox").splice(0..0, reports);
    }

    /// Whether a rollout is in force.
    pub(crate) fn is_active(&self) -> bool {
        self.active.load(Ordering::Relaxed)
    }

    pub(crate) fn set_active(&self, active: bool) {
        self.active.store(active, Ordering::Relaxed);
    }
}
