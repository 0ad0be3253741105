//! Readers beside the nodes: each node is read at its own machine, past any partition. Two nodes that answer in one
//! round are two leaders.

use super::World;
use crate::admin_client::AdminCall;
use crate::event::{Request, SimEvent};
use crate::invariants::rule;
use crate::participant::{MachineId, Origin, Participant};
use crate::time::{Micros, Millis, MICROS_PER_MILLI};

/// Mean time between two rounds.
const PROBE_INTERVAL: Micros = 50 * MICROS_PER_MILLI;
/// A longer time without an answer is a gap.
const MIN_GAP_MS: Millis = 3 * PROBE_INTERVAL / MICROS_PER_MILLI;

impl World<'_> {
    pub(super) fn schedule_first_probe(&mut self) {
        self.schedule_at(PROBE_INTERVAL, SimEvent::Probe);
    }

    pub(super) fn probe_all(&mut self) {
        self.leadership.answered_in_round.clear();
        self.leadership.in_probe_round = true;
        for machine_id in 0..self.machines.len() {
            let machine = &self.machines[machine_id];
            if machine.is_running() {
                let origin = Origin {
                    participant: Participant::Probe(machine_id),
                    incarnation: machine.incarnations,
                    request_id: self.order_history.min_number(),
                };
                self.handle_request(machine_id, origin, Request::Admin(AdminCall::ReadConfig));
            }
        }
        self.leadership.in_probe_round = false;
        if let [one, other, ..] = self.leadership.answered_in_round[..] {
            let detail = format!("{} and {}", self.machines[one].ip, self.machines[other].ip);
            self.record_violation(rule::TWO_LEADERS, detail);
        }
        let delay = PROBE_INTERVAL / 2 + self.network.rng.u64(0..PROBE_INTERVAL);
        self.schedule_after(delay, SimEvent::Probe);
    }

    /// The reader beside a node has its response. `min_number` is the lowest number that it may read.
    pub(super) fn handle_probe_response(
        &mut self,
        machine_id: MachineId,
        min_number: u64,
        status: u16,
        body: &str,
    ) {
        let result = self.order_history.record_read(min_number, self.now, status, body);
        if result.is_err() {
            self.trace_machine(machine_id, || format!("answers a read at its side with {status}"));
        }
        self.record_check(result);
        self.statistics.reads += 1;
        if status == 200 {
            self.record_leader(machine_id);
        }
    }

    fn record_leader(&mut self, machine_id: MachineId) {
        if self.leadership.in_probe_round {
            self.leadership.answered_in_round.push(machine_id);
        }
        let gap = (self.now - self.leadership.answered_at) / MICROS_PER_MILLI;
        // Where more may be down than is tolerated, a gap says nothing.
        let tolerated = !self.scenario.beyond_tolerance && !self.scenario.forced;
        if gap > MIN_GAP_MS && self.leadership.answered_at > 0 && tolerated {
            let cause = self.leadership.cause_of_gap();
            self.statistics.leaderless_gaps.entry(cause).or_default().push(gap);
        }
        self.leadership.forget_old_faults(self.now);
        if self.leadership.leader != Some(machine_id) {
            let text = || format!("is primary now, {gap} ms after the last answer of one");
            self.trace_machine(machine_id, text);
        }
        self.leadership.leader = Some(machine_id);
        self.leadership.answered_at = self.now;
    }
}
