//! A node of the control plane: it keeps the configuration, the endpoints and the shard leases, and
//! acknowledges a change once it is on two disks.
//!
//! `docs/system.md` and `docs/control.md` describe the design. [`node::Node`] makes all decisions, without
//! I/O; [`Server`] and the modules below it are the adapters: HTTP in `listener` and `resources`, other nodes
//! in `peer_rpc`, the disk in [`store`].
//!
//! Terms: a member is one node of the control plane. A follower polls the change feed of a member; it is an
//! edge proxy or another member. An order is an operator's request to put a configuration in force or to
//! change a rollout.
mod admin;
mod assignments;
mod departures;
mod due_replies;
mod endpoint_requests;
mod endpoints;
mod feed;
#[cfg(test)]
mod feed_tests;
mod followers;
mod invariants;
mod listener;
mod members;
mod messages;
pub mod node;
mod operator_requests;
pub mod orders;
mod peer_links;
mod peer_rpc;
mod pending_replies;
mod placement_gate;
#[cfg(test)]
mod placement_gate_tests;
mod proposals;
mod reconciliation;
mod replication;
mod resources;
mod responses;
mod rollout_views;
pub mod rollouts;
mod server;
mod state;
pub mod store;
mod timeouts;
mod watch;

pub use listener::BindError;
pub use server::{Server, StartError};
