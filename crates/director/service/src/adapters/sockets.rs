//! Helpers for all kinds of sockets: timeouts, and the delay after a failed accept.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// Delay before accepting again after a failed accept, for example because no file descriptors are left.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The error of a read, write or connect that has timed out.
pub(crate) fn timeout_error() -> io::Error {
    io::Error::new(io::ErrorKind::TimedOut, "no progress in time")
}

/// Connects by TCP within `timeout`; a machine that is down would otherwise be waited for until the operating system
/// gives up.
pub(crate) async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    tokio::time::timeout(timeout, TcpStream::connect(address)).await.map_err(|_| timeout_error())?
}
