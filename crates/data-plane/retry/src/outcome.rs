//! The outcome of one attempt to send a request to an endpoint.

/// How an attempt ended. `R` is the response type.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptOutcome<R> {
    /// No byte of the request reached an endpoint.
    NotSent(SendFailure),
    /// The endpoint stated that it did not process the request and never will.
    Rejected(RejectReason),
    /// The endpoint processed the request.
    Completed(R),
    /// The endpoint processed the request and reported an internal failure; another endpoint may succeed.
    Failed(R),
    /// The endpoint may or may not have processed the request.
    Indeterminate(IndeterminateCause),
}

/// Why a request was not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendFailure {
    /// No connection could be established.
    Unreachable,
    /// All connections in this proxy's share of the endpoint's connection limit are in use.
    ConnectionLimit,
    /// The connection was closed, or could no longer be used safely, before the first byte of the request was
    /// written.
    ConnectionClosed,
    /// The deadline passed before the first byte of the request was written.
    DeadlineExceeded,
    /// The endpoint started draining, or was removed, after it was selected.
    EndpointDraining,
}

/// Why an endpoint rejected a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// An error status other than 421, such as 503 or 429.
    Overloaded,
    /// 421 (RFC 9110, section 15.5.20) from a different endpoint, which now uses the address.
    StaleAddress,
    /// 421 from the selected endpoint: it does not hold the lease for the request's key.
    NotOwner,
}

/// Why it is unknown whether a request was processed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IndeterminateCause {
    /// The connection was closed without a response.
    ConnectionReset,
    /// The response belongs to another request, or switches to another protocol.
    ForeignResponse,
    /// The received bytes are not a well-formed HTTP response, or its head does not state unambiguously where
    /// the body ends (RFC 9112, section 6.3).
    MalformedResponse,
    /// The response ended early, or its framing does not show whether it is complete.
    Truncated,
    /// The response is not proven to be the endpoint's own: a successful one lacks the seal header or its
    /// body was encoded on the way, or status and headers contradict each other about whether the request was
    /// processed.
    Unsealed,
    /// No complete response arrived before the deadline.
    Timeout,
}

impl<R> AttemptOutcome<R> {
    /// Whether the request may be retried (RFC 9110, section 9.2.2). After a timeout it may not, even if it
    /// is idempotent, because its deadline has passed.
    pub fn is_retryable(&self, idempotent: bool) -> bool {
        match self {
            AttemptOutcome::NotSent(_) | AttemptOutcome::Rejected(_) => true,
            AttemptOutcome::Indeterminate(IndeterminateCause::Timeout) => false,
            AttemptOutcome::Indeterminate(_) | AttemptOutcome::Failed(_) => idempotent,
            AttemptOutcome::Completed(_) => false,
        }
    }

    /// Whether an endpoint received or may have received the request.
    pub fn may_have_been_received(&self) -> bool {
        !matches!(self, AttemptOutcome::NotSent(_))
    }
}
