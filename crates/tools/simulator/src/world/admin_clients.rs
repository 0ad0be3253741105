//! Which machine a caller of the `admin` interface sends to.

use super::World;
use crate::admin_client::MachineSelector;
use crate::participant::MachineId;
use crate::settings::MEMBERSHIP_DELAY_MS;
use crate::time::MICROS_PER_MILLI;

impl World<'_> {
    /// The machines that the platform lists as serving `admin`. The list lags.
    pub(super) fn listed_machines(&self) -> Vec<MachineId> {
        let at = self.now.saturating_sub(MEMBERSHIP_DELAY_MS * MICROS_PER_MILLI);
        let was_listed = |machine_id: &MachineId| self.machines[*machine_id].was_listed(at);
        (0..self.machines.len()).filter(was_listed).collect()
    }

    /// The machine for the next request; none if no machine is known.
    pub(super) fn select_machine(&self, selector: &MachineSelector) -> Option<MachineId> {
        let preferred = selector.preferred.as_deref().and_then(|address| self.machine_at(address));
        if preferred.is_some() {
            return preferred;
        }
        let listed = self.listed_machines();
        (!listed.is_empty()).then(|| listed[selector.position % listed.len()])
    }

    /// The machine that a redirect (307) names.
    pub(super) fn redirect_target(&self, location: &str) -> Option<MachineId> {
        let rest = location.strip_prefix("http://")?;
        self.machine_at(rest.split('/').next().unwrap_or(rest))
    }
}
