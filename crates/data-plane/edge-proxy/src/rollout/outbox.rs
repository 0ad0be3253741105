//! A queue of evidence reports between the edge's thread and the thread that polls the control plane.
use coppersail_rollout::EvidenceReport;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::time::Duration;

/// How long a control-plane node may delay its answer to a poll while a rollout is active. It is shorter than
/// otherwise, so that evidence and the rollout's lease stay fresh.
pub const ROLLOUT_POLL_WAIT: Duration = Duration::from_millis(300);

/// Reports that are sent to the control plane with the next poll.
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

    /// Inserts reports before the queued ones, because the reports that a failed poll had taken are older.
    pub fn put_back(&self, reports: Vec<EvidenceReport>) {
        self.reports.lock().expect("evidence outbox").splice(0..0, reports);
    }

    /// Whether a rollout is active.
    pub(crate) fn is_active(&self) -> bool {
        self.active.load(Ordering::Relaxed)
    }

    pub(crate) fn set_active(&self, active: bool) {
        self.active.store(active, Ordering::Relaxed);
    }
}
