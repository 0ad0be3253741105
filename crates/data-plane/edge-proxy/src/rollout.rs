//! Progressive rollouts at an edge: selects the variant of each request and records evidence about both
//! variants.
//!
//! The decision logic is in `coppersail-rollout`; this module connects it to the requests of an edge. Without
//! an active rollout, the only cost per request is the check of one flag.
pub mod duplicates;
pub mod outbox;
pub mod recording;
pub mod variants;
