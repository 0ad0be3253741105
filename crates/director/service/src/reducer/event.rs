//! What the I/O around the reducer reports to it.

use super::ids::{ConnId, ControlId, LinkId};
use crate::framing::Framed;
use coppersail::interface::HostId;
use coppersail_admin_socket::Request;
use coppersail_changes::Version;
use coppersail_operator_config::Sheet;
use coppersail_protocol::config::Config;

/// How a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeEnd {
    /// An HTTP answer with this status.
    Status(u16),
    /// No answer came within the probe's timeout.
    TimedOut,
    /// No connection could be established.
    Unreachable,
    /// The connection was closed or reset before the answer was complete.
    Broken,
    /// The bytes that came back are not an HTTP answer.
    Unreadable,
}

/// One input of the reducer. The events of a batch are followed by [`Event::Settle`].
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The listener has accepted a connection.
    Accepted(ConnId),
    /// Bytes have come on an accepted connection.
    Heard(ConnId, Vec<u8>),
    /// The peer has closed an accepted connection.
    Ended(ConnId),
    /// A connection to the relay is established.
    RelayUp(LinkId),
    /// Lines have come on a connection to the relay.
    RelayLines(LinkId, Vec<Framed>),
    /// A connection to the relay has ended or could not be established; the text says why.
    RelayDown(LinkId, String),
    /// Lines have come on a watch of discovery.
    WatchLines(LinkId, Vec<Framed>),
    /// A watch of discovery has ended or could not be opened; the text says why.
    WatchDown(LinkId, String),
    /// A health check has ended.
    Probed {
        /// The host that was checked.
        host: HostId,
        /// How the check ended.
        end: ProbeEnd,
        /// How long it took, in seconds.
        took: f64,
        /// The body of the answer, empty if there was none.
        body: Vec<u8>,
    },
    /// An operator's command.
    Asked(ControlId, Box<Request>),
    /// The history has stored the acceptance of this change.
    Written(Version),
    /// The history failed to store the acceptance of this change or, without a number, another record; the text says
    /// why.
    Unwritten(Option<Version>, String),
    /// The operators' file was read again; an error says in one line what is wrong with it.
    Sheet(Box<Result<Sheet, String>>),
    /// The configuration file was read again; an error says in one line what is wrong with it.
    Reload(Box<Result<Config, String>>),
    /// The time of the last [`Effect::Wake`](super::Effect::Wake) has come.
    Time,
    /// The batch is complete.
    Settle,
    /// The counters are to be logged.
    Count,
    /// The director is to exit.
    Stop,
}
