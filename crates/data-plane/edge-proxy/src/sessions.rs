//! Session affinity between edges: the sockets, headers and timers around `coppersail-session-affinity`,
//! which contains the decision logic without I/O. It is disabled unless a settings file is given.
//!
//! A request passes `admission`, which reads its token (`tokens`) and, for a request that must run at most
//! once, waits for the decision of the `AffinityNode`. `service` drives that node: it makes the calls, and
//! turns the outputs into messages to peer edges (`peer_links`) or into progress of waiting requests.
//! `peer_server` receives messages of peers and the queries of `gatewayctl session` (`listing`). `background`
//! starts the periodic tasks and the listener.
mod admission;
mod background;
mod clock;
mod endpoint_affinity;
mod listing;
mod peer_links;
mod peer_server;
mod replay;
mod service;
mod settings;
mod tokens;

pub(crate) use endpoint_affinity::{AttemptTarget, EndpointAffinity};
pub use listing::SessionListing;
pub use service::Sessions;
pub use settings::SessionsError;
