//! The platform's messages from the side of a director's surroundings: what a relay, a discovery service, collectors
//! and hosts send to a director, and which orders its calls carry. The forms are those of `crates/director/protocol`;
//! there is no I/O here.

mod collector;
mod context;
mod director_config;
mod discovery;
mod relay;
mod relay_state;

pub use context::{host_name, Platform, ServiceAddresses};
pub use relay::CallError;
pub use relay_state::RelayTables;

#[cfg(test)]
mod tests;
