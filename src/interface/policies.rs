//! How calls may be retried and limited.

/// Further attempts of a call, always at another host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// None.
    Never,
    /// One, if the last attempt provably was not executed.
    IfNotExecuted,
    /// One.
    Once,
    /// Two.
    Twice,
}

/// Whether a call may be executed again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// It is idempotent.
    Idempotent,
    /// It has an idempotency key, by which hosts of the same group drop repeats.
    Deduplicated {
        /// The hosts that know each other's keys.
        scope: DeduplicationScope,
        /// For how long they keep a key, in seconds.
        window: f64,
    },
    /// It is not idempotent.
    NotIdempotent,
}

/// The hosts that know each other's idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All hosts.
    Fleet,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// What admission control of the proxies limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionUnit {
    /// The share of the calls, 0 to 1.
    Fraction,
    /// The calls per second.
    RequestsPerSecond,
    /// Nothing: there is no admission control.
    Unsupported,
}
