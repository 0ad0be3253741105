//! Who leads, as the readers beside the nodes observe it.

use crate::participant::MachineId;
use crate::time::Micros;
use std::collections::VecDeque;

/// How long before a gap its fault may have been injected.
const FAULT_TO_GAP: Micros = 1_500_000;

/// A fault of the control plane that was injected.
struct RecentFault {
    at: Micros,
    name: &'static str,
}

#[derive(Default)]
pub(crate) struct ObservedLeadership {
    /// The machine that last answered a read.
    pub(crate) leader: Option<MachineId>,
    /// The machine that last accepted a write of the leader.
    pub(crate) backup: Option<MachineId>,
    /// When a read was last answered.
    pub(crate) answered_at: Micros,
    /// Who has answered in the current round of probes.
    pub(crate) answered_in_round: Vec<MachineId>,
    /// Whether a round of probes is under way; a node may also answer a probe after it.
    pub(crate) in_probe_round: bool,
    recent_faults: VecDeque<RecentFault>,
}

impl ObservedLeadership {
    pub(crate) fn record_fault(&mut self, at: Micros, name: &'static str) {
        self.recent_faults.push_back(RecentFault { at, name });
    }

    /// The fault that a gap since the last answer is attributed to.
    pub(crate) fn cause_of_gap(&self) -> &'static str {
        let since = self.answered_at.saturating_sub(FAULT_TO_GAP);
        self.recent_faults.iter().find(|fault| fault.at >= since).map_or("none", |fault| fault.name)
    }

    pub(crate) fn forget_old_faults(&mut self, now: Micros) {
        self.recent_faults.retain(|fault| fault.at + FAULT_TO_GAP >= now);
    }
}
