//! coppersail, a controller that assigns hosts to proxies.
//!
//! [`interface`] holds the plain types that go into a [`Director`] and come out of it, [`logic`] all decisions. The
//! other modules hold no decision: `delivery` brings inputs and messages to the actors, `state` is what each actor
//! remembers, `messages` what they send each other, `channel_backlog` what may still be queued in the channel to the
//! proxies, `parameters` what is derived from the settings; `placement`, `random` and `statistics` are tools.

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
