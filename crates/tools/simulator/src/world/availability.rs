//! Stable periods, and what must happen in time in them.

use super::World;
use crate::event::SimEvent;
use crate::settings::{CONFIRM_MS, STABILIZATION_MS};
use crate::time::{Micros, MICROS_PER_MILLI};

const CHECK_INTERVAL: Micros = 100 * MICROS_PER_MILLI;

impl World<'_> {
    pub(super) fn schedule_time_limit_check(&mut self) {
        self.schedule_after(CHECK_INTERVAL, SimEvent::CheckTimeLimits);
    }

    /// Whether more than half of the machines run without a partition, no link is slow or noisy, and no more machines
    /// are impaired than is tolerated.
    fn is_connected(&self) -> bool {
        let machines = || self.slots.iter().map(|machine_id| &self.machines[*machine_id]);
        let connected = machines().filter(|machine| machine.is_running() && machine.partitions == 0).count();
        let impaired = machines().filter(|machine| machine.is_impaired(self.now)).count();
        2 * connected > self.slots.len()
            && !self.machines.iter().any(|machine| machine.has_slow_or_noisy_links(self.now))
            && (impaired <= self.scenario.max_failures || self.scenario.forced)
    }

    fn quorum_contact(&self) -> Micros {
        self.scenario.quorum_contact * MICROS_PER_MILLI
    }

    /// Whether the machines have been connected for `inContact`, so that edges and endpoints must be up to date.
    pub(super) fn is_stable(&self) -> bool {
        let contact = self.quorum_contact();
        // Twice as long after a final fault.
        let final_phase = self.final_phase.deadline < Micros::MAX;
        let after_final_fault = if final_phase { self.all_disturbed_at + 2 * contact } else { 0 };
        self.now >= after_final_fault.max(self.disturbed_at + contact) && self.is_connected()
    }

    /// Since when the control plane must be available; none if it need not be.
    fn current_available_since(&self) -> Option<Micros> {
        if !self.is_connected() || self.scenario.forced {
            return None;
        }
        let contact = self.quorum_contact();
        let after_fault = self.disturbed_at + contact + STABILIZATION_MS * MICROS_PER_MILLI;
        let since = after_fault.max(self.all_disturbed_at + 2 * contact);
        (self.now >= since).then_some(since)
    }

    /// Checks everything that a node can only miss by letting time pass.
    pub(super) fn check_time_limits(&mut self) {
        self.available_since = self.current_available_since();
        if let Some(since) = self.available_since {
            self.check_orders_acknowledged(since, CONFIRM_MS * MICROS_PER_MILLI);
        }
        self.check_edges();
        self.prepare_final_fault();
        self.check_final_reads();
        self.schedule_time_limit_check();
    }
}
