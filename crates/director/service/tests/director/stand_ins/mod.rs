//! Stand-ins (fakes) for the services around a director, written from the protocol documentation. They listen on free
//! loopback ports.

mod discovery;
mod heartbeats;
mod host;
mod http_server;
mod loopback;
mod relay;
mod shared_state;

pub(crate) use discovery::DiscoveryStandIn;
pub(crate) use host::HostStandIn;
pub(crate) use loopback::bind_loopback;
pub(crate) use relay::{RelayReply, RelayStandIn};
pub(crate) use shared_state::{Shared, WAIT_TIMEOUT};
