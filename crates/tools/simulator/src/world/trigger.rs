//! Faults that hit a node at a moment of its own, such as between a sync and the response.

use super::World;
use crate::event::SimEvent;
use crate::fault::{FaultKind, Trigger};
use crate::participant::MachineId;
use crate::process::ArmedFault;
use crate::time::{Micros, MICROS_PER_MILLI};
use coppersail_control_plane::node::{Effect, PeerRequest, PeerResponse};

/// How long a fault waits for its trigger.
const TRIGGER_TIMEOUT: Micros = 3000 * MICROS_PER_MILLI;

fn matches_trigger(effect: &Effect, trigger: Trigger) -> bool {
    match trigger {
        Trigger::Immediately => false,
        Trigger::BeforeOkResponse | Trigger::AfterOkResponse => {
            matches!(effect, Effect::RespondToAdmin { status: 200, .. })
        }
        Trigger::AfterPeerRequest => {
            matches!(effect, Effect::SendToPeer { request: PeerRequest::Consensus(_), .. })
        }
        Trigger::AfterPeerResponse => {
            matches!(effect, Effect::RespondToPeer { response: PeerResponse::Consensus(_), .. })
        }
        Trigger::AfterWriteRequest => matches!(effect, Effect::Persist { .. }),
    }
}

impl World<'_> {
    /// Lets a fault wait for its trigger. Returns false if there is no process.
    pub(super) fn arm_fault(&mut self, machine_id: MachineId, fault: ArmedFault) -> bool {
        let Some(process) = &mut self.machines[machine_id].process else { return false };
        process.armed_fault = Some(fault);
        let incarnation = process.incarnation;
        self.schedule_after(TRIGGER_TIMEOUT, SimEvent::TriggerTimeout { machine_id, incarnation });
        true
    }

    pub(super) fn handle_trigger_timeout(&mut self, machine_id: MachineId, incarnation: u32) {
        let Some(process) = self.process(machine_id, incarnation) else { return };
        process.armed_fault = None;
        if !process.frozen {
            self.record_recovery(machine_id);
        }
    }

    /// Executes what a node has emitted, and injects the armed fault if that is its trigger.
    pub(super) fn execute_with_trigger(&mut self, machine_id: MachineId, effects: Vec<Effect>) {
        let Some(process) = &mut self.machines[machine_id].process else { return };
        let triggered =
            |fault: &mut ArmedFault| effects.iter().any(|effect| matches_trigger(effect, fault.trigger));
        let Some(fault) = process.armed_fault.take_if(triggered) else {
            return self.execute(machine_id, effects);
        };
        let ArmedFault { trigger, kind, random_value } = fault;
        if trigger != Trigger::BeforeOkResponse {
            self.execute(machine_id, effects);
        } else if let FaultKind::Freeze { .. } = kind {
            // Sent when the process resumes. Any other fault loses them.
            process.deferred_effects = effects;
        }
        self.trace_machine(machine_id, || format!("at {trigger}: {kind}"));
        if self.machines[machine_id].process.is_some() {
            self.leadership.record_fault(self.now, kind.name());
            self.inject(machine_id, vec![machine_id], &kind, random_value);
        }
    }
}
