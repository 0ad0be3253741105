//! Why a call to a peer failed.
use std::io::ErrorKind;
use ureq::http::StatusCode;

/// Why a call failed. The text is the one line that callers log.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// The body can't be written as JSON. Nothing was sent.
    #[error("{0}")]
    Encode(#[source] serde_json::Error),
    /// The address is not numeric "ip:port", or the path is not one of a URL. Nothing was sent.
    #[error("{0}")]
    Address(#[source] ureq::Error),
    /// No connection: refused, unreachable, or not made within its timeout. Nothing was sent.
    #[error("{0}")]
    Connect(#[source] ureq::Error),
    /// The call, or the beginning of its answer, took too long.
    #[error("{0}")]
    Timeout(#[source] ureq::Error),
    /// The connection ended, or the answer is not HTTP or too long.
    #[error("{0}")]
    Transport(#[source] ureq::Error),
    /// The answer has this status instead of 200.
    #[error("status {0}")]
    Status(StatusCode),
    /// The answer is not the JSON that was expected.
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

/// Kinds that only the making of a connection returns.
fn is_connect_failure(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::ConnectionRefused | ErrorKind::AddrNotAvailable)
}
