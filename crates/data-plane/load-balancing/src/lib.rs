//! Endpoint selection of an edge proxy, with all decisions that it rests on: which endpoints exist and which one owns a
//! key, outlier detection, load estimates, retry budget, backoff and timeouts.
//!
//! Pure: time is milliseconds of a clock that the caller keeps, and randomness is a generator that the caller passes in.
pub mod backoff;
pub mod budget;
pub mod endpoint;
pub mod health;
pub mod load;
mod merge;
pub mod registry;
pub mod selection;
pub mod service;
pub mod slices;
pub mod timeouts;
pub mod traffic_split;

pub use budget::RetryBudget;
pub use endpoint::Endpoint;
pub use merge::RegistryChanges;
pub use registry::EndpointRegistry;
pub use selection::{Selection, SelectionRequest};

/// Milliseconds, as a time since the process started or as a duration.
pub type Ms = u64;
