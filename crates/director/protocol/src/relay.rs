//! The relay's lines: calls with orders, their answers on the same connection, and updates on a connection of their
//! own.

mod answer;
mod order;
mod update;

pub use answer::Answer;
pub use order::{write_call, Order, RetryPolicy};
pub use update::RelayEvent;

/// Longest text of all orders of a call, in bytes, separators included.
pub const MAX_CALL_BYTES: usize = 60_000;

/// Asks for updates on a new connection; the relay sends the current state first.
pub const WATCH_REQUEST: &[u8] = b"follow\r\n";

#[cfg(test)]
mod tests;
