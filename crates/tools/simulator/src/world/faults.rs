//! Injection of faults: whether a fault may be injected now, and what it does.

use super::{World, ALL_MACHINES};
use crate::endpoint::Departure;
use crate::fault::{Fault, FaultKind, Trigger};
use crate::machine::Power;
use crate::participant::MachineId;
use crate::process::ArmedFault;
use crate::time::MICROS_PER_MILLI;

impl World<'_> {
    /// Injects the fault with this index, unless too many machines would be down.
    pub(super) fn inject_scheduled_fault(&mut self, index: usize) {
        let scenario = self.scenario;
        let Fault { at, target, kind, trigger, random_value } = &scenario.faults[index];
        if *at >= scenario.duration {
            return;
        }
        let machine_id = self.resolve_target(*target, *random_value);
        let injected = self.try_inject(machine_id, kind, *trigger, *random_value);
        self.statistics.count_fault(kind.name(), injected);
    }

    /// Injects a fault at its trigger. Returns false if it may not be injected now.
    pub(super) fn try_inject(
        &mut self,
        machine_id: MachineId,
        kind: &FaultKind,
        trigger: Trigger,
        random_value: u64,
    ) -> bool {
        let group = self.affected_group(machine_id, kind, random_value);
        let isolates_all = matches!(kind, FaultKind::Partition { .. }) && group.len() >= self.slots.len();
        if isolates_all || !self.may_inject(machine_id, &group, kind) {
            return false;
        }
        if kind.supports_trigger() && trigger != Trigger::Immediately && group.len() == 1 {
            return self.arm_fault(machine_id, ArmedFault { trigger, kind: kind.clone(), random_value });
        }
        if kind.affects_control_plane() {
            self.leadership.record_fault(self.now, kind.name());
        }
        let who = if kind.affects_all_machines() {
            ALL_MACHINES.to_owned()
        } else if kind.affects_control_plane() {
            self.machines[machine_id].ip.clone()
        } else {
            String::new()
        };
        self.record_trace(&who, || format!("{}: {kind}", kind.name()));
        self.inject(machine_id, group, kind, random_value);
        true
    }

    /// The machines on the same side of a partition; of any other fault its machine.
    fn affected_group(&self, machine_id: MachineId, kind: &FaultKind, random_value: u64) -> Vec<MachineId> {
        let mut group = vec![machine_id];
        if let FaultKind::Partition { with, .. } = kind {
            group.extend(with.iter().map(|target| self.resolve_target(*target, random_value)));
            group.sort_unstable();
            group.dedup();
        }
        group
    }

    fn may_inject(&self, machine_id: MachineId, group: &[MachineId], kind: &FaultKind) -> bool {
        if self.scenario.beyond_tolerance && kind.loses_disk() {
            return false;
        }
        if !kind.affects_control_plane() || matches!(kind, FaultKind::ReturnReplaced) {
            return true;
        }
        if kind.affects_all_machines() {
            let tolerated = !self.scenario.forced && !self.scenario.beyond_tolerance;
            return !tolerated || !self.slots.iter().any(|id| self.counts_as_failed(*id));
        }
        if !matches!(kind, FaultKind::Reload { .. }) && !self.may_fail(group) {
            return false;
        }
        let machine = &self.machines[machine_id];
        // A process that is shutting down may meet with anything but another order to shut down.
        let hits_process =
            machine.process.as_ref().is_some_and(|process| kind.may_hit_shutdown() || !process.shutting_down);
        machine.power != Power::Removed && hits_process
    }

    /// Lets a fault happen now. `group` is what [`affected_group`](Self::affected_group) names.
    pub(super) fn inject(
        &mut self,
        machine_id: MachineId,
        group: Vec<MachineId>,
        kind: &FaultKind,
        random_value: u64,
    ) {
        let micros = |millis: &u64| millis * MICROS_PER_MILLI;
        match kind {
            FaultKind::Kill { downtime } => self.kill(machine_id, micros(downtime)),
            FaultKind::PowerLoss { downtime } => self.power_off(machine_id, micros(downtime)),
            FaultKind::DiskLoss { downtime } => {
                self.power_off(machine_id, micros(downtime));
                self.lose_disk(machine_id, random_value);
            }
            FaultKind::Freeze { duration } => self.freeze(machine_id, micros(duration)),
            FaultKind::Terminate { downtime } => self.terminate_process(machine_id, micros(downtime), false),
            FaultKind::Reload { known_peers } => self.reload(machine_id, known_peers, random_value),
            FaultKind::RestartWithPeers { downtime, known_peers } => {
                self.machines[machine_id].known_peers = self.known_peers(known_peers, random_value, None);
                self.kill(machine_id, micros(downtime));
            }
            FaultKind::Replace { .. } => self.replace_machine(machine_id, kind, random_value),
            FaultKind::MoveDisk { downtime } => self.move_disk(machine_id, micros(downtime), random_value),
            FaultKind::ReturnReplaced => self.return_replaced_machine(),
            FaultKind::Partition { direction, duration, include_clients, .. } => {
                self.partition_from_all(group, *include_clients, *direction, micros(duration));
            }
            FaultKind::PartitionFrom { from, direction, duration } => {
                self.partition_from(machine_id, from, random_value, *direction, micros(duration));
            }
            FaultKind::SlowLinks { max_extra_delay, duration } => {
                self.slow_links(machine_id, micros(max_extra_delay), micros(duration));
            }
            FaultKind::NoisyLinks { duration } => self.noisy_links(machine_id, micros(duration)),
            FaultKind::DiskSlow { duration }
            | FaultKind::DiskHang { duration }
            | FaultKind::DiskFull { duration } => {
                self.impair_disk(machine_id, kind, micros(duration));
            }
            FaultKind::KillAll { downtime }
            | FaultKind::PowerLossAll { downtime }
            | FaultKind::DiskAndPowerLossAll { downtime } => {
                self.stop_all_machines(machine_id, kind, micros(downtime), random_value);
            }
            FaultKind::EndpointDrain(endpoint) => self.drain_endpoint(*endpoint, Departure::Drain),
            FaultKind::EndpointSignOff(endpoint) => self.drain_endpoint(*endpoint, Departure::SignOff),
            FaultKind::EndpointCrash(endpoint) => self.crash_endpoint(*endpoint),
            FaultKind::EdgeRestart(edge) => self.restart_edge(*edge),
            FaultKind::EdgePartition { edge, duration } => self.partition_edge(*edge, micros(duration)),
            FaultKind::Order => self.submit_order_at(machine_id),
            FaultKind::OrderBurst(count) => self.submit_burst(*count),
            FaultKind::ConflictingOrders => self.submit_conflicting_orders(),
            FaultKind::OlderOrder => self.submit_older_order(random_value),
            FaultKind::InvalidOrder => self.submit_invalid_order(),
            FaultKind::ResendOrder => self.resend_last_acknowledged(machine_id),
        }
    }
}
