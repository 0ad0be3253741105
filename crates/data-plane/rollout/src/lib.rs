//! Progressive rollout of a new version of a service (canary release). The new version gets the same share of the
//! service's requests on every edge proxy, and the share grows in steps. If the analysis finds the new version worse
//! than the control group, the rollout is paused on all edges. The package does no I/O; the caller passes in the time.
//! `docs/rollout.md` describes the design.
//!
//! - [`lifecycle`]: a rollout's state at the control plane: phase, step and commands; each change has a number.
//! - [`share`]: which members (sessions or clients) belong to a share; the same on every edge.
//! - [`variant`]: the two variants, new version and control group.
//! - [`selector`]: selects a variant for a request at an edge, under a lease on the new version's share.
//! - [`evidence`]: the counts of both variants that an edge reports, in their wire format.
//! - [`recorder`]: counts outcomes at an edge, and limits the size of its reports.
//! - [`analysis`]: the sequential test of the new version against the control group, at the leader.
//! - [`verdict`]: the result of the analysis.
//!
//! ```
//! use coppersail_rollout::lifecycle::{Phase, RolloutCommand, RolloutState};
//! let body = r#"{"service": "ledger", "from": {"revision": "v1"}, "to": {"revision": "v2"},
//!     "steps": [{"share": 0.05}, {"share": 0.5}]}"#;
//! let state = RolloutState::submit("friday", body, None).unwrap();
//! assert_eq!((state.number, state.share()), (1, Some(0.05)));
//! let paused = state.apply_command(0, RolloutCommand::Pause, "by hand").unwrap().unwrap();
//! assert_eq!((paused.phase, paused.share()), (Phase::Withdrawn, Some(0.0)));
//! ```
pub mod analysis;
pub mod evidence;
pub mod lifecycle;
mod load_limit;
pub mod recorder;
pub mod selector;
pub mod share;
#[cfg(test)]
mod tests;
pub mod variant;
pub mod verdict;

pub use analysis::RolloutAnalysis;
pub use coppersail_config::rollout::{RolloutPlan, Version};
pub use evidence::{EvidenceReport, OutcomeKind};
pub use lifecycle::{Phase, RolloutCommand, RolloutState};
pub use recorder::{AttemptEvidence, EvidenceRecorder};
pub use selector::VariantSelector;
pub use variant::Variant;
pub use verdict::Verdict;

/// A time or a duration, in milliseconds of the caller's monotonic clock.
pub type Ms = u64;
