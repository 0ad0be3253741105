//! Which machines a fault hits, and whether so many may be down at once.

use super::World;
use crate::fault::{FaultTarget, KnownPeers};
use crate::participant::MachineId;
use crate::settings::{CONFIGURED_MACHINES, SYNC_MS};
use crate::time::MICROS_PER_MILLI;
use fastrand::Rng;
use std::cmp::Reverse;

impl World<'_> {
    /// Whether a machine counts as failed: it is impaired, is about to be, or has just recovered.
    pub(super) fn counts_as_failed(&self, machine_id: MachineId) -> bool {
        let machine = &self.machines[machine_id];
        let armed = machine.process.as_ref().is_some_and(|process| process.armed_fault.is_some());
        armed || machine.is_impaired(self.now) || self.now < machine.recovered_at + SYNC_MS * MICROS_PER_MILLI
    }

    /// Whether these machines may fail in addition to those that have.
    pub(super) fn may_fail(&self, more: &[MachineId]) -> bool {
        let failed =
            |machine_id: &&MachineId| self.counts_as_failed(**machine_id) || more.contains(machine_id);
        self.scenario.forced
            || self.scenario.beyond_tolerance
            || self.slots.iter().filter(failed).count() <= self.scenario.max_failures
    }

    /// The machine that has a role now; any machine by `random_value` if none has it.
    pub(super) fn resolve_target(&self, target: FaultTarget, random_value: u64) -> MachineId {
        let in_slot = |machine: Option<MachineId>| machine.filter(|id| self.slots.contains(id));
        let (leader, backup) = (in_slot(self.leadership.leader), in_slot(self.leadership.backup));
        let pick = |from: &[MachineId]| from[random_value as usize % from.len()];
        let any = pick(&self.slots);
        match target {
            FaultTarget::Slot(slot) => self.slots[slot % self.slots.len()],
            FaultTarget::Leader => leader.unwrap_or(any),
            FaultTarget::Backup => backup.unwrap_or(any),
            FaultTarget::Voter => {
                let has_no_state = |id: &MachineId| Some(*id) != leader && Some(*id) != backup;
                let voters: Vec<MachineId> = self.slots.iter().copied().filter(has_no_state).collect();
                if voters.is_empty() {
                    any
                } else {
                    pick(&voters)
                }
            }
        }
    }

    /// The addresses that the platform writes into a settings file now, without those of `except`.
    pub(super) fn known_peers(
        &self,
        known_peers: &KnownPeers,
        random_value: u64,
        except: Option<MachineId>,
    ) -> Vec<String> {
        let is_running = |id: &MachineId| Some(*id) != except && self.machines[*id].is_running();
        let mut candidates: Vec<MachineId> = self.slots.iter().copied().filter(is_running).collect();
        Rng::with_seed(random_value).shuffle(&mut candidates);
        match known_peers {
            KnownPeers::Running => {}
            KnownPeers::Newest => candidates.sort_by_key(|id| Reverse(self.machines[*id].listed_at)),
            KnownPeers::Impaired => candidates.sort_by_key(|id| !self.machines[*id].is_impaired(self.now)),
            KnownPeers::Slots(slots) => {
                candidates = slots.iter().map(|slot| self.slots[slot % self.slots.len()]).collect();
            }
        }
        let first = candidates.into_iter().take(CONFIGURED_MACHINES);
        first.map(|id| self.machines[id].admin_address()).collect()
    }
}
