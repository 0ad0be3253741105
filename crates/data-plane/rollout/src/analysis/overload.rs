//! Detects whether the new version's hosts get far more than their share of the load. Late answers then say nothing
//! about the version, unless the overload lasts so long that the plan itself causes it by its share.
use super::stratum::EvaluatedRow;
use crate::evidence::OutcomeKind;
use crate::load_limit::load_limit;
use crate::Ms;

/// How long (ms) an overload excuses late answers.
const EXCUSED_FOR: Ms = 30_000;

/// The current capacity of the hosts that serve the variants.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct FleetCapacity {
    /// Total slots (concurrent requests) of the new version's hosts.
    pub new_slots: f64,
    /// Total slots of the control group's hosts.
    pub control_slots: f64,
    /// Number of hosts of the new version.
    pub new_hosts: usize,
}

#[derive(Default)]
pub(crate) struct OverloadDetector {
    /// When the present overload was first observed.
    since: Option<Ms>,
}

impl OverloadDetector {
    pub(crate) fn observe(&mut self, now: Ms, fleet: FleetCapacity, rows: &[EvaluatedRow]) {
        let new = rows.iter().map(|evaluated| evaluated.row.new.of(OutcomeKind::Offered)).sum::<u64>() as f64;
        let control =
            rows.iter().map(|evaluated| evaluated.row.control.of(OutcomeKind::Offered)).sum::<u64>() as f64;
        let has_control = fleet.control_slots > 0.0;
        // The requests that the new version would get at the control group's load per slot.
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
