//! Numbers by which the reducer and the I/O around it refer to connections and commands.

/// An accepted connection, numbered by the listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// An outgoing connection, numbered by the reducer from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkId(pub u64);

/// An operator's command that is owed an answer, numbered by the control socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AdminRequestId(pub u64);
