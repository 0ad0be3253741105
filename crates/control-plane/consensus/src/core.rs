//! The agreement of one centre, whole: `(now, what came) -> what follows`. Nothing here waits, sends or writes.
//!
//! A primary acts while a quorum grants it the lease, counted from when it asked. A change is written here and at every
//! backup of the record, then looked at once more (is the lease still held?), then it counts. Taking over, replacing a
//! backup and changing the group are one way: a *campaign* for the next epoch, in the order ballot, own disk, backups' disks,
//! record. The group changes only by the acting primary, from a record that was chosen: first to a record that names
//! both groups, then to one that names the new one.
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
use crate::messages::{snapshot_checksum, REPLICA_WRITE_VERSION};
use crate::{
    Acceptor, Change, Id, KeyValue, LeadershipRecord, LeaseGrants, Ms, OperationId, Output, PeerStatus,
    Rejection, ReplicaWrite, ReplicaWriteKind, ReplicaWriteResponse, Request, RequestId, Response, Term,
    Voter, VoterRequest, VoterResponse, VoterState,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use tracker::{Campaign, DiskWrite, InFlightAppend, PendingCall, PendingWrite, WriteBatch};

/// The number of the last change, as it stands beside the floor. Alone it comes with each change; whatever else a
/// centre writes about itself is a promise.
pub const SEQ: &str = "seq";

/// Time spans; all follow from the settings.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Timeouts {
    pub lease: Ms,
    /// How often a primary asks for its lease again, and centres hear of each other.
    pub heartbeat_interval: Ms,
    /// How long anything between directors may take.
    pub rpc_timeout: Ms,
    /// After so long a silence a witness is replaced, if anybody is there to take its place.
    pub replace_after: Ms,
    /// How long a centre that is told to end has to hand over.
    pub shutdown_grace: Ms,
    /// How many disks may be lost at once: so many backups, and twice as many witnesses and one.
    pub max_failures: usize,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub enum Role {
    #[default]
    Follower,
    Leader(LeadershipRecord),
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Peer {
    /// When it was last heard, either way.
    pub last_heard: Ms,
    /// When a call was sent that it has answered.
    pub last_contact: Ms,
    pub status: PeerStatus,
}

/// What a centre begins with: of its settings, and of its disk.
#[derive(Debug, Clone, Default)]
pub struct InitialState {
    pub me: Id,
    pub area: String,
    pub timeouts: Timeouts,
    pub peers: Vec<Id>,
    /// The whole system starts for the first time, and the folder was empty.
    pub bootstrap: bool,
    pub state: BTreeMap<String, String>,
    pub own: BTreeMap<String, String>,
    /// Drawn by lot: the life of the disk, if it has none yet.
    pub new_incarnation: u64,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Core {
    pub id: Id,
    pub zone: String,
    pub spans: Timeouts,
    acceptor: Acceptor,
    /// What of the acceptor is on the disk.
    durable_voter_state: Option<VoterState>,
    /// The newest record that was heard of; a hint until a quorum has said so.
    pub record: LeadershipRecord,
    /// The newest epoch in which this disk took part, and the number of its last change there.
    last_durable_term: Term,
    last_sequence: u64,
    state: BTreeMap<String, String>,
    /// The disk may hold a change that was not acknowledged: only a snapshot brings others to this state.
    may_hold_uncommitted: bool,
    /// Memory and disk may differ: only a snapshot is taken.
    needs_snapshot: bool,
    pub role: Role,
    leases: LeaseGrants,
    renewal_sent_at: BTreeMap<Id, Ms>,
    pub peers: BTreeMap<Id, Peer>,
    pub members: BTreeSet<Id>,
    campaign: Option<Campaign>,
    in_flight: Option<InFlightAppend>,
    proposals: VecDeque<Change>,
    pending_calls: BTreeMap<OperationId, PendingCall>,
    pending_writes: VecDeque<PendingWrite>,
    last_operation_id: OperationId,
    last_write_succeeded: bool,
    pub disk_healthy: bool,
    next_disk_probe: Ms,
    /// The highest number of a ballot that anybody named.
    highest_term_number: u64,
    excluded_until: BTreeMap<Id, Ms>,
    next_campaign_at: Ms,
    /// When somebody was last known to act.
    leader_seen_at: Ms,
    started_at: Ms,
    shutdown_began_at: Option<Ms>,
    jitter_state: u64,
}

fn json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

impl Core {
    pub fn start(now: Ms, start: InitialState, out: &mut Vec<Output>) -> Core {
        fn read<T: for<'a> Deserialize<'a>>(own: &BTreeMap<String, String>, name: &str) -> Option<T> {
            own.get(name).and_then(|text| serde_json::from_str(text).ok())
        }
        let mut core = Core {
            id: start.me.clone(),
            zone: start.area,
            spans: start.timeouts,
            state: start.state.into_iter().filter(|(_, value)| !value.is_empty()).collect(),
            last_write_succeeded: true,
            disk_healthy: true,
            leader_seen_at: now,
            started_at: now,
            jitter_state: start.new_incarnation | 1,
            members: start.peers.iter().cloned().collect(),
            ..Core::default()
        };
        core.members.insert(start.me.clone());
        core.members.extend(read::<Vec<Id>>(&start.own, "members").unwrap_or_default());
        core.record = read(&start.own, "record").unwrap_or_default();
        core.last_durable_term = read(&start.own, "floor").unwrap_or_default();
        core.last_sequence = read(&start.own, SEQ).unwrap_or_default();
        if let Some(held) = read::<VoterState>(&start.own, "witness") {
            if held.record.term > core.record.term {
                core.record = held.record.clone();
            }
            core.durable_voter_state = Some(held.clone());
            core.acceptor = Acceptor::restart(now, held, core.spans.lease);
            return core;
        }
        core.acceptor = Acceptor::with_empty_disk(if is_injected(InjectedBug::LostDiskVotes) {
            0
        } else {
            start.new_incarnation.max(1)
        });
        if start.bootstrap {
            let mut seats = start.peers.clone();
            seats.sort();
            seats.dedup();
            let primary = seats.first().unwrap_or(&core.id).clone();
            let backups = seats.iter().skip(1).take(core.spans.max_failures).cloned().collect();
            let witnesses = seats.iter().map(|id| Voter::new(id, 0)).collect();
            let record = LeadershipRecord {
                term: Term::new(1, ""),
                leader: primary,
                backups,
                voters: witnesses,
                outgoing_voters: vec![],
            };
            if record.is_voter(&core.id) {
                core.acceptor = Acceptor::bootstrap(record.clone());
            }
            if record.is_replica(&core.id) {
                core.last_durable_term = record.term.clone();
            }
            core.record = record;
        }
        let held = core.acceptor.state.clone();
        let mut own = core.term_metadata();
        own.push(("record".into(), json(&core.record)));
        own.push(("witness".into(), json(&held)));
        let job = DiskWrite::VoterState {
            to: Err(PendingCall::Release),
            held: Box::new(held),
            say: Box::default(),
        };
        core.persist(now, job, WriteBatch::metadata(own), out);
        core
    }

    pub fn held(&self) -> &BTreeMap<String, String> {
        &self.state
    }

    pub fn life(&self) -> u64 {
        self.acceptor.state.incarnation
    }

    pub fn last_durable_term(&self) -> &Term {
        &self.last_durable_term
    }

    /// The epoch in which it acts or acted until now.
    pub fn leader_term(&self) -> Option<u64> {
        match &self.role {
            Role::Leader(record) => Some(record.term.number),
            Role::Follower => None,
        }
    }

    /// A request of another node.
    pub fn handle_request(&mut self, now: Ms, caller: RequestId, call: Request, out: &mut Vec<Output>) {
        match call {
            Request::Voter(call) => self.handle_voter_request(now, Ok(caller), call, out),
            Request::ReplicaWrite(copy) => self.handle_replica_write(now, caller, copy, out),
        }
    }

    /// Twenty times a second.
    pub fn tick(&mut self, now: Ms, out: &mut Vec<Output>) {
        let stuck = self.pending_writes.front().is_some_and(|p| now > p.since + self.spans.rpc_timeout);
        self.disk_healthy = self.last_write_succeeded && !stuck;
        if !self.last_write_succeeded && self.pending_writes.is_empty() && now >= self.next_disk_probe {
            self.next_disk_probe = now + self.spans.heartbeat_interval;
            self.persist(
                now,
                DiskWrite::Metadata,
                WriteBatch::metadata(vec![("probe".into(), now.to_string())]),
                out,
            );
        }
        if self.needs_snapshot && self.last_write_succeeded && self.pending_writes.is_empty() {
            let own = self.term_metadata();
            let job =
                DiskWrite::RewriteState { epoch: self.last_durable_term.clone(), seq: self.last_sequence };
            self.persist(
                now,
                job,
                WriteBatch { state: self.state_entries(), replace: true, metadata: own },
                out,
            );
        }
        self.excluded_until.retain(|_, until| now < *until);
        if self.campaign.as_ref().is_some_and(|b| now > b.deadline) {
            self.abandon_campaign(now, "no answer from enough", out);
        }
        if self.in_flight.as_ref().is_some_and(|f| now > f.started_at + 3 * self.spans.rpc_timeout) {
            self.fail_append(now, "in time", out);
        }
        if matches!(self.role, Role::Leader(_)) {
            self.tick_leader(now, out);
        } else if self.campaign.is_none() && self.should_campaign(now) {
            self.start_campaign(now, None, out);
        }
    }
}
