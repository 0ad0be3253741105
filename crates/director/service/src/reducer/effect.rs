//! What the reducer asks the I/O around it to do.

use super::ids::{ConnId, ControlId, LinkId};
use coppersail::interface::HostId;
use coppersail_admin_socket::Answer;
use coppersail_changes::{Record, Version};
use std::net::SocketAddr;
use tracing::Level;

/// One output of the reducer, to be carried out in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Write these bytes to an accepted connection.
    Say(ConnId, &'static [u8]),
    /// Close an accepted connection.
    Drop(ConnId),
    /// Whether further connections are to be accepted.
    Accept(bool),
    /// Connect to the relay at this address.
    Dial(LinkId, SocketAddr),
    /// Write these bytes to a connection to the relay.
    Send(LinkId, Vec<u8>),
    /// Close a connection to the relay.
    HangUp(LinkId),
    /// Open a watch at the discovery service with this address and request path.
    Watch(LinkId, SocketAddr, String),
    /// Close a watch.
    Unwatch(LinkId),
    /// Start a health check.
    Probe {
        /// The host to check.
        host: HostId,
        /// Its address.
        address: SocketAddr,
        /// The path to request.
        path: &'static str,
    },
    /// Send [`Event::Time`](super::Event::Time) at this time, in seconds since the start. It replaces the time asked
    /// for before; infinity means never.
    Wake(f64),
    /// Append to the history. [`Event::Written`](super::Event::Written) or
    /// [`Event::Unwritten`](super::Event::Unwritten) follows for a change that was accepted.
    Record(Record),
    /// Answer an operator's command.
    Answer(ControlId, Answer),
    /// Write a log line, about this change if any.
    Log(Level, Option<Version>, String),
    /// Exit.
    Exit,
}
