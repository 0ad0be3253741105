//! How calls may be retried and limited.

/// Number of further attempts of a call, each at another host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// No retry.
    Never,
    /// One retry, if the last attempt provably was not executed.
    IfNotExecuted,
    /// One retry.
    Once,
    /// Two retries.
    Twice,
}

/// Whether a call may be executed again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// It is idempotent.
    Idempotent,
    /// It has an idempotency key, by which hosts of the same group discard duplicates.
    Deduplicated {
        /// The hosts that share their keys.
        scope: DeduplicationScope,
        /// For how long they keep a key, in seconds.
        window: f64,
    },
    /// It is not idempotent.
    NotIdempotent,
}

/// The hosts that share their idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All hosts.
    Fleet,
    /// The hosts of one zone.
    Zone,
    /// The hosts of one cell.
    Cell,
}

/// What the proxies' admission control limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionUnit {
    /// The share of the calls, 0 to 1.
    Fraction,
    /// The calls per second.
    RequestsPerSecond,
    /// Nothing: there is no admission control.
    Unsupported,
}
