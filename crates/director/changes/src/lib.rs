//! The life of an operators' change, as decisions on state alone: it reads no clock and does no I/O. What is to be
//! done comes back as `Act`s; what is to be remembered as `Record`s, from which the same state is made again.
//!
//! A change is drafted, checked, staged, applied, on trial, and in the end kept or undone. Each is numbered, and the
//! number of the newest one is the version of what is in force. Undoing is a change of its own, made of what is true
//! when it is made: of each field it gives back what stands below, never a copy from before.

mod book;
mod change;
mod leaving;
mod pool;
mod record;
mod stacks;

pub use book::{Act, Book, Ready, APPLY_MOST, BASELINE_MOST, LIVE_MOST};
pub use change::{Change, Keep, Refusal, Stage, Submission, Version, Why};
pub use leaving::{announced, Leaving, EXPIRES, LEAD};
pub use pool::{Pool, PoolHost};
pub use record::Record;
