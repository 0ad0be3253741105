//! Deterministic simulator of the control plane.
//!
//! It runs the very nodes of the control plane ([`coppersail_control_plane::node::Node`]) on simulated time, links,
//! disks and processes, with endpoints, edges and operators around them, and checks invariants from what these
//! callers observe. A seed decides a run: there are no threads, no real time and no I/O.
//!
//! Simulated: links by pair (delay, jitter, partitions of one or both directions, requests that are duplicated, late or
//! reset, lost responses, bytes that a partition held back and that arrive after it); disks (slow, hanging, full, lost;
//! at a loss of power a prefix of the pending writes survives); processes (kill, power loss, freeze, SIGTERM, SIGHUP,
//! each at a chosen moment such as between a sync and its response); machines that are replaced, moved, returned, or
//! failing all at once; steady clocks up to 2% apart. In most runs no more is lost at once than `survive` allows, and
//! the control plane must then be available in stable periods. In the other runs any number is lost, but no disk.
//!
//! Not simulated: bytes of HTTP and JSON, the time that the code itself takes, a store that is torn or was set back (it
//! counts as a lost disk), rollouts, sessions, clients' requests, zones or regions lost as a whole, clocks that jump.
//!
//! ```
//! use coppersail_simulator::{simulate, Scenario};
//! let scenario = Scenario { duration: 8_000, ..Scenario::default() };
//! let (first, second) = (simulate(&scenario, false), simulate(&scenario, false));
//! assert_eq!(first.statistics.steps, second.statistics.steps);
//! ```

mod admin_client;
mod disk;
mod edge;
mod endpoint;
mod event;
mod event_queue;
pub mod fault;
mod generator;
pub mod invariants;
mod machine;
mod network;
mod observed_leadership;
mod operator;
mod outcome;
mod participant;
mod process;
mod scenario;
mod settings;
mod shrink;
mod simulation;
mod statistics;
mod time;
mod world;

pub use fault::{Fault, FaultKind, FaultTarget, KnownPeers, PartitionDirection, Trigger};
pub use invariants::Violation;
pub use outcome::Outcome;
pub use scenario::Scenario;
pub use settings::STABILIZATION_MS;
pub use shrink::shrink;
pub use simulation::simulate;
pub use statistics::{FaultCount, Statistics, ViolationCount};
pub use time::{Micros, Millis};
