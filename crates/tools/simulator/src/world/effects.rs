//! Steps of a node, the checks of what it emits, and the execution of that.

use super::World;
use crate::endpoint::SHARDED_SERVICE;
use crate::event::{Request, Response, SimEvent};
use crate::invariants::{rule, CheckError, CheckResult};
use crate::participant::{MachineId, Origin, Participant};
use crate::time::{Millis, MICROS_PER_MILLI};
use coppersail_consensus::{OperationId, RequestId};
use coppersail_control_plane::node::{Effect, Event, PeerRequest, PeerResponse};
use coppersail_control_plane::store::WriteBatch;
use coppersail_stub_backend::HeartbeatResponse;

impl World<'_> {
    /// Hands an event to a node and executes what it emits.
    pub(super) fn step(&mut self, machine_id: MachineId, event: Event) {
        let now = self.now;
        let Some(process) = &mut self.machines[machine_id].process else { return };
        let mut effects = Vec::new();
        process.node.step(process.clock(now), event, &mut effects);
        let violations = process.node.violations();
        self.statistics.steps += 1;
        let result = self.check_effects(machine_id, &effects);
        self.record_check(result);
        if violations > 0 {
            let detail = format!("{} has seen {violations}", self.machines[machine_id].ip);
            self.record_check::<()>(Err(CheckError::new(rule::NODE_INVARIANT, detail)));
        }
        self.execute_with_trigger(machine_id, effects);
    }

    /// Checks successful responses to `admin` requests before they are sent.
    fn check_effects(&mut self, machine_id: MachineId, effects: &[Effect]) -> CheckResult {
        let contact = self.scenario.quorum_contact * MICROS_PER_MILLI;
        let machine = &self.machines[machine_id];
        let isolated = machine.isolated_since.is_some_and(|since| self.now > since + contact);
        let Some(process) = &machine.process else { return Ok(()) };
        for effect in effects {
            let Effect::RespondToAdmin { request_id: caller, status: 200..=299, body } = effect else {
                continue;
            };
            let Some(origin) = process.pending_callers.get(caller).copied() else { continue };
            let participant = origin.participant;
            if isolated {
                let detail = format!("{} answers {participant} with 2xx", machine.ip);
                return Err(CheckError::new(rule::ISOLATED_NODE_ANSWERS, detail));
            }
            let Participant::Endpoint(endpoint_id) = participant else { continue };
            let endpoint = &self.endpoints[endpoint_id];
            if !endpoint.sharded {
                continue;
            }
            let Ok(reply) = HeartbeatResponse::parse(body.as_bytes()) else { continue };
            // The endpoint has sent this heartbeat only if it is still the same incarnation.
            if endpoint.incarnation == origin.incarnation {
                let leases: Vec<_> = reply.leases.into_iter().flatten().map(Into::into).collect();
                self.fencing_tokens.record_grant(SHARDED_SERVICE, &endpoint.id, &leases)?;
            }
        }
        Ok(())
    }

    /// Executes what a node has emitted.
    pub(super) fn execute(&mut self, machine_id: MachineId, effects: Vec<Effect>) {
        for effect in effects {
            if self.machines[machine_id].process.is_none() {
                return;
            }
            let result = self.execute_one(machine_id, effect);
            if self.record_check(result).is_none() {
                return;
            }
        }
    }

    fn execute_one(&mut self, machine_id: MachineId, effect: Effect) -> CheckResult {
        match effect {
            Effect::RespondToAdmin { request_id: caller, status, body } => {
                self.respond_to_admin(machine_id, caller, status, body);
            }
            Effect::RespondToPeer { request_id: caller, response } => {
                self.respond_to_peer(machine_id, caller, response)
            }
            Effect::SendToPeer { operation_id: token, peer, request: call, timeout } => {
                return self.send_to_peer(machine_id, token, &peer, call, timeout);
            }
            Effect::Persist { operation_id: token, write } => return self.persist(machine_id, token, write),
            Effect::Log(text) => self.trace_machine(machine_id, || format!("notes: {text}")),
            Effect::Exit => {
                if self.machines[machine_id].is_shutting_down() {
                    self.trace_machine(machine_id, || "ends by itself".into());
                    self.stop_process(machine_id, true);
                }
            }
        }
        Ok(())
    }

    /// Who waits for the response to a request; a node responds once.
    fn remove_pending_caller(&mut self, machine_id: MachineId, request_id: RequestId) -> Option<Origin> {
        let machine = &mut self.machines[machine_id];
        let pending =
            machine.process.as_mut().and_then(|process| process.pending_callers.remove(&request_id));
        if pending.is_none() {
            let detail = format!("{} answers caller {request_id}, who does not wait", machine.ip);
            self.record_violation(rule::NODE_PROTOCOL, detail);
        }
        pending
    }

    fn respond_to_admin(&mut self, machine_id: MachineId, request_id: RequestId, status: u16, body: String) {
        let Some(origin) = self.remove_pending_caller(machine_id, request_id) else { return };
        if let Participant::Probe(_) = origin.participant {
            self.handle_probe_response(machine_id, origin.request_id, status, &body);
        } else {
            self.send_response(machine_id, origin, Response::Admin { status, body });
        }
    }

    fn respond_to_peer(&mut self, machine_id: MachineId, request_id: RequestId, response: PeerResponse) {
        let Some(origin) = self.remove_pending_caller(machine_id, request_id) else { return };
        if let (
            PeerResponse::Consensus(coppersail_consensus::Response::ReplicaWrite(write)),
            Participant::Machine(from),
        ) = (&response, origin.participant)
        {
            if write.accepted && Some(from) == self.leadership.leader {
                self.leadership.backup = Some(machine_id);
            }
        }
        self.send_response(machine_id, origin, Response::Peer(response));
    }

    fn send_to_peer(
        &mut self,
        machine_id: MachineId,
        token: OperationId,
        peer: &str,
        call: PeerRequest,
        timeout: Millis,
    ) -> CheckResult {
        let Some(process) = &mut self.machines[machine_id].process else { return Ok(()) };
        check_new_token(process.peer_requests.insert(token), token)?;
        let participant = Participant::Machine(machine_id);
        let origin = Origin { participant, incarnation: process.incarnation, request_id: token };
        let timeout = process.to_true_time(timeout);
        self.schedule_after(timeout, SimEvent::PeerRequestTimeout { origin });
        if let Some(receiver) = self.machine_at(peer) {
            self.send_request(receiver, origin, Request::Peer(call));
        }
        Ok(())
    }

    fn persist(&mut self, machine_id: MachineId, token: OperationId, write: WriteBatch) -> CheckResult {
        let machine = &mut self.machines[machine_id];
        let Some(process) = &mut machine.process else { return Ok(()) };
        check_new_token(process.writes.insert(token), token)?;
        let done_at = machine.disk.enqueue_write(self.now, write, &mut self.disk_rng);
        let stop_count = machine.stop_count;
        self.schedule_at(done_at, SimEvent::WriteDone { machine_id, stop_count, token });
        Ok(())
    }
}

fn check_new_token(is_new: bool, token: OperationId) -> CheckResult {
    if is_new {
        return Ok(());
    }
    Err(CheckError::new(rule::NODE_PROTOCOL, format!("token {token} is used twice")))
}
