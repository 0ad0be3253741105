//! What a node keeps track of between inputs: pending calls and disk writes, its campaign, the append in
//! flight.
//!
//! The order of variants and fields is part of the hash of a state, by which the model search counts states.
use crate::{
    Change, Id, KeyValue, LeadershipRecord, LeaseGrants, Ms, OperationId, RequestId, Term, Voter,
    VoterResponse, VoterState,
};
use std::collections::BTreeSet;

/// A call to another node that has no response yet.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum PendingCall {
    Prepare { to: Id, term: Term },
    Accept { to: Id, term: Term, sent_at: Ms },
    Renew { to: Id, term: Term, sent_at: Ms },
    SyncBackup { to: Id, term: Term, snapshot: bool },
    Append { to: Id, term: Term, sequence: u64, is_retry: bool },
    Release,
}

/// The purpose of a disk write, by which its result is handled.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum DiskWrite {
    /// A new state of the voter. `to` is the request to answer once it is written, or the call of this node
    /// to itself.
    VoterState {
        to: Result<RequestId, PendingCall>,
        voter_state: Box<VoterState>,
        response: Box<VoterResponse>,
    },
    /// The term of a campaign, before its record is proposed.
    CampaignTerm {
        term: Term,
    },
    ReplicaWrite {
        request_id: RequestId,
        term: Term,
        sequence: u64,
        snapshot: bool,
    },
    Append {
        term: Term,
        sequence: u64,
    },
    /// A rewrite of the whole state, after a write that failed.
    RewriteState {
        term: Term,
        sequence: u64,
    },
    Metadata,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct PendingWrite {
    pub(super) operation_id: OperationId,
    pub(super) started_at: Ms,
    pub(super) write: DiskWrite,
}

/// One atomic write to the disk.
pub(super) struct WriteBatch {
    /// Entries of the replicated state; an empty value removes the entry.
    pub(super) state: Vec<KeyValue>,
    /// Whether `state` replaces everything that is stored.
    pub(super) replace: bool,
    /// Entries of the node itself: term, sequence number, voter state.
    pub(super) metadata: Vec<KeyValue>,
}

impl WriteBatch {
    /// A batch that leaves the replicated state as it is.
    pub(super) fn metadata(metadata: Vec<KeyValue>) -> WriteBatch {
        WriteBatch { state: Vec::new(), replace: false, metadata }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum CampaignPhase {
    Prepare,
    SyncBackups,
    Accept(LeadershipRecord),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct MembershipChange {
    pub(super) voters: Vec<Voter>,
    pub(super) outgoing_voters: Vec<Voter>,
}

/// A campaign for a term (Raft 5.2).
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Campaign {
    pub(super) term: Term,
    /// The newest record among the responses.
    pub(super) base_record: LeadershipRecord,
    /// The voters to propose, if the leader changes them.
    pub(super) membership_change: Option<MembershipChange>,
    /// The term in which the candidate is already the leader, if it is.
    pub(super) leading_term: Option<Term>,
    pub(super) phase: CampaignPhase,
    pub(super) deadline: Ms,
    pub(super) contacted: BTreeSet<Id>,
    pub(super) prepared_by: BTreeSet<Voter>,
    pub(super) rejected_by: BTreeSet<Id>,
    pub(super) own_disk_synced: bool,
    /// Term and sequence number of this disk before the campaign: a backup that holds the same needs no
    /// snapshot.
    pub(super) previous_position: Option<(Term, u64)>,
    pub(super) candidates: Vec<Id>,
    pub(super) syncing: BTreeSet<Id>,
    pub(super) synced: Vec<Id>,
    pub(super) leases: LeaseGrants,
}

/// A batch of changes that is not on all disks of the record yet.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct InFlightAppend {
    pub(super) sequence: u64,
    pub(super) started_at: Ms,
    pub(super) changes: Vec<Change>,
    pub(super) writes: Vec<KeyValue>,
    pub(super) persisted_locally: bool,
    pub(super) unacknowledged: BTreeSet<Id>,
}

/// What a leader changes by means of a campaign for the next term.
pub(super) enum Reconfiguration {
    /// The backups; the voters stay.
    Backups,
    Voters(MembershipChange),
}
