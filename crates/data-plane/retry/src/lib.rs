//! Whether a request may have run, and what follows from that.
//!
//! A try ends in one [`AttemptOutcome`]. It alone decides whether the request may go to another host, and, summed up in a
//! [`AttemptHistory`], which answer the client gets when the request is given up.
//!
//! ```
//! use coppersail_retry::{Broke, Closing, Tally, Unsent, Verdict};
//! let mut tally = Tally::default();
//! let unreached: Verdict<()> = Verdict::NotSent(Unsent::Unreachable);
//! assert!(unreached.again(false), "what no host has read may go to another one");
//! tally.take(&unreached);
//! assert_eq!(tally.closing(), Closing::Later);
//! let broken: Verdict<()> = Verdict::MayHaveRun(Broke::Reset);
//! assert!(!broken.again(false) && broken.again(true));
//! tally.take(&broken);
//! assert_eq!(tally.closing(), Closing::Unknown);
//! ```

/// How a try ended; `A` is a whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptOutcome<A> {
    /// No byte of it reached a host.
    NotSent(SendFailure),
    /// The host says that it did not run it and never will.
    Rejected(RejectReason),
    Completed(A),
    /// It ran, and the host says that it failed: another host may do better.
    Failed(A),
    Indeterminate(IndeterminateCause),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendFailure {
    /// No connection came up.
    Unreachable,
    /// This edge's part of the host's connections is used up.
    ConnectionLimit,
    /// The connection had ended, or could no longer be trusted, before the request's first byte.
    ConnectionClosed,
    /// The time was up before its first byte.
    DeadlineExceeded,
    /// The host began to leave, or ended, in the meantime.
    EndpointDraining,
}

/// Why a host turned a request away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// 503, 429 and the like.
    Overloaded,
    /// 421 of another host, which has the address now.
    StaleAddress,
    /// 421 of the host that was meant: it does not hold the key.
    NotOwner,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IndeterminateCause {
    /// The connection ended without an answer.
    ConnectionReset,
    /// What came is no answer, or that to another request.
    ForeignResponse,
    /// The answer ended early, or nothing shows that it is whole.
    Truncated,
    /// A success that lacks the host's seal, or whose body is not the host's own.
    Unsealed,
    /// No answer by the deadline.
    Timeout,
}

impl<A> AttemptOutcome<A> {
    /// Whether the request may go to another host.
    pub fn is_retryable(&self, repeatable: bool) -> bool {
        match self {
            AttemptOutcome::NotSent(_) | AttemptOutcome::Rejected(_) => true,
            AttemptOutcome::Indeterminate(IndeterminateCause::Timeout) => false,
            AttemptOutcome::Indeterminate(_) | AttemptOutcome::Failed(_) => repeatable,
            AttemptOutcome::Completed(_) => false,
        }
    }

    /// Whether a host has, or may have, read it.
    pub fn arrived(&self) -> bool {
        !matches!(self, AttemptOutcome::NotSent(_))
    }
}

/// The answer of a request that is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinalOutcome {
    /// 503: it has not run and never will; come back.
    Unavailable,
    /// 502: it may have run.
    OutcomeUnknown,
    /// 504: it was at work when the time was up.
    DeadlineExceeded,
}

impl FinalOutcome {
    pub fn status(self) -> u16 {
        match self {
            FinalOutcome::Unavailable => 503,
            FinalOutcome::OutcomeUnknown => 502,
            FinalOutcome::DeadlineExceeded => 504,
        }
    }
}

/// What the tries of one request so far add up to.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AttemptHistory {
    /// Tries that a host has read.
    pub delivered: u32,
    pub unsent: u32,
    ran: bool,
    silent: bool,
}

impl AttemptHistory {
    pub fn record<A>(&mut self, verdict: &AttemptOutcome<A>) {
        match verdict {
            AttemptOutcome::NotSent(_) => self.unsent += 1,
            AttemptOutcome::Rejected(_) => self.delivered += 1,
            AttemptOutcome::Completed(_) | AttemptOutcome::Failed(_) => {
                (self.delivered, self.ran) = (self.delivered + 1, true)
            }
            AttemptOutcome::Indeterminate(cause) => {
                (self.delivered, self.ran) = (self.delivered + 1, true);
                self.silent = *cause == IndeterminateCause::Timeout;
            }
        }
    }

    /// Whether any try has run, or may have.
    pub fn may_have_run(&self) -> bool {
        self.ran
    }

    /// A request that may have run is never told to come back: the promise of a 503 would be broken.
    pub fn final_outcome(&self) -> FinalOutcome {
        match (self.ran, self.silent) {
            (false, _) => FinalOutcome::Unavailable,
            (true, true) => FinalOutcome::DeadlineExceeded,
            (true, false) => FinalOutcome::OutcomeUnknown,
        }
    }
}
