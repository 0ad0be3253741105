//! Shares that advance together: a new version of a service gets one share of its requests on every edge, and loses
//! it everywhere at once. Pure: times are milliseconds, given in; nothing here does I/O. `docs/rollout.md` is the
//! design.
//!
//! - [`pace`]: a plan's state at the centre, one number for each change.
//! - [`share`]: who is in which share, the same on every edge.
//! - [`side`]: what an edge makes of plans: the version of a request, and the lease on the new share.
//! - [`ledger`]: what an edge counts of both versions, and tells.
//! - [`judge`]: what the centre makes of it.
//!
//! ```
//! use coppersail_rollout::lifecycle::{Order, Phase, Stand};
//! let body = r#"{"service": "ledger", "from": {"revision": "v1"}, "to": {"revision": "v2"},
//!     "steps": [{"share": 0.05}, {"share": 0.5}]}"#;
//! let stand = Stand::submit("friday", body, None).unwrap();
//! assert_eq!((stand.number, stand.share()), (1, Some(0.05)));
//! let paused = stand.order(0, Order::Pause, "by hand").unwrap().unwrap();
//! assert_eq!((paused.phase, paused.share()), (Phase::Withdrawn, Some(0.0)));
//! ```
pub mod analysis;
pub mod evidence;
pub mod lifecycle;
pub mod share;
#[cfg(test)]
mod tests;
pub mod variant;

pub use analysis::{RolloutAnalysis, Verdict};
pub use coppersail_config::rollout::{RolloutPlan, Version};
pub use evidence::{EvidenceRecorder, EvidenceReport, OutcomeKind};
pub use lifecycle::{Phase, RolloutCommand, RolloutState};
pub use variant::{Variant, VariantSelector};

pub type Ms = u64;
