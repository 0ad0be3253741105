//! Whether the new version's hosts have far more than their share of the load: their lateness then says nothing about
//! the version, unless it goes on for so long that it is the plan's own.
use super::stratum::EvaluatedRow;
use crate::evidence::OutcomeKind;
use crate::load_limit::load_limit;
use crate::Ms;

/// For so long (ms) overload excuses lateness.
const EXCUSED_FOR: Ms = 30_000;

/// The capacity of the hosts that serve the variants now.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct FleetCapacity {
    /// Slots (concurrent requests) of the new version's hosts.
    pub new_slots: f64,
    /// Slots of the control group's hosts.
    pub control_slots: f64,
    /// Hosts of the new version.
    pub new_hosts: usize,
}

#[derive(Default)]
pub(crate) struct OverloadDetector {
    since: Option<Ms>,
}

impl OverloadDetector {
    pub(crate) fn observe(&mut self, now: Ms, fleet: FleetCapacity, rows: &[EvaluatedRow]) {
        let new = rows.iter().map(|s| s.row.new.of(OutcomeKind::Offered)).sum::<u64>() as f64;
        let control = rows.iter().map(|s| s.row.control.of(OutcomeKind::Offered)).sum::<u64>() as f64;
        let has_control = fleet.control_slots > 0.0;
        // What the control group's load per slot would give.
        let expected = if has_control { control / fleet.control_slots * fleet.new_slots } else { new };
        let is_overloaded = fleet.new_slots > 0.0 && new > load_limit(expected);
        self.since = is_overloaded.then_some(self.since.unwrap_or(now));
    }

    pub(crate) fn is_overloaded(&self) -> bool {
        self.since.is_some()
    }

    /// Whether late answers are to be left out of the test.
    pub(crate) fn excuses_lateness(&self, now: Ms) -> bool {
        self.since.is_some_and(|since| now < since + EXCUSED_FOR)
    }
}
