//! Whether a request may have run, and what follows from that.
//!
//! A try ends in one [`Verdict`]. It alone decides whether the request may go to another host, and, summed up in a
//! [`Tally`], which answer the client gets when the request is given up.
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
pub enum Verdict<A> {
    /// No byte of it reached a host.
    NotSent(Unsent),
    /// The host says that it did not run it and never will.
    TurnedAway(Turned),
    Ran(A),
    /// It ran, and the host says that it failed: another host may do better.
    Failed(A),
    MayHaveRun(Broke),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unsent {
    /// No connection came up.
    Unreachable,
    /// This edge's part of the host's connections is used up.
    Full,
    /// The connection had ended, or could no longer be trusted, before the request's first byte.
    Closed,
    /// The time was up before its first byte.
    Late,
    /// The host began to leave, or ended, in the meantime.
    Leaving,
}

/// Why a host turned a request away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Turned {
    /// 503, 429 and the like.
    Full,
    /// 421 of another host, which has the address now.
    Elsewhere,
    /// 421 of the host that was meant: it does not hold the key.
    Unheld,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Broke {
    /// The connection ended without an answer.
    Reset,
    /// What came is no answer, or that to another request.
    Foreign,
    /// The answer ended early, or nothing shows that it is whole.
    Cut,
    /// A success that lacks the host's seal, or whose body is not the host's own.
    Unsealed,
    /// No answer by the deadline.
    Silent,
}

impl<A> Verdict<A> {
    /// Whether the request may go to another host.
    pub fn again(&self, repeatable: bool) -> bool {
        match self {
            Verdict::NotSent(_) | Verdict::TurnedAway(_) => true,
            Verdict::MayHaveRun(Broke::Silent) => false,
            Verdict::MayHaveRun(_) | Verdict::Failed(_) => repeatable,
            Verdict::Ran(_) => false,
        }
    }

    /// Whether a host has, or may have, read it.
    pub fn arrived(&self) -> bool {
        !matches!(self, Verdict::NotSent(_))
    }
}

/// The answer of a request that is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Closing {
    /// 503: it has not run and never will; come back.
    Later,
    /// 502: it may have run.
    Unknown,
    /// 504: it was at work when the time was up.
    Late,
}

impl Closing {
    pub fn status(self) -> u16 {
        match self {
            Closing::Later => 503,
            Closing::Unknown => 502,
            Closing::Late => 504,
        }
    }
}

/// What the tries of one request so far add up to.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// Tries that a host has read.
    pub arrived: u32,
    pub unsent: u32,
    ran: bool,
    silent: bool,
}

impl Tally {
    pub fn take<A>(&mut self, verdict: &Verdict<A>) {
        match verdict {
            Verdict::NotSent(_) => self.unsent += 1,
            Verdict::TurnedAway(_) => self.arrived += 1,
            Verdict::Ran(_) | Verdict::Failed(_) => (self.arrived, self.ran) = (self.arrived + 1, true),
            Verdict::MayHaveRun(cause) => {
                (self.arrived, self.ran) = (self.arrived + 1, true);
                self.silent = *cause == Broke::Silent;
            }
        }
    }

    /// Whether any try has run, or may have.
    pub fn may_have_run(&self) -> bool {
        self.ran
    }

    /// A request that may have run is never told to come back: the promise of a 503 would be broken.
    pub fn closing(&self) -> Closing {
        match (self.ran, self.silent) {
            (false, _) => Closing::Later,
            (true, true) => Closing::Late,
            (true, false) => Closing::Unknown,
        }
    }
}
