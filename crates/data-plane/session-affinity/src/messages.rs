//! Messages between nodes. All but [`Message::CompletionNotice`] and [`Message::Superseded`] go between the node that
//! claims or owns a session and one of the session's replicas.
use crate::ids::{Ms, NodeId};
use crate::record::{AttemptId, FencingToken, IdempotencyEntry, SessionId, SessionRecord};
use serde::{Deserialize, Serialize};

/// The round of the promise that answers [`Message::Restore`]: claims count rounds from 1.
pub(crate) const RESTORED_ROUND: u32 = 0;

/// One message. Any may be lost, delayed, reordered or duplicated.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// To a replica: promise to accept writes under no lower fencing token, and send the record (Paxos, phase 1a).
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
        /// Counts the times that the claimant has asked; the promise repeats it.
        round: u32,
    },
    /// A replica's promise, with its record (Paxos, phase 1b).
    #[serde(rename = "Promised")]
    Promise {
        /// The session.
        id: SessionId,
        /// The token that is promised.
        #[serde(rename = "fence")]
        fencing_token: FencingToken,
        /// Of the request; 0 answers [`Message::Restore`].
        round: u32,
        /// The replica's, which writes have to name.
        #[serde(rename = "life")]
        incarnation: u64,
        /// The node that had the promise before, if it is another.
        #[serde(rename = "former")]
        previous_owner: Option<NodeId>,
        /// What the replica knows.
        record: SessionRecord,
    },
    /// The replica may have known the session and lost it: it can't promise anything.
    #[serde(rename = "Blank")]
    StateLost {
        /// The session.
        id: SessionId,
        /// Of the request.
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
        /// Of the request.
        #[serde(rename = "fence")]
        fencing_token: FencingToken,
        /// The token that is promised.
        promised: FencingToken,
    },
    /// The replica has no capacity: all of its sessions have requests in flight.
    #[serde(rename = "Full")]
    NoCapacity {
        /// The session.
        id: SessionId,
        /// Of the request.
        #[serde(rename = "fence")]
        fencing_token: FencingToken,
    },
    /// To a replica that lost its state: all others have promised `fencing_token` since it said so, and this is what they know.
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
        /// What the others know.
        record: SessionRecord,
    },
    /// To a replica: merge this into the record (Paxos, phase 2a).
    Write {
        /// The session.
        id: SessionId,
        /// The owner's token.
        #[serde(rename = "fence")]
        fencing_token: FencingToken,
        /// The incarnation in which the replica made its promise.
        #[serde(rename = "life")]
        incarnation: u64,
        /// What is new.
        record: SessionRecord,
    },
    /// The replica has the write (Paxos, phase 2b).
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
    /// To a replica: how an attempt ended. A fact, whoever owns the session by now.
    #[serde(rename = "Told")]
    Completion {
        /// The session.
        id: SessionId,
        /// The entry with its outcome.
        entry: IdempotencyEntry,
    },
    /// The replica has the outcome.
    #[serde(rename = "Noted")]
    CompletionAck {
        /// The session.
        id: SessionId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// From a replica to the present owner: the outcome of an attempt of an earlier owner.
    #[serde(rename = "News")]
    CompletionNotice {
        /// The session.
        id: SessionId,
        /// The entry with its outcome.
        entry: IdempotencyEntry,
    },
    /// To the previous owner: the session has another owner now.
    #[serde(rename = "LetGo")]
    Superseded {
        /// The session.
        id: SessionId,
        /// The new owner's token.
        #[serde(rename = "fence")]
        fencing_token: FencingToken,
    },
}
