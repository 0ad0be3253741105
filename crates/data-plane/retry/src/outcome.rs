//! The outcome of one attempt.

/// How an attempt ended; `R` is the type of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptOutcome<R> {
    /// No byte of the request reached an endpoint.
    NotSent(SendFailure),
    /// The endpoint says that it did not process the request and never will.
    Rejected(RejectReason),
    /// The endpoint processed the request.
    Completed(R),
    /// The endpoint processed the request and reports a failure of its own; another endpoint may succeed.
    Failed(R),
    /// The endpoint may or may not have processed the request.
    Indeterminate(IndeterminateCause),
}

/// Why a request was not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendFailure {
    /// No connection could be established.
    Unreachable,
    /// This proxy's share of the endpoint's connections is in use.
    ConnectionLimit,
    /// The connection was closed, or could no longer be trusted, before the first byte of the request.
    ConnectionClosed,
    /// The deadline passed before the first byte of the request.
    DeadlineExceeded,
    /// The endpoint began to drain, or was removed, after it was selected.
    EndpointDraining,
}

/// Why an endpoint rejected a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// 503, 429 and the like.
    Overloaded,
    /// 421 (RFC 9110, 15.5.20) of another endpoint, which has the address now.
    StaleAddress,
    /// 421 of the selected endpoint: it does not hold the lease for the request's key.
    NotOwner,
}

/// Why it is not known whether a request was processed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IndeterminateCause {
    /// The connection was closed without a response.
    ConnectionReset,
    /// What was received is no response, or the response to another request.
    ForeignResponse,
    /// The response ended early, or nothing shows that it is complete.
    Truncated,
    /// A successful response without the endpoint's seal, or whose body is not the endpoint's own.
    Unsealed,
    /// No response before the deadline.
    Timeout,
}

impl<R> AttemptOutcome<R> {
    /// Whether the request may be sent again (RFC 9110, 9.2.2). After a timeout it is not, even if it is idempotent:
    /// its deadline has passed.
    pub fn is_retryable(&self, idempotent: bool) -> bool {
        match self {
            AttemptOutcome::NotSent(_) | AttemptOutcome::Rejected(_) => true,
            AttemptOutcome::Indeterminate(IndeterminateCause::Timeout) => false,
            AttemptOutcome::Indeterminate(_) | AttemptOutcome::Failed(_) => idempotent,
            AttemptOutcome::Completed(_) => false,
        }
    }

    /// Whether an endpoint has, or may have, read the request.
    pub fn may_have_been_received(&self) -> bool {
        !matches!(self, AttemptOutcome::NotSent(_))
    }
}
