//! Session affinity between edge proxies: sessions move from node to node together with their idempotent requests.
//!
//! A session has one owner at a time and three replicas, which are chosen by hashing its id. To own a session, a node
//! asks the replicas to promise a fencing token higher than any used before; a quorum of them has to promise. An
//! idempotent request is recorded at a quorum of the replicas under that token before it is sent to an endpoint, so
//! that every later owner sees it. It is therefore executed at most once; it is sent again only if it is proven that
//! it was not executed. This holds without any assumption about clocks. Each session is a separate register (repeated
//! single-decree Paxos), not a log.
//!
//! The package does no I/O: times (Unix time in milliseconds) and messages go in, effects come out.
//!
//! ```
//! use coppersail_session_affinity::{
//!     AffinityNode, AffinitySettings, Decision, IdempotentRequest, Outcome, Output, RecordedResponse, SessionId,
//! };
//! let settings = AffinitySettings::default();
//! let mut node = AffinityNode::new(1, &settings, 1, 0);
//! let request = |request_id| IdempotentRequest {
//!     request_id,
//!     session: SessionId([7, 7]),
//!     created_at: 60_000,
//!     replicas: vec![1],
//!     key: "a".into(),
//!     fingerprint: 5,
//!     deadline: 70_000,
//! };
//! // In a peer set of one node, the owner is the only replica: the request is sent without waiting.
//! assert!(matches!(node.admit(60_000, request(1))[..], [Output::SendRequest { request_id: 1 }]));
//! let response = RecordedResponse { status: 200, headers: vec![], body: b"taken".to_vec() };
//! let outcome = Outcome::Completed(response);
//! assert!(matches!(node.complete(60_010, 1, outcome)[..], [Output::Respond { request_id: 1 }]));
//! let repeat = node.admit(60_020, request(2));
//! assert!(matches!(
//!     &repeat[..],
//!     [Output::Decided { request_id: 2, reply: Decision::Replay(response) }] if response.body == b"taken"
//! ));
//! ```

mod ids;
mod lru;
mod messages;
#[cfg(any(test, feature = "model-checking"))]
#[doc(hidden)]
pub mod model;
mod node;
mod owner;
mod peer_sets;
mod record;
mod replica;
mod request;
mod settings;
#[cfg(test)]
mod tests;
pub mod token;
mod view;

pub use ids::{Ms, NodeId, RequestId};
pub use messages::Message;
pub use node::AffinityNode;
pub use peer_sets::{preferred_endpoint, PeerSets};
pub use record::{
    AttemptId, EntryState, FencingToken, IdempotencyEntry, Outcome, ParseSessionIdError, RecordedResponse,
    SessionId, SessionRecord,
};
pub use request::{Decision, IdempotentRequest, Output};
pub use settings::AffinitySettings;
pub use view::{Counters, RequestView, SessionView};
