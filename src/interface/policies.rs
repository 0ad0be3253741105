//! How calls may be retried and limited.

/// Further attempts of a call, always at another host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// None.
    Never,
    /// One, if the last attempt provably was not executed.
    IfNeverRan,
    /// One.
    Once,
    /// Two.
    Twice,
}

/// Whether a call may be executed again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Semantics {
    /// It is idempotent.
    Repeatable,
    /// It has an idempotency key, by which hosts of the same group drop repeats.
    Keyed {
        /// The hosts that know each other's keys.
        group: KeyedGroup,
        /// For how long they keep a key, in seconds.
        window: f64,
    },
    /// It is not idempotent.
    MustNotRepeat,
}

/// The hosts that know each other's idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyedGroup {
    /// All hosts.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// What admission control of the proxies limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The share of the calls, 0 to 1.
    Share,
    /// The calls per second.
    PerSecond,
    /// Nothing: there is no admission control.
    None,
}
