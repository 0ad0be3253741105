//! Why a call to a peer failed.
use coppersail_response_framing::MalformedResponse;
use std::io::ErrorKind;
use ureq::http::StatusCode;

/// Why a call failed. The text is the one line that callers log.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// The body can't be serialised as JSON. Nothing was sent.
    #[error("{0}")]
    Encode(#[source] serde_json::Error),
    /// The address is not a numeric "ip:port", or the path is not valid in a URL. Nothing was sent.
    #[error("{0}")]
    Address(#[source] ureq::Error),
    /// No connection: it was refused, unreachable, or not made within its timeout. Nothing was sent.
    #[error("{0}")]
    Connect(#[source] ureq::Error),
    /// The call, or the wait for the beginning of its response, exceeded its timeout.
    #[error("{0}")]
    Timeout(#[source] ureq::Error),
    /// The connection ended, or the response is not HTTP or is too long.
    #[error("{0}")]
    Transport(#[source] ureq::Error),
    /// The head of the response does not state unambiguously where its body ends, or has an invalid status.
    #[error("malformed response: {0}")]
    Malformed(#[source] MalformedResponse),
    /// The response has this status instead of 200.
    #[error("status {0}")]
    Status(StatusCode),
    /// The response is not the expected JSON.
    #[error("{0}")]
    Decode(#[source] serde_json::Error),
}

impl From<ureq::Error> for PeerError {
    fn from(error: ureq::Error) -> Self {
        use ureq::Error;
        match &error {
            Error::HostNotFound | Error::BadUri(_) | Error::Http(_) => PeerError::Address(error),
            Error::ConnectionFailed | Error::Timeout(ureq::Timeout::Connect) => PeerError::Connect(error),
            Error::Io(io) if is_connect_failure(io.kind()) => PeerError::Connect(error),
            Error::Timeout(_) => PeerError::Timeout(error),
            _ => PeerError::Transport(error),
        }
    }
}

/// Whether only connecting, and no later operation, fails with this kind.
fn is_connect_failure(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::ConnectionRefused | ErrorKind::AddrNotAvailable)
}
