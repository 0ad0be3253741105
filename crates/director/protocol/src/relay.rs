//! The relay's lines: calls with orders, their answers on the same connection, and updates on a connection of their own.

mod answer;
mod order;
mod update;

pub use answer::Answer;
pub use order::{call, Again, Order};
pub use update::News;

/// Longest text of all orders of a call, in bytes, separators included.
pub const MOST: usize = 60_000;

/// Asks for updates on a new connection; the relay sends the current state first.
pub const FOLLOW: &[u8] = b"follow\r\n";

#[cfg(test)]
mod tests;
