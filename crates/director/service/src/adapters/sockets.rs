//! What sockets of all kinds share: timeouts, and the pause after a failed accept.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// After a failed accept, for example for lack of descriptors.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// What a read, write or connect fails with that made no progress in its time.
pub(crate) fn timeout_error() -> io::Error {
    io::Error::new(io::ErrorKind::TimedOut, "no progress in time")
}

/// Connects by TCP within `timeout`; without it a machine that vanished would be waited for until the system gives up.
pub(crate) async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    tokio::time::timeout(timeout, TcpStream::connect(address)).await.map_err(|_| timeout_error())?
}
