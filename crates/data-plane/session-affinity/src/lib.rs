//! Sessions that travel between edge sites, with what was confirmed in them.
//!
//! A session has one owner at a time, and three sites that its id names keep it: its seats. A site claims the session
//! at the seats under a fence higher than any before; a majority of them has to promise. A confirmation is entered at
//! a majority of the seats under that fence before it goes to a host, so that whoever claims the session later sees
//! it: it is sent at most once unless it is proven not to have run. Nothing that keeps this true rests on a clock.
//!
//! All here is pure: times (milliseconds of the time of day) and messages are given in, messages and answers come out.
//!
//! ```
//! use coppersail_session_affinity::{Ask, Id, Out, Outcome, Reply, Site, Terms};
//! let terms = Terms::default();
//! let mut site = Site::new(1, &terms, 1, 0);
//! let ask = |ticket| Ask {
//!     ticket, id: Id([7, 7]), born: 60_000, seats: vec![1], key: "a".into(), print: 5, until: 70_000,
//! };
//! // The only seat of a roster of one: nothing has to be waited for.
//! assert!(matches!(site.ask(60_000, ask(1))[..], [Out::Run { ticket: 1 }]));
//! let answer = coppersail_session_affinity::Answer { status: 200, headers: vec![], body: b"taken".to_vec() };
//! assert!(matches!(site.ran(60_010, 1, Outcome::Ran(answer))[..], [Out::Done { ticket: 1 }]));
//! let again = site.ask(60_020, ask(2));
//! assert!(matches!(&again[..], [Out::Answer { ticket: 2, reply: Reply::Kept(kept) }] if kept.body == b"taken"));
//! ```
#[cfg(test)]
mod model;
mod node;
mod owner;
mod peer_sets;
mod record;
mod replica;
#[cfg(test)]
mod tests;
pub mod token;

pub use node::{AffinityNode, AffinitySettings, Output};
pub use owner::{Counters, Decision, IdempotentRequest, SessionView};
pub use peer_sets::{preferred_endpoint, PeerSets};
pub use record::{
    AttemptId, EntryState, FencingToken, IdempotencyEntry, Message, Outcome, RecordedResponse, SessionId,
    SessionRecord,
};

/// Milliseconds of the time of day.
pub type Ms = u64;
/// A site's number in the operators' file; it is never given to another one.
pub type NodeId = u16;
/// A request that waits for a decision.
pub type RequestId = u64;

/// Faults that the model has to find; outside of its test none is ever in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Fault {
    /// A seat takes what is written under a fence that it has promised away.
    StaleWrites,
    /// What one seat has is sent on.
    OneCopy,
    /// A seat that has lost what it held takes itself for whole.
    Forgetful,
    /// An outcome that is unknown is taken for one that did not run.
    SentAgain,
    /// What one seat says twice counts as two seats.
    CountedTwice,
}
