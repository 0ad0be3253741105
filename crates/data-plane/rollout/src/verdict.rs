//! What the analysis of a rollout comes to.

/// The analysis' result at one time; the texts are shown to operators.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// Not enough is known; the text says what is missing.
    Wait(String),
    /// Enough evidence, and none against the new version: the next step may be taken.
    Healthy,
    /// The new version is worse than the control group; the text is the reason.
    Pause(String),
}
