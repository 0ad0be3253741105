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

const VERSION: u32 = 1;

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
enum Ask {
    Prepare { to: Id, ballot: Term },
    Accept { to: Id, epoch: Term, asked: Ms },
    Renew { to: Id, epoch: Term, asked: Ms },
    Bring { to: Id, epoch: Term, snapshot: bool },
    Change { to: Id, epoch: Term, seq: u64, again: bool },
    Release,
}

/// What waits for the disk.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Job {
    /// A witness's yes; `to`: the caller, or the ask of this centre itself.
    Vote {
        to: Result<RequestId, Ask>,
        held: Box<VoterState>,
        say: Box<VoterResponse>,
    },
    /// The floor of a bid.
    Floor {
        ballot: Term,
    },
    Copied {
        caller: RequestId,
        epoch: Term,
        seq: u64,
        snapshot: bool,
    },
    Change {
        epoch: Term,
        seq: u64,
    },
    /// All of the state anew, after a write that failed.
    Whole {
        epoch: Term,
        seq: u64,
    },
    Own,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Pending {
    token: OperationId,
    since: Ms,
    job: Job,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Stage {
    Prepare,
    Bring,
    Accept(LeadershipRecord),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Group {
    witnesses: Vec<Voter>,
    before: Vec<Voter>,
}

/// Standing for an epoch.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Bid {
    ballot: Term,
    /// The newest record among the answers.
    base: LeadershipRecord,
    /// The group to write, where the acting primary changes it.
    group: Option<Group>,
    /// The epoch in which it acts, if it does.
    from: Option<Term>,
    stage: Stage,
    until: Ms,
    asked: BTreeSet<Id>,
    promised: BTreeSet<Voter>,
    refused: BTreeSet<Id>,
    own: bool,
    /// What this disk held before, by which a backup may join without a snapshot.
    was: Option<(Term, u64)>,
    able: Vec<Id>,
    under_way: BTreeSet<Id>,
    joined: Vec<Id>,
    leases: LeaseGrants,
}

/// A write under way.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Flight {
    seq: u64,
    began: Ms,
    changes: Vec<Change>,
    puts: Vec<KeyValue>,
    here: bool,
    away: BTreeSet<Id>,
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
    durable: Option<VoterState>,
    /// The newest record that was heard of; a hint until a quorum has said so.
    pub record: LeadershipRecord,
    /// The newest epoch in which this disk took part, and the number of its last change there.
    floor: Term,
    seq: u64,
    held: BTreeMap<String, String>,
    /// The disk may hold a change that was not acknowledged: only a snapshot brings others to this state.
    dirty: bool,
    /// Memory and disk may differ: only a snapshot is taken.
    broken: bool,
    pub role: Role,
    leases: LeaseGrants,
    renewed: BTreeMap<Id, Ms>,
    pub peers: BTreeMap<Id, Peer>,
    pub members: BTreeSet<Id>,
    bid: Option<Bid>,
    flight: Option<Flight>,
    queue: VecDeque<Change>,
    asks: BTreeMap<OperationId, Ask>,
    jobs: VecDeque<Pending>,
    tokens: OperationId,
    sound: bool,
    pub disk_healthy: bool,
    probe_at: Ms,
    /// The highest number of a ballot that anybody named.
    top: u64,
    shunned: BTreeMap<Id, Ms>,
    bid_at: Ms,
    /// When somebody was last known to act.
    led_at: Ms,
    since: Ms,
    leaving: Option<Ms>,
    luck: u64,
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
            held: start.state.into_iter().filter(|(_, value)| !value.is_empty()).collect(),
            sound: true,
            disk_healthy: true,
            led_at: now,
            since: now,
            luck: start.new_incarnation | 1,
            members: start.peers.iter().cloned().collect(),
            ..Core::default()
        };
        core.members.insert(start.me.clone());
        core.members.extend(read::<Vec<Id>>(&start.own, "members").unwrap_or_default());
        core.record = read(&start.own, "record").unwrap_or_default();
        core.floor = read(&start.own, "floor").unwrap_or_default();
        core.seq = read(&start.own, SEQ).unwrap_or_default();
        if let Some(held) = read::<VoterState>(&start.own, "witness") {
            if held.record.term > core.record.term {
                core.record = held.record.clone();
            }
            core.durable = Some(held.clone());
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
                core.floor = record.term.clone();
            }
            core.record = record;
        }
        let held = core.acceptor.state.clone();
        let mut own = core.floor_puts();
        own.push(("record".into(), json(&core.record)));
        own.push(("witness".into(), json(&held)));
        let job = Job::Vote { to: Err(Ask::Release), held: Box::new(held), say: Box::default() };
        core.write(now, job, (Vec::new(), false, own), out);
        core
    }

    /// The epoch in which the disk takes part, and the number of its last change there.
    fn floor_puts(&self) -> Vec<KeyValue> {
        vec![("floor".into(), json(&self.floor)), (SEQ.into(), json(&self.seq))]
    }

    pub fn held(&self) -> &BTreeMap<String, String> {
        &self.held
    }

    pub fn life(&self) -> u64 {
        self.acceptor.state.incarnation
    }

    pub fn last_durable_term(&self) -> &Term {
        &self.floor
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
    fn good(&self, now: Ms, id: &str) -> bool {
        self.is_peer_alive(now, id)
            && self.peers.get(id).is_some_and(|p| p.status.disk_healthy && !p.status.draining)
    }

    pub fn told(&self, now: Ms) -> PeerStatus {
        PeerStatus {
            id: self.id.clone(),
            holds_lease: self.holds_leader_lease(now),
            disk_healthy: self.disk_healthy,
            draining: self.leaving.is_some(),
            incarnation: self.life(),
            last_durable_term: self.floor.clone(),
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
            self.led_at = now;
        }
        self.add_members(now, std::iter::once(&told.id).chain(&told.members), out);
        self.learn(now, &told.record, out);
    }

    /// Members that this centre had not heard of. They are kept, so that a restart finds somebody.
    pub fn add_members<'a>(&mut self, now: Ms, ids: impl Iterator<Item = &'a Id>, out: &mut Vec<Output>) {
        let before = self.members.len();
        self.members.extend(ids.cloned());
        if self.members.len() > before {
            let all: Vec<&Id> = self.members.iter().collect();
            let own = vec![("members".into(), json(&all))];
            self.write(now, Job::Own, (Vec::new(), false, own), out);
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

    fn learn(&mut self, now: Ms, record: &LeadershipRecord, out: &mut Vec<Output>) {
        self.top = self.top.max(record.term.number);
        if record.term > self.record.term {
            self.record = record.clone();
            let own = vec![("record".into(), json(record))];
            self.write(now, Job::Own, (Vec::new(), false, own), out);
        }
    }

    fn token(&mut self) -> OperationId {
        self.tokens += 1;
        self.tokens
    }

    fn write(
        &mut self,
        now: Ms,
        job: Job,
        what: (Vec<KeyValue>, bool, Vec<KeyValue>),
        out: &mut Vec<Output>,
    ) {
        let token = self.token();
        self.jobs.push_back(Pending { token, since: now, job });
        let (state, whole, own) = what;
        out.push(Output::Persist { token, state, replace: whole, metadata: own });
    }

    fn call(&mut self, ask: Ask, to: &Id, call: Request, out: &mut Vec<Output>) {
        let token = self.token();
        self.asks.insert(token, ask);
        out.push(Output::Send { operation_id: token, to: to.clone(), call, timeout: self.spans.rpc_timeout });
    }

    /// Another centre calls.
    pub fn handle_request(&mut self, now: Ms, caller: RequestId, call: Request, out: &mut Vec<Output>) {
        match call {
            Request::Voter(call) => self.vote(now, Ok(caller), call, out),
            Request::ReplicaWrite(copy) => self.copy(now, caller, copy, out),
        }
    }

    /// What changes the acceptor is on the disk before it is answered.
    fn vote(&mut self, now: Ms, to: Result<RequestId, Ask>, call: VoterRequest, out: &mut Vec<Output>) {
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
                self.learn(now, record, out);
            }
            // A write that failed or waits still: what is answered must be on the disk all the same.
            if self.durable.as_ref() != Some(&self.acceptor.state) {
                let held = self.acceptor.state.clone();
                let own = vec![("witness".to_string(), json(&held))];
                return self.write(
                    now,
                    Job::Vote { to, held: Box::new(held), say: Box::new(say) },
                    (Vec::new(), false, own),
                    out,
                );
            }
        }
        self.voted(now, to, say, out);
    }

    fn voted(&mut self, now: Ms, to: Result<RequestId, Ask>, say: VoterResponse, out: &mut Vec<Output>) {
        match to {
            Ok(caller) => out.push(Output::Respond { request_id: caller, response: Response::Voter(say) }),
            Err(ask) => self.answered(now, ask, Some(Response::Voter(say)), out),
        }
    }

    /// What came of a write.
    pub fn handle_write_result(&mut self, now: Ms, token: OperationId, ok: bool, out: &mut Vec<Output>) {
        let Some(at) = self.jobs.iter().position(|p| p.token == token) else { return };
        let Some(Pending { job, .. }) = self.jobs.remove(at) else { return };
        if ok && !self.sound {
            out.push(Output::Log("The disk takes writes again.".into()));
        }
        if !ok && self.sound {
            out.push(Output::Log("The disk does not take a write.".into()));
        }
        self.sound = ok;
        match job {
            Job::Vote { to, held, say } => {
                if ok {
                    self.durable = Some(*held);
                } else if matches!(to, Err(Ask::Release)) {
                    // The first write of all, with the floor: it is made again.
                    self.broken = true;
                }
                let no = Rejection { reason: "the disk does not take it".into(), ..Rejection::default() };
                let say = if ok { *say } else { VoterResponse { rejection: Some(no), record: None, ..*say } };
                if !matches!(to, Err(Ask::Release)) {
                    self.voted(now, to, say, out);
                }
            }
            Job::Floor { ballot } => {
                let Some(bid) = self.bid.as_mut().filter(|b| b.ballot == ballot) else { return };
                if !ok || self.broken {
                    return self.give_up(now, "the disk does not take it", out);
                }
                bid.own = true;
                self.dirty = false;
                self.brought(now, out);
            }
            Job::Copied { caller, epoch, seq, snapshot } => {
                let current = self.floor == epoch;
                // Also of an epoch before: what came after it, without a snapshot, builds upon it.
                if !ok {
                    self.broken = true;
                } else if ok && snapshot && current && self.seq == seq {
                    self.broken = false;
                }
                let say = ReplicaWriteResponse {
                    accepted: ok && !self.broken && current,
                    reason: String::new(),
                    incarnation: self.life(),
                };
                out.push(Output::Respond { request_id: caller, response: Response::ReplicaWrite(say) });
            }
            Job::Change { epoch, seq } => {
                let mine = matches!(&self.role, Role::Leader(r) if r.term == epoch);
                match self.flight.as_mut().filter(|f| mine && f.seq == seq) {
                    Some(flight) if ok => {
                        flight.here = true;
                        self.landed(now, out);
                    }
                    Some(_) => self.crashed(now, "here", out),
                    None => {}
                }
            }
            Job::Whole { epoch, seq } => {
                if ok && self.floor == epoch && self.seq == seq {
                    self.broken = false;
                }
            }
            Job::Own => {}
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
        if let Some(ask) = self.asks.remove(&token) {
            self.answered(now, ask, say, out);
        }
    }

    fn answered(&mut self, now: Ms, ask: Ask, say: Option<Response>, out: &mut Vec<Output>) {
        let witness = match &say {
            Some(Response::Voter(say)) => Some(say.clone()),
            _ => None,
        };
        let copied = match &say {
            Some(Response::ReplicaWrite(say)) => Some(say.clone()),
            _ => None,
        };
        if let Some(no) = witness.as_ref().and_then(|w| w.rejection.as_ref()) {
            self.top = self.top.max(no.promised.number);
        }
        let yes = |w: &VoterResponse| w.rejection.is_none();
        match ask {
            Ask::Prepare { to, ballot } => {
                let say = witness.unwrap_or_default();
                match say.record.filter(|_| say.rejection.is_none()) {
                    Some(record) => self.promised(
                        now,
                        Voter { id: to, incarnation: say.incarnation },
                        &ballot,
                        record,
                        out,
                    ),
                    None => self.refused(now, to, &ballot, say.rejection, out),
                }
            }
            Ask::Accept { to, epoch, asked } => {
                let span = self.spans.lease;
                let Some(say) = witness.clone().filter(yes) else {
                    return self.refused(now, to, &epoch, witness.and_then(|w| w.rejection), out);
                };
                let Some(bid) = self.bid.as_mut() else { return };
                let Stage::Accept(record) = &bid.stage else { return };
                if record.term == epoch {
                    bid.leases.add(Voter { id: to, incarnation: say.incarnation }, asked, span);
                    self.chosen(now, out);
                }
            }
            Ask::Renew { to, epoch, asked } => {
                let mine = matches!(&self.role, Role::Leader(r) if r.term == epoch);
                if let Some(say) = witness.filter(yes).filter(|_| mine) {
                    let asked = if is_injected(InjectedBug::LeaseFromResponse) { now } else { asked };
                    self.leases.add(Voter { id: to, incarnation: say.incarnation }, asked, self.spans.lease);
                }
            }
            Ask::Bring { to, epoch, snapshot } => {
                let Some(bid) = self.bid.as_mut().filter(|b| b.ballot == epoch && b.stage == Stage::Bring)
                else {
                    return;
                };
                bid.under_way.remove(&to);
                match copied {
                    Some(say) if say.accepted => {
                        bid.joined.push(to.clone());
                        // What it says now is newer than its last heartbeat.
                        if let Some(peer) = self.peers.get_mut(&to) {
                            peer.status.incarnation = say.incarnation;
                        }
                        self.brought(now, out);
                    }
                    Some(_) if !snapshot => self.bring(now, &to, true, out),
                    _ => {
                        self.shunned.insert(to, now + 4 * self.spans.lease);
                        self.bring_next(now, out);
                    }
                }
            }
            Ask::Change { to, epoch, seq, again } => {
                let mine = matches!(&self.role, Role::Leader(r) if r.term == epoch);
                let Some(flight) = self.flight.as_mut().filter(|f| mine && f.seq == seq) else { return };
                match copied {
                    Some(say) if say.accepted => {
                        flight.away.remove(&to);
                        self.landed(now, out);
                    }
                    // No answer: it may have been lost on its way; the number makes it harmless twice.
                    None if !again => {
                        let (puts, kind) = (flight.puts.clone(), ReplicaWriteKind::Append);
                        let copy = ReplicaWrite {
                            version: VERSION,
                            term: epoch.clone(),
                            sequence: seq,
                            kind,
                            writes: puts,
                        };
                        self.call(
                            Ask::Change { to: to.clone(), epoch, seq, again: true },
                            &to,
                            Request::ReplicaWrite(copy),
                            out,
                        );
                    }
                    _ => {
                        self.shunned.insert(to.clone(), now + 4 * self.spans.lease);
                        self.crashed(now, &format!("at {to}"), out);
                    }
                }
            }
            Ask::Release => {}
        }
    }

    fn ask(&mut self, now: Ms, to: &Id, ask: Ask, call: VoterRequest, out: &mut Vec<Output>) {
        if *to == self.id {
            self.vote(now, Err(ask), call, out);
        } else {
            self.call(ask, to, Request::Voter(call), out);
        }
    }

    /// Twenty times a second.
    pub fn tick(&mut self, now: Ms, out: &mut Vec<Output>) {
        let stuck = self.jobs.front().is_some_and(|p| now > p.since + self.spans.rpc_timeout);
        self.disk_healthy = self.sound && !stuck;
        if !self.sound && self.jobs.is_empty() && now >= self.probe_at {
            self.probe_at = now + self.spans.heartbeat_interval;
            self.write(now, Job::Own, (Vec::new(), false, vec![("probe".into(), now.to_string())]), out);
        }
        if self.broken && self.sound && self.jobs.is_empty() {
            let own = self.floor_puts();
            let job = Job::Whole { epoch: self.floor.clone(), seq: self.seq };
            self.write(now, job, (self.all(), true, own), out);
        }
        self.shunned.retain(|_, until| now < *until);
        if self.bid.as_ref().is_some_and(|b| now > b.until) {
            self.give_up(now, "no answer from enough", out);
        }
        if self.flight.as_ref().is_some_and(|f| now > f.began + 3 * self.spans.rpc_timeout) {
            self.crashed(now, "in time", out);
        }
        if matches!(self.role, Role::Leader(_)) {
            self.lead(now, out);
        } else if self.bid.is_none() && self.due(now) {
            self.stand(now, None, out);
        }
    }

    fn lead(&mut self, now: Ms, out: &mut Vec<Output>) {
        let Role::Leader(record) = self.role.clone() else { return };
        if !self.disk_healthy || self.bid.is_none() && !self.holds_leader_lease(now) {
            out.push(Output::Log("The lease is over or the disk fails: steps down.".into()));
            return self.step_down(now, out);
        }
        self.led_at = now;
        if self.bid.is_some() {
            return;
        }
        for id in record.voter_ids() {
            if now >= self.renewed.get(&id).copied().unwrap_or(0) + self.spans.heartbeat_interval {
                self.renewed.insert(id.clone(), now);
                let ask = Ask::Renew { to: id.clone(), epoch: record.term.clone(), asked: now };
                self.ask(now, &id, ask, VoterRequest::Renew(record.clone(), self.spans.lease), out);
            }
        }
        if self.flight.is_some() || !matches!(self.role, Role::Leader(_)) {
            return;
        }
        if now >= self.bid_at {
            if let Some(group) = self.wants(now) {
                return self.stand(now, group, out);
            }
        }
        if self.leaving.is_some()
            && self.queue.is_empty()
            && record.backups.iter().any(|id| self.good(now, id))
        {
            out.push(Output::Log("Hands over and stops acting.".into()));
            self.step_down(now, out);
            for id in record.voter_ids() {
                self.ask(now, &id, Ask::Release, VoterRequest::Release(record.term.clone()), out);
            }
            return;
        }
        self.pump(now, out);
    }

    fn step_down(&mut self, now: Ms, out: &mut Vec<Output>) {
        if self.role == Role::Follower {
            return;
        }
        self.role = Role::Follower;
        self.leases.clear();
        self.renewed.clear();
        if self.bid.as_ref().is_some_and(|b| b.from.is_some()) {
            self.bid = None;
        }
        let mut failed: Vec<u64> = Vec::new();
        if let Some(flight) = self.flight.take() {
            // It may be on this disk, and on others.
            self.dirty = true;
            failed.extend(flight.changes.iter().map(|c| c.ticket));
        }
        failed.extend(self.queue.drain(..).map(|c| c.ticket));
        self.bid_at = self.bid_at.max(now);
        out.push(Output::SteppedDown);
        if !failed.is_empty() {
            out.push(Output::Failed(failed));
        }
    }
}
