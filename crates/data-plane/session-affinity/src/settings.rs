//! Settings from the operators' configuration file, with their defaults.
use crate::ids::Ms;

/// Time and size limits of session affinity.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct AffinitySettings {
    /// Maximum number of sessions that a node holds as a replica; separately, also the maximum as an owner.
    pub max_sessions: usize,
    /// Maximum number of idempotent requests of one session.
    pub max_requests_per_session: usize,
    /// How long a response is kept, in milliseconds.
    pub response_retention_ms: Ms,
    /// How long a node waits for other nodes before a request is sent, and again after its response has arrived, in
    /// milliseconds.
    pub peer_timeout_ms: Ms,
    /// How many times a claim that was rejected for a higher fencing token is retried under a still higher one.
    pub max_claim_retries: u32,
    /// How long (ms) after another node took over a session only an idempotent request claims it back. A delayed
    /// request of another kind doesn't, so that it can't take the session from its new owner.
    pub reclaim_delay_ms: Ms,
    /// Maximum difference between the clocks of two nodes, in milliseconds.
    pub max_clock_skew_ms: Ms,
    /// Maximum size of a recorded response body in bytes. Of a longer one, only the execution is recorded.
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
    /// The latest creation time of a session that a node starting at `now` may have held before its restart. It is
    /// later than `now`, as the clock of the node that created the session may be fast and this node's slow.
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

/// Mutations that the model search has to find. They are never active outside of unit tests.
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
    /// A duplicate of a replica's message counts as a message of another replica.
    DuplicatesCounted,
}
