//! The state machine of one node: `(now, input)` in, [`Output`]s out. It does no I/O and never blocks.
//!
//! A leader serves while a quorum grants it the lease; the lease counts from when the leader sent the
//! request. A change is written to the leader's disk and to every backup of the record, and is committed if
//! the leader still holds the lease once all of them have it. Failover, replacing a backup and changing the
//! voters are all done by a campaign for the next term, in the order: prepare, sync the candidate's disk,
//! sync the backups' disks, accept. Only the leader changes the voters, and only starting from a record that
//! was chosen: first to a joint configuration, then to the new one (Raft 6).
mod calls;
mod election;
mod lease;
mod membership;
mod peers;
mod persistence;
mod replication;
mod shutdown;
mod tracker;
mod voter;

use crate::injected_bugs::{is_injected, InjectedBug};
use crate::{
    Acceptor, Change, Id, LeadershipRecord, LeaseGrants, Ms, OperationId, Output, PeerStatus, Request,
    RequestId, Term, Voter, VoterState,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use tracker::{Campaign, DiskWrite, InFlightAppend, PendingCall, PendingWrite, WriteBatch};

/// The metadata key of the sequence number of the last change. It is written with each change; the values of
/// all other metadata keys are commitments to other nodes.
pub const LAST_SEQUENCE_KEY: &str = "seq";

/// The metadata keys of a node. Their names stay as in the first version, because existing disks contain
/// them.
mod metadata_keys {
    pub(super) const VOTER_STATE: &str = "witness";
    pub(super) const LAST_DURABLE_TERM: &str = "floor";
    pub(super) const RECORD: &str = "record";
    pub(super) const MEMBERS: &str = "members";
    pub(super) const DISK_PROBE: &str = "probe";
}

/// An append fails after this many RPC timeouts: a call and its retry take up to two of them.
const APPEND_RPC_TIMEOUTS: Ms = 3;

/// Configured timeouts in milliseconds, and the number of failures to tolerate.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Timeouts {
    /// How long a voter grants the leader lease.
    pub lease: Ms,
    /// How often a leader renews its lease and nodes send heartbeats.
    pub heartbeat_interval: Ms,
    /// How long a call between nodes may take.
    pub rpc_timeout: Ms,
    /// A voter that has been silent for this long is replaced, if there is a spare member.
    pub replace_after: Ms,
    /// How long a node that shuts down may take to hand over its roles.
    pub shutdown_grace: Ms,
    /// How many disks may be lost at once: there are this many backups, and `2 * max_failures + 1` voters.
    pub max_failures: usize,
}

/// The role of a node in the newest term in which it takes part (Raft 5.1).
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub enum Role {
    /// Not the leader.
    #[default]
    Follower,
    /// The leader named in this record, which a quorum accepted. It serves only while it holds the lease.
    Leader(LeadershipRecord),
}

/// What this node knows about another node.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Peer {
    /// When the last request or response from it arrived; 0 if none has.
    pub last_heard: Ms,
    /// When this node sent the newest request that the peer has answered; 0 if it has answered none.
    pub last_contact: Ms,
    /// The newest status received from it.
    pub status: PeerStatus,
}

/// The input for the start of a node: its settings, and the contents of its disk.
#[derive(Debug, Clone, Default)]
pub struct InitialState {
    /// The id of this node.
    pub id: Id,
    /// Its zone; empty if unknown.
    pub zone: String,
    /// The configured timeouts.
    pub timeouts: Timeouts,
    /// The configured members; at a bootstrap they become the first voters.
    pub peers: Vec<Id>,
    /// Whether the whole system starts for the first time and the disk was empty.
    pub bootstrap: bool,
    /// The replicated state on the disk.
    pub state: BTreeMap<String, String>,
    /// The metadata on the disk.
    pub metadata: BTreeMap<String, String>,
    /// A random number: the incarnation of the disk if it has none yet, and the seed of the jitter.
    pub new_incarnation: u64,
}

