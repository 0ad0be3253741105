//! The messages that a director exchanges on its sockets, parsed and written without I/O: collectors' reports, calls to
//! the relay and its updates, discovery's endpoint lists, load reports, and the configuration file.
//!
//! The names on the wire stay inside this package. Only the fields that a director needs are parsed; others are
//! ignored.

pub mod collector;
pub mod config;
pub mod discovery;
mod error;
pub mod load;
mod number;
pub mod relay;

pub use error::ParseError;
