//! The agreement of one centre, whole: `(now, what came) -> what follows`. Nothing here waits, sends or writes.
//!
//! A primary acts while a quorum grants it the lease, counted from when it asked. A change is written here and at every
//! backup of the record, then looked at once more (is the lease still held?), then it counts. Taking over, replacing a
//! backup and changing the group are one way: a *bid* for the next epoch, in the order ballot, own disk, backups' disks,
//! record. The group changes only by the acting primary, from a record that was chosen: first to a record that names
//! both groups, then to one that names the new one.
mod bid;
mod group;
mod writing;

use crate::injected_bugs::{is_injected, InjectedBug};
use crate::{
    Acceptor, Id, LeadershipRecord, LeaseGrants, Ms, Rejection, Term, Voter, VoterRequest, VoterResponse,
    VoterState,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Who waits for an answer: given by the adapter.
pub type RequestId = u64;
/// A call or a write of the core's own; each comes back once.
pub type OperationId = u64;
/// A name of the control state and its value.
pub type KeyValue = (String, String);

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

/// What a primary writes to a backup.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ReplicaWriteKind {
    /// All of the state, with a sum over it.
    Snapshot { sum: u64 },
    /// Nothing, if the backup holds just this number of this epoch.
    #[serde(rename = "Join")]
    Probe { epoch: Term, seq: u64 },
    /// The change after `seq - 1`.
    #[default]
    #[serde(rename = "Change")]
    Append,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct ReplicaWrite {
    /// The form of what follows; another one is refused.
    pub version: u32,
    #[serde(rename = "epoch")]
    pub term: Term,
    #[serde(rename = "seq")]
    pub sequence: u64,
    pub kind: ReplicaWriteKind,
    #[serde(rename = "puts")]
    pub writes: Vec<KeyValue>,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct ReplicaWriteResponse {
    #[serde(rename = "ok")]
    pub accepted: bool,
    #[serde(rename = "why")]
    pub reason: String,
    #[serde(rename = "life")]
    pub incarnation: u64,
}

const REPLICA_WRITE_VERSION: u32 = 1;

/// The sum of a snapshot: what is taken is what was sent, whole.
fn sum(puts: &[KeyValue]) -> u64 {
    let mix = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3);
    let text = |h: u64, t: &str| mix(t.bytes().fold(h, mix), 0xff);
    puts.iter().fold(0xcbf2_9ce4_8422_2325, |h, (n, v)| text(text(h, n), v)) >> 12
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Request {
    #[serde(rename = "Witness")]
    Voter(VoterRequest),
    #[serde(rename = "Copy")]
    ReplicaWrite(ReplicaWrite),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Response {
    #[serde(rename = "Witness")]
    Voter(VoterResponse),
    #[serde(rename = "Copy")]
    ReplicaWrite(ReplicaWriteResponse),
}

/// What a centre says of itself with every heartbeat.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct PeerStatus {
    pub id: Id,
    /// It is the primary and holds the lease.
    #[serde(rename = "acting")]
    pub holds_lease: bool,
    /// Its disk takes writes.
    #[serde(rename = "fit")]
    pub disk_healthy: bool,
    /// It was told to end.
    #[serde(rename = "leaving")]
    pub draining: bool,
    #[serde(rename = "life")]
    pub incarnation: u64,
    #[serde(rename = "floor")]
    pub last_durable_term: Term,
    #[serde(rename = "area")]
    pub zone: String,
    /// The newest record that it knows.
    pub record: LeadershipRecord,
    pub members: Vec<Id>,
}

/// A change that waits to be written, with the ticket by which its caller is known.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Change {
    pub ticket: u64,
    pub writes: Vec<KeyValue>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Output {
    Send {
        operation_id: OperationId,
        to: Id,
        call: Request,
        timeout: Ms,
    },
    Respond {
        request_id: RequestId,
        response: Response,
    },
    /// Synced, whole or not at all, in this order.
    Persist {
        token: OperationId,
        state: Vec<KeyValue>,
        replace: bool,
        metadata: Vec<KeyValue>,
    },
    Log(String),
    /// It acts from now on; `fresh`: it did not right before.
    BecameLeader {
        newly_elected: bool,
    },
    SteppedDown,
    /// On all disks of the record, and the lease is held: these are in force.
    Committed(Vec<Change>),
    Failed(Vec<u64>),
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

/// What waits for an answer of another centre.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum PendingCall {
    Prepare { to: Id, ballot: Term },
    Accept { to: Id, epoch: Term, asked: Ms },
    Renew { to: Id, epoch: Term, asked: Ms },
    SyncBackup { to: Id, epoch: Term, snapshot: bool },
    Append { to: Id, epoch: Term, seq: u64, again: bool },
    Release,
}

/// What waits for the disk.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum DiskWrite {
    /// A witness's yes; `to`: the caller, or the ask of this centre itself.
    VoterState {
        to: Result<RequestId, PendingCall>,
        held: Box<VoterState>,
        say: Box<VoterResponse>,
    },
    /// The floor of a bid.
    CampaignTerm {
        ballot: Term,
    },
    ReplicaWrite {
        caller: RequestId,
        epoch: Term,
        seq: u64,
        snapshot: bool,
    },
    Append {
        epoch: Term,
        seq: u64,
    },
    /// All of the state anew, after a write that failed.
    RewriteState {
        epoch: Term,
        seq: u64,
    },
    Metadata,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct PendingWrite {
    token: OperationId,
    since: Ms,
    job: DiskWrite,
}

/// One atomic write to the disk.
struct WriteBatch {
    /// Entries of the replicated state; an empty value removes the entry.
    state: Vec<KeyValue>,
    /// Whether `state` replaces everything that is stored.
    replace: bool,
    /// Entries of the node itself: term, sequence number, voter state.
    metadata: Vec<KeyValue>,
}

impl WriteBatch {
    /// Leaves the replicated state as it is.
    fn metadata(metadata: Vec<KeyValue>) -> WriteBatch {
        WriteBatch { state: Vec::new(), replace: false, metadata }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum CampaignPhase {
    Prepare,
    SyncBackups,
    Accept(LeadershipRecord),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct MembershipChange {
    voters: Vec<Voter>,
    outgoing_voters: Vec<Voter>,
}

/// Standing for an epoch.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Campaign {
    term: Term,
    /// The newest record among the answers.
    base_record: LeadershipRecord,
    /// The group to write, where the acting primary changes it.
    membership_change: Option<MembershipChange>,
    /// The epoch in which it acts, if it does.
    leading_term: Option<Term>,
    phase: CampaignPhase,
    deadline: Ms,
    contacted: BTreeSet<Id>,
    prepared_by: BTreeSet<Voter>,
    rejected_by: BTreeSet<Id>,
    own_disk_synced: bool,
    /// What this disk held before, by which a backup may join without a snapshot.
    previous_position: Option<(Term, u64)>,
    candidates: Vec<Id>,
    syncing: BTreeSet<Id>,
    synced: Vec<Id>,
    leases: LeaseGrants,
}

/// A write under way.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct InFlightAppend {
    sequence: u64,
    started_at: Ms,
    changes: Vec<Change>,
    writes: Vec<KeyValue>,
    persisted_locally: bool,
    unacknowledged: BTreeSet<Id>,
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

    /// The epoch in which the disk takes part, and the number of its last change there.
    fn term_metadata(&self) -> Vec<KeyValue> {
        vec![("floor".into(), json(&self.last_durable_term)), (SEQ.into(), json(&self.last_sequence))]
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

    pub fn holds_leader_lease(&self, now: Ms) -> bool {
        let holds = |record| self.leases.hold(record, now) || is_injected(InjectedBug::NoLease);
        matches!(&self.role, Role::Leader(record) if holds(record))
    }

    /// The epoch in which it acts or acted until now.
    pub fn leader_term(&self) -> Option<u64> {
        match &self.role {
            Role::Leader(record) => Some(record.term.number),
            Role::Follower => None,
        }
    }

    /// Where the primary is, if any is heard to act.
    pub fn known_leader(&self, now: Ms) -> Option<&Id> {
        let heard = |p: &&Peer| now < p.last_heard + self.spans.lease && p.status.holds_lease;
        let best = self.peers.values().filter(heard).max_by_key(|p| p.status.record.term.clone());
        best.map(|p| &p.status.id)
    }

    /// In touch: a quorum of witnesses has answered calls of this centre that were sent within the span of a lease.
    pub fn has_quorum_contact(&self, now: Ms) -> bool {
        let near = |w: &Voter| {
            if w.id == self.id {
                return w.incarnation == self.life();
            }
            self.peers.get(&w.id).is_some_and(|p| {
                p.last_contact > 0
                    && now < p.last_contact + self.spans.lease
                    && p.status.incarnation == w.incarnation
            })
        };
        self.record.has_quorum(near)
    }

    /// Heard within the span of a lease.
    pub fn is_peer_alive(&self, now: Ms, id: &str) -> bool {
        self.peers.get(id).is_some_and(|p| p.last_heard > 0 && now < p.last_heard + self.spans.lease)
    }

    /// Near, its disk takes writes, and it stays.
    fn is_usable_backup(&self, now: Ms, id: &str) -> bool {
        self.is_peer_alive(now, id)
            && self.peers.get(id).is_some_and(|p| p.status.disk_healthy && !p.status.draining)
    }

    pub fn told(&self, now: Ms) -> PeerStatus {
        PeerStatus {
            id: self.id.clone(),
            holds_lease: self.holds_leader_lease(now),
            disk_healthy: self.disk_healthy,
            draining: self.shutdown_began_at.is_some(),
            incarnation: self.life(),
            last_durable_term: self.last_durable_term.clone(),
            zone: self.zone.clone(),
            record: self.record.clone(),
            members: self.members.iter().cloned().collect(),
        }
    }

    /// A heartbeat. `asked`: when the call was sent that it answers.
    pub fn handle_peer_status(
        &mut self,
        now: Ms,
        told: &PeerStatus,
        asked: Option<Ms>,
        out: &mut Vec<Output>,
    ) {
        if told.id == self.id {
            return;
        }
        let peer = self.peers.entry(told.id.clone()).or_default();
        peer.last_heard = now;
        peer.last_contact = peer.last_contact.max(asked.unwrap_or(0));
        peer.status = told.clone();
        if told.holds_lease {
            self.leader_seen_at = now;
        }
        self.add_members(now, std::iter::once(&told.id).chain(&told.members), out);
        self.observe_record(now, &told.record, out);
    }

    /// Members that this centre had not heard of. They are kept, so that a restart finds somebody.
    pub fn add_members<'a>(&mut self, now: Ms, ids: impl Iterator<Item = &'a Id>, out: &mut Vec<Output>) {
        let before = self.members.len();
        self.members.extend(ids.cloned());
        if self.members.len() > before {
            let all: Vec<&Id> = self.members.iter().collect();
            let own = vec![("members".into(), json(&all))];
            self.persist(now, DiskWrite::Metadata, WriteBatch::metadata(own), out);
        }
    }

    /// Whom heartbeats go to: the group, who holds the state, the few that the ring names of those that are there, and
    /// in turn one of those that are not.
    pub fn heartbeat_targets(&self, now: Ms, turn: usize, few: usize) -> BTreeSet<Id> {
        let (near, far): (Vec<Id>, Vec<Id>) = self
            .members
            .iter()
            .filter(|id| **id != self.id)
            .cloned()
            .partition(|id| self.is_peer_alive(now, id));
        let mut all: BTreeSet<Id> = self.record.voter_ids().into_iter().collect();
        all.extend(std::iter::once(&self.record.leader).chain(&self.record.backups).cloned());
        all.extend(self.known_leader(now).cloned());
        let mut ring = near;
        ring.push(self.id.clone());
        all.extend(crate::ring_successors(&self.id, &ring, few));
        let far: Vec<Id> = far.into_iter().filter(|id| !all.contains(id)).collect();
        if !far.is_empty() {
            all.extend((0..few.min(far.len())).map(|n| far[(turn * few + n) % far.len()].clone()));
        }
        all.remove(&self.id);
        all.remove("");
        all
    }

    fn observe_record(&mut self, now: Ms, record: &LeadershipRecord, out: &mut Vec<Output>) {
        self.highest_term_number = self.highest_term_number.max(record.term.number);
        if record.term > self.record.term {
            self.record = record.clone();
            let own = vec![("record".into(), json(record))];
            self.persist(now, DiskWrite::Metadata, WriteBatch::metadata(own), out);
        }
    }

    fn next_operation_id(&mut self) -> OperationId {
        self.last_operation_id += 1;
        self.last_operation_id
    }

    fn persist(&mut self, now: Ms, job: DiskWrite, batch: WriteBatch, out: &mut Vec<Output>) {
        let token = self.next_operation_id();
        self.pending_writes.push_back(PendingWrite { token, since: now, job });
        let WriteBatch { state, replace, metadata } = batch;
        out.push(Output::Persist { token, state, replace, metadata });
    }

    fn send_request(&mut self, ask: PendingCall, to: &Id, call: Request, out: &mut Vec<Output>) {
        let token = self.next_operation_id();
        self.pending_calls.insert(token, ask);
        out.push(Output::Send { operation_id: token, to: to.clone(), call, timeout: self.spans.rpc_timeout });
    }

    /// Another centre calls.
    pub fn handle_request(&mut self, now: Ms, caller: RequestId, call: Request, out: &mut Vec<Output>) {
        match call {
            Request::Voter(call) => self.handle_voter_request(now, Ok(caller), call, out),
            Request::ReplicaWrite(copy) => self.handle_replica_write(now, caller, copy, out),
        }
    }

    /// What changes the acceptor is on the disk before it is answered.
    fn handle_voter_request(
        &mut self,
        now: Ms,
        to: Result<RequestId, PendingCall>,
        call: VoterRequest,
        out: &mut Vec<Output>,
    ) {
        let outcome = match &call {
            VoterRequest::Prepare(ballot) => self.acceptor.prepare(now, ballot).map(Some),
            VoterRequest::Accept(record, span) | VoterRequest::Renew(record, span) => {
                self.acceptor.accept(now, record, *span).map(|()| None)
            }
            VoterRequest::Release(epoch) => {
                self.acceptor.release(epoch);
                Ok(None)
            }
        };
        let life = self.life();
        let say = match outcome {
            Ok(record) => VoterResponse { incarnation: life, record, rejection: None },
            Err(no) => VoterResponse { incarnation: life, record: None, rejection: Some(no) },
        };
        if say.rejection.is_none() {
            if let VoterRequest::Accept(record, _) | VoterRequest::Renew(record, _) = &call {
                let older = matches!(&self.role, Role::Leader(r) if r.term < record.term);
                if older && record.leader != self.id {
                    self.step_down(now, out);
                }
                self.observe_record(now, record, out);
            }
            // A write that failed or waits still: what is answered must be on the disk all the same.
            if self.durable_voter_state.as_ref() != Some(&self.acceptor.state) {
                let held = self.acceptor.state.clone();
                let own = vec![("witness".to_string(), json(&held))];
                return self.persist(
                    now,
                    DiskWrite::VoterState { to, held: Box::new(held), say: Box::new(say) },
                    WriteBatch::metadata(own),
                    out,
                );
            }
        }
        self.respond_to_voter_request(now, to, say, out);
    }

    fn respond_to_voter_request(
        &mut self,
        now: Ms,
        to: Result<RequestId, PendingCall>,
        say: VoterResponse,
        out: &mut Vec<Output>,
    ) {
        match to {
            Ok(caller) => out.push(Output::Respond { request_id: caller, response: Response::Voter(say) }),
            Err(ask) => self.handle_call_result(now, ask, Some(Response::Voter(say)), out),
        }
    }

    /// What came of a write.
    pub fn handle_write_result(&mut self, now: Ms, token: OperationId, ok: bool, out: &mut Vec<Output>) {
        let Some(at) = self.pending_writes.iter().position(|p| p.token == token) else { return };
        let Some(PendingWrite { job, .. }) = self.pending_writes.remove(at) else { return };
        if ok && !self.last_write_succeeded {
            out.push(Output::Log("The disk takes writes again.".into()));
        }
        if !ok && self.last_write_succeeded {
            out.push(Output::Log("The disk does not take a write.".into()));
        }
        self.last_write_succeeded = ok;
        match job {
            DiskWrite::VoterState { to, held, say } => {
                if ok {
                    self.durable_voter_state = Some(*held);
                } else if matches!(to, Err(PendingCall::Release)) {
                    // The first write of all, with the floor: it is made again.
                    self.needs_snapshot = true;
                }
                let no = Rejection { reason: "the disk does not take it".into(), ..Rejection::default() };
                let say = if ok { *say } else { VoterResponse { rejection: Some(no), record: None, ..*say } };
                if !matches!(to, Err(PendingCall::Release)) {
                    self.respond_to_voter_request(now, to, say, out);
                }
            }
            DiskWrite::CampaignTerm { ballot } => {
                let Some(bid) = self.campaign.as_mut().filter(|b| b.term == ballot) else { return };
                if !ok || self.needs_snapshot {
                    return self.abandon_campaign(now, "the disk does not take it", out);
                }
                bid.own_disk_synced = true;
                self.may_hold_uncommitted = false;
                self.propose_record_if_synced(now, out);
            }
            DiskWrite::ReplicaWrite { caller, epoch, seq, snapshot } => {
                let current = self.last_durable_term == epoch;
                // Also of an epoch before: what came after it, without a snapshot, builds upon it.
                if !ok {
                    self.needs_snapshot = true;
                } else if ok && snapshot && current && self.last_sequence == seq {
                    self.needs_snapshot = false;
                }
                let say = ReplicaWriteResponse {
                    accepted: ok && !self.needs_snapshot && current,
                    reason: String::new(),
                    incarnation: self.life(),
                };
                out.push(Output::Respond { request_id: caller, response: Response::ReplicaWrite(say) });
            }
            DiskWrite::Append { epoch, seq } => {
                let mine = matches!(&self.role, Role::Leader(r) if r.term == epoch);
                match self.in_flight.as_mut().filter(|f| mine && f.sequence == seq) {
                    Some(flight) if ok => {
                        flight.persisted_locally = true;
                        self.commit_if_replicated(now, out);
                    }
                    Some(_) => self.fail_append(now, "here", out),
                    None => {}
                }
            }
            DiskWrite::RewriteState { epoch, seq } => {
                if ok && self.last_durable_term == epoch && self.last_sequence == seq {
                    self.needs_snapshot = false;
                }
            }
            DiskWrite::Metadata => {}
        }
    }

    /// What came of a call.
    pub fn handle_response(
        &mut self,
        now: Ms,
        token: OperationId,
        say: Option<Response>,
        out: &mut Vec<Output>,
    ) {
        if let Some(ask) = self.pending_calls.remove(&token) {
            self.handle_call_result(now, ask, say, out);
        }
    }

    fn handle_call_result(
        &mut self,
        now: Ms,
        ask: PendingCall,
        say: Option<Response>,
        out: &mut Vec<Output>,
    ) {
        let witness = match &say {
            Some(Response::Voter(say)) => Some(say.clone()),
            _ => None,
        };
        let copied = match &say {
            Some(Response::ReplicaWrite(say)) => Some(say.clone()),
            _ => None,
        };
        if let Some(no) = witness.as_ref().and_then(|w| w.rejection.as_ref()) {
            self.highest_term_number = self.highest_term_number.max(no.promised.number);
        }
        let yes = |w: &VoterResponse| w.rejection.is_none();
        match ask {
            PendingCall::Prepare { to, ballot } => {
                let say = witness.unwrap_or_default();
                match say.record.filter(|_| say.rejection.is_none()) {
                    Some(record) => self.handle_prepare_granted(
                        now,
                        Voter { id: to, incarnation: say.incarnation },
                        &ballot,
                        record,
                        out,
                    ),
                    None => self.handle_rejection(now, to, &ballot, say.rejection, out),
                }
            }
            PendingCall::Accept { to, epoch, asked } => {
                let span = self.spans.lease;
                let Some(say) = witness.clone().filter(yes) else {
                    return self.handle_rejection(now, to, &epoch, witness.and_then(|w| w.rejection), out);
                };
                let Some(bid) = self.campaign.as_mut() else { return };
                let CampaignPhase::Accept(record) = &bid.phase else { return };
                if record.term == epoch {
                    bid.leases.add(Voter { id: to, incarnation: say.incarnation }, asked, span);
                    self.become_leader_if_chosen(now, out);
                }
            }
            PendingCall::Renew { to, epoch, asked } => {
                let mine = matches!(&self.role, Role::Leader(r) if r.term == epoch);
                if let Some(say) = witness.filter(yes).filter(|_| mine) {
                    let asked = if is_injected(InjectedBug::LeaseFromResponse) { now } else { asked };
                    self.leases.add(Voter { id: to, incarnation: say.incarnation }, asked, self.spans.lease);
                }
            }
            PendingCall::SyncBackup { to, epoch, snapshot } => {
                let Some(bid) = self
                    .campaign
                    .as_mut()
                    .filter(|b| b.term == epoch && b.phase == CampaignPhase::SyncBackups)
                else {
                    return;
                };
                bid.syncing.remove(&to);
                match copied {
                    Some(say) if say.accepted => {
                        bid.synced.push(to.clone());
                        // What it says now is newer than its last heartbeat.
                        if let Some(peer) = self.peers.get_mut(&to) {
                            peer.status.incarnation = say.incarnation;
                        }
                        self.propose_record_if_synced(now, out);
                    }
                    Some(_) if !snapshot => self.sync_backup(now, &to, true, out),
                    _ => {
                        self.excluded_until.insert(to, now + 4 * self.spans.lease);
                        self.sync_next_backup(now, out);
                    }
                }
            }
            PendingCall::Append { to, epoch, seq, again } => {
                let mine = matches!(&self.role, Role::Leader(r) if r.term == epoch);
                let Some(flight) = self.in_flight.as_mut().filter(|f| mine && f.sequence == seq) else {
                    return;
                };
                match copied {
                    Some(say) if say.accepted => {
                        flight.unacknowledged.remove(&to);
                        self.commit_if_replicated(now, out);
                    }
                    // No answer: it may have been lost on its way; the number makes it harmless twice.
                    None if !again => {
                        let (puts, kind) = (flight.writes.clone(), ReplicaWriteKind::Append);
                        let copy = ReplicaWrite {
                            version: REPLICA_WRITE_VERSION,
                            term: epoch.clone(),
                            sequence: seq,
                            kind,
                            writes: puts,
                        };
                        self.send_request(
                            PendingCall::Append { to: to.clone(), epoch, seq, again: true },
                            &to,
                            Request::ReplicaWrite(copy),
                            out,
                        );
                    }
                    _ => {
                        self.excluded_until.insert(to.clone(), now + 4 * self.spans.lease);
                        self.fail_append(now, &format!("at {to}"), out);
                    }
                }
            }
            PendingCall::Release => {}
        }
    }

    fn call_voter(&mut self, now: Ms, to: &Id, ask: PendingCall, call: VoterRequest, out: &mut Vec<Output>) {
        if *to == self.id {
            self.handle_voter_request(now, Err(ask), call, out);
        } else {
            self.send_request(ask, to, Request::Voter(call), out);
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

    fn tick_leader(&mut self, now: Ms, out: &mut Vec<Output>) {
        let Role::Leader(record) = self.role.clone() else { return };
        if !self.disk_healthy || self.campaign.is_none() && !self.holds_leader_lease(now) {
            out.push(Output::Log("The lease is over or the disk fails: steps down.".into()));
            return self.step_down(now, out);
        }
        self.leader_seen_at = now;
        if self.campaign.is_some() {
            return;
        }
        for id in record.voter_ids() {
            if now >= self.renewal_sent_at.get(&id).copied().unwrap_or(0) + self.spans.heartbeat_interval {
                self.renewal_sent_at.insert(id.clone(), now);
                let ask = PendingCall::Renew { to: id.clone(), epoch: record.term.clone(), asked: now };
                self.call_voter(now, &id, ask, VoterRequest::Renew(record.clone(), self.spans.lease), out);
            }
        }
        if self.in_flight.is_some() || !matches!(self.role, Role::Leader(_)) {
            return;
        }
        if now >= self.next_campaign_at {
            if let Some(group) = self.wanted_change(now) {
                return self.start_campaign(now, group, out);
            }
        }
        if self.shutdown_began_at.is_some()
            && self.proposals.is_empty()
            && record.backups.iter().any(|id| self.is_usable_backup(now, id))
        {
            out.push(Output::Log("Hands over and stops acting.".into()));
            self.step_down(now, out);
            for id in record.voter_ids() {
                self.call_voter(
                    now,
                    &id,
                    PendingCall::Release,
                    VoterRequest::Release(record.term.clone()),
                    out,
                );
            }
            return;
        }
        self.append_next(now, out);
    }

    fn step_down(&mut self, now: Ms, out: &mut Vec<Output>) {
        if self.role == Role::Follower {
            return;
        }
        self.role = Role::Follower;
        self.leases.clear();
        self.renewal_sent_at.clear();
        if self.campaign.as_ref().is_some_and(|b| b.leading_term.is_some()) {
            self.campaign = None;
        }
        let mut failed: Vec<u64> = Vec::new();
        if let Some(flight) = self.in_flight.take() {
            // It may be on this disk, and on others.
            self.may_hold_uncommitted = true;
            failed.extend(flight.changes.iter().map(|c| c.ticket));
        }
        failed.extend(self.proposals.drain(..).map(|c| c.ticket));
        self.next_campaign_at = self.next_campaign_at.max(now);
        out.push(Output::SteppedDown);
        if !failed.is_empty() {
            out.push(Output::Failed(failed));
        }
    }
}
