//! Progressive rollout of a new version of a service (canary release): the new version gets the same share of the
//! service's requests on every edge, step by step, and loses it everywhere when the analysis finds it worse than the
//! control group. Pure: times are milliseconds that the caller gives; nothing here does I/O. `docs/rollout.md` is the
//! design.
//!
//! - [`lifecycle`]: a plan's state at the control plane: phase, step, commands; one number for each change.
//! - [`share`]: which members are in which share, the same on every edge.
//! - [`variant`]: the two variants, new version and control group.
//! - [`selector`]: which variant an edge selects for a request, under a lease on the new version's share.
//! - [`evidence`]: what an edge counts of both variants, as it is on the wire.
//! - [`recorder`]: how an edge counts it and bounds its reports.
//! - [`analysis`]: the sequential test of the new version against the control group, at the leader.
//! - [`verdict`]: what the analysis comes to.
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
