//! The director without its I/O: the reducer, which holds all state, and what it needs of the way bytes come in.
//!
//! The program (`main.rs`) connects the reducer with sockets, timers and disks; the lab runs the same reducer in
//! simulated time.

pub mod counters;
pub mod framing;
pub mod reducer;
pub mod resource_limits;
