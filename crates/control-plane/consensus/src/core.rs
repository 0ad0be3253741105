//! The state machine of one node: `(now, input)` in, [`Output`]s out. Nothing here waits, sends or writes.
//!
//! A leader serves while a quorum grants it the lease, counted from when it sent the request. A change is written to its
//! own disk and to every backup of the record; it is committed if the lease is still held then. Failover, replacing a
//! backup and changing the voters are all a campaign for the next term, in the order prepare, own disk, disks of the
//! backups, accept. Voters are changed by the leader only, from a record that was chosen: first to a joint
//! configuration, then to the new one (Raft 6).
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

/// The metadata key of the sequence number of the last change. It is written with each change; every other metadata
/// key is a promise to other nodes.
pub const LAST_SEQUENCE_KEY: &str = "seq";

/// The metadata keys of a node; their names are those of the first version, and stored disks have them.
mod metadata_keys {
    pub(super) const VOTER_STATE: &str = "witness";
    pub(super) const LAST_DURABLE_TERM: &str = "floor";
    pub(super) const RECORD: &str = "record";
    pub(super) const MEMBERS: &str = "members";
    pub(super) const DISK_PROBE: &str = "probe";
}

/// Timeouts in milliseconds, from the settings, and the number of failures to tolerate.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Timeouts {
    /// How long a voter grants the leader lease.
    pub lease: Ms,
    /// How often a leader renews its lease and nodes send heartbeats.
    pub heartbeat_interval: Ms,
    /// How long a call between nodes may take.
    pub rpc_timeout: Ms,
    /// A voter that is silent for so long is replaced, if there is a spare member.
    pub replace_after: Ms,
    /// How long a node that shuts down may take to hand over.
    pub shutdown_grace: Ms,
    /// How many disks may be lost at once: so many backups, and `2 * max_failures + 1` voters.
    pub max_failures: usize,
}

/// What the node is in the newest term that it takes part in (Raft 5.1).
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub enum Role {
    /// Not the leader.
    #[default]
    Follower,
    /// The leader by this record, which a quorum accepted. It serves only while it holds the lease.
    Leader(LeadershipRecord),
}

/// What is known of another node.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Peer {
    /// When a request or a response of it last came; 0: never.
    pub last_heard: Ms,
    /// When the newest request was sent that it has answered; 0: none.
    pub last_contact: Ms,
    /// The newest status that it sent.
    pub status: PeerStatus,
}

/// What a node starts with: its settings, and what its disk holds.
#[derive(Debug, Clone, Default)]
pub struct InitialState {
    /// The id of this node.
    pub id: Id,
    /// Its zone; empty if unknown.
    pub zone: String,
    /// Timeouts of the settings.
    pub timeouts: Timeouts,
    /// The members of the settings; at a bootstrap the first voters.
    pub peers: Vec<Id>,
    /// The whole system starts for the first time, and the disk was empty.
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
    /// The timeouts in force; they may change with the settings.
    pub timeouts: Timeouts,
    acceptor: Acceptor,
    /// The state of the acceptor that is on the disk; no response shows a newer one.
    durable_voter_state: Option<VoterState>,
    /// The newest record known: a hint until a quorum has confirmed it.
    pub record: LeadershipRecord,
    /// The newest term in which this disk took part, and the sequence number of its last change there.
    last_durable_term: Term,
    last_sequence: u64,
    state: BTreeMap<String, String>,
    /// The disk may hold a change that was not committed: backups need a snapshot to agree with it.
    may_hold_uncommitted: bool,
    /// A write failed, so memory and disk may differ: only a snapshot is accepted.
    needs_snapshot: bool,
    /// Leader or follower.
    pub role: Role,
    leases: LeaseGrants,
    renewal_sent_at: BTreeMap<Id, Ms>,
    /// The other nodes from which a status came.
    pub peers: BTreeMap<Id, Peer>,
    /// All nodes that were ever named, this one included.
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
    /// The highest term number in any message.
    highest_term_number: u64,
    excluded_until: BTreeMap<Id, Ms>,
    next_campaign_at: Ms,
    /// When a leader with a lease was last seen.
    leader_seen_at: Ms,
    started_at: Ms,
    shutdown_began_at: Option<Ms>,
    jitter_state: u64,
}

fn json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

impl Core {
    /// Starts a node from its settings and its disk; a disk without voter state is written first.
    pub fn start(now: Ms, start: InitialState, out: &mut Vec<Output>) -> Core {
        fn read<T: for<'a> Deserialize<'a>>(metadata: &BTreeMap<String, String>, name: &str) -> Option<T> {
            metadata.get(name).and_then(|text| serde_json::from_str(text).ok())
        }
        let mut core = Core {
            id: start.id.clone(),
            zone: start.zone,
            timeouts: start.timeouts,
            state: start.state.into_iter().filter(|(_, value)| !value.is_empty()).collect(),
            last_write_succeeded: true,
            disk_healthy: true,
            leader_seen_at: now,
            started_at: now,
            jitter_state: start.new_incarnation | 1,
            members: start.peers.iter().cloned().collect(),
            ..Core::default()
        };
        core.members.insert(start.id.clone());
        core.members.extend(read::<Vec<Id>>(&start.metadata, metadata_keys::MEMBERS).unwrap_or_default());
        core.record = read(&start.metadata, metadata_keys::RECORD).unwrap_or_default();
        core.last_durable_term = read(&start.metadata, metadata_keys::LAST_DURABLE_TERM).unwrap_or_default();
        core.last_sequence = read(&start.metadata, LAST_SEQUENCE_KEY).unwrap_or_default();
        if let Some(voter_state) = read::<VoterState>(&start.metadata, metadata_keys::VOTER_STATE) {
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
            start.new_incarnation.max(1)
        });
        if start.bootstrap {
            core.bootstrap(&start.peers);
        }
        let voter_state = core.acceptor.state.clone();
        let mut metadata = core.term_metadata();
        metadata.push((metadata_keys::RECORD.into(), json(&core.record)));
        metadata.push((metadata_keys::VOTER_STATE.into(), json(&voter_state)));
        let write = DiskWrite::VoterState {
            to: Err(PendingCall::Release),
            voter_state: Box::new(voter_state),
            response: Box::default(),
        };
        core.persist(now, write, WriteBatch::metadata(metadata), out);
        core
    }

    /// The first start of the whole system: the members of the settings are the voters, the first of them leads.
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

    /// A request of another node.
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

    /// Periodic work, about twenty times a second: disk probe, timeouts, lease renewal, campaigns.
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
            self.abandon_campaign(now, "no answer from enough", out);
        }
        if self
            .in_flight
            .as_ref()
            .is_some_and(|append| now > append.started_at + 3 * self.timeouts.rpc_timeout)
        {
            self.fail_append(now, "in time", out);
        }
        if matches!(self.role, Role::Leader(_)) {
            self.tick_leader(now, out);
        } else if self.campaign.is_none() && self.should_campaign(now) {
            self.start_campaign(now, None, out);
        }
    }
}
