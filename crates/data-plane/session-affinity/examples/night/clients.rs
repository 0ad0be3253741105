//! Clients: each sends lookups, every fourth request an idempotent one, and retries until it knows the outcome or gives
//! up.
use crate::endpoint::CLIENT_LATENCY;
use crate::results::{NOT_RUN, RAN, SESSION_LOST, UNKNOWN};
use crate::simulation::Simulation;
use crate::world::{
    Event, Micros, Packet, Request, RequestKind, Response, Strategy, CLIENTS, DURATION, MS, NODES, SECOND,
    START_TIME,
};
use coppersail_session_affinity::{NodeId, SessionId};

const MAX_TRIES: u32 = 15;
const CLIENT_TIMEOUT: Micros = 4 * SECOND;

impl Simulation {
    /// Begins the next request of a client, in 3 of 10 cases at a random node.
    pub(crate) fn begin_step(&mut self, client: usize) {
        let move_to = (self.rng.u32(0..10) < 3).then(|| self.rng.u16(0..NODES));
        let state = &mut self.clients[client];
        if state.steps_left == 0 || self.now > DURATION {
            return;
        }
        state.steps_left -= 1;
        if let Some(node) = move_to {
            state.node = node;
        }
        state.idempotent = state.steps_left.is_multiple_of(4);
        state.tries = 0;
        state.may_have_executed = false;
        state.key = format!("k{}", state.steps_left);
        self.try_request(client, 0);
    }

    fn try_request(&mut self, client: usize, delay: Micros) {
        self.count += 1;
        let request = self.count;
        let state = &mut self.clients[client];
        state.tries += 1;
        state.request = request;
        if state.tries > MAX_TRIES {
            let told = if state.may_have_executed { UNKNOWN } else { NOT_RUN };
            return self.end_step(client, told);
        }
        let node = state.node;
        self.schedule_after(delay + CLIENT_LATENCY, Event::RequestArrives { client, request, node });
        self.schedule_after(delay + CLIENT_TIMEOUT, Event::ClientTimeout { client, request });
    }

    fn end_step(&mut self, client: usize, told: &'static str) {
        let state = &mut self.clients[client];
        state.request = 0;
        if state.idempotent {
            self.told.insert((client, state.key.clone()), told);
        }
        let pause = self.rng.u64(20 * MS..400 * MS);
        self.schedule_after(pause, Event::ClientProceeds(client));
    }

    pub(crate) fn response_arrives(&mut self, client: usize, request: u64, response: Response) {
        if self.clients[client].request != request {
            return;
        }
        match response {
            Response::Success | Response::Replayed => self.end_step(client, RAN),
            Response::Unknown => self.end_step(client, UNKNOWN),
            Response::NotRun => self.try_request(client, 100 * MS),
            Response::InFlight => {
                self.clients[client].may_have_executed = true;
                self.try_request(client, 250 * MS);
            }
            Response::SessionLost => self.begin_new_session(client),
        }
    }

    fn begin_new_session(&mut self, client: usize) {
        let state = &mut self.clients[client];
        let [seed, number] = state.id.0;
        state.id = SessionId([seed, number + CLIENTS as u64]);
        state.created_at = START_TIME + self.now / MS;
        let told = if state.may_have_executed { UNKNOWN } else { NOT_RUN };
        *self.results.outcomes.entry(SESSION_LOST).or_default() += 1;
        self.end_step(client, told);
    }

    /// After a timeout the client retries at another node; the earlier try may have been executed.
    pub(crate) fn client_timeout(&mut self, client: usize, request: u64) {
        if self.clients[client].request != request {
            return;
        }
        if let Some(request) = self.requests.get_mut(&request) {
            request.forwarded_by = None;
        }
        self.clients[client].may_have_executed = true;
        self.clients[client].node = self.rng.u16(0..NODES);
        self.try_request(client, 0);
    }

    pub(crate) fn request_arrives(&mut self, client: usize, request_id: u64, node: NodeId) {
        if self.nodes[node as usize].is_none() {
            // The connection is refused immediately, and the client tries another node.
            if self.clients[client].request == request_id {
                self.clients[client].node = self.rng.u16(0..NODES);
                self.try_request(client, 50 * MS);
            }
            return;
        }
        let state = &mut self.clients[client];
        let is_takeover = state.last_node.is_some_and(|last| last != node);
        state.last_node = Some(node);
        let home = state.home;
        let request = Request {
            client,
            kind: if state.idempotent { RequestKind::Idempotent } else { RequestKind::Lookup },
            id: state.id,
            created_at: state.created_at,
            key: state.key.clone(),
            is_takeover,
            arrived: self.now,
            endpoint_time: 0,
            forwarded_by: None,
            copy_acks: 0,
            sent: false,
            response: None,
        };
        self.results.takeovers += u64::from(is_takeover);
        self.requests.insert(request_id, request);
        match self.strategy {
            Strategy::Affinity | Strategy::UnknownAsNotExecuted => self.serve_by_affinity(request_id, node),
            Strategy::Pinned if home != node => {
                self.requests.get_mut(&request_id).expect("new").forwarded_by = Some(node);
                self.send_packet(node, home, Packet::Forward(request_id));
            }
            Strategy::Pinned | Strategy::FullReplication => self.serve_by_copies(request_id, node),
        }
    }
}
