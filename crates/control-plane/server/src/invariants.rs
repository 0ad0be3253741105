//! Invariants that a node checks while it runs. A violation is a bug of this program: it is counted and
//! logged, and tests and the simulator fail on the first.
use std::fmt;

/// The invariant that is violated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Violation {
    /// A configuration that operators read is that of the replicated state.
    ReadDiffersFromState { read: Option<u64>, stored: Option<u64> },
    /// A follower that has applied an answer has the configuration that was in force here when it was sent.
    FollowerLacksConfig { follower: String, known: u64, answered: u64 },
    /// An incomplete update advances its follower: otherwise the same part would be sent forever.
    PartDoesNotAdvance { follower: String, sequence: u64 },
}

impl fmt::Display for Violation {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::ReadDiffersFromState { read, stored } => {
                write!(out, "operators read revision {read:?}, but {stored:?} is stored")
            }
            Violation::FollowerLacksConfig { follower, known, answered } => {
                write!(out, "{follower} polls with r{known}, but has applied an answer with r{answered}")
            }
            Violation::PartDoesNotAdvance { follower, sequence } => {
                write!(out, "an incomplete update for {follower} does not advance its position {sequence}")
            }
        }
    }
}

/// Counts violations, and keeps those that were not logged yet.
#[derive(Debug, Default)]
pub(crate) struct Violations {
    count: u64,
    unlogged: Vec<Violation>,
}

impl Violations {
    /// Counts a violation unless the invariant holds.
    pub(crate) fn check(&mut self, holds: bool, violation: impl FnOnce() -> Violation) {
        if !holds {
            self.count += 1;
            self.unlogged.push(violation());
        }
    }

    /// The number of violations since the process started.
    pub(crate) fn count(&self) -> u64 {
        self.count
    }

    /// A line for each that was not logged yet.
    pub(crate) fn take_lines(&mut self) -> Vec<String> {
        let count = self.count;
        let line = |violation| format!("Invariant violated, {count} in all: {violation}.");
        self.unlogged.drain(..).map(line).collect()
    }
}
