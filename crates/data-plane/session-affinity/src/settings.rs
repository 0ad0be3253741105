//! Settings from the operators' file, with their defaults.
use crate::ids::Ms;

/// Times and sizes.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct AffinitySettings {
    /// Sessions that a node holds as a replica, and as many as an owner.
    pub max_sessions: usize,
    /// Idempotent requests of one session.
    pub max_requests_per_session: usize,
    /// For how long a response is kept, in milliseconds.
    pub response_retention_ms: Ms,
    /// For how long other nodes are waited for, before a request is sent and after its response arrived.
    pub peer_timeout_ms: Ms,
    /// How often a claim that met a higher fencing token is retried under a still higher one, while requests wait.
    pub max_claim_retries: u32,
    /// For how long after losing a session only an idempotent request claims it back: a late lookup does not.
    pub reclaim_delay_ms: Ms,
    /// How far the clocks of two nodes may be apart.
    pub max_clock_skew_ms: Ms,
    /// Longer response bodies (bytes) are not kept; that the request was executed is.
    pub max_response_bytes: usize,
    #[cfg(test)]
    pub(crate) injected_bug: Option<InjectedBug>,
}

impl Default for AffinitySettings {
    fn default() -> AffinitySettings {
        AffinitySettings {
            max_sessions: 20_000,
            max_requests_per_session: 64,
            response_retention_ms: 600_000,
            peer_timeout_ms: 500,
            max_claim_retries: 3,
            reclaim_delay_ms: 1_000,
            max_clock_skew_ms: 2_000,
            max_response_bytes: 16 * 1024,
            #[cfg(test)]
            injected_bug: None,
        }
    }
}

impl AffinitySettings {
    /// A node that starts at `now` may have held any session created up to the returned time before it restarted. The
    /// time lies ahead, as the clock of the node that created the session may be ahead and this one's behind.
    pub fn lost_up_to(&self, now: Ms) -> Ms {
        now + 2 * self.max_clock_skew_ms
    }

    #[cfg(test)]
    pub(crate) fn has_bug(&self, bug: InjectedBug) -> bool {
        self.injected_bug == Some(bug)
    }

    #[cfg(not(test))]
    pub(crate) fn has_bug(&self, _: InjectedBug) -> bool {
        false
    }
}

/// Mutations that the model search has to find. Outside of unit tests none is ever in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum InjectedBug {
    /// A replica accepts writes under a lower token than it has promised.
    StaleWrites,
    /// A request is sent once a single replica has recorded it.
    NoQuorum,
    /// A replica that lost its state promises as if it had not.
    LossIgnored,
    /// A request whose outcome is unknown is sent again.
    RetryOfUnknown,
    /// A duplicate of a replica's message counts as the message of another replica.
    DuplicatesCounted,
}
