//! A stand-in host: its life, its keys and its way to the centres, without sockets or clocks of its own.
//! Times are given in, counted from the host's start.
pub mod keys;
pub mod life;
pub mod way;

pub use keys::Keys;
pub use life::{Ask, Beat, Life, Plan, Reply, Verdict};
pub use way::Way;
