//! The reducer's inputs, which the surrounding I/O reports.

use super::ids::{AdminRequestId, ConnectionId, LinkId};
use crate::framing::FramedLine;
use coppersail::interface::HostId;
use coppersail_admin_socket::Request;
use coppersail_changes::Version;
use coppersail_operator_config::OperatorFile;
use coppersail_protocol::config::Config;

/// Why a reloaded file cannot be used. The reason is kept as text, since events are cloned and compared.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason}")]
pub struct FileError {
    /// What is wrong, in one line.
    pub reason: String,
}

impl FileError {
    /// Creates an error whose text is the reason.
    pub fn new(reason: impl ToString) -> Self {
        FileError { reason: reason.to_string() }
    }
}

/// How a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// An HTTP answer with this status.
    Status(u16),
    /// No answer arrived within the probe's timeout.
    TimedOut,
    /// No connection could be established.
    Unreachable,
    /// The connection was closed or reset before the answer was complete.
    Broken,
    /// The received bytes are not an HTTP response.
    Unreadable,
}

/// One input of the reducer. The events of a batch are followed by [`Event::EndOfBatch`].
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The listener has accepted a connection.
    Accepted(ConnectionId),
    /// Bytes were received on an accepted connection.
    Received(ConnectionId, Vec<u8>),
    /// The peer has closed an accepted connection.
    ConnectionClosed(ConnectionId),
    /// A connection to the relay is established.
    RelayConnected(LinkId),
    /// Lines were received on a connection to the relay.
    RelayLines(LinkId, Vec<FramedLine>),
    /// A connection to the relay has ended or could not be established; the text says why.
    RelayDisconnected(LinkId, String),
    /// Lines were received on a watch of the discovery service.
    WatchLines(LinkId, Vec<FramedLine>),
    /// A watch of the discovery service has ended or could not be opened; the text says why.
    WatchEnded(LinkId, String),
    /// A health check has ended.
    ProbeFinished {
        /// The host that was checked.
        host: HostId,
        /// How the check ended.
        outcome: ProbeOutcome,
        /// How long it took, in seconds.
        duration: f64,
        /// The body of the answer, empty if there was none.
        body: Vec<u8>,
    },
    /// An operator's command.
    AdminRequest(AdminRequestId, Box<Request>),
    /// The history has stored the acceptance of this change.
    ChangeLogged(Version),
    /// The history failed to store the acceptance of this change or, without a number, another record; the text says
    /// why.
    ChangeLogFailed(Option<Version>, String),
    /// The operators' file was reloaded.
    OperatorFile(Box<Result<OperatorFile, FileError>>),
    /// The configuration file was reloaded.
    Reload(Box<Result<Config, FileError>>),
    /// The time of the last [`Effect::SetTimer`](super::Effect::SetTimer) is reached.
    TimerFired,
    /// The batch is complete.
    EndOfBatch,
    /// The counters are to be logged.
    LogCounters,
    /// The director is to exit.
    Shutdown,
}
