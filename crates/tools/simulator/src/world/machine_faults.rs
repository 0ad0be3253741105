//! Faults of machines: power, disks, links, replacement.

use super::World;
use crate::disk::Disk;
use crate::event::SimEvent;
use crate::fault::{FaultKind, KnownPeers};
use crate::machine::{Machine, Power};
use crate::network::MAX_MACHINES;
use crate::participant::MachineId;
use crate::time::{Micros, MICROS_PER_MILLI};
use coppersail_control_plane::store::FolderCondition;

/// After a fault of all machines their next starts are spread over this time.
const RESTART_SPREAD: Micros = 300 * MICROS_PER_MILLI;
/// Time until a machine that returns is started.
const RETURN_DELAY: Micros = 100 * MICROS_PER_MILLI;
/// Decides, as a bit of the random value, in which condition a lost disk is found.
const LOST_DISK_BIT: u64 = 1 << 50;

impl World<'_> {
    pub(super) fn kill(&mut self, machine_id: MachineId, downtime: Micros) {
        self.stop_process(machine_id, true);
        let stop_count = self.machines[machine_id].stop_count;
        self.schedule_after(downtime, SimEvent::StartProcess { machine_id, stop_count });
    }

    pub(super) fn power_off(&mut self, machine_id: MachineId, downtime: Micros) {
        self.stop_process(machine_id, false);
        let machine = &mut self.machines[machine_id];
        if machine.power == Power::Removed {
            return;
        }
        machine.power = Power::Off;
        let stop_count = machine.stop_count;
        self.schedule_after(downtime, SimEvent::StartProcess { machine_id, stop_count });
    }

    /// The next start finds nothing, or something that the store recognizes as torn or too old.
    pub(super) fn lose_disk(&mut self, machine_id: MachineId, random_value: u64) {
        let found_empty = random_value & LOST_DISK_BIT == 0;
        let condition = if found_empty { FolderCondition::Fresh } else { FolderCondition::Lost };
        let machine = &mut self.machines[machine_id];
        machine.initial_boot = false;
        machine.disk = Disk::empty(condition);
    }

    pub(super) fn reload(&mut self, machine_id: MachineId, known_peers: &KnownPeers, random_value: u64) {
        let incarnation = self.machines[machine_id].incarnations;
        self.machines[machine_id].known_peers = self.known_peers(known_peers, random_value, None);
        self.signal_reload(machine_id, incarnation);
    }

    pub(super) fn slow_links(&mut self, machine_id: MachineId, max_extra_delay: Micros, duration: Micros) {
        let machine = &mut self.machines[machine_id];
        machine.slow_until = self.now + duration;
        machine.max_extra_delay = max_extra_delay;
        self.schedule_recovery(machine_id, duration);
    }

    pub(super) fn noisy_links(&mut self, machine_id: MachineId, duration: Micros) {
        self.machines[machine_id].noisy_until = self.now + duration;
        self.schedule_recovery(machine_id, duration);
    }

    pub(super) fn impair_disk(&mut self, machine_id: MachineId, kind: &FaultKind, duration: Micros) {
        let until = self.now + duration;
        let disk = &mut self.machines[machine_id].disk;
        match kind {
            FaultKind::DiskSlow { .. } => disk.slow_until = until,
            FaultKind::DiskHang { .. } => disk.hangs_until = until,
            _ => disk.full_until = until,
        }
        self.schedule_recovery(machine_id, duration);
    }

    fn schedule_recovery(&mut self, machine_id: MachineId, duration: Micros) {
        self.record_disturbance();
        self.schedule_after(duration, SimEvent::FaultEnds(machine_id));
    }

    /// All machines that were not removed are killed or lose power; `machine_id` may lose its disk.
    pub(super) fn stop_all_machines(
        &mut self,
        machine_id: MachineId,
        kind: &FaultKind,
        downtime: Micros,
        random_value: u64,
    ) {
        let is_present = |id: &MachineId| self.machines[*id].power != Power::Removed;
        let present: Vec<MachineId> = (0..self.machines.len()).filter(is_present).collect();
        for id in present {
            let downtime = downtime + self.rng.u64(0..RESTART_SPREAD);
            if matches!(kind, FaultKind::KillAll { .. }) {
                self.kill(id, downtime);
            } else {
                self.power_off(id, downtime);
            }
            if id == machine_id && matches!(kind, FaultKind::DiskAndPowerLossAll { .. }) {
                self.lose_disk(machine_id, random_value);
            }
        }
        self.all_disturbed_at = self.now + downtime + RESTART_SPREAD;
    }

    /// Removes a machine and orders an empty one for its slot.
    pub(super) fn replace_machine(&mut self, machine_id: MachineId, kind: &FaultKind, random_value: u64) {
        let FaultKind::Replace { graceful, gap, known_peers, reuse_address } = kind else { return };
        let Some(slot) = self.machines[machine_id].slot else { return };
        if self.machines.len() >= MAX_MACHINES {
            return;
        }
        if *graceful {
            self.terminate_process(machine_id, 0, true);
        } else {
            self.stop_process(machine_id, false);
            self.machines[machine_id].remove(self.now);
        }
        self.update_isolation();
        let (known_peers, reuse_address) = (known_peers.clone(), *reuse_address);
        let event = SimEvent::StartReplacement { slot, known_peers, random_value, reuse_address };
        self.schedule_after(gap * MICROS_PER_MILLI, event);
    }

    pub(super) fn start_replacement(
        &mut self,
        slot: usize,
        known_peers: &KnownPeers,
        random_value: u64,
        reuse_address: bool,
    ) {
        let replaced = self.slots[slot];
        self.machines[replaced].slot = None;
        let replaced_ip = &self.machines[replaced].ip;
        let has_free_ip = |machine: &&Machine| machine.power == Power::Removed && machine.ip != *replaced_ip;
        let free_ip = self.machines.iter().find(has_free_ip).map(|machine| machine.ip.clone());
        let known_peers = self.known_peers(known_peers, random_value, Some(replaced));
        let machine_id = self.add_machine(slot, free_ip.filter(|_| reuse_address));
        let addresses = known_peers.join(", ");
        self.machines[machine_id].known_peers = known_peers;
        self.update_isolation();
        self.trace_machine(machine_id, || format!("comes new and empty, told of {addresses}"));
        self.start_process(machine_id, 0);
    }

    /// The machine loses power for good; its disk is moved to a new machine in its slot.
    pub(super) fn move_disk(&mut self, machine_id: MachineId, downtime: Micros, random_value: u64) {
        let Some(slot) = self.machines[machine_id].slot else { return };
        self.stop_process(machine_id, false);
        let old = &mut self.machines[machine_id];
        old.remove(self.now);
        old.slot = None;
        let disk = std::mem::take(&mut old.disk);
        let new_id = self.add_machine(slot, None);
        self.machines[new_id].disk = disk;
        self.machines[new_id].power = Power::Off;
        self.machines[new_id].known_peers =
            self.known_peers(&KnownPeers::Running, random_value, Some(new_id));
        self.schedule_after(downtime, SimEvent::StartProcess { machine_id: new_id, stop_count: 0 });
        self.update_isolation();
    }

    /// The last machine that was removed comes back, without a slot.
    pub(super) fn return_replaced_machine(&mut self) {
        let is_removed = |id: &MachineId| self.machines[*id].power == Power::Removed;
        let Some(machine_id) = (0..self.machines.len()).rev().find(is_removed) else { return };
        let machine = &mut self.machines[machine_id];
        machine.power = Power::On;
        machine.removed_after_exit = false;
        machine.unlisted_at = None;
        machine.slot = None;
        let stop_count = machine.stop_count;
        self.addresses.insert(machine.ip.clone(), machine_id);
        self.schedule_after(RETURN_DELAY, SimEvent::StartProcess { machine_id, stop_count });
        self.update_isolation();
    }
}
