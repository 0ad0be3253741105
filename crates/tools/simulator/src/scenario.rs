//! The whole input of a run: the cluster, its callers, and the faults.

use crate::fault::{Fault, FaultKind};
use crate::time::Millis;

/// A run, before it is simulated. The command line calls it a day.
#[derive(Debug, Clone, PartialEq)]
pub struct Scenario {
    /// Decides every random draw of the run.
    pub seed: u64,
    /// Control-plane machines, 3 to 9.
    pub machines: usize,
    /// Zones that the machines, endpoints and edges are spread over.
    pub zones: usize,
    /// `survive`: failures of machines that must be tolerated.
    pub max_failures: usize,
    /// `inContact`, in milliseconds: without a quorum for that long, a node stops answering with success.
    pub quorum_contact: Millis,
    /// Milliseconds during which faults are injected.
    pub duration: Millis,
    /// Endpoints (the operators' pages: hosts).
    pub endpoints: usize,
    /// Edge proxies.
    pub edges: usize,
    /// The longest update that an edge takes at once, in bytes; without one it takes all at once.
    pub max_answer_bytes: Option<u64>,
    /// Mean time between two orders of an operator, in milliseconds; 0: operators send none by themselves.
    pub order_interval: Millis,
    /// By ascending time.
    pub faults: Vec<Fault>,
    /// Injected right after an order was acknowledged, once `duration` is over.
    pub final_fault: Option<FaultKind>,
    /// Faults are injected even where more than `max_failures` are then down; availability is not checked.
    pub forced: bool,
    /// More than `max_failures` may be down at once, but no disk is lost: no acknowledged order may be forgotten.
    pub beyond_tolerance: bool,
}

impl Default for Scenario {
    /// Three machines in three zones, without faults.
    fn default() -> Scenario {
        Scenario {
            seed: 1,
            machines: 3,
            zones: 3,
            max_failures: 1,
            quorum_contact: 3000,
            duration: 40_000,
            endpoints: 8,
            edges: 4,
            max_answer_bytes: None,
            order_interval: 1500,
            faults: Vec::new(),
            final_fault: None,
            forced: false,
            beyond_tolerance: false,
        }
    }
}
