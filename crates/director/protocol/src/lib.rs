//! Parsers and encoders, without I/O, for the messages that a director exchanges over its sockets: collectors' reports,
//! calls to the relay and the relay's updates, discovery's endpoint lists, load reports, and the configuration file.
//!
//! Only this package uses the names on the wire; its types have names of their own. Only the fields that a director
//! needs are parsed; others are ignored.

pub mod collector;
pub mod config;
pub mod discovery;
mod error;
pub mod load;
mod number;
pub mod relay;

pub use error::ParseError;
