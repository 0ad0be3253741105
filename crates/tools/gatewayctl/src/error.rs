//! Why a command fails. Operators see the text, and that of the source behind it, on one line.

use coppersail_response_framing::MalformedResponse;

/// A failure that isn't one of a file, of JSON or of a body's transfer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    /// An option without which the command doesn't know whom to call.
    #[error("{option} is missing")]
    MissingOption {
        /// The option with its dashes.
        option: &'static str,
    },
    /// The words are no command.
    #[error("expected {expected}")]
    UnknownCommand {
        /// The commands there are.
        expected: &'static str,
    },
    /// A session's id has another form.
    #[error("an id has 32 hexadecimal digits")]
    InvalidSessionId {
        /// The id that was given.
        found: String,
    },
    /// No answer came.
    #[error("{target} cannot be asked")]
    Unreachable {
        /// The URL or the address that was called.
        target: String,
        /// What went wrong.
        #[source]
        source: Box<ureq::Error>,
    },
    /// The head of the answer is malformed, or does not say where the answer ends.
    #[error("{target} sends a malformed answer")]
    MalformedResponse {
        /// The URL or the address that was called.
        target: String,
        /// What is wrong with the answer.
        #[source]
        source: MalformedResponse,
    },
    /// A control-plane node refused the request.
    #[error("{status}: {reason}")]
    Refused {
        /// The status of the answer; 200 was expected.
        status: u16,
        /// The reason that the node gives, or the answer's whole body.
        reason: String,
    },
    /// Control-plane nodes redirected the request from one to the other.
    #[error("{address} sends on too often")]
    TooManyRedirects {
        /// The node that was called first.
        address: String,
    },
    /// An edge doesn't know the session.
    #[error("{edge} holds no such session")]
    NoSuchSession {
        /// The edge's address.
        edge: String,
    },
    /// An edge answered with an unknown status.
    #[error("{edge} answers {status}")]
    UnexpectedStatus {
        /// The edge's address.
        edge: String,
        /// The status of the answer; 200 or 404 was expected.
        status: u16,
    },
}

impl CommandError {
    /// No answer came from this URL or address.
    pub(crate) fn unreachable(target: &str, source: ureq::Error) -> CommandError {
        CommandError::Unreachable { target: target.into(), source: Box::new(source) }
    }
}
