//! The reducer's outputs, which the surrounding I/O performs.

use super::ids::{AdminRequestId, ConnectionId, LinkId};
use coppersail::interface::HostId;
use coppersail_admin_socket::Answer;
use coppersail_changes::{Record, Version};
use std::net::SocketAddr;
use tracing::Level;

/// One output of the reducer. Effects are performed in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Write these bytes to an accepted connection.
    SendToConnection(ConnectionId, &'static [u8]),
    /// Close an accepted connection.
    CloseConnection(ConnectionId),
    /// Start or stop accepting connections.
    SetAccepting(bool),
    /// Connect to the relay at this address.
    ConnectRelay(LinkId, SocketAddr),
    /// Write these bytes to a connection to the relay.
    SendToRelay(LinkId, Vec<u8>),
    /// Close a connection to the relay.
    CloseRelay(LinkId),
    /// Open a watch at the discovery service with this address and request path.
    OpenWatch(LinkId, SocketAddr, String),
    /// Close a watch.
    CloseWatch(LinkId),
    /// Start a health check.
    StartProbe {
        /// The host to check.
        host: HostId,
        /// Its address.
        address: SocketAddr,
        /// The path to request.
        path: &'static str,
    },
    /// Send [`Event::TimerFired`](super::Event::TimerFired) at this time, in seconds since the start. It replaces the
    /// time asked for before; infinity means never.
    SetTimer(f64),
    /// Append to the history. [`Event::ChangeLogged`](super::Event::ChangeLogged) or
    /// [`Event::ChangeLogFailed`](super::Event::ChangeLogFailed) follows for a change that was accepted.
    AppendToChangeLog(Record),
    /// Answer an operator's command.
    AnswerAdminRequest(AdminRequestId, Answer),
    /// Write a log line and, if it is about a change, that change's number.
    Log(Level, Option<Version>, String),
    /// Exit.
    Exit,
}