/// The state machine of one node: inputs with the time go in, [`Output`]s come out.
///
/// The order of the fields is part of the derived hash, by which the model search counts states.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Core {
    /// The id of this node.
    pub id: Id,
    /// Its zone.
    pub zone: String,
    /// The timeouts in force; they may change when the settings are reloaded.
    pub timeouts: Timeouts,
    acceptor: Acceptor,
    /// The acceptor state that is on the disk; no response may reveal a newer one.
    durable_voter_state: Option<VoterState>,
    /// The newest record known: a hint until a quorum has confirmed it.
    pub record: LeadershipRecord,
    /// The newest term in which this disk took part, and the sequence number of its last change in that term.
    last_durable_term: Term,
    last_sequence: u64,
    state: BTreeMap<String, String>,
    /// The disk may hold a change that was not committed, so backups need a snapshot to match it.
    may_hold_uncommitted: bool,
    /// A write failed, so memory and disk may differ: only a snapshot is accepted.
    needs_snapshot: bool,
    /// Leader or follower.
    pub role: Role,
    leases: LeaseGrants,
    renewal_sent_at: BTreeMap<Id, Ms>,
    /// The other nodes from which this node has received a status.
    pub peers: BTreeMap<Id, Peer>,
    /// All nodes that this node has ever learned of, including itself.
    pub members: BTreeSet<Id>,
    campaign: Option<Campaign>,
    in_flight: Option<InFlightAppend>,
    proposals: VecDeque<Change>,
    pending_calls: BTreeMap<OperationId, PendingCall>,
    pending_writes: VecDeque<PendingWrite>,
    last_operation_id: OperationId,
    last_write_succeeded: bool,
    /// The last write succeeded and none has been pending for longer than the RPC timeout.
    pub disk_healthy: bool,
    next_disk_probe: Ms,
    /// The highest term number seen in any message.
    highest_term_number: u64,
    excluded_until: BTreeMap<Id, Ms>,
    next_campaign_at: Ms,
    /// When this node last saw a leader that holds the lease.
    leader_seen_at: Ms,
    started_at: Ms,
    shutdown_began_at: Option<Ms>,
    jitter_state: u64,
}

fn json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

impl Core {
    /// Starts a node from its settings and its disk; a disk without voter state is initialised first.
    pub fn start(now: Ms, initial: InitialState, out: &mut Vec<Output>) -> Core {
        fn read<T: for<'a> Deserialize<'a>>(metadata: &BTreeMap<String, String>, name: &str) -> Option<T> {
            metadata.get(name).and_then(|text| serde_json::from_str(text).ok())
        }
        let mut core = Core {
            id: initial.id.clone(),
            zone: initial.zone,
            timeouts: initial.timeouts,
            state: initial.state.into_iter().filter(|(_, value)| !value.is_empty()).collect(),
            last_write_succeeded: true,
            disk_healthy: true,
            leader_seen_at: now,
            started_at: now,
            jitter_state: initial.new_incarnation | 1,
            members: initial.peers.iter().cloned().collect(),
            ..Core::default()
        };
        core.members.insert(initial.id.clone());
        core.members.extend(read::<Vec<Id>>(&initial.metadata, metadata_keys::MEMBERS).unwrap_or_default());
        core.record = read(&initial.metadata, metadata_keys::RECORD).unwrap_or_default();
        core.last_durable_term =
            read(&initial.metadata, metadata_keys::LAST_DURABLE_TERM).unwrap_or_default();
        core.last_sequence = read(&initial.metadata, LAST_SEQUENCE_KEY).unwrap_or_default();
        if let Some(voter_state) = read::<VoterState>(&initial.metadata, metadata_keys::VOTER_STATE) {
            if voter_state.record.term > core.record.term {
                core.record = voter_state.record.clone();
            }
            core.durable_voter_state = Some(voter_state.clone());
            core.acceptor = Acceptor::restart(now, voter_state, core.timeouts.lease);
            return core;
        }
        core.acceptor = Acceptor::with_empty_disk(if is_injected(InjectedBug::LostDiskVotes) {
            0
        } else {
            initial.new_incarnation.max(1)
        });
        if initial.bootstrap {
            core.bootstrap(&initial.peers);
        }
        let voter_state = core.acceptor.state.clone();
        let mut metadata = core.term_metadata();
        metadata.push((metadata_keys::RECORD.into(), json(&core.record)));
        metadata.push((metadata_keys::VOTER_STATE.into(), json(&voter_state)));
        // No request waits for this write. The result of a release is ignored.
        let write = DiskWrite::VoterState {
            to: Err(PendingCall::Release),
            voter_state: Box::new(voter_state),
            response: Box::default(),
        };
        core.persist(now, write, WriteBatch::metadata(metadata), out);
        core
    }

