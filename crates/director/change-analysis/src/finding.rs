//! The finding that the analysis reports against a change.

use crate::scope::ServicePart;
use std::fmt;

/// Percentage points by which the smoothed loss of the untouched side must exceed its baseline to make the
/// finding uncertain: twice the tolerance of the touched side.
const UNTOUCHED_TOLERANCE_PERCENT: f64 = 1.0;

/// Loss on the side that the change does not touch, in percent of the calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UntouchedLoss {
    /// Exponentially smoothed loss, including the current period.
    pub now_percent: f64,
    /// In the baseline.
    pub before_percent: f64,
}

/// A finding against a change: the part of service that shows the strongest evidence of harm.
#[derive(Clone, Debug, PartialEq)]
pub struct HarmFinding {
    /// The part of service with the strongest evidence.
    pub part: ServicePart,
    /// Loss on the touched side in the last period, in percent of the calls.
    pub lost_percent: f64,
    /// Expected loss there if the change had no effect, in percent of the calls.
    pub expected_percent: f64,
    /// Loss on the untouched side; `None` if there is no untouched side to compare with.
    pub untouched: Option<UntouchedLoss>,
    /// Effective number of calls on the touched side in the last period: the number of calls of equal weight
    /// with the same variance.
    pub calls: f64,
    /// How many times more likely the reports are with harm than without.
    pub odds: f64,
}

impl HarmFinding {
    /// Whether a fault of the fleet may be the cause instead of the change: there was no untouched side to
    /// compare with, or it became worse at the same time.
    ///
    /// A fault of some hosts may affect the touched side many times more than the rest. In simulations with a
    /// quarter of the hosts slow, one harmless change in twenty was undone without this check.
    pub fn is_uncertain(&self) -> bool {
        self.untouched.is_none_or(|untouched| {
            untouched.now_percent > untouched.before_percent + UNTOUCHED_TOLERANCE_PERCENT
        })
    }
}

impl fmt::Display for HarmFinding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let HarmFinding { part, lost_percent: lost, expected_percent: expected, untouched, calls, odds } =
            self;
        write!(formatter, "{part}: {lost:.1} of 100 calls lost where {expected:.1} were to be expected")?;
        match untouched {
            Some(UntouchedLoss { now_percent: now, before_percent: before }) => {
                write!(formatter, ", untouched {now:.1} after {before:.1}")?;
            }
            None => formatter.write_str(", nothing untouched to compare with")?,
        }
        write!(formatter, ", {calls:.0} calls, odds {odds:.0}")
    }
}
