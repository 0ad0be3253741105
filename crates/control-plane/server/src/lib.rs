//! A node of the control plane: configuration, endpoints and shard leases, on two disks before it answers.
//!
//! `docs/system.md` and `docs/control.md` are the design. [`node::Node`] decides, without I/O; [`Server`] and the modules
//! below it are the adapters: HTTP in `listener` and `resources`, other nodes in `peer_rpc`, the disk in [`store`].
pub mod admin;
pub mod feed;
#[cfg(test)]
mod feed_tests;
mod listener;
pub mod node;
pub mod orders;
pub mod peer_links;
mod peer_rpc;
pub mod placement_gate;
#[cfg(test)]
mod placement_gate_tests;
mod resources;
mod response_writer;
pub mod rollouts;
mod server;
pub mod state;
pub mod store;

pub use listener::BindError;
pub use server::{Server, StartError};
