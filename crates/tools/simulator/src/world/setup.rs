//! The start of a run: machines, callers, and the first events.

use super::{FinalPhase, World};
use crate::event::SimEvent;
use crate::event_queue::EventQueue;
use crate::invariants::{FencingTokens, OrderHistory};
use crate::machine::Machine;
use crate::network::Network;
use crate::observed_leadership::ObservedLeadership;
use crate::participant::MachineId;
use crate::scenario::Scenario;
use crate::settings::CONFIGURED_MACHINES;
use crate::statistics::Statistics;
use crate::time::MICROS_PER_MILLI;
use fastrand::Rng;
use std::collections::BTreeMap;

/// The first machines start within this time.
const FIRST_START_MS: u64 = 300;

/// The random numbers of a run are drawn from independent streams.
#[derive(Clone, Copy)]
enum RandomStream {
    Network = 1,
    Disks = 2,
    Other = 3,
}

fn random_stream(seed: u64, stream: RandomStream) -> Rng {
    Rng::with_seed(seed.wrapping_mul(0x2545_f491_4f6c_dd1d) ^ stream as u64)
}

impl<'a> World<'a> {
    pub(crate) fn new(scenario: &'a Scenario, with_trace: bool) -> World<'a> {
        let stream = |stream| random_stream(scenario.seed, stream);
        let mut world = World {
            scenario,
            now: 0,
            queue: EventQueue::default(),
            machines: Vec::new(),
            slots: Vec::new(),
            addresses: BTreeMap::new(),
            network: Network::new(scenario.zones, stream(RandomStream::Network)),
            disk_rng: stream(RandomStream::Disks),
            rng: stream(RandomStream::Other),
            order_history: OrderHistory::default(),
            fencing_tokens: FencingTokens::default(),
            endpoints: Vec::new(),
            edges: Vec::new(),
            operators: Vec::new(),
            acknowledged_drains: Vec::new(),
            statistics: Statistics { runs: 1, ..Statistics::default() },
            violation: None,
            trace: with_trace.then(Vec::new),
            last_request_id: 0,
            disturbed_at: 0,
            all_disturbed_at: 0,
            available_since: None,
            leadership: ObservedLeadership::default(),
            final_phase: FinalPhase::new(scenario.final_fault.clone()),
        };
        world.add_first_machines();
        for (index, fault) in scenario.faults.iter().enumerate() {
            world.schedule_at(fault.at * MICROS_PER_MILLI, SimEvent::InjectFault(index));
        }
        world.add_endpoints();
        world.add_edges();
        world.add_operators();
        world.schedule_first_probe();
        world.schedule_time_limit_check();
        world.schedule_at(scenario.duration * MICROS_PER_MILLI, SimEvent::HealAll);
        world
    }

    fn add_first_machines(&mut self) {
        for slot in 0..self.scenario.machines {
            let zone = slot % self.scenario.zones;
            let ip = format!("10.{}.0.{}", zone + 1, slot + 1);
            self.register_machine(Machine::new(ip, zone, slot));
        }
        let first_machines = self.machines.iter().take(CONFIGURED_MACHINES);
        let known_peers: Vec<String> = first_machines.map(Machine::admin_address).collect();
        for machine_id in 0..self.scenario.machines {
            let machine = &mut self.machines[machine_id];
            machine.known_peers = known_peers.clone();
            machine.initial_boot = true;
            let at = self.rng.u64(0..FIRST_START_MS) * MICROS_PER_MILLI;
            self.schedule_at(at, SimEvent::StartProcess { machine_id, stop_count: 0 });
        }
    }

    /// Adds a machine to the world; it takes its slot.
    fn register_machine(&mut self, machine: Machine) -> MachineId {
        let machine_id = self.machines.len();
        self.addresses.insert(machine.ip.clone(), machine_id);
        match machine.slot {
            Some(slot) if slot < self.slots.len() => self.slots[slot] = machine_id,
            _ => self.slots.push(machine_id),
        }
        self.machines.push(machine);
        machine_id
    }

    /// Adds a machine that takes over a slot and is not started yet.
    pub(super) fn add_machine(&mut self, slot: usize, ip: Option<String>) -> MachineId {
        let zone = slot % self.scenario.zones;
        let ip = ip.unwrap_or_else(|| format!("10.{}.0.{}", zone + 1, self.machines.len() + 101));
        let mut machine = Machine::new(ip, zone, slot);
        machine.listed_at = self.now;
        self.register_machine(machine)
    }
}
