//! What the adapter passes in and gets back: idempotent requests, decisions on them, and effects.
use crate::ids::{Ms, NodeId, RequestId};
use crate::messages::Message;
use crate::record::{RecordedResponse, SessionId};

/// A request that must be executed at most once, as its client may repeat it under the same key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct IdempotentRequest {
    /// The adapter's id of the request, in the effects that concern it.
    pub request_id: RequestId,
    /// Its session.
    pub session: SessionId,
    /// When the session was created, in milliseconds.
    pub created_at: Ms,
    /// The nodes that keep the session, by [`crate::PeerSets::replicas`].
    pub replicas: Vec<NodeId>,
    /// The client's `Idempotency-Key`.
    pub key: String,
    /// Fingerprint of method, path and body.
    pub fingerprint: u64,
    /// Deadline of the request, and of reporting its outcome.
    pub deadline: Ms,
}

/// Why a request is not sent to an endpoint now.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Decision {
    /// A repeat: the recorded response.
    Replay(RecordedResponse),
    /// A repeat of a request that was executed; its response is no longer kept.
    ResponseExpired,
    /// The first one is in flight, at this node or at the previous owner.
    InFlight,
    /// The first one may have been executed.
    Unknown,
    /// The key was used for a request with another fingerprint.
    FingerprintMismatch,
    /// Not executed; the client may retry.
    Rejected,
    /// Too few replicas know the session: not executed, and never will be in this session.
    SessionLost,
    /// The session has had [`crate::AffinitySettings::max_requests_per_session`] requests: not executed.
    TooManyRequests,
}

/// What the adapter has to do.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Output {
    /// Send a message to another node.
    Send {
        /// The node.
        to: NodeId,
        /// The message.
        msg: Message,
    },
    /// Send the request to an endpoint now, once, and report the outcome by [`crate::AffinityNode::complete`].
    SendRequest {
        /// The request.
        request_id: RequestId,
    },
    /// The outcome is recorded, or the wait for that is over: respond to the client.
    Respond {
        /// The request.
        request_id: RequestId,
    },
    /// Respond without sending the request.
    Decided {
        /// The request.
        request_id: RequestId,
        /// What the client gets.
        reply: Decision,
    },
}
