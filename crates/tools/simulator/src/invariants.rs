//! Invariants of the control plane, checked only from what its callers observe.
//!
//! Pure: the simulated world reports what happened, with true time, and gets a [`CheckError`] back if that violates a
//! [`rule`].

mod fencing;
mod order_history;
mod violation;

pub use fencing::{first_overlap, FencingTokens};
pub use order_history::{Order, OrderHistory};
pub use violation::{rule, CheckError, CheckResult, Violation};
