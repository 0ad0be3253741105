//! Packets between nodes, and the effects of a node.
use crate::results::Traffic;
use crate::simulation::Night;
use crate::world::{Event, Packet, Response, ZONES};
use coppersail_session_affinity::{Decision, Message, NodeId, Output};

/// Headers of a call and its response between nodes, in bytes; bodies are counted as they are.
const HEADER_BYTES: usize = 130;
/// One-way latency in microseconds; up to a third is added.
const LATENCY_IN_ZONE: u64 = 300;
const LATENCY_BETWEEN_ZONES: u64 = 1_500;

fn zone(node: NodeId) -> u16 {
    node % ZONES
}

/// Whether a packet is sent for a session that moves, and not for an idempotent request.
fn is_for_crossing(packet: &Packet) -> bool {
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

impl Night {
    fn can_reach(&self, a: NodeId, b: NodeId) -> bool {
        self.cut_zone.is_none_or(|cut| (zone(a) == cut) == (zone(b) == cut))
    }

    pub(crate) fn send_packet(&mut self, from: NodeId, to: NodeId, packet: Packet) {
        let traffic = match is_for_crossing(&packet) {
            true => &mut self.results.crossing_traffic,
            false => &mut self.results.request_traffic,
        };
        traffic.add(Traffic { messages: 1, bytes: (body_bytes(&packet) + HEADER_BYTES) as u64 });
        if !self.can_reach(from, to) || (self.trouble && self.rng.u32(0..200) == 0) {
            return;
        }
        let latency = if zone(from) == zone(to) { LATENCY_IN_ZONE } else { LATENCY_BETWEEN_ZONES };
        let jitter = self.rng.u64(0..latency / 3);
        self.schedule_after(latency + jitter, Event::PacketArrives { from, to, packet });
    }

    /// Carries out what a node wants.
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
