//! Types of times and ids that all modules share.

/// Unix time or a duration, in milliseconds.
pub type Ms = u64;
/// A node's number in the operators' configuration file. Numbers are never reassigned to other nodes.
pub type NodeId = u16;
/// The caller's id of a request that waits for a decision.
pub type RequestId = u64;
