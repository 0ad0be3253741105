//! The result of the analysis of a rollout.

/// The result of the analysis at one time. The texts are shown to operators.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// There is not enough evidence for the next step; the text says what is missing.
    Wait(String),
    /// There is enough evidence, and none against the new version: the next step may be taken.
    Healthy,
    /// The new version is worse than the control group; the text is the reason.
    Pause(String),
}
