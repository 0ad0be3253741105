//! A stub backend: one endpoint of a service without the service. It sends heartbeats, runs requests, holds leases of
//! key ranges and drains before it ends.
//!
//! The library is pure: times are passed in, counted from the endpoint's start, and the program brings sockets,
//! threads and the clock. The simulator and the fleet emulator use the same parts.
pub mod endpoint;
pub mod heartbeat;
mod key_range;
pub mod leases;
pub mod node_selector;
pub mod redirect;

pub use endpoint::{Endpoint, EndpointConfig, QueuedRequest, RequestHead, RequestOutcome};
pub use heartbeat::{EndpointState, Heartbeat, HeartbeatResponse, LeaseGrant};
pub use key_range::MAX_KEY;
pub use leases::LeasedRanges;
pub use node_selector::NodeSelector;
pub use redirect::RedirectTarget;
