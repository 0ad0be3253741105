//! Times and ids that all modules share.

/// Milliseconds of the time of day.
pub type Ms = u64;
/// A node's number in the operators' file; it is never given to another one.
pub type NodeId = u16;
/// The adapter's id of a request that waits for a decision.
pub type RequestId = u64;
