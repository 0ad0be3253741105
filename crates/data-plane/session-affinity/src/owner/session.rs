//! The state of one session at its owner.
use crate::ids::{Ms, NodeId, RequestId};
use crate::record::{AttemptId, EntryState, FencingToken, IdempotencyEntry, SessionId, SessionRecord};
use crate::request::IdempotentRequest;

/// A replica and its incarnation, which changes whenever the replica loses state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct ReplicaIncarnation {
    pub(super) replica: NodeId,
    pub(super) incarnation: u64,
}

/// A replica's promise, without the record that came with it.
pub(super) struct Promise {
    pub(super) from: NodeId,
    pub(super) id: SessionId,
    pub(super) fencing_token: FencingToken,
    pub(super) round: u32,
    pub(super) incarnation: u64,
    pub(super) previous_owner: Option<NodeId>,
}

/// A request that waits until its session is claimed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct PendingRequest {
    pub(super) request: IdempotentRequest,
    /// When the wait ends and the request is rejected.
    pub(super) wait_until: Ms,
}

/// One attempt to execute a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Attempt {
    pub(super) request: RequestId,
    pub(super) key: String,
    pub(super) fingerprint: u64,
    pub(super) id: AttemptId,
    /// When the wait for the replicas ends, in the phases `Recording` and `Reporting`.
    pub(super) wait_until: Ms,
    pub(super) deadline: Ms,
    /// Replicas that have acknowledged the latest message of this attempt.
    pub(super) acknowledged_by: Vec<NodeId>,
    pub(super) phase: AttemptPhase,
}

impl Attempt {
    /// The entry that records the attempt in this state.
    pub(super) fn entry(&self, state: EntryState, now: Ms) -> IdempotencyEntry {
        IdempotencyEntry {
            key: self.key.clone(),
            fingerprint: self.fingerprint,
            attempt: self.id,
            state,
            changed_at: now,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum AttemptPhase {
    /// The attempt is being recorded at the replicas; the request has not been sent.
    Recording,
    /// The request has been sent to an endpoint.
    Running,
    /// The outcome is being reported to the replicas.
    Reporting,
}

/// A session at a node that owns it, claims it, or still has attempts of it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct OwnedSession {
    pub(super) created_at: Ms,
    pub(super) replicas: Vec<NodeId>,
    pub(super) fencing_token: FencingToken,
    /// Replicas that promised this token.
    pub(super) promises: Vec<ReplicaIncarnation>,
    /// Replicas that reported a loss of their state.
    pub(super) lost: Vec<ReplicaIncarnation>,
    /// How many times all replicas were asked to promise.
    pub(super) round: u32,
    /// Replicas that promised in this round.
    pub(super) promised_this_round: Vec<NodeId>,
    pub(super) rejected_by: Vec<NodeId>,
    /// Whether a quorum has promised the token.
    pub(super) owned: bool,
    /// Another node has claimed the session since, or the claim was abandoned. The session stays here only until its
    /// last attempt has ended.
    pub(super) superseded: bool,
    /// The number of the latest attempt under this token.
    pub(super) attempt_number: u32,
    pub(super) claim_retries: u32,
    pub(super) record: SessionRecord,
    pub(super) pending: Vec<PendingRequest>,
    pub(super) attempts: Vec<Attempt>,
    /// The session's key in the owner's `LruOrder`.
    pub(super) last_use: u64,
}

impl OwnedSession {
    pub(super) fn new(created_at: Ms, replicas: &[NodeId]) -> OwnedSession {
        OwnedSession {
            created_at,
            replicas: replicas.to_vec(),
            fencing_token: FencingToken::default(),
            promises: vec![],
            lost: vec![],
            round: 0,
            promised_this_round: vec![],
            rejected_by: vec![],
            owned: false,
            superseded: false,
            attempt_number: 0,
            claim_retries: 0,
            record: SessionRecord::default(),
            pending: vec![],
            attempts: vec![],
            last_use: 0,
        }
    }

    pub(super) fn quorum(&self) -> usize {
        coppersail_consensus::majority(self.replicas.len())
    }

    pub(super) fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.attempts.is_empty()
    }

    /// Whether a message about this token is still relevant to the session.
    pub(super) fn is_current(&self, fencing_token: FencingToken) -> bool {
        self.fencing_token == fencing_token && !self.superseded
    }

    /// A new id, higher than all ids used for the session before.
    pub(super) fn next_attempt_id(&mut self) -> AttemptId {
        self.attempt_number += 1;
        AttemptId { fencing_token: self.fencing_token, number: self.attempt_number }
    }

    pub(super) fn forget_promise(&mut self, replica: NodeId) {
        self.promises.retain(|promise| promise.replica != replica);
    }

    pub(super) fn forget_loss(&mut self, replica: NodeId) {
        self.lost.retain(|lost| lost.replica != replica);
    }
}
