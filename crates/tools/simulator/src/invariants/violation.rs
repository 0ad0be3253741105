//! The invariants' names, and their violations.

use crate::time::Micros;

/// The invariants. Their texts are printed in traces and in the table of statistics, and stay as they are.
pub mod rule {
    /// Linearizable reads.
    pub const READ: &str = "a read is never older than what was acknowledged or read before it";
    /// One leader at a time.
    pub const TWO_LEADERS: &str = "no two centres answer reads as primary at one moment";
    /// Integrity of contents.
    pub const UNKNOWN_CONTENT: &str = "what is read is what was sent under its number";
    /// A number is bound to its first content.
    pub const TWO_CONTENTS: &str = "one content a number";
    /// Submitting an order is idempotent.
    pub const RESEND_REJECTED: &str = "an acknowledged order sent again is never refused";
    /// A rejection is final.
    pub const REJECTED_IN_FORCE: &str = "what was refused is never in force";
    /// Validation.
    pub const INVALID_ACKNOWLEDGED: &str = "what is invalid is never acknowledged";
    /// No rejection without a cause.
    pub const REJECTED_WITHOUT_CAUSE: &str =
        "no proper order is refused without another content under its number";
    /// Exclusive ownership of shards.
    pub const TWO_OWNERS: &str = "one holder a key";
    /// Monotonic fencing tokens.
    pub const FENCING: &str = "fences of a row only rise";
    /// Monotonic state of edges.
    pub const EDGE_WENT_BACK: &str = "edges never go back";
    /// Drains reach the edges in time.
    pub const DRAIN_UNKNOWN: &str = "an acknowledged emptying is known to edges in touch within `empty`";
    /// Configurations reach the edges in time.
    pub const CONFIG_NOT_APPLIED: &str = "an acknowledged configuration is at edges in touch within `apply`";
    /// Availability for operators.
    pub const ORDER_NOT_ACKNOWLEDGED: &str = "in calm times an order is acknowledged within `confirm`";
    /// Availability for endpoints.
    pub const DRAIN_NOT_ACKNOWLEDGED: &str =
        "in calm times a host that leaves is acknowledged before it ends";
    /// Durability.
    pub const NOT_READ_BACK: &str =
        "at the end the newest acknowledged configuration is read back through any centre";
    /// An isolated node does not serve.
    pub const ISOLATED_NODE_ANSWERS: &str =
        "a centre cut off for longer than `inContact` answers nothing with 2xx";
    /// Each request has one response, each operation its own id.
    pub const NODE_PROTOCOL: &str = "a node answers each caller once and uses no token twice";
    /// The invariants that a node checks itself.
    pub const NODE_INVARIANT: &str = "a node sees none of its invariants violated";
    /// No panic.
    pub const PANIC: &str = "a node does not panic";
}

/// A violated invariant.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{rule}: {detail}")]
pub struct CheckError {
    /// One of [`rule`].
    pub rule: &'static str,
    /// What was observed, and what it contradicts.
    pub detail: String,
}

impl CheckError {
    /// A violation of `rule` by what `detail` describes.
    pub fn new(rule: &'static str, detail: impl Into<String>) -> CheckError {
        CheckError { rule, detail: detail.into() }
    }
}

/// The result of a check.
pub type CheckResult<T = ()> = Result<T, CheckError>;

/// A violated invariant, and when it was observed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// One of [`rule`].
    pub rule: &'static str,
    /// Microseconds from the start of the run.
    pub at: Micros,
    /// What was observed, and what it contradicts.
    pub detail: String,
}
