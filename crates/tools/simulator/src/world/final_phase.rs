//! The end of a run: all faults end, the final fault follows an acknowledgement, and the last acknowledged
//! configuration is read back through every machine.

use super::{FinalRead, World, ALL_MACHINES};
use crate::admin_client::{AdminCall, REQUEST_TIMEOUT};
use crate::event::{Request, Response, SimEvent};
use crate::fault::{FaultTarget, Trigger};
use crate::invariants::rule;
use crate::machine::{Machine, Power};
use crate::participant::{MachineId, Origin, Participant};
use crate::settings::{CONFIRM_MS, STABILIZATION_MS, SYNC_MS};
use crate::time::{Micros, MICROS_PER_MILLI};

/// Within this time the configuration must be read back through every machine.
const FINAL_READ_TIMEOUT: Micros = 15_000 * MICROS_PER_MILLI;
/// Faults end only when no machine is being replaced; until then this is looked at again.
const HEAL_RETRY_INTERVAL: Micros = 200 * MICROS_PER_MILLI;
/// How often a final read follows a redirect.
const MAX_REDIRECTS: u64 = 2;

/// What a final read carries in its request id: the redirects so far in the lowest byte, the min_number above.
#[derive(Clone, Copy)]
struct FinalReadId {
    min_number: u64,
    redirects: u64,
}

impl FinalReadId {
    fn encode(self) -> u64 {
        self.min_number << 8 | self.redirects
    }

    fn decode(request_id: u64) -> FinalReadId {
        FinalReadId { min_number: request_id >> 8, redirects: request_id & 255 }
    }
}

impl World<'_> {
    /// All faults end, but for machines that are being replaced: those get their time.
    pub(super) fn heal_all(&mut self) {
        let is_being_replaced =
            |machine: &Machine| machine.power == Power::Removed || machine.is_shutting_down();
        if self.slots.iter().any(|machine_id| is_being_replaced(&self.machines[*machine_id])) {
            return self.schedule_after(HEAL_RETRY_INTERVAL, SimEvent::HealAll);
        }
        self.record_trace(ALL_MACHINES, || "all trouble is over".into());
        for id in self.network.partition_ids() {
            self.heal_partition(id);
        }
        for machine_id in 0..self.machines.len() {
            self.heal_machine(machine_id);
        }
        self.disturbed_at = self.now;
        if self.final_phase.fault.is_some() {
            let delay = SYNC_MS + self.scenario.quorum_contact + STABILIZATION_MS;
            self.final_phase.fault_not_before = self.now + delay * MICROS_PER_MILLI;
        } else {
            self.begin_final_reads();
        }
    }

    fn heal_machine(&mut self, machine_id: MachineId) {
        let now = self.now;
        let machine = &mut self.machines[machine_id];
        machine.slow_until = machine.slow_until.min(now);
        machine.noisy_until = machine.noisy_until.min(now);
        machine.disk.heal();
        if let Some(process) = &mut machine.process {
            process.armed_fault = None;
            let incarnation = process.incarnation;
            self.resume_process(machine_id, incarnation);
        } else if machine.power != Power::Removed {
            let stop_count = machine.stop_count;
            self.start_process(machine_id, stop_count);
        }
    }

    /// Submits the order whose acknowledgement triggers the final fault. Without one in time the fault is left out.
    pub(super) fn prepare_final_fault(&mut self) {
        let phase = &mut self.final_phase;
        if phase.fault.is_none() || self.now < phase.fault_not_before {
            return;
        }
        if !phase.order_submitted {
            phase.order_submitted = true;
            let order = self.new_order(0);
            self.submit_order(0, order, None);
        } else if self.now > phase.fault_not_before + 2 * CONFIRM_MS * MICROS_PER_MILLI {
            phase.fault = None;
            self.begin_final_reads();
        }
    }

    /// An order was acknowledged: the final fault is injected if its time has come.
    pub(super) fn inject_final_fault(&mut self) {
        if self.now < self.final_phase.fault_not_before {
            return;
        }
        let Some(kind) = self.final_phase.fault.take() else { return };
        let random_value = self.rng.u64(..);
        let target =
            [FaultTarget::Leader, FaultTarget::Backup, FaultTarget::Voter][random_value as usize % 3];
        let machine_id = self.resolve_target(target, random_value);
        let injected = self.try_inject(machine_id, &kind, Trigger::Immediately, random_value);
        self.statistics.count_fault(kind.name(), injected);
        self.begin_final_reads();
    }

    fn begin_final_reads(&mut self) {
        self.stop_operators();
        let since = self.now.max(self.all_disturbed_at);
        let slots = self.slots.clone();
        let unread = |machine_id: &MachineId| FinalRead { machine_id: *machine_id, done: false };
        self.final_phase.reads_since = since;
        self.final_phase.deadline = since + FINAL_READ_TIMEOUT;
        self.final_phase.reads = slots.iter().map(unread).collect();
        for machine_id in slots {
            self.schedule_at(since, SimEvent::RetryFinalRead(machine_id));
        }
    }

    pub(super) fn attempt_final_read(&mut self, machine_id: MachineId) {
        if self.final_phase.is_unread(machine_id) {
            self.send_final_read(machine_id, machine_id, 0);
            self.schedule_after(REQUEST_TIMEOUT / 2, SimEvent::RetryFinalRead(machine_id));
        }
    }

    fn send_final_read(&mut self, machine_id: MachineId, receiver: MachineId, redirects: u64) {
        let id = FinalReadId { min_number: self.order_history.min_number(), redirects };
        let participant = Participant::FinalReader(machine_id);
        let origin = Origin { participant, incarnation: 0, request_id: id.encode() };
        self.send_request(receiver, origin, Request::Admin(AdminCall::ReadConfig));
    }

    pub(super) fn handle_final_read(&mut self, machine_id: MachineId, request_id: u64, response: Response) {
        let Response::Admin { status, body } = response else { return };
        if !self.final_phase.is_unread(machine_id) {
            return;
        }
        let FinalReadId { min_number, redirects } = FinalReadId::decode(request_id);
        if status == 307 && redirects < MAX_REDIRECTS {
            if let Some(receiver) = self.redirect_target(&body) {
                self.send_final_read(machine_id, receiver, redirects + 1);
            }
            return;
        }
        let result = self.order_history.record_read(min_number, self.now, status, &body);
        self.record_check(result);
        if status == 200 || status == 404 && min_number == 0 {
            self.record_final_read(machine_id);
        }
    }

    fn record_final_read(&mut self, machine_id: MachineId) {
        let phase = &mut self.final_phase;
        for read in phase.reads.iter_mut().filter(|read| read.machine_id == machine_id) {
            read.done = true;
        }
        if phase.reads.iter().all(|read| read.done) {
            phase.finished = true;
            self.statistics.recovery_times.push((self.now - phase.reads_since) / MICROS_PER_MILLI);
        }
    }

    pub(super) fn check_final_reads(&mut self) {
        let unread = self.final_phase.reads.iter().filter(|read| !read.done);
        let unread: Vec<&str> = unread.map(|read| self.machines[read.machine_id].ip.as_str()).collect();
        if self.now > self.final_phase.deadline && !unread.is_empty() {
            let (machines, seconds) = (unread.join(", "), FINAL_READ_TIMEOUT / 1_000_000);
            let detail = format!("nothing is read back through {machines} within {seconds} s");
            self.record_violation(rule::NOT_READ_BACK, detail);
        }
    }
}
