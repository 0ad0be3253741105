//! State of one host.

use crate::interface::{HostId, HostListEntry, HostState};
use crate::messages::HostView;
use crate::statistics::{Bins, Histogram};

/// A host. Times are in seconds.
#[derive(Default)]
pub(crate) struct Host {
    pub(crate) id: HostId,
    /// What the tables are told about it.
    pub(crate) view: HostView,
    /// When it started, as listed, or as inferred from a withdrawal and recovery; `None` if long ago.
    pub(crate) started_at: Option<f64>,
    pub(crate) response_times: Histogram,
    /// When a report last showed answered calls.
    pub(crate) last_answer_at: f64,
    /// Recently completed calls, by its load reports.
    pub(crate) completions: f64,
    /// Work that these took, in seconds of busy time of one core or of all cores.
    pub(crate) work: f64,
    /// When the recent measurements were last halved.
    pub(crate) halved_at: f64,
    /// When the next health check is due; `None` while one is in progress.
    pub(crate) next_probe_at: Option<f64>,
    /// Consecutive health checks that passed.
    pub(crate) probe_successes: u32,
    /// Consecutive failures of health checks: a time-out counts as one, a failed or lost connection as two.
    pub(crate) probe_failures: u32,
    /// It was withdrawn as a suspect.
    pub(crate) withdrawn_as_suspect: bool,
    /// It has answered a call or a health check.
    pub(crate) has_answered: bool,
    /// The list has dropped it, but it continues to serve, as removal is advisory.
    pub(crate) serves_unlisted: bool,
    /// The list names it.
    pub(crate) is_listed: bool,
    /// When it was first noticed that the list does not name it.
    pub(crate) unlisted_since: Option<f64>,
}

impl Host {
    /// A host that was not known before. `verified`: it counts as usable before it has answered.
    pub(crate) fn new(id: HostId, first_probe_at: f64, verified: bool) -> Self {
        let view = HostView { weight: 1.0, slow_start: 1.0, derating: 1.0, verified, ..HostView::default() };
        Host { id, view, next_probe_at: Some(first_probe_at), ..Host::default() }
    }

    /// Records that the host is gone according to the list.
    pub(crate) fn mark_gone(&mut self) {
        self.view.ready = false;
        self.view.suspect = false;
        self.probe_failures = 0;
        self.serves_unlisted = false;
        self.is_listed = false;
    }

    /// Halves the recent measurements, so that newer ones weigh more.
    pub(crate) fn halve_recent(&mut self, now: f64) {
        self.response_times.halve();
        self.completions /= 2.0;
        self.work /= 2.0;
        self.halved_at = now;
    }

    /// Applies the host's entry in the list.
    pub(crate) fn update_listing(&mut self, now: f64, entry: HostListEntry, position: u64) {
        if entry.started_at > self.started_at {
            // A new process: measurements of the previous one do not apply to it.
            self.started_at = entry.started_at;
            self.response_times = Histogram::default();
            self.view.derating = 1.0;
            self.view.restarted_at = self.has_answered.then_some(now);
        }
        self.serves_unlisted = false;
        self.is_listed = true;
        self.unlisted_since = None;
        if !self.view.ready {
            self.view.seniority = (now, position);
        }
        self.view.ready = entry.state == HostState::Ready;
        self.view.weight = entry.weight;
        self.view.zone = entry.zone;
    }

    /// Records attempts at the host, with the mean response time in seconds of those that were answered.
    pub(crate) fn record_attempts(
        &mut self,
        now: f64,
        bins: Bins,
        response_time: f64,
        attempts: f64,
        dropped: f64,
    ) {
        self.response_times.add(bins, response_time, attempts, dropped);
        if attempts > dropped {
            self.last_answer_at = now;
            self.has_answered = true;
            self.view.verified = true;
        }
    }

    /// Counts a health check; `failures` is its weight as a failure, or 0 if it passed.
    pub(crate) fn count_probe(&mut self, failures: u32) {
        if failures > 0 {
            self.probe_failures += failures;
            self.probe_successes = 0;
        } else {
            self.probe_failures = 0;
            self.probe_successes += 1;
        }
    }

    /// Adds reported completions and work, and computes the speed from their sums.
    pub(crate) fn add_work(&mut self, completions: f64, work: f64) {
        self.completions += completions;
        self.work += work;
        self.view.speed = Some(self.completions / self.work);
    }

    /// Whether the host is ready, has answered and is not suspected.
    pub(crate) fn is_serving(&self) -> bool {
        self.view.ready && self.has_answered && !self.view.suspect
    }

    /// Whether the host is ready and its next health check is due.
    pub(crate) fn is_probe_due(&self, now: f64) -> bool {
        self.view.ready && self.next_probe_at.is_some_and(|at| now >= at)
    }

    /// Seconds since it started; infinite if it started long ago.
    pub(crate) fn age(&self, now: f64) -> f64 {
        self.started_at.map_or(f64::INFINITY, |started_at| (now - started_at).max(0.0))
    }

    /// Copies the measured response times into the view.
    pub(crate) fn update_measurements(&mut self, bins: Bins) {
        self.view.response_time = self.response_times.mean(bins);
        self.view.answered = self.response_times.answered();
    }
}
