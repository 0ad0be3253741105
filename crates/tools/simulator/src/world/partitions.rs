//! Network partitions: their begin, their end, and the messages that they hold back.

use super::World;
use crate::event::SimEvent;
use crate::fault::{FaultTarget, PartitionDirection};
use crate::machine::Power;
use crate::network::{machine_set, ParticipantSet, CLIENTS};
use crate::participant::MachineId;
use crate::time::{Micros, MICROS_PER_MILLI};

/// A message that a partition holds back for longer is lost.
const MAX_BUFFER_TIME: Micros = 15_000 * MICROS_PER_MILLI;
/// After a partition, messages that it held back arrive within this time.
const RELEASE_SPREAD: Micros = 1000 * MICROS_PER_MILLI;

fn set_of(machines: &[MachineId]) -> ParticipantSet {
    machines.iter().fold(0, |set, machine_id| set | machine_set(*machine_id))
}

impl World<'_> {
    /// A partition between a group of machines and all others.
    pub(super) fn partition_from_all(
        &mut self,
        group: Vec<MachineId>,
        include_clients: bool,
        direction: PartitionDirection,
        duration: Micros,
    ) {
        let group_set = set_of(&group);
        let others = if include_clients { !group_set } else { !group_set & !CLIENTS };
        self.begin_partition(group, group_set, others, direction, duration);
    }

    /// A partition between a machine and a few others.
    pub(super) fn partition_from(
        &mut self,
        machine_id: MachineId,
        from: &[FaultTarget],
        random_value: u64,
        direction: PartitionDirection,
        duration: Micros,
    ) {
        let targets = from.iter().map(|target| self.resolve_target(*target, random_value));
        let others: Vec<MachineId> = targets.filter(|other| *other != machine_id).collect();
        let (group_set, others) = (machine_set(machine_id), set_of(&others));
        self.begin_partition(vec![machine_id], group_set, others, direction, duration);
    }

    fn begin_partition(
        &mut self,
        group: Vec<MachineId>,
        group_set: ParticipantSet,
        others: ParticipantSet,
        direction: PartitionDirection,
        duration: Micros,
    ) {
        let directions = match direction {
            PartitionDirection::Both => &[(group_set, others), (others, group_set)][..],
            PartitionDirection::Outbound => &[(group_set, others)],
            PartitionDirection::Inbound => &[(others, group_set)],
        };
        for machine_id in &group {
            self.machines[*machine_id].partitions += 1;
            self.record_disturbance();
        }
        let id = self.network.add_partition(group, directions);
        self.update_isolation();
        self.schedule_after(duration, SimEvent::PartitionEnds(id));
    }

    pub(super) fn heal_partition(&mut self, id: u32) {
        for machine_id in self.network.remove_partition(id) {
            self.machines[machine_id].partitions -= 1;
            self.record_recovery(machine_id);
            self.trace_machine(machine_id, || "is joined again".into());
        }
        self.update_isolation();
        self.release_buffered_messages();
    }

    /// Messages that no partition holds back any longer are delivered, or lost.
    fn release_buffered_messages(&mut self) {
        for message in self.network.take_buffered_messages() {
            if self.now > message.sent_at + MAX_BUFFER_TIME {
                continue;
            }
            if self.network.is_partitioned(message.from, message.to) {
                self.network.buffer(message);
            } else {
                let delay = self.network.rng.u64(0..RELEASE_SPREAD);
                self.schedule_after(delay, message.event);
            }
        }
    }

    /// Notes which machines can exchange messages with no other.
    pub(super) fn update_isolation(&mut self) {
        for machine_id in 0..self.machines.len() {
            let set = machine_set(machine_id);
            let reaches_any = (0..self.machines.len()).any(|other| {
                other != machine_id
                    && self.machines[other].power != Power::Removed
                    && !self.network.is_partitioned_in_any_direction(set, machine_set(other))
            });
            let machine = &mut self.machines[machine_id];
            machine.isolated_since =
                if reaches_any { None } else { machine.isolated_since.or(Some(self.now)) };
        }
    }
}
