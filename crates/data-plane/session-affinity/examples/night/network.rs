//! Packets between nodes, and the effects that a node returns.
use crate::results::Traffic;
use crate::simulation::Simulation;
use crate::world::{Event, Packet, Response, ZONES};
use coppersail_session_affinity::{Decision, Message, NodeId, Output};

/// Bytes of the headers of a call between nodes and its response; bodies are counted by their actual length.
const HEADER_BYTES: usize = 130;
/// One-way latency in microseconds, before random jitter of up to a third of it.
const LATENCY_IN_ZONE: u64 = 300;
const LATENCY_BETWEEN_ZONES: u64 = 1_500;

fn zone(node: NodeId) -> u16 {
    node % ZONES
}

/// Whether a packet is sent because a session moves, rather than for an idempotent request.
fn is_for_takeover(packet: &Packet) -> bool {
    match packet {
        Packet::Affinity(message) => !matches!(
            message,
            Message::Write { .. }
                | Message::WriteAck { .. }
                | Message::Completion { .. }
                | Message::CompletionAck { .. }
        ),
        Packet::Forward(_) | Packet::ForwardedResponse(..) => true,
        Packet::CopyBegin { .. } | Packet::CopyEnd { .. } | Packet::CopyAck(_) => false,
    }
}

fn body_bytes(packet: &Packet) -> usize {
    match packet {
        Packet::Affinity(message) => serde_json::to_vec(message).map_or(0, |bytes| bytes.len()),
        Packet::Forward(_) | Packet::ForwardedResponse(..) => 600,
        Packet::CopyBegin { .. } | Packet::CopyEnd { .. } => 200,
        Packet::CopyAck(_) => 40,
    }
}

impl Simulation {
    fn can_reach(&self, a: NodeId, b: NodeId) -> bool {
        self.partitioned_zone.is_none_or(|zone_id| (zone(a) == zone_id) == (zone(b) == zone_id))
    }

    /// Sends a packet. It is lost if the nodes are partitioned and, with fault injection, in one of 200 cases.
    pub(crate) fn send_packet(&mut self, from: NodeId, to: NodeId, packet: Packet) {
        let traffic = match is_for_takeover(&packet) {
            true => &mut self.results.takeover_traffic,
            false => &mut self.results.request_traffic,
        };
        traffic.add(Traffic { messages: 1, bytes: (body_bytes(&packet) + HEADER_BYTES) as u64 });
        if !self.can_reach(from, to) || (self.injects_faults && self.rng.u32(0..200) == 0) {
            return;
        }
        let latency = if zone(from) == zone(to) { LATENCY_IN_ZONE } else { LATENCY_BETWEEN_ZONES };
        let jitter = self.rng.u64(0..latency / 3);
        self.schedule_after(latency + jitter, Event::PacketArrives { from, to, packet });
    }

    /// Carries out the effects that a node returned.
    pub(crate) fn apply(&mut self, node: NodeId, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, msg } => self.send_packet(node, to, Packet::Affinity(msg)),
                Output::SendRequest { request_id } => self.send_to_endpoint(node, request_id),
                Output::Respond { request_id } => {
                    let response =
                        self.requests.get(&request_id).and_then(|request| request.response.clone());
                    self.respond(node, request_id, response.unwrap_or(Response::Unknown));
                }
                Output::Decided { request_id, reply } => {
                    let response = match reply {
                        Decision::Replay(_) | Decision::ResponseExpired => Response::Replayed,
                        Decision::InFlight => Response::InFlight,
                        Decision::Unknown => Response::Unknown,
                        Decision::SessionLost => Response::SessionLost,
                        Decision::Rejected | Decision::TooManyRequests | Decision::FingerprintMismatch => {
                            Response::NotRun
                        }
                    };
                    self.respond(node, request_id, response);
                }
            }
        }
    }

    pub(crate) fn receive_packet(&mut self, from: NodeId, to: NodeId, packet: Packet) {
        match packet {
            Packet::Affinity(message) => {
                self.with_node(to, |node, now| node.receive_message(now, from, message))
            }
            Packet::Forward(request) => {
                if self.requests.get(&request).is_some_and(|request| request.forwarded_by.is_some()) {
                    self.serve_by_copies(request, to);
                }
            }
            Packet::ForwardedResponse(request, response) => self.respond(to, request, response),
            Packet::CopyBegin { request, key } => {
                self.copies[to as usize].entry(key).or_insert(None);
                self.send_packet(to, from, Packet::CopyAck(request));
            }
            Packet::CopyEnd { key, state: None } => drop(self.copies[to as usize].remove(&key)),
            Packet::CopyEnd { key, state } => drop(self.copies[to as usize].insert(key, state)),
            Packet::CopyAck(request) => self.receive_copy_ack(to, request),
        }
    }
}
