//! A client of one director's admin socket: a connection a request, over a Unix socket.

use coppersail_admin_socket::{encode, parse_answer, Answer, ParseError, Request, Status, MAX_LINE_BYTES};
use std::io::{BufRead, BufReader, Error as IoError, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::time::Duration;

/// Longer than a director needs for any answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);
/// An answer holds a page of changes, each as long as a submission may be at the very most.
const MAX_ANSWER_BYTES: u64 = 64 * MAX_LINE_BYTES as u64;

/// Why no answer could be read from a director.
#[derive(Debug, thiserror::Error)]
pub(crate) enum TransportError {
    #[error("{}: no director answers there: {source}", .socket.display())]
    Connect { socket: PathBuf, source: IoError },
    #[error("{}: socket: {source}", .socket.display())]
    SetTimeout { socket: PathBuf, source: IoError },
    #[error("the request: expected at most {MAX_LINE_BYTES} bytes")]
    RequestTooLong,
    #[error("{}: cannot be written to: {source}", .socket.display())]
    Write { socket: PathBuf, source: IoError },
    #[error("{}: no answer: {source}", .socket.display())]
    Read { socket: PathBuf, source: IoError },
    #[error("{}: the director closed the connection without an answer", .socket.display())]
    Closed { socket: PathBuf },
    #[error(transparent)]
    Parse(#[from] ParseError),
}

/// Why a request was not carried out.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RequestError {
    /// The director read the request and refused it; nothing has changed.
    #[error("{reason}")]
    Rejected { reason: String },
    /// The director could not read the request.
    #[error("{reason}")]
    Unreadable { reason: String },
    /// The director answered another question than the one that was put.
    #[error("expected {expected}, got {answer:?}")]
    UnexpectedAnswer { expected: &'static str, answer: Box<Answer> },
    #[error(transparent)]
    Transport(#[from] TransportError),
}

/// A director's admin socket, by its path.
pub(crate) struct AdminClient {
    socket: PathBuf,
}

impl AdminClient {
    pub(crate) fn new(socket: PathBuf) -> Self {
        AdminClient { socket }
    }

    /// Sends a request; an answer that says that it was not carried out is an error.
    pub(crate) fn request(&self, request: &Request) -> Result<Answer, RequestError> {
        match self.exchange(request)? {
            Answer::Rejected { reason } => Err(RequestError::Rejected { reason }),
            Answer::Unreadable { reason } => Err(RequestError::Unreadable { reason }),
            answer => Ok(answer),
        }
    }

    pub(crate) fn status(&self) -> Result<Status, RequestError> {
        match self.request(&Request::Status)? {
            Answer::Status(status) => Ok(*status),
            other => Err(RequestError::UnexpectedAnswer { expected: "a status", answer: Box::new(other) }),
        }
    }

    /// One request and its answer, whatever it is.
    fn exchange(&self, request: &Request) -> Result<Answer, TransportError> {
        let socket = || self.socket.clone();
        let mut stream = UnixStream::connect(&self.socket)
            .map_err(|source| TransportError::Connect { socket: socket(), source })?;
        stream
            .set_read_timeout(Some(ANSWER_TIMEOUT))
            .map_err(|source| TransportError::SetTimeout { socket: socket(), source })?;
        let bytes = encode(request);
        if bytes.len() > MAX_LINE_BYTES {
            return Err(TransportError::RequestTooLong);
        }
        stream.write_all(&bytes).map_err(|source| TransportError::Write { socket: socket(), source })?;
        let mut line = Vec::new();
        BufReader::new(stream.take(MAX_ANSWER_BYTES))
            .read_until(b'\n', &mut line)
            .map_err(|source| TransportError::Read { socket: socket(), source })?;
        if line.is_empty() {
            return Err(TransportError::Closed { socket: socket() });
        }
        Ok(parse_answer(&line)?)
    }
}
