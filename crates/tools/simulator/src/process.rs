//! A simulated process: a node with its own clock, and what waits for it.

use crate::event::SimEvent;
use crate::fault::{FaultKind, Trigger};
use crate::participant::Origin;
use crate::time::{Micros, Millis, MICROS_PER_MILLI};
use coppersail_consensus::{OperationId, RequestId};
use coppersail_control_plane::node::{Effect, Node};
use std::collections::{BTreeMap, BTreeSet};

/// A fault that waits for its trigger.
pub(crate) struct ArmedFault {
    pub(crate) trigger: Trigger,
    pub(crate) kind: FaultKind,
    pub(crate) random_value: u64,
}

pub(crate) struct Process {
    pub(crate) node: Node,
    /// Counts the processes of the machine.
    pub(crate) incarnation: u32,
    started_at: Micros,
    clock_rate: f64,
    pub(crate) frozen: bool,
    /// What arrived while it was frozen.
    pub(crate) deferred_events: Vec<SimEvent>,
    /// What it was about to send when it was frozen.
    pub(crate) deferred_effects: Vec<Effect>,
    pub(crate) armed_fault: Option<ArmedFault>,
    /// Own requests to other nodes that have no response yet.
    pub(crate) peer_requests: BTreeSet<OperationId>,
    /// Own writes that were not reported yet.
    pub(crate) writes: BTreeSet<OperationId>,
    /// Who waits for a response of this process.
    pub(crate) pending_callers: BTreeMap<RequestId, Origin>,
    /// It has got SIGTERM.
    pub(crate) shutting_down: bool,
}

impl Process {
    pub(crate) fn new(node: Node, incarnation: u32, started_at: Micros, clock_rate: f64) -> Process {
        Process {
            node,
            incarnation,
            started_at,
            clock_rate,
            frozen: false,
            deferred_events: Vec::new(),
            deferred_effects: Vec::new(),
            armed_fault: None,
            peer_requests: BTreeSet::new(),
            writes: BTreeSet::new(),
            pending_callers: BTreeMap::new(),
            shutting_down: false,
        }
    }

    /// What its clock shows at true time `now`. It starts at 1 ms.
    pub(crate) fn clock(&self, now: Micros) -> Millis {
        1 + ((now - self.started_at) as f64 * self.clock_rate / 1000.0) as Millis
    }

    /// How long a span of its clock takes in true time.
    pub(crate) fn to_true_time(&self, span: Millis) -> Micros {
        (span as f64 * MICROS_PER_MILLI as f64 / self.clock_rate) as Micros
    }
}
