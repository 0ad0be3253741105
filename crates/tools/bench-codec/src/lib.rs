//! Codec for the bench's line protocol: lines of text, batches of events in, replies of orders out. It knows the
//! names on the wire and nothing of what they are used for.

#[macro_use]
mod message;

mod error;
mod event;
mod field;
mod order;
mod reader;

pub use error::InvalidLine;
pub use event::Event;
pub use field::{Octets, Outcome, Receiver, Resend, Scope, Status, Telemetry, Text};
pub use order::{write_reply, Order, ALL_SLICES};
pub use reader::{Batch, Reader};

#[cfg(test)]
mod tests;
