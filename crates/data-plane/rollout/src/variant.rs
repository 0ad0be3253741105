//! The two variants that a rollout compares.

/// Which variant a request belongs to. The `Debug` names stand in log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Variant {
    /// The new version (canary).
    New,
    /// The version in service so far: the control group.
    Old,
}
