//! Delivery of messages: delay, loss, duplication, resets.

use super::World;
use crate::event::{Request, Response, SimEvent};
use crate::machine::Power;
use crate::network::{machine_set, BufferedMessage, ParticipantSet, CLIENTS};
use crate::participant::{MachineId, Origin, Participant};
use crate::time::{Micros, MICROS_PER_MILLI};

/// Largest random addition to the delay between two zones.
const JITTER: Micros = 600;
/// One message in a hundred takes up to this much longer.
const RARE_DELAY: Micros = 40 * MICROS_PER_MILLI;
/// When the caller learns of a reset connection.
const RESET_DELAY: Micros = 500;
/// A late request arrives within this time.
const MAX_LATENESS: Micros = 3000 * MICROS_PER_MILLI;
/// On a noisy link the duplicate of a request arrives within this time.
const NOISY_DUPLICATE_LATENESS: Micros = 2000 * MICROS_PER_MILLI;
/// On other links most duplicates arrive within this time.
const USUAL_DUPLICATE_LATENESS: Micros = 50 * MICROS_PER_MILLI;

/// Where a participant is.
struct Location {
    set: ParticipantSet,
    zone: usize,
}

/// What a noisy link does to a request.
enum NoisyDelivery {
    /// The request is lost, or was scheduled to arrive late.
    Done,
    /// The request still has to be delivered.
    Deliver(Request),
}

