//! What the daemon is without its I/O: the reducer with all state, what it counts, and how bytes become lines. The lab
//! plays the reducer in simulated time; the daemon (`main.rs`) puts sockets round it.

pub mod bounds;
pub mod counters;
pub mod framing;
pub mod reducer;
