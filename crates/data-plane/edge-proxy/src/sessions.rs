//! Session affinity between edges: the sockets, headers and timers around the pure `coppersail-session-affinity`,
//! which decides. Off unless the operators give a file of settings.
//!
//! A request passes `admission`, which reads its token (`tokens`) and, for a request that must run once, waits for
//! the decision of the `AffinityNode`. `service` drives that node: calls go in, outputs come out and become messages
//! to peer edges (`peer_links`) or progress of waiting requests. `peer_server` receives peers' messages and the
//! queries of `gatewayctl session` (`listing`); `background` starts what runs beside the requests.
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
