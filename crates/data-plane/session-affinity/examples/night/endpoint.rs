//! The simulated endpoint with its ledger, and responses to clients.
use crate::simulation::Simulation;
use crate::world::{AttemptEnd, Event, Packet, RequestKind, Response, Strategy, MS, NODES, SECOND};
use coppersail_session_affinity::{NodeId, Outcome, RecordedResponse};

/// One-way latency between a client and a node, in microseconds.
pub(crate) const CLIENT_LATENCY: u64 = 10 * MS;

impl Simulation {
    /// Sends the request to the endpoint, and draws its duration, its outcome and whether it is executed.
    pub(crate) fn send_to_endpoint(&mut self, node: NodeId, request_id: u64) {
        let Some(request) = self.requests.get_mut(&request_id) else { return };
        let duration = match request.kind {
            RequestKind::Lookup => self.rng.u64(5 * MS..40 * MS),
            RequestKind::Idempotent => self.rng.u64(10 * MS..120 * MS),
        };
        let response = RecordedResponse { status: 201, headers: vec![], body: vec![b'x'; 200] };
        let draw = if self.injects_faults { self.rng.u32(0..100) } else { 99 };
        let (duration, outcome, executed) = match draw {
            0 | 1 => (MS, Outcome::NotExecuted, false),
            2 | 3 => (duration, Outcome::Unknown, true),
            4 => (duration / 2, Outcome::Unknown, false),
            5 => (2 * SECOND, Outcome::Unknown, true),
            _ => (duration, Outcome::Completed(response), true),
        };
        request.endpoint_time = duration;
        let incarnation = self.incarnations[node as usize];
        let end = AttemptEnd { node, incarnation, request: request_id, outcome, executed };
        self.schedule_after(duration, Event::AttemptEnds(end));
    }

    pub(crate) fn attempt_ends(&mut self, end: AttemptEnd) {
        let AttemptEnd { node, incarnation, request: request_id, outcome, mut executed } = end;
        let alive = self.nodes[node as usize].is_some() && self.incarnations[node as usize] == incarnation;
        if !alive {
            // The node's connection was reset: some endpoints cancel such a request, others execute it.
            executed &= self.rng.bool();
        }
        let Some(request) = self.requests.get_mut(&request_id) else { return };
        if request.kind == RequestKind::Idempotent && executed {
            *self.ledger.entry((request.client, request.key.clone())).or_default() += 1;
        }
        if !alive {
            return;
        }
        if request.kind == RequestKind::Lookup {
            let success = matches!(outcome, Outcome::Completed(_));
            return self.respond(
                node,
                request_id,
                if success { Response::Success } else { Response::NotRun },
            );
        }
        let response = match outcome {
            Outcome::Completed(_) | Outcome::CompletedUnrecorded => Response::Success,
            Outcome::NotExecuted => Response::NotRun,
            Outcome::Unknown => Response::Unknown,
        };
        let is_misreported = self.strategy == Strategy::UnknownAsNotExecuted && response == Response::Unknown;
        request.response = Some(if is_misreported { Response::NotRun } else { response.clone() });
        match self.strategy {
            Strategy::Affinity => self.with_node(node, |node, now| node.complete(now, request_id, outcome)),
            Strategy::UnknownAsNotExecuted => {
                let outcome = if outcome == Outcome::Unknown { Outcome::NotExecuted } else { outcome };
                self.with_node(node, |node, now| node.complete(now, request_id, outcome));
            }
            Strategy::Pinned | Strategy::FullReplication => self.copies_end(node, request_id, response),
        }
    }

    /// Handles the end of an attempt in the strategies that serve as a comparison.
    fn copies_end(&mut self, node: NodeId, request_id: u64, response: Response) {
        let request = &self.requests[&request_id];
        let key = (request.id, request.key.clone());
        let state = match response {
            Response::NotRun => None,
            _ => Some(response == Response::Success),
        };
        let copies = &mut self.copies[node as usize];
        match state {
            None => drop(copies.remove(&key)),
            Some(_) => drop(copies.insert(key.clone(), state)),
        }
        if self.strategy == Strategy::FullReplication {
            for to in (0..NODES).filter(|to| *to != node) {
                self.send_packet(node, to, Packet::CopyEnd { key: key.clone(), state });
            }
        }
        self.respond(node, request_id, response);
    }

    pub(crate) fn respond(&mut self, node: NodeId, request_id: u64, response: Response) {
        let Some(request) = self.requests.get(&request_id) else { return };
        if let Some(forwarded_by) = request.forwarded_by.filter(|other| *other != node) {
            return self.send_packet(node, forwarded_by, Packet::ForwardedResponse(request_id, response));
        }
        let request = self.requests.remove(&request_id).expect("just seen");
        if response == Response::Success {
            let added = (self.now - request.arrived).saturating_sub(request.endpoint_time);
            let kind = usize::from(request.kind == RequestKind::Idempotent);
            self.results.added[kind][usize::from(request.is_takeover)].push(added);
        }
        // With fault injection, 2% of the responses to clients are lost.
        if self.injects_faults && self.rng.u32(0..100) < 2 {
            return;
        }
        let arrival = Event::ResponseArrives { client: request.client, request: request_id, response };
        self.schedule_after(CLIENT_LATENCY, arrival);
    }
}
