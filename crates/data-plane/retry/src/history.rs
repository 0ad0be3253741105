//! Accumulates the outcomes of all attempts of one request and derives the final outcome from them.
use crate::outcome::{AttemptOutcome, IndeterminateCause};

/// What the proxy reports to the client when no attempt produced a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinalOutcome {
    /// 503: the request was not processed and never will be; the client may send it again.
    Unavailable,
    /// 502: the request may have been processed.
    OutcomeUnknown,
    /// 504: the deadline passed while an endpoint may have been processing the request.
    DeadlineExceeded,
}

impl FinalOutcome {
    /// The HTTP status of the response.
    pub fn status(self) -> u16 {
        match self {
            FinalOutcome::Unavailable => 503,
            FinalOutcome::OutcomeUnknown => 502,
            FinalOutcome::DeadlineExceeded => 504,
        }
    }
}

/// The attempts of one request so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AttemptHistory {
    /// Number of attempts that an endpoint received or may have received.
    pub delivered: u32,
    /// Number of attempts of which no byte reached an endpoint.
    pub unsent: u32,
    may_have_run: bool,
    /// Whether the last indeterminate attempt timed out.
    timed_out: bool,
}

impl AttemptHistory {
    /// Adds the outcome of an attempt.
    pub fn record<R>(&mut self, outcome: &AttemptOutcome<R>) {
        match outcome {
            AttemptOutcome::NotSent(_) => self.unsent += 1,
            AttemptOutcome::Rejected(_) => self.delivered += 1,
            AttemptOutcome::Completed(_) | AttemptOutcome::Failed(_) => self.record_possible_run(),
            AttemptOutcome::Indeterminate(cause) => {
                self.record_possible_run();
                self.timed_out = *cause == IndeterminateCause::Timeout;
            }
        }
    }

    fn record_possible_run(&mut self) {
        self.delivered += 1;
        self.may_have_run = true;
    }

    /// Whether any endpoint processed or may have processed the request.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// The final outcome if no further attempt is made. A request that may have been processed never yields
    /// `Unavailable`: a 503 promises the client that sending the request again cannot run it twice.
    pub fn final_outcome(&self) -> FinalOutcome {
        match (self.may_have_run, self.timed_out) {
            (false, _) => FinalOutcome::Unavailable,
            (true, true) => FinalOutcome::DeadlineExceeded,
            (true, false) => FinalOutcome::OutcomeUnknown,
        }
    }
}
