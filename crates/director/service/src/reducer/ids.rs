//! Ids by which the reducer and the surrounding I/O refer to connections and requests.

/// An accepted connection, numbered by the listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// An outgoing connection, numbered by the reducer from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkId(pub u64);

/// An operator's unanswered request, numbered by the admin socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AdminRequestId(pub u64);
