//! A change on trial: its parts of service, each with its comparison and its evidence.

use crate::baseline::Baseline;
use crate::comparison::Comparison;
use crate::evidence::Evidence;
use crate::finding::HarmFinding;
use crate::history::Period;
use crate::scope::{ChangeScope, ServicePart};
use crate::sides::Sides;
use coppersail::interface::RouteId;
use std::rc::Rc;

/// Number of consecutive periods in which service must be as before a suspended change. With the window of
/// each evaluation this is ten seconds at one period per second, so a fault that pauses for one or two
/// reports does not count as over.
const RECOVERED_PERIODS: usize = 5;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TrialState {
    InForce,
    /// The change is temporarily out of force.
    Suspended {
        /// Consecutive periods in which service was as before the change.
        recovered_periods: usize,
    },
}

/// A part of service that is monitored during a trial.
struct MonitoredPart {
    comparison: Comparison,
    evidence: Evidence,
    /// The finding of the last observation.
    last_finding: Option<HarmFinding>,
}

impl MonitoredPart {
    fn reset_evidence(&mut self) {
        self.evidence = Evidence::default();
        self.last_finding = None;
    }
}

/// A change on trial.
pub(crate) struct Trial {
    pub(crate) scope: ChangeScope,
    /// The loss rate that the change's author announced, 0 to 1.
    announced_loss: f64,
    /// The periods before the change. They are kept because a resumed change is compared with the same
    /// periods again.
    baseline_periods: Vec<Rc<Period>>,
    /// Periods with calls since the change came into force.
    observed_periods: usize,
    parts: Vec<MonitoredPart>,
    state: TrialState,
}

impl Trial {
    pub(crate) fn new(scope: ChangeScope, announced_loss: f64, baseline_periods: Vec<Rc<Period>>) -> Self {
        Trial {
            scope,
            announced_loss,
            baseline_periods,
            observed_periods: 0,
            parts: vec![],
            state: TrialState::InForce,
        }
    }

    pub(crate) fn observed_periods(&self) -> usize {
        self.observed_periods
    }

    pub(crate) fn is_in_force(&self) -> bool {
        self.state == TrialState::InForce
    }

    /// Whether the trial is suspended and service has been as in the baseline for long enough.
    pub(crate) fn has_recovered(&self) -> bool {
        matches!(self.state, TrialState::Suspended { recovered_periods } if recovered_periods >= RECOVERED_PERIODS)
    }

    pub(crate) fn suspend(&mut self) {
        self.state = TrialState::Suspended { recovered_periods: 0 };
        self.restart();
    }

    pub(crate) fn resume(&mut self) {
        self.state = TrialState::InForce;
        self.restart();
    }

    /// Resets observations and evidence: evidence counts only for the time in force in which it was
    /// collected.
    fn restart(&mut self) {
        self.observed_periods = 0;
        for part in &mut self.parts {
            part.comparison.reset();
            part.reset_evidence();
        }
    }

    pub(crate) fn reset_evidence(&mut self) {
        self.parts.iter_mut().for_each(MonitoredPart::reset_evidence);
    }

    /// Measures the baseline of each part again. `others`: scopes of the other changes in force;
    /// `importance`: weight of each route; `untouched_unusable`: see [`Sides::new`].
    pub(crate) fn measure_baselines(
        &mut self,
        others: &[&ChangeScope],
        importance: &[f64],
        untouched_unusable: bool,
    ) {
        let mut parts: Vec<MonitoredPart> = Vec::new();
        for part in self.compared_parts(importance.len()) {
            let sides = Sides::new(part, &self.scope, others, importance, untouched_unusable);
            let periods = self.baseline_periods.iter().map(|period| &**period);
            let Some(baseline) = Baseline::measure(&sides, periods) else { continue };
            // Evidence is kept for parts whose sides are unchanged; the other parts start without evidence.
            let previous = self.parts.iter().find(|previous| previous.comparison.sides == sides);
            parts.push(MonitoredPart {
                evidence: previous.map_or_else(Evidence::default, |previous| previous.evidence.clone()),
                last_finding: previous.and_then(|previous| previous.last_finding.clone()),
                comparison: Comparison::new(sides, baseline),
            });
        }
        self.parts = parts;
    }

    fn compared_parts(&self, routes: usize) -> Vec<ServicePart> {
        let mut parts: Vec<ServicePart> =
            (0..routes).map(|route| ServicePart::Route(RouteId(route as u16))).collect();
        parts.extend([ServicePart::AllByImportance, ServicePart::AllCalls]);
        if !self.scope.hosts.is_empty() {
            parts.push(ServicePart::Hosts);
        }
        parts
    }

    /// Adds a closed period. Returns a finding if the odds of harm reach `rejection_odds`.
    pub(crate) fn observe(&mut self, period: &Period, rejection_odds: f64) -> Option<HarmFinding> {
        self.observed_periods += usize::from(period.has_calls());
        match self.state {
            TrialState::InForce => self.observe_in_force(period, rejection_odds),
            TrialState::Suspended { recovered_periods } => {
                let recovered_periods = self.observe_suspended(period, recovered_periods);
                self.state = TrialState::Suspended { recovered_periods };
                None
            }
        }
    }

    fn observe_in_force(&mut self, period: &Period, rejection_odds: f64) -> Option<HarmFinding> {
        let part_count = self.parts.len() as f64;
        let mut mean_odds = 0.0;
        let mut worst: Option<(f64, &HarmFinding)> = None;
        for part in &mut self.parts {
            if let Some(observation) = part.comparison.observe(period, self.announced_loss) {
                part.evidence.add(&observation);
                part.last_finding = Some(part.comparison.finding(&observation));
            }
            let odds = part.evidence.odds();
            // The mean of the odds keeps the property that its expected value without harm is at most 1,
            // however the parts depend on each other.
            mean_odds += odds / part_count;
            if let Some(finding) = &part.last_finding {
                if worst.is_none_or(|(worst_odds, _)| odds > worst_odds) {
                    worst = Some((odds, finding));
                }
            }
        }
        let (_, finding) = worst.filter(|_| mean_odds >= rejection_odds)?;
        Some(HarmFinding { odds: mean_odds, ..finding.clone() })
    }

    /// Returns the number of consecutive recovered periods after this one.
    fn observe_suspended(&mut self, period: &Period, recovered_periods: usize) -> usize {
        let announced_loss = self.announced_loss;
        // All parts are evaluated, even after one that has not recovered, as each has its own recovery
        // window.
        let recovered: Vec<Option<bool>> =
            self.parts.iter_mut().map(|part| part.comparison.has_recovered(period, announced_loss)).collect();
        if recovered.contains(&Some(false)) {
            0
        } else if recovered.contains(&Some(true)) {
            recovered_periods + 1
        } else {
            // Too few calls to decide: the previous periods still count.
            recovered_periods
        }
    }
}
