//! The director without its I/O: the reducer, which holds all state, with the line framing, the counters and the
//! resource limits that it shares with the program.
//!
//! The program (`main.rs`) connects the reducer with sockets, timers and disks; the lab runs the same reducer in
//! simulated time.

pub mod counters;
pub mod framing;
pub mod reducer;
pub mod resource_limits;
