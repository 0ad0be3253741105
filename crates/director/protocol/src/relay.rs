//! The relay's line protocol: calls, which carry orders, and their answers share a connection; updates are sent on a
//! separate connection.

mod answer;
mod order;
mod update;

pub use answer::Answer;
pub use order::{write_call, Order, RetryPolicy};
pub use update::RelayEvent;

/// Maximum length of the orders of a call with their separators, in bytes.
pub const MAX_CALL_BYTES: usize = 60_000;

/// Request for updates, sent on a new connection. The relay first sends the current state.
pub const WATCH_REQUEST: &[u8] = b"follow\r\n";

#[cfg(test)]
mod tests;
