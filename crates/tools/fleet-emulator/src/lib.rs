//! A fleet emulator: many endpoints or edges without traffic, to measure what a control-plane node spends on each
//! (docs/CAPACITY.md has the figures).
//!
//! The library has what needs no sockets: the watch requests of an edge, a generated configuration, and the figures of
//! a measurement window.
pub mod call_stats;
pub mod emulated_edge;
pub mod generated_config;
pub mod process_usage;
pub mod table;

pub use call_stats::CallStats;
pub use emulated_edge::EmulatedEdge;
pub use generated_config::{generate_config, service_name, ConfigSize};
pub use process_usage::{ProcessUsage, UsageError};
