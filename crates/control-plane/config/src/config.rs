//! An operator's configuration: its parts, its parsing and checks, and the routing table.
//!
//! A configuration is rejected only if the protocol calls it invalid. Rules for what the protocol does not
//! define: of two services with the same name, or two routes with the same domain and prefix, the last one
//! counts; `shares` have precedence over `backend`; a route that names no service is treated as one with an
//! unknown service; a route of an unknown `sort` is not idempotent.
mod model;
mod parse;
mod routes;

pub use model::{ClientLimits, Config, Route, Service};
pub use parse::parse;
pub use routes::Routes;
