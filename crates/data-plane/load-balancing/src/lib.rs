//! Which way a request goes: picks, health of hosts, budget of further tries; pure.
//!
//! Time is milliseconds of a clock that the caller keeps, and chance is the caller's.
pub mod book;
pub mod budget;
pub mod health;
pub mod load;
pub mod pause;
pub mod pick;

pub use book::{Book, Host};
pub use budget::Budget;
pub use pick::{Ask, Choice};

/// Milliseconds since the process started.
pub type Ms = u64;
