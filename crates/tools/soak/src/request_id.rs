//! The id of a client's request, which says through which edge and when it was sent.
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// The value of the header `Try-Id`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RequestId {
    pub(crate) edge: usize,
    /// Since the start of the run.
    pub(crate) sent: Duration,
    /// Tells apart what is sent at the same moment.
    pub(crate) nonce: u32,
}

impl fmt::Display for RequestId {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}-{}-{:08x}", self.edge, self.sent.as_micros(), self.nonce)
    }
}

/// A text that is no id of a request of the soak.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct NotARequestId;

impl FromStr for RequestId {
    type Err = NotARequestId;

    fn from_str(text: &str) -> Result<RequestId, NotARequestId> {
        let mut parts = text.splitn(3, '-');
        let mut next = || parts.next().ok_or(NotARequestId);
        let edge = next()?.parse().map_err(|_| NotARequestId)?;
        let micros = next()?.parse().map_err(|_| NotARequestId)?;
        let nonce = u32::from_str_radix(next()?, 16).map_err(|_| NotARequestId)?;
        Ok(RequestId { edge, sent: Duration::from_micros(micros), nonce })
    }
}
