//! The simulated world: true time, machines, network and callers, and the loop over its events.
//!
//! The modules below implement [`World`] by concern. Every random draw, event and trace line depends on the order of
//! the ones before it: a change of that order changes what a seed stands for.

mod admin_clients;
mod availability;
mod dispatch;
mod edges;
mod effects;
mod endpoints;
mod fault_targets;
mod faults;
mod final_phase;
mod links;
mod machine_faults;
mod operators;
mod partitions;
mod probes;
mod processes;
mod setup;
mod trigger;

use crate::edge::Edge;
use crate::endpoint::Endpoint;
use crate::event::SimEvent;
use crate::event_queue::EventQueue;
use crate::fault::FaultKind;
use crate::invariants::{CheckResult, FencingTokens, OrderHistory, Violation};
use crate::machine::Machine;
use crate::network::Network;
use crate::observed_leadership::ObservedLeadership;
use crate::operator::Operator;
use crate::outcome::Outcome;
use crate::participant::MachineId;
use crate::scenario::Scenario;
use crate::statistics::{Statistics, ViolationCount};
use crate::time::{Micros, MICROS_PER_MILLI};
use fastrand::Rng;
use std::collections::BTreeMap;

/// The name in a trace line that concerns all machines.
const ALL_MACHINES: &str = "all";

/// A drain or a sign-off that was acknowledged, whatever the state of the node that did: the edges must know
/// of it in time.
struct AcknowledgedDrain {
    endpoint_id: String,
    at: Micros,
}

/// A read through a machine at the end of the run.
#[derive(Clone, Copy)]
struct FinalRead {
    machine_id: MachineId,
    done: bool,
}

/// The end of the run: the final fault, and the reads of the last acknowledged configuration through every machine.
struct FinalPhase {
    fault: Option<FaultKind>,
    /// From this time on the next acknowledgement triggers the fault.
    fault_not_before: Micros,
    /// Whether an order was submitted for that.
    order_submitted: bool,
    reads_since: Micros,
    reads: Vec<FinalRead>,
    /// When all reads must be done; the largest time before they begin.
    deadline: Micros,
    finished: bool,
}

impl FinalPhase {
    fn new(fault: Option<FaultKind>) -> FinalPhase {
        FinalPhase {
            fault,
            fault_not_before: Micros::MAX,
            order_submitted: false,
            reads_since: 0,
            reads: Vec::new(),
            deadline: Micros::MAX,
            finished: false,
        }
    }

    fn is_unread(&self, machine_id: MachineId) -> bool {
        self.reads.iter().any(|read| read.machine_id == machine_id && !read.done)
    }
}

pub(crate) struct World<'a> {
    scenario: &'a Scenario,
    now: Micros,
    queue: EventQueue,
    machines: Vec<Machine>,
    /// The machine in each slot of the control plane.
    slots: Vec<MachineId>,
    /// The last machine at each IP address.
    addresses: BTreeMap<String, MachineId>,
    network: Network,
    disk_rng: Rng,
    rng: Rng,
    order_history: OrderHistory,
    fencing_tokens: FencingTokens,
    endpoints: Vec<Endpoint>,
    edges: Vec<Edge>,
    operators: Vec<Operator>,
    acknowledged_drains: Vec<AcknowledgedDrain>,
    statistics: Statistics,
    violation: Option<Violation>,
    trace: Option<Vec<String>>,
    last_request_id: u64,
    /// When a fault of a machine last began or ended.
    disturbed_at: Micros,
    /// When the machines were started again after the last fault of all of them.
    all_disturbed_at: Micros,
    /// Since when the control plane must be available; none if it need not.
    available_since: Option<Micros>,
    leadership: ObservedLeadership,
    final_phase: FinalPhase,
}

impl World<'_> {
    /// Handles events until the run is finished or an invariant is violated.
    pub(crate) fn run(&mut self) {
        while let Some((at, event)) = self.queue.pop() {
            self.now = at;
            self.handle_event(event);
            if self.violation.is_some() || self.final_phase.finished {
                break;
            }
        }
    }

    pub(crate) fn into_outcome(mut self) -> Outcome {
        self.statistics.simulated_ms = self.now / MICROS_PER_MILLI;
        if let Some(Violation { rule, detail, .. }) = self.violation.clone() {
            self.record_trace("", || format!("BROKEN: {rule}: {detail}"));
            let count = ViolationCount { runs: 1, seeds: vec![self.scenario.seed] };
            self.statistics.violations.insert(rule, count);
        }
        Outcome {
            violation: self.violation,
            statistics: self.statistics,
            trace: self.trace.unwrap_or_default(),
        }
    }

    fn schedule_at(&mut self, at: Micros, event: SimEvent) {
        self.queue.push(at.max(self.now), event);
    }

    fn schedule_after(&mut self, delay: Micros, event: SimEvent) {
        self.schedule_at(self.now + delay, event);
    }

    /// Adds a line to the trace, if there is one.
    fn record_trace(&mut self, who: &str, text: impl FnOnce() -> String) {
        if let Some(trace) = &mut self.trace {
            trace.push(format!("{:>9.3} s  {who:<12} {}", self.now as f64 / 1e6, text()));
        }
    }

    /// Adds a line about a machine to the trace, if there is one.
    fn trace_machine(&mut self, machine_id: MachineId, text: impl FnOnce() -> String) {
        if self.trace.is_some() {
            let ip = self.machines[machine_id].ip.clone();
            self.record_trace(&ip, text);
        }
    }

    /// Records the first violation; later ones may be its consequences.
    pub(crate) fn record_violation(&mut self, rule: &'static str, detail: String) {
        let at = self.now;
        self.violation.get_or_insert(Violation { rule, at, detail });
    }

    /// The value of a check that passed. A failed one is recorded and ends the run.
    fn record_check<T>(&mut self, result: CheckResult<T>) -> Option<T> {
        match result {
            Ok(value) => Some(value),
            Err(error) => {
                self.record_violation(error.rule, error.detail);
                None
            }
        }
    }

    /// A number that no request has had yet.
    fn next_request_id(&mut self) -> u64 {
        self.last_request_id += 1;
        self.last_request_id
    }
}