impl World<'_> {
    /// The machine at an address with or without a port.
    pub(super) fn machine_at(&self, address: &str) -> Option<MachineId> {
        let ip = address.split(':').next().unwrap_or(address);
        self.addresses.get(ip).copied()
    }

    fn location_of(&self, participant: Participant) -> Location {
        match participant {
            Participant::Machine(machine_id) | Participant::Probe(machine_id) => {
                Location { set: machine_set(machine_id), zone: self.machines[machine_id].zone }
            }
            Participant::Endpoint(endpoint_id) => {
                Location { set: CLIENTS, zone: self.endpoints[endpoint_id].zone }
            }
            Participant::Edge(edge_id) => Location { set: CLIENTS, zone: self.edges[edge_id].zone },
            Participant::Operator(_) | Participant::FinalReader(_) => {
                Location { set: CLIENTS, zone: self.scenario.zones }
            }
        }
    }

    fn is_partitioned_edge(&self, participant: Participant) -> bool {
        matches!(participant, Participant::Edge(edge_id) if self.now < self.edges[edge_id].partitioned_until)
    }

    /// Whether a connection to a machine can be established now.
    pub(super) fn can_connect(&self, from: Participant, machine_id: MachineId) -> bool {
        let (from_set, to_set) = (self.location_of(from).set, machine_set(machine_id));
        !self.network.is_partitioned_in_any_direction(from_set, to_set)
            && !self.is_partitioned_edge(from)
            && self.machines[machine_id].power == Power::On
    }

    fn slow_link_delay(&mut self, participant: Participant) -> Micros {
        match participant {
            Participant::Machine(machine_id) if self.now < self.machines[machine_id].slow_until => {
                let max_extra_delay = self.machines[machine_id].max_extra_delay;
                self.network.rng.u64(max_extra_delay / 3..=max_extra_delay)
            }
            _ => 0,
        }
    }

    fn is_noisy(&self, participant: Participant) -> bool {
        matches!(participant, Participant::Machine(machine_id) if self.now < self.machines[machine_id].noisy_until)
    }

    /// Delivers a message after its delay. A partition drops it, or holds it back.
    fn deliver(&mut self, from: Participant, to: Participant, event: SimEvent) {
        let (from_location, to_location) = (self.location_of(from), self.location_of(to));
        let (from_set, to_set) = (from_location.set, to_location.set);
        if self.network.is_partitioned(from_set, to_set)
            || self.is_partitioned_edge(from)
            || self.is_partitioned_edge(to)
        {
            if self.network.rng.bool() {
                let sent_at = self.now;
                self.network.buffer(BufferedMessage { sent_at, from: from_set, to: to_set, event });
            }
            return;
        }
        let zone_delay = self.network.zone_delay(from_location.zone, to_location.zone);
        let mut delay = zone_delay + self.network.rng.u64(0..JITTER);
        if self.network.rng.u8(0..100) == 0 {
            delay += self.network.rng.u64(0..RARE_DELAY);
        }
        delay += self.slow_link_delay(from) + self.slow_link_delay(to);
        self.schedule_after(delay, event);
    }

    /// Sends a request to a machine. Its origin gets a response, or nothing.
    pub(super) fn send_request(&mut self, machine_id: MachineId, origin: Origin, mut request: Request) {
        let (from, to) = (origin.participant, Participant::Machine(machine_id));
        let lost = self.network.is_partitioned(self.location_of(from).set, machine_set(machine_id))
            || self.is_partitioned_edge(from);
        if !lost {
            if self.is_noisy(from) || self.is_noisy(to) {
                match self.send_over_noisy_link(machine_id, origin, request) {
                    NoisyDelivery::Done => return,
                    NoisyDelivery::Deliver(still) => request = still,
                }
            } else if self.network.rng.u16(0..400) == 0 {
                let very_late = self.network.rng.u8(0..4) == 0;
                let lateness = if very_late { MAX_LATENESS } else { USUAL_DUPLICATE_LATENESS };
                self.send_duplicate(machine_id, origin, &request, lateness);
            }
        }
        self.deliver(from, to, SimEvent::RequestArrives { machine_id, origin, request });
    }

    /// Of 20 requests 2 are reset, 1 is late and 2 are duplicated.
    fn send_over_noisy_link(
        &mut self,
        machine_id: MachineId,
        origin: Origin,
        request: Request,
    ) -> NoisyDelivery {
        match self.network.rng.u8(0..20) {
            0 | 1 => {
                // The caller learns of the reset at once; the request was lost, arrives, or arrives later.
                let response = Response::ConnectionReset;
                self.schedule_after(RESET_DELAY, SimEvent::ResponseArrives { origin, response });
                match self.network.rng.u8(0..3) {
                    0 => NoisyDelivery::Done,
                    1 => NoisyDelivery::Deliver(request),
                    _ => self.send_late(machine_id, origin, request),
                }
            }
            2 => self.send_late(machine_id, origin, request),
            3 | 4 => {
                self.send_duplicate(machine_id, origin, &request, NOISY_DUPLICATE_LATENESS);
                NoisyDelivery::Deliver(request)
            }
            _ => NoisyDelivery::Deliver(request),
        }
    }

    fn send_late(&mut self, machine_id: MachineId, origin: Origin, request: Request) -> NoisyDelivery {
        let delay = self.network.rng.u64(0..MAX_LATENESS);
        self.schedule_after(delay, SimEvent::RequestArrives { machine_id, origin, request });
        NoisyDelivery::Done
    }

    fn send_duplicate(&mut self, machine_id: MachineId, origin: Origin, request: &Request, lateness: Micros) {
        let request = request.duplicate();
        let delay = self.network.rng.u64(0..lateness);
        self.schedule_after(delay, SimEvent::RequestArrives { machine_id, origin, request });
    }

    /// Sends a response. Some are lost on the way to operators and on noisy links.
    pub(super) fn send_response(&mut self, machine_id: MachineId, origin: Origin, response: Response) {
        let (from, to) = (Participant::Machine(machine_id), origin.participant);
        let lost_to_operator = matches!(to, Participant::Operator(_)) && self.network.rng.u8(0..30) == 0;
        let lost_in_noise = (self.is_noisy(from) || self.is_noisy(to)) && self.network.rng.u8(0..10) == 0;
        if lost_to_operator {
            self.record_lost_answer(origin.request_id);
        }
        if lost_to_operator || lost_in_noise {
            return;
        }
        self.deliver(from, to, SimEvent::ResponseArrives { origin, response });
    }

    /// Tells the origin that nobody will answer its request.
    pub(super) fn reset_connection(&mut self, machine_id: MachineId, origin: Origin) {
        let event = SimEvent::ResponseArrives { origin, response: Response::ConnectionReset };
        self.deliver(Participant::Machine(machine_id), origin.participant, event);
    }
}
