//! Events to the parts of the world that they concern.

use super::World;
use crate::event::{Request, Response, SimEvent};
use crate::machine::Power;
use crate::participant::{MachineId, Origin, Participant};
use coppersail_control_plane::node::Event;

impl World<'_> {
    pub(super) fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::Tick { machine_id, incarnation } => self.tick(machine_id, incarnation),
            SimEvent::RequestArrives { machine_id, origin, request } => {
                self.handle_request(machine_id, origin, request);
            }
            SimEvent::ResponseArrives { origin, response } => self.handle_response(origin, response),
            SimEvent::PeerRequestTimeout { origin } => self.handle_peer_timeout(origin),
            SimEvent::WriteDone { machine_id, stop_count, token } => {
                self.complete_write(machine_id, stop_count, token);
            }
            SimEvent::WriteReported { machine_id, incarnation, token, ok } => {
                self.report_write(machine_id, incarnation, token, ok);
            }
            SimEvent::StartProcess { machine_id, stop_count } => self.start_process(machine_id, stop_count),
            SimEvent::ResumeProcess { machine_id, incarnation } => {
                self.resume_process(machine_id, incarnation);
            }
            SimEvent::Terminate { machine_id, incarnation } => self.signal_shutdown(machine_id, incarnation),
            SimEvent::ReloadSettings { machine_id, incarnation } => {
                self.signal_reload(machine_id, incarnation);
            }
            SimEvent::ShutdownTimeout { machine_id, incarnation } => {
                self.handle_shutdown_timeout(machine_id, incarnation);
            }
            SimEvent::StartReplacement { slot, known_peers, random_value, reuse_address } => {
                self.start_replacement(slot, &known_peers, random_value, reuse_address);
            }
            SimEvent::InjectFault(index) => self.inject_scheduled_fault(index),
            SimEvent::PartitionEnds(id) => self.heal_partition(id),
            SimEvent::TriggerTimeout { machine_id, incarnation } => {
                self.handle_trigger_timeout(machine_id, incarnation);
            }
            SimEvent::FaultEnds(machine_id) => self.record_recovery(machine_id),
            SimEvent::WakeEndpoint { endpoint_id, wake } => self.wake_endpoint(endpoint_id, wake),
            SimEvent::EndpointRequestTimeout { endpoint_id, request_id } => {
                self.handle_endpoint_response(endpoint_id, request_id, None);
            }
            SimEvent::EndpointWorkDone { endpoint_id, incarnation, work_id } => {
                self.finish_endpoint_work(endpoint_id, incarnation, work_id);
            }
            SimEvent::PollEdge { edge_id, wake } => self.poll_edge(edge_id, wake),
            SimEvent::EdgeRequestTimeout { edge_id, request_id } => {
                self.handle_edge_response(edge_id, request_id, None);
            }
            SimEvent::WakeOperator(operator_id) => self.wake_operator(operator_id),
            SimEvent::WakeReader(operator_id) => self.wake_reader(operator_id),
            SimEvent::RetryCall { call_id } => self.attempt_call(call_id),
            SimEvent::CallTimeout { call_id, request_id } => self.handle_call_timeout(call_id, request_id),
            SimEvent::RetryFinalRead(machine_id) => self.attempt_final_read(machine_id),
            SimEvent::Probe => self.probe_all(),
            SimEvent::CheckTimeLimits => self.check_time_limits(),
            SimEvent::HealAll => self.heal_all(),
        }
    }

    /// A request reaches a machine.
    pub(super) fn handle_request(&mut self, machine_id: MachineId, origin: Origin, request: Request) {
        if self.machines[machine_id].power != Power::On {
            return;
        }
        let request_id = self.next_request_id();
        let Some(process) = &mut self.machines[machine_id].process else {
            return self.reset_connection(machine_id, origin);
        };
        if process.frozen {
            process.deferred_events.push(SimEvent::RequestArrives { machine_id, origin, request });
            return;
        }
        process.pending_callers.insert(request_id, origin);
        let event = match request {
            Request::Peer(call) => Event::Peer { request_id, request: call },
            Request::Admin(call) => Event::Admin { request_id, request: call.to_request() },
        };
        self.step(machine_id, event);
    }

    /// A response reaches the sender of the request.
    fn handle_response(&mut self, origin: Origin, response: Response) {
        let request_id = origin.request_id;
        match origin.participant {
            Participant::Machine(machine_id) => self.handle_peer_response(machine_id, origin, response),
            Participant::Endpoint(endpoint_id) => {
                self.handle_endpoint_response(endpoint_id, request_id, Some(response));
            }
            Participant::Edge(edge_id) => self.handle_edge_response(edge_id, request_id, Some(response)),
            Participant::Operator(_) => self.handle_operator_response(request_id, response),
            Participant::FinalReader(machine_id) => {
                self.handle_final_read(machine_id, request_id, response);
            }
            Participant::Probe(_) => {}
        }
    }

    fn handle_peer_response(&mut self, machine_id: MachineId, origin: Origin, response: Response) {
        let Some(process) = self.process(machine_id, origin.incarnation) else { return };
        if process.frozen {
            process.deferred_events.push(SimEvent::ResponseArrives { origin, response });
            return;
        }
        if process.peer_requests.remove(&origin.request_id) {
            let response = match response {
                Response::Peer(response) => Some(response),
                _ => None,
            };
            let operation_id = origin.request_id;
            self.step(machine_id, Event::PeerResponded { operation_id, response });
        }
    }

    fn handle_peer_timeout(&mut self, origin: Origin) {
        let Participant::Machine(machine_id) = origin.participant else { return };
        let Some(process) = self.process(machine_id, origin.incarnation) else { return };
        if process.frozen {
            process.deferred_events.push(SimEvent::PeerRequestTimeout { origin });
        } else if process.peer_requests.remove(&origin.request_id) {
            let operation_id = origin.request_id;
            self.step(machine_id, Event::PeerResponded { operation_id, response: None });
        }
    }
}
