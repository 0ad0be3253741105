//! The result of a run.

use crate::invariants::Violation;
use crate::statistics::Statistics;

/// The result of a run.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    /// The first invariant that was violated, if any; the run ends with it.
    pub violation: Option<Violation>,
    /// What was counted.
    pub statistics: Statistics,
    /// A line for each event of note, if a trace was requested.
    pub trace: Vec<String>,
}
