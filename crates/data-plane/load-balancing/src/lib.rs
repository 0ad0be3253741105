//! Which way a request goes: picks, health of hosts, budget of further tries; pure.
//!
//! Time is milliseconds of a clock that the caller keeps, and chance is the caller's.
pub mod backoff;
pub mod budget;
pub mod health;
pub mod load;
pub mod registry;
pub mod selection;

pub use budget::RetryBudget;
pub use registry::{Endpoint, EndpointRegistry};
pub use selection::{Selection, SelectionRequest};

/// Milliseconds since the process started.
pub type Ms = u64;
