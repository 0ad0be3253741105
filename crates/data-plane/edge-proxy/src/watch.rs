//! The edge's watch of the control plane: long polls to one control-plane node at a time, in a separate
//! thread.
//!
//! `candidates` decides without I/O which node is polled next and whether its answer may be used.
//! `watch_loop` is the thread that polls and passes updates to the edge. `outage` counts failed polls for the
//! log.
pub(crate) mod candidates;
mod outage;
mod watch_loop;

pub use watch_loop::start;
