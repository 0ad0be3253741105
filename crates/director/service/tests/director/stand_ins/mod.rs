//! Stand-ins for the services around a director, written from the public pages. They listen on free loopback ports.

mod discovery;
mod host;
mod http_server;
mod relay;
mod shared_state;

pub use discovery::DiscoveryStandIn;
pub use host::HostStandIn;
pub use relay::{RelayReply, RelayStandIn};
pub use shared_state::{Shared, WAIT_TIMEOUT};

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

/// Shorter than the interval of the real services, so that tests are quick.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// A listener on a free loopback port.
pub fn bind_loopback() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Sends a service's heartbeats for ever, on a thread of its own.
pub fn spawn_heartbeats<S: Send + 'static>(state: Shared<S>, send_heartbeat: fn(&mut S)) {
    std::thread::spawn(move || loop {
        std::thread::park_timeout(HEARTBEAT_INTERVAL);
        state.update(send_heartbeat);
    });
}
