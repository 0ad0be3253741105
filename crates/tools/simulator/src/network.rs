//! The simulated network: delays between zones, partitions, and messages that a partition holds back.

use crate::event::SimEvent;
use crate::participant::MachineId;
use crate::time::Micros;
use fastrand::Rng;

/// A set of machines as bits by [`MachineId`], with [`CLIENTS`] for all other participants.
pub(crate) type ParticipantSet = u64;

/// Endpoints, edges, operators and readers.
pub(crate) const CLIENTS: ParticipantSet = 1 << 62;
/// Most machines of a run: a [`ParticipantSet`] holds them.
pub(crate) const MAX_MACHINES: usize = 56;

const DELAY_WITHIN_ZONE: Micros = 150;

/// The set of one machine.
pub(crate) fn machine_set(machine_id: MachineId) -> ParticipantSet {
    1 << machine_id
}

/// Drops messages from one set of participants to another.
struct Partition {
    id: u32,
    from: ParticipantSet,
    to: ParticipantSet,
}

/// A message that a partition holds back: it is delivered afterwards, or lost.
pub(crate) struct BufferedMessage {
    pub(crate) sent_at: Micros,
    pub(crate) from: ParticipantSet,
    pub(crate) to: ParticipantSet,
    pub(crate) event: SimEvent,
}

/// The machines that a partition counts as impaired.
struct PartitionMembers {
    id: u32,
    machines: Vec<MachineId>,
}

pub(crate) struct Network {
    pub(crate) rng: Rng,
    /// By two zones. The last zone is that of participants without one.
    zone_delays: Vec<Vec<Micros>>,
    partitions: Vec<Partition>,
    members: Vec<PartitionMembers>,
    buffered_messages: Vec<BufferedMessage>,
    last_partition_id: u32,
}

impl Network {
    /// A network of `zones` zones, and one more for participants without a zone.
    pub(crate) fn new(zones: usize, mut rng: Rng) -> Network {
        let mut zone_delays = Vec::new();
        for from in 0..=zones {
            let delay = |to: usize| if from == to { DELAY_WITHIN_ZONE } else { rng.u64(300..2500) };
            zone_delays.push((0..=zones).map(delay).collect());
        }
        Network {
            rng,
            zone_delays,
            partitions: Vec::new(),
            members: Vec::new(),
            buffered_messages: Vec::new(),
            last_partition_id: 0,
        }
    }

    pub(crate) fn zone_delay(&self, from: usize, to: usize) -> Micros {
        self.zone_delays[from][to]
    }

    /// Whether a partition drops messages from `from` to `to`.
    pub(crate) fn is_partitioned(&self, from: ParticipantSet, to: ParticipantSet) -> bool {
        self.partitions.iter().any(|partition| partition.from & from != 0 && partition.to & to != 0)
    }

    /// Whether a partition drops messages in one direction at least.
    pub(crate) fn is_partitioned_in_any_direction(&self, one: ParticipantSet, other: ParticipantSet) -> bool {
        self.is_partitioned(one, other) || self.is_partitioned(other, one)
    }

    /// Begins a partition and returns its id.
    pub(crate) fn add_partition(
        &mut self,
        machines: Vec<MachineId>,
        directions: &[(ParticipantSet, ParticipantSet)],
    ) -> u32 {
        self.last_partition_id += 1;
        let id = self.last_partition_id;
        self.partitions.extend(directions.iter().map(|(from, to)| Partition { id, from: *from, to: *to }));
        self.members.push(PartitionMembers { id, machines });
        id
    }

    /// Ends a partition and returns the machines that it counted as impaired; none if it has ended already.
    pub(crate) fn remove_partition(&mut self, id: u32) -> Vec<MachineId> {
        self.partitions.retain(|partition| partition.id != id);
        match self.members.iter().position(|members| members.id == id) {
            Some(index) => self.members.swap_remove(index).machines,
            None => Vec::new(),
        }
    }

    /// The ids of all partitions.
    pub(crate) fn partition_ids(&self) -> Vec<u32> {
        self.members.iter().map(|members| members.id).collect()
    }

    pub(crate) fn buffer(&mut self, message: BufferedMessage) {
        self.buffered_messages.push(message);
    }

    pub(crate) fn take_buffered_messages(&mut self) -> Vec<BufferedMessage> {
        std::mem::take(&mut self.buffered_messages)
    }
}
