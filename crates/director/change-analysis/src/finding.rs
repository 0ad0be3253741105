//! What the analysis reports against a change.

use crate::scope::ServicePart;
use std::fmt;

/// Percentage points by which the smoothed loss of the untouched side must exceed its baseline to put the finding in
/// doubt: twice what is tolerated on the touched side.
const UNTOUCHED_WORSE_BY: f64 = 1.0;

/// Loss on the side that the change does not touch, in percent of the calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UntouchedLoss {
    /// In the current period, smoothed.
    pub now_percent: f64,
    /// In the baseline.
    pub before_percent: f64,
}

/// A finding against a change: the part of service that shows the strongest evidence of harm.
#[derive(Clone, Debug, PartialEq)]
pub struct HarmFinding {
    /// The part of service that lost most clearly.
    pub part: ServicePart,
    /// Loss on the touched side in the last period, in percent of the calls.
    pub lost_percent: f64,
    /// Loss to be expected there if the change did nothing, in percent of the calls.
    pub expected_percent: f64,
    /// Loss on the untouched side; `None` if there is no untouched side to compare with.
    pub untouched: Option<UntouchedLoss>,
    /// Calls on the touched side in the last period, as the equivalent number of calls of equal weight.
    pub calls: f64,
    /// How many times likelier the reports are with harm than without.
    pub odds: f64,
}

impl HarmFinding {
    /// Whether the fleet may be at fault instead of the change: there was no untouched side to compare with, or that
    /// side has become worse in the same time.
    ///
    /// A trouble of some hosts (a quarter of them slow, in the lab's experiments) may affect the touched side many
    /// times as much as the rest; without this doubt one harmless change in twenty was undone there.
    pub fn is_uncertain(&self) -> bool {
        self.untouched
            .is_none_or(|untouched| untouched.now_percent > untouched.before_percent + UNTOUCHED_WORSE_BY)
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
