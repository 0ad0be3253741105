//! Messages between nodes. [`Message::Superseded`] goes from the node that claims a session to its previous owner. All
//! others are exchanged between a node that claims, owns or has owned a session and one of the session's replicas.
use crate::ids::{Ms, NodeId};
use crate::record::{AttemptId, FencingToken, IdempotencyEntry, SessionId, SessionRecord};
use serde::{Deserialize, Serialize};

/// The round of a promise that answers [`Message::Restore`]. Rounds of [`Message::Prepare`] start at 1.
pub(crate) const RESTORED_ROUND: u32 = 0;

/// One message. The network may lose, delay, reorder or duplicate it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Asks a replica to promise that it rejects writes under lower fencing tokens, and to send its record (Paxos,
    /// phase 1a).
    #[serde(rename = "Claim")]
    Prepare {
        /// The session.
        id: SessionId,
        /// When the session was created.
        #[serde(rename = "born")]
        created_at: Ms,
        /// The claimant's token.
        #[serde(rename = "fence")]
        fencing_token: FencingToken,
        /// How many times the claimant has asked all replicas; the promise echoes this number.
        round: u32,
    },
    /// A replica's promise, with its record (Paxos, phase 1b).
    #[serde(rename = "Promised")]
    Promise {
        /// The session.
        id: SessionId,
        /// The promised token.
        #[serde(rename = "fence")]
        fencing_token: FencingToken,
        /// The round of the request that this answers; 0 for [`Message::Restore`].
        round: u32,
        /// The replica's incarnation, which writes under this promise have to carry.
        #[serde(rename = "life")]
        incarnation: u64,
        /// The node whose token was promised before, if it is a different node.
        #[serde(rename = "former")]
        previous_owner: Option<NodeId>,
        /// The replica's record of the session.
        record: SessionRecord,
    },
    /// The replica may have held the session and lost its state, so it can't make a promise.
    #[serde(rename = "Blank")]
    StateLost {
        /// The session.
        id: SessionId,
        /// The token of the message that this answers.
        #[serde(rename = "fence")]
        fencing_token: FencingToken,
        /// The replica's incarnation since the loss.
        #[serde(rename = "life")]
        incarnation: u64,
    },
    /// The replica has promised a higher token.
    #[serde(rename = "Outranked")]
    Rejected {
        /// The session.
        id: SessionId,
        /// The token of the message that this answers.
        #[serde(rename = "fence")]
        fencing_token: FencingToken,
        /// The higher token that the replica has promised.
        promised: FencingToken,
    },
    /// The replica has no capacity for the session: it is full, and each session it holds has a request in flight.
    #[serde(rename = "Full")]
    NoCapacity {
        /// The session.
        id: SessionId,
        /// The token of the message that this answers.
        #[serde(rename = "fence")]
        fencing_token: FencingToken,
    },
    /// Gives a replica that lost its state the session's record. All other replicas have promised `fencing_token`
    /// since it reported the loss, and the record is merged from theirs.
    #[serde(rename = "Install")]
    Restore {
        /// The session.
        id: SessionId,
        /// When the session was created.
        #[serde(rename = "born")]
        created_at: Ms,
        /// The owner's token.
        #[serde(rename = "fence")]
        fencing_token: FencingToken,
        /// The incarnation for which the replica reported the loss.
        #[serde(rename = "life")]
        incarnation: u64,
        /// The merged record of the other replicas.
        record: SessionRecord,
    },
    /// Asks a replica to merge `record` into its record of the session (Paxos, phase 2a).
    Write {
        /// The session.
        id: SessionId,
        /// The owner's token.
        #[serde(rename = "fence")]
        fencing_token: FencingToken,
        /// The incarnation in which the replica made its promise.
        #[serde(rename = "life")]
        incarnation: u64,
        /// The entries and endpoints to merge.
        record: SessionRecord,
    },
    /// The replica has applied the write (Paxos, phase 2b).
    #[serde(rename = "Kept")]
    WriteAck {
        /// The session.
        id: SessionId,
        /// The owner's token.
        #[serde(rename = "fence")]
        fencing_token: FencingToken,
        /// The attempt that was written.
        attempt: AttemptId,
    },
    /// Tells a replica how an attempt ended. It is valid under any fencing token, as the outcome is a fact that no
    /// change of owner alters.
    #[serde(rename = "Told")]
    Completion {
        /// The session.
        id: SessionId,
        /// The entry with its outcome.
        entry: IdempotencyEntry,
    },
    /// The replica has recorded the outcome.
    #[serde(rename = "Noted")]
    CompletionAck {
        /// The session.
        id: SessionId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// A replica forwards the outcome of an earlier owner's attempt to the current owner.
    #[serde(rename = "News")]
    CompletionNotice {
        /// The session.
        id: SessionId,
        /// The entry with its outcome.
        entry: IdempotencyEntry,
    },
    /// Tells the previous owner that another node has claimed the session.
    #[serde(rename = "LetGo")]
    Superseded {
        /// The session.
        id: SessionId,
        /// The new owner's token.
        #[serde(rename = "fence")]
        fencing_token: FencingToken,
    },
}
