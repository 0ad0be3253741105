//! The edge's watch of the control plane: a long poll to one control-plane node at a time, in a thread of its own.
//!
//! `candidates` is pure: which node is polled next and whether its answer may be used. `watch_loop` is the thread
//! that polls and hands updates to the edge; `outage` counts the polls that failed, for its log.
pub(crate) mod candidates;
mod outage;
mod watch_loop;

pub use watch_loop::start;
