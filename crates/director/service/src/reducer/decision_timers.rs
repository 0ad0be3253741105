//! Timers that the decisions have set.

use coppersail::interface::TimerId;

/// The timers that have not fired yet, in the order in which they were set.
#[derive(Default)]
pub(super) struct DecisionTimers {
    pending: Vec<(f64, TimerId)>,
}

impl DecisionTimers {
    /// Sets `timer` to fire at the time `at`, in seconds since the start.
    pub(super) fn set(&mut self, at: f64, timer: TimerId) {
        self.pending.push((at, timer));
    }

    /// Removes the timers that are due, in the order in which they were set.
    pub(super) fn take_due(&mut self, now: f64) -> Vec<TimerId> {
        let mut due = Vec::new();
        self.pending.retain(|(at, timer)| {
            let is_due = *at <= now;
            if is_due {
                due.push(*timer);
            }
            !is_due
        });
        due
    }

    /// When the next timer fires; infinity without timers.
    pub(super) fn next_timeout(&self) -> f64 {
        self.pending.iter().map(|(at, _)| *at).fold(f64::INFINITY, f64::min)
    }

    #[cfg(test)]
    pub(super) fn count(&self) -> usize {
        self.pending.len()
    }
}
