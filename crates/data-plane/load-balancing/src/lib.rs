//! Endpoint selection of an edge proxy, with the state and decisions behind it: which endpoints exist and
//! which one owns a key, outlier detection, load estimates, retry budget, backoff and timeouts.
//!
//! The crate does no I/O and reads no clock: the caller passes the current time in milliseconds and the
//! random generator.
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
pub use merge::{RegistryChanges, UnusableCause, UnusableEndpoint};
pub use registry::EndpointRegistry;
pub use selection::{Selection, SelectionRequest};

/// Milliseconds: a point in time since the process started, or a duration.
pub type Ms = u64;
