//! Settings from the operators' file, with their defaults.
use crate::ids::Ms;

/// Times and sizes.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct AffinitySettings {
    /// Sessions that a node holds as a replica, and as many as an owner.
    pub sessions: usize,
    /// Idempotent requests of one session.
    pub keys: usize,
    /// For how long a response is kept, in milliseconds.
    pub keep: Ms,
    /// For how long other nodes are waited for, before a request is sent and after its response arrived.
    pub wait: Ms,
    /// How often a claim that met a higher fencing token is retried under a still higher one, while requests wait.
    pub tries: u32,
    /// For how long after losing a session only an idempotent request claims it back: a late lookup does not.
    pub rest: Ms,
    /// How far the clocks of two nodes may be apart.
    pub skew: Ms,
    /// Longer response bodies (bytes) are not kept; that the request was executed is.
    pub answer: usize,
    #[cfg(test)]
    pub(crate) injected_bug: Option<InjectedBug>,
}

impl Default for AffinitySettings {
    fn default() -> AffinitySettings {
        AffinitySettings {
            sessions: 20_000,
            keys: 64,
            keep: 600_000,
            wait: 500,
            tries: 3,
            rest: 1_000,
            skew: 2_000,
            answer: 16 * 1024,
            #[cfg(test)]
            injected_bug: None,
        }
    }
}

impl AffinitySettings {
    /// A node that starts at `now` may have held any session created up to the returned time before it restarted. The
    /// time lies ahead, as the clock of the node that created the session may be ahead and this one's behind.
    pub fn floor(&self, now: Ms) -> Ms {
        now + 2 * self.skew
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
