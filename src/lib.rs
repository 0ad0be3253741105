//! coppersail, a controller that tells proxies which hosts to send calls to.
//!
//! [`interface`] has the plain types of a [`Director`]'s inputs and orders, [`logic`] makes all decisions. The other
//! modules make none: `delivery` delivers inputs and messages to the actors, `state` has the state of each actor,
//! `messages` what they send each other, `channel_backlog` an upper bound of what is queued in the channel to the
//! proxies, `parameters` what is derived from the settings; `placement`, `random` and `statistics` are utilities.

mod channel_backlog;
mod delivery;
pub mod interface;
pub mod logic;
mod messages;
mod parameters;
mod placement;
mod random;
mod state;
mod statistics;

pub use state::Director;
