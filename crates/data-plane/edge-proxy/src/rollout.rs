//! Progressive rollouts at an edge: the variant of each request, and the evidence about both variants.
//!
//! Decisions are those of `coppersail-rollout`; this is the adapter between it and the requests of an edge. Without a
//! rollout in force, one flag is looked at for each request.
pub mod duplicates;
pub mod outbox;
pub mod recording;
pub mod variants;