    /// The first start of the whole system: the configured members are the voters, and the first by id leads.
    fn bootstrap(&mut self, peers: &[Id]) {
        let mut voter_ids = peers.to_vec();
        voter_ids.sort();
        voter_ids.dedup();
        let leader = voter_ids.first().unwrap_or(&self.id).clone();
        let backups = voter_ids.iter().skip(1).take(self.timeouts.max_failures).cloned().collect();
        let voters = voter_ids.iter().map(|id| Voter::new(id, 0)).collect();
        let record =
            LeadershipRecord { term: Term::new(1, ""), leader, backups, voters, outgoing_voters: vec![] };
        if record.is_voter(&self.id) {
            self.acceptor = Acceptor::bootstrap(record.clone());
        }
        if record.is_replica(&self.id) {
            self.last_durable_term = record.term.clone();
        }
        self.record = record;
    }

    /// The replicated state.
    pub fn state(&self) -> &BTreeMap<String, String> {
        &self.state
    }

    /// The incarnation of this disk.
    pub fn incarnation(&self) -> u64 {
        self.acceptor.state.incarnation
    }

    /// The newest term in which this disk took part.
    pub fn last_durable_term(&self) -> &Term {
        &self.last_durable_term
    }

    /// The term in which this node is the leader.
    pub fn leader_term(&self) -> Option<u64> {
        match &self.role {
            Role::Leader(record) => Some(record.term.number),
            Role::Follower => None,
        }
    }

    /// Handles a request from another node.
    pub fn handle_request(
        &mut self,
        now: Ms,
        request_id: RequestId,
        request: Request,
        out: &mut Vec<Output>,
    ) {
        match request {
            Request::Voter(request) => self.handle_voter_request(now, Ok(request_id), request, out),
            Request::ReplicaWrite(write) => self.handle_replica_write(now, request_id, write, out),
        }
    }

    /// Does the periodic work: disk probe, timeouts, lease renewal, campaigns. Called about twenty times a
    /// second.
    pub fn tick(&mut self, now: Ms, out: &mut Vec<Output>) {
        let is_stuck = self
            .pending_writes
            .front()
            .is_some_and(|write| now > write.started_at + self.timeouts.rpc_timeout);
        self.disk_healthy = self.last_write_succeeded && !is_stuck;
        if !self.last_write_succeeded && self.pending_writes.is_empty() && now >= self.next_disk_probe {
            self.next_disk_probe = now + self.timeouts.heartbeat_interval;
            self.persist(
                now,
                DiskWrite::Metadata,
                WriteBatch::metadata(vec![(metadata_keys::DISK_PROBE.into(), now.to_string())]),
                out,
            );
        }
        if self.needs_snapshot && self.last_write_succeeded && self.pending_writes.is_empty() {
            let metadata = self.term_metadata();
            let write = DiskWrite::RewriteState {
                term: self.last_durable_term.clone(),
                sequence: self.last_sequence,
            };
            self.persist(
                now,
                write,
                WriteBatch { state: self.state_entries(), replace: true, metadata },
                out,
            );
        }
        self.excluded_until.retain(|_, until| now < *until);
        if self.campaign.as_ref().is_some_and(|campaign| now > campaign.deadline) {
            self.abandon_campaign(now, "it timed out", out);
        }
        if self
            .in_flight
            .as_ref()
            .is_some_and(|append| now > append.started_at + APPEND_RPC_TIMEOUTS * self.timeouts.rpc_timeout)
        {
            self.fail_append(now, "it timed out", out);
        }
        if matches!(self.role, Role::Leader(_)) {
            self.tick_leader(now, out);
        } else if self.campaign.is_none() && self.should_campaign(now) {
            self.start_campaign(now, None, out);
        }
    }
}
