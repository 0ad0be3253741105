//! Loopback addresses.

use std::net::{SocketAddr, TcpListener};

/// A listener on a free loopback port.
pub(crate) fn bind_loopback() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}
