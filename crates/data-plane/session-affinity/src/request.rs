//! The caller's interface: idempotent requests, decisions on them, and effects to carry out.
use crate::ids::{Ms, NodeId, RequestId};
use crate::messages::Message;
use crate::record::{RecordedResponse, SessionId};

/// A request that must be executed at most once, although its client may repeat it under the same key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct IdempotentRequest {
    /// The caller's id of the request, used in the effects for it.
    pub request_id: RequestId,
    /// The session of the request.
    pub session: SessionId,
    /// When the session was created (Unix time in milliseconds).
    pub created_at: Ms,
    /// The session's replicas, from [`crate::PeerSets::replicas`].
    pub replicas: Vec<NodeId>,
    /// The client's `Idempotency-Key`.
    pub key: String,
    /// Fingerprint of the method, path and body.
    pub fingerprint: u64,
    /// Deadline for the request and for reporting its outcome (Unix time in milliseconds).
    pub deadline: Ms,
}

/// Why a request is not sent to an endpoint now.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Decision {
    /// The request is a repeat; this is the recorded response.
    Replay(RecordedResponse),
    /// The request is a repeat of an executed one whose response is no longer kept.
    ResponseExpired,
    /// The first request under this key is in flight, at this node or at the previous owner.
    InFlight,
    /// The first request under this key may have been executed.
    Unknown,
    /// The key was used for a request with another fingerprint.
    FingerprintMismatch,
    /// The request was not executed; the client may retry.
    Rejected,
    /// Too few replicas hold the session. The request was not executed and never will be in this session.
    SessionLost,
    /// The session has had [`crate::AffinitySettings::max_requests_per_session`] requests; this one was not executed.
    TooManyRequests,
}

/// An effect that the caller has to carry out.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Output {
    /// Send a message to another node.
    Send {
        /// The recipient.
        to: NodeId,
        /// The message.
        msg: Message,
    },
    /// Send the request to an endpoint once, and pass the outcome to [`crate::AffinityNode::complete`].
    SendRequest {
        /// The request.
        request_id: RequestId,
    },
    /// Respond to the client: the outcome is recorded at a quorum, or the wait for that has timed out.
    Respond {
        /// The request.
        request_id: RequestId,
    },
    /// Respond to the client without sending the request.
    Decided {
        /// The request.
        request_id: RequestId,
        /// The decision that the response conveys.
        reply: Decision,
    },
}
