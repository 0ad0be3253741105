//! A configuration of the operator: its parts, how it is read and checked, and the routing table.
//!
//! A configuration is rejected if the protocol calls it invalid, and for nothing else. Where the protocol is silent: of two
//! services with one name, or two routes with one domain and prefix, the last counts; `shares` go before `backend`; a route
//! that names no service is one with an unknown service; a route of an unknown `sort` is not idempotent.
mod model;
mod parse;
mod routes;

pub use model::{ClientLimits, Config, Route, Service};
pub use parse::parse;
pub use routes::Routes;
