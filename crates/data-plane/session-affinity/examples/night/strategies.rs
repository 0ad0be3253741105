//! How a node serves a request: by this package, or by simple implementations of the strategies that it is compared
//! with.
use crate::simulation::Simulation;
use crate::world::{Packet, Request, RequestKind, Response, Strategy, MS, NODES};
use coppersail_session_affinity::{IdempotentRequest, NodeId};

/// How long a node waits for the outcome of a request, in milliseconds.
const REQUEST_TIMEOUT: u64 = 3_000;
const FINGERPRINT: u64 = 1;

impl Simulation {
    pub(crate) fn serve_by_affinity(&mut self, request_id: u64, node: NodeId) {
        let request = &self.requests[&request_id];
        let (id, created_at, kind) = (request.id, request.created_at, request.kind);
        let key = request.key.clone();
        let replicas = self.peer_sets.replicas(1, id).expect("a peer set");
        if kind == RequestKind::Lookup {
            self.with_node(node, |node, now| node.touch(now, id, created_at, &replicas));
            return self.send_to_endpoint(node, request_id);
        }
        let deadline = self.clock(node) + REQUEST_TIMEOUT;
        let request = IdempotentRequest {
            request_id,
            session: id,
            created_at,
            replicas,
            key,
            fingerprint: FINGERPRINT,
            deadline,
        };
        self.with_node(node, |node, now| node.admit(now, request));
    }

    pub(crate) fn serve_by_copies(&mut self, request_id: u64, node: NodeId) {
        let request = &self.requests[&request_id];
        if request.kind == RequestKind::Lookup {
            return self.send_to_endpoint(node, request_id);
        }
        let key = (request.id, request.key.clone());
        match self.copies[node as usize].get(&key) {
            Some(None) => return self.respond(node, request_id, Response::InFlight),
            Some(Some(true)) => return self.respond(node, request_id, Response::Replayed),
            Some(Some(false)) => return self.respond(node, request_id, Response::Unknown),
            None => {}
        }
        self.copies[node as usize].insert(key.clone(), None);
        if self.strategy == Strategy::Pinned {
            return self.send_to_endpoint(node, request_id);
        }
        for to in (0..NODES).filter(|to| *to != node) {
            self.send_packet(node, to, Packet::CopyBegin { request: request_id, key: key.clone() });
        }
    }

    /// Handles the acknowledgement of a copy. The request is sent once all other nodes have one.
    pub(crate) fn receive_copy_ack(&mut self, node: NodeId, request_id: u64) {
        let Some(request) = self.requests.get_mut(&request_id) else { return };
        request.copy_acks += 1;
        if request.copy_acks == u32::from(NODES) - 1 && !request.sent {
            request.sent = true;
            self.send_to_endpoint(node, request_id);
        }
    }

    /// Lets requests that have waited too long for other nodes proceed without them.
    pub(crate) fn end_waits(&mut self, node: NodeId) {
        let wait = self.settings.peer_timeout_ms * MS;
        let is_late = |request: &Request| !request.sent && self.now > request.arrived + wait;
        let mut late: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, request)| is_late(request))
            .map(|(request_id, _)| *request_id)
            .collect();
        late.sort_unstable();
        for request_id in late {
            self.proceed_alone(node, request_id);
        }
    }

    fn proceed_alone(&mut self, node: NodeId, request_id: u64) {
        let request = &self.requests[&request_id];
        let client = &mut self.clients[request.client];
        if client.last_node != Some(node) || client.request != request_id || request.endpoint_time != 0 {
            return;
        }
        match self.strategy {
            Strategy::Pinned if request.forwarded_by == Some(node) => {
                client.home = node;
                let request = self.requests.get_mut(&request_id).expect("just seen");
                request.forwarded_by = None;
                request.sent = true;
                self.serve_by_copies(request_id, node);
            }
            Strategy::FullReplication if request.kind == RequestKind::Idempotent => {
                self.requests.get_mut(&request_id).expect("just seen").sent = true;
                self.send_to_endpoint(node, request_id);
            }
            _ => {}
        }
    }
}
