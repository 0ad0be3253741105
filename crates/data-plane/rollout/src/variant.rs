//! The two variants that a rollout compares.
use std::fmt;

/// Which variant a request belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Variant {
    /// The new version (canary).
    New,
    /// The version in service so far: the control group.
    Control,
}

impl fmt::Display for Variant {
    /// The word in log lines: `New` or `Old`.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Variant::New => "New",
            Variant::Control => "Old",
        })
    }
}
