//! Decides whether a request may be retried, and which response the client gets when every attempt has
//! failed.
//!
//! Each attempt ends in one [`AttemptOutcome`], which alone decides whether the request may be sent to
//! another endpoint. The [`AttemptHistory`] of a request collects these outcomes and yields the
//! [`FinalOutcome`], from which the proxy builds its response.
//!
//! The rule is that of RFC 9110, section 9.2.2: a request that may have been processed is retried only if it
//! is idempotent; a request that was certainly not processed may always be retried.
//!
//! ```
//! use coppersail_retry::{AttemptHistory, AttemptOutcome, FinalOutcome, IndeterminateCause, SendFailure};
//!
//! let mut history = AttemptHistory::default();
//! let not_sent: AttemptOutcome<()> = AttemptOutcome::NotSent(SendFailure::Unreachable);
//! assert!(not_sent.is_retryable(false), "no endpoint has received it");
//! history.record(&not_sent);
//! assert_eq!(history.final_outcome(), FinalOutcome::Unavailable);
//!
//! let reset: AttemptOutcome<()> = AttemptOutcome::Indeterminate(IndeterminateCause::ConnectionReset);
//! assert!(!reset.is_retryable(false) && reset.is_retryable(true));
//! history.record(&reset);
//! assert_eq!(history.final_outcome(), FinalOutcome::OutcomeUnknown);
//! ```
mod history;
mod outcome;

pub use history::{AttemptHistory, FinalOutcome};
pub use outcome::{AttemptOutcome, IndeterminateCause, RejectReason, SendFailure};
