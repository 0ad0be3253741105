//! The two variants that a rollout compares.
use std::fmt;

/// The variant that serves a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Variant {
    /// The new version (canary).
    New,
    /// The version that is in service so far (control group).
    Control,
}

impl fmt::Display for Variant {
    /// The name in log lines: `New` or `Old`.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Variant::New => "New",
            Variant::Control => "Old",
        })
    }
}
