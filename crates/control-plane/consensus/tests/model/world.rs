//! The world around the cores: members with disks, a network, a clock, faults within a budget, and what must hold.
use coppersail_consensus::{
    Change, Core, InitialState, KeyValue, LeadershipRecord, Output, PeerStatus, Request, Response, Role,
    Term, Timeouts, Voter, VoterRequest, VoterState,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{Hash, Hasher};
use std::sync::Arc;

pub(crate) const NAMES: [&str; 5] = ["a", "b", "c", "d", "e"];
const LATE: u64 = 1 << 63;

/// How many of each may still happen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub(crate) struct Budget {
    /// Steps of time that end in a heartbeat and a tick of everybody.
    pub(crate) times: u8,
    /// Of them, those to the end of a lease.
    pub(crate) expiries: u8,
    pub(crate) submits: u8,
    pub(crate) crashes: u8,
    pub(crate) wipes: u8,
    pub(crate) gone: u8,
    /// Steps of time without one member's heartbeats.
    pub(crate) cuts: u8,
    pub(crate) refusals: u8,
    /// Messages that come late or twice.
    pub(crate) late: u8,
    /// Calls that are carried out and their answers lost; calls lost on their way are not counted.
    pub(crate) silences: u8,
    /// One member sleeps over a step of time.
    pub(crate) freezes: u8,
    pub(crate) leaves: u8,
}

/// What the world is like, the same for all states of a search.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Rules {
    pub(crate) members: usize,
    pub(crate) first: usize,
    pub(crate) spans: Timeouts,
    /// On whose disks each write is a step, may be refused, and is lost or kept at a crash; else it is done at once.
    pub(crate) slow: u8,
    /// An answer comes as soon as it is given, or is lost; else it is under way like a call.
    pub(crate) swift: bool,
    /// The shorter step of time. Where it is less than a call's time, calls live through one.
    pub(crate) short: u64,
    /// Who may be struck by faults, as a mask.
    pub(crate) struck: u8,
    /// Clocks run at different pace: parts in a thousand, by member.
    pub(crate) pace: [i64; 5],
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Write {
    token: u64,
    state: Vec<KeyValue>,
    whole: bool,
    own: Vec<KeyValue>,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(crate) struct Node {
    pub(crate) core: Option<Core>,
    pub(crate) state: BTreeMap<String, String>,
    own: BTreeMap<String, String>,
    writes: VecDeque<Write>,
    /// Calls that wait, and until when.
    waits: BTreeMap<u64, u64>,
    boot: u64,
    /// How many disks it has lost.
    disk: u64,
    pub(crate) gone: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum What {
    Call(Request),
    Reply(Response),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Message {
    /// Who called.
    from: usize,
    boot: u64,
    token: u64,
    to: usize,
    late: bool,
    what: What,
}

/// What an observer from outside knows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(crate) struct Ghost {
    /// By epoch: the record and the disks that ever held it.
    accepted: BTreeMap<Term, (LeadershipRecord, BTreeSet<Voter>)>,
    /// Changes that were acknowledged or could be read, in their order.
    pub(crate) seen: Vec<u64>,
    pub(crate) acked: BTreeSet<u64>,
    pub(crate) top: Term,
    /// In how many epochs somebody acted, and how many groups were chosen.
    pub(crate) epochs: usize,
    pub(crate) groups: usize,
}

/// Whose heartbeats are lost while time passes, both ways.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Without {
    Nobody,
    Unheard(usize),
    /// It sleeps, and does not tick either.
    Asleep(usize),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Then {
    Answer,
    /// The answer is lost.
    Silence,
    /// The call comes once more, at any time.
    Again,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) enum Step {
    Deliver(usize, Then),
    Confirm(usize),
    Refuse(usize),
    /// `keep`: this message of those whose time is over comes late. `asleep`: who misses it.
    Short {
        keep: Option<usize>,
        without: Without,
    },
    /// To the end of the next lease that a witness has granted.
    Expiry(Without),
    Crash(usize, usize),
    Restart(usize),
    Wipe(usize),
    Gone(usize),
    Submit(usize),
    Leave(usize),
}

#[derive(Debug)]
pub(crate) struct Path {
    at: u64,
    step: Step,
    message: Option<Arc<Message>>,
    pub(crate) before: Option<Arc<Path>>,
}

#[derive(Clone)]
pub(crate) struct World {
    pub(crate) now: u64,
    pub(crate) rules: Arc<Rules>,
    pub(crate) nodes: Vec<Arc<Node>>,
    sums: Vec<u64>,
    net: Vec<(u64, Arc<Message>)>,
    /// Nothing was done since time passed last.
    fresh: bool,
    /// By witness, when the last lease that it granted ends.
    ends: BTreeMap<usize, u64>,
    /// Answers given in this step are lost.
    mute: bool,
    /// Notes are printed.
    pub(crate) loud: bool,
    pub(crate) budget: Budget,
    pub(crate) submitted: u64,
    pub(crate) ghost: Arc<Ghost>,
    pub(crate) path: Option<Arc<Path>>,
}

/// Quicker than the standard one, which is made against people who choose their input.
struct Mix(u64);

impl Hasher for Mix {
    fn write(&mut self, bytes: &[u8]) {
        for chunk in bytes.chunks(8) {
            let mut word = [0; 8];
            word[..chunk.len()].copy_from_slice(chunk);
            self.write_u64(u64::from_le_bytes(word));
        }
    }

    fn write_u64(&mut self, word: u64) {
        let wide = u128::from(self.0 ^ word ^ 0x9e37_79b9_7f4a_7c15) * 0xf39c_c060_5ced_c835;
        self.0 = (wide >> 64) as u64 ^ (wide as u64).rotate_left(29);
    }

    fn write_usize(&mut self, word: usize) {
        self.write_u64(word as u64);
    }

    fn write_u8(&mut self, byte: u8) {
        self.write_u64(u64::from(byte) | 1 << 40);
    }

    fn finish(&self) -> u64 {
        let mut last = self.0;
        for turn in [0xff51_afd7_ed55_8ccd_u64, 0xc4ce_b9fe_1a85_ec53] {
            last = (last ^ last >> 33).wrapping_mul(turn);
        }
        last ^ last >> 33
    }
}

fn sum_of<T: Hash>(value: &T) -> u64 {
    let mut hasher = Mix(0x243f_6a88_85a3_08d3);
    value.hash(&mut hasher);
    hasher.finish()
}

/// Of the model's own, so that the core's is not its own judge.
fn most(group: &[Voter], yes: &BTreeSet<Voter>) -> bool {
    2 * group.iter().filter(|w| yes.contains(w)).count() > group.len()
}

fn decides(record: &LeadershipRecord, yes: &BTreeSet<Voter>) -> bool {
    most(&record.voters, yes) && (record.outgoing_voters.is_empty() || most(&record.outgoing_voters, yes))
}

/// The life that the world gave a member's disk.
fn life(x: usize, disk: u64, first: usize) -> u64 {
    if disk == 0 && x < first {
        return 0;
    }
    100 * (x as u64 + 1) + disk
}

pub(crate) fn spans() -> Timeouts {
    Timeouts {
        lease: 100,
        heartbeat_interval: 30,
        rpc_timeout: 20,
        replace_after: 100_000,
        shutdown_grace: 1_000,
        max_failures: 1,
    }
}

/// More of each than any script needs.
pub(crate) fn everything() -> Budget {
    let n = 99;
    Budget {
        times: n,
        expiries: n,
        submits: n,
        crashes: n,
        wipes: n,
        gone: n,
        cuts: n,
        refusals: n,
        late: n,
        silences: n,
        freezes: n,
        leaves: n,
    }
}

impl World {
    pub(crate) fn new(rules: Rules) -> World {
        let mut world = World {
            now: 1_000,
            rules: Arc::new(rules),
            nodes: (0..rules.members).map(|_| Arc::new(Node::default())).collect(),
            sums: vec![0; rules.members],
            net: Vec::new(),
            fresh: true,
            ends: BTreeMap::new(),
            mute: false,
            loud: false,
            budget: Budget::default(),
            submitted: 0,
            ghost: Arc::default(),
            path: None,
        };
        for x in 0..rules.members {
            world.start(x, x < rules.first).unwrap();
        }
        world
    }

    /// The time on a member's clock.
    pub(crate) fn clock(&self, x: usize) -> u64 {
        (self.now as i64 * (1_000 + self.rules.pace[x]) / 1_000) as u64
    }

    fn node(&mut self, x: usize) -> &mut Node {
        self.sums[x] = 0;
        Arc::make_mut(&mut self.nodes[x])
    }

    pub(crate) fn core(&self, x: usize) -> Option<&Core> {
        self.nodes[x].core.as_ref()
    }

    pub(crate) fn ups(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|x| self.nodes[*x].core.is_some()).collect()
    }

    pub(crate) fn acting(&self) -> Vec<usize> {
        self.ups().into_iter().filter(|x| self.core(*x).unwrap().holds_leader_lease(self.clock(*x))).collect()
    }

    /// Equal for equal states, but for how they were reached.
    pub(crate) fn sum(&mut self) -> u64 {
        for x in 0..self.nodes.len() {
            if self.sums[x] == 0 {
                self.sums[x] = sum_of(&*self.nodes[x]) | 1;
            }
        }
        let net = self.net.iter().fold(0u64, |all, (sum, _)| all.wrapping_add(sum.wrapping_mul(sum | 1)));
        sum_of(&(
            self.now,
            &self.sums,
            net,
            self.fresh,
            &self.ends,
            self.budget,
            self.submitted,
            &*self.ghost,
        ))
    }

    fn start(&mut self, x: usize, first: bool) -> Result<(), String> {
        let (now, rules) = (self.clock(x), self.rules.clone());
        let node = self.node(x);
        let begin = InitialState {
            id: NAMES[x].into(),
            zone: "z".into(),
            timeouts: rules.spans,
            peers: NAMES[..rules.first].iter().map(|n| n.to_string()).collect(),
            bootstrap: first && node.own.is_empty(),
            state: node.state.clone(),
            metadata: node.own.clone(),
            new_incarnation: life(x, node.disk, rules.first),
        };
        node.boot += 1;
        let again = node.boot > 1 && !node.own.is_empty();
        let mut out = Vec::new();
        node.core = Some(Core::start(now, begin, &mut out));
        if again {
            self.ends.insert(x, self.now + rules.spans.lease);
        }
        self.follow(x, out)
    }

    /// Lets a member's core work, and does what follows.
    pub(crate) fn with(
        &mut self,
        x: usize,
        f: impl FnOnce(&mut Core, u64, &mut Vec<Output>),
    ) -> Result<(), String> {
        let now = self.clock(x);
        let mut out = Vec::new();
        if let Some(core) = self.node(x).core.as_mut() {
            f(core, now, &mut out);
        }
        self.follow(x, out)
    }

    fn follow(&mut self, x: usize, out: Vec<Output>) -> Result<(), String> {
        for out in out {
            match out {
                Output::Send { operation_id: token, to, request: call, timeout: wait } => {
                    let until = self.now + wait;
                    let node = self.node(x);
                    node.waits.insert(token, until);
                    let (boot, to) = (node.boot, NAMES.iter().position(|n| *n == to).unwrap());
                    self.send(Message { from: x, boot, token, to, late: false, what: What::Call(call) });
                }
                Output::Respond { request_id: caller, response: say } if caller & LATE == 0 => {
                    let (from, boot, token) =
                        ((caller >> 48) as usize, caller >> 32 & 0xffff, caller & 0xffff_ffff);
                    if self.nodes[from].boot != boot || !self.nodes[from].waits.contains_key(&token) {
                        continue;
                    }
                    if self.rules.swift && !self.mute {
                        self.node(from).waits.remove(&token);
                        self.with(from, |core, now, out| core.handle_response(now, token, Some(say), out))?;
                    } else if !self.rules.swift {
                        self.send(Message { from, boot, token, to: x, late: false, what: What::Reply(say) });
                    }
                }
                Output::Persist { operation_id: token, state, replace: whole, metadata: own } => {
                    self.node(x).writes.push_back(Write { token, state, whole, own });
                    self.quick(x)?;
                }
                Output::Committed(changes) => self.wrote(x, &changes)?,
                Output::Log(text) if self.loud => println!("{:>6} {}: {text}", self.now, NAMES[x]),
                _ => {}
            }
        }
        Ok(())
    }

    fn send(&mut self, message: Message) {
        let message = (sum_of(&message), Arc::new(message));
        let at = self.net.partition_point(|(sum, _)| *sum < message.0);
        self.net.insert(at, message);
    }

    /// Writes that need no step of their own: all, or those that are hints only.
    fn quick(&mut self, x: usize) -> Result<(), String> {
        while let Some(write) = self.nodes[x].writes.front() {
            let hint = |(name, _): &KeyValue| ["record", "members", "probe"].contains(&name.as_str());
            if self.rules.slow >> x & 1 == 1
                && !(write.state.is_empty() && !write.whole && write.own.iter().all(hint))
            {
                break;
            }
            self.confirm(x, true)?;
        }
        Ok(())
    }

    fn confirm(&mut self, x: usize, ok: bool) -> Result<(), String> {
        let Some(write) = self.node(x).writes.pop_front() else { return Ok(()) };
        let token = write.token;
        if ok {
            self.store(x, write)?;
        }
        self.with(x, |core, now, out| core.handle_write_result(now, token, ok, out))
    }

    fn store(&mut self, x: usize, write: Write) -> Result<(), String> {
        let (first, node) = (self.rules.first, self.node(x));
        let me = Voter::new(NAMES[x], life(x, node.disk, first));
        if write.whole {
            node.state.clear();
        }
        node.state.extend(write.state);
        node.state.retain(|_, value| !value.is_empty());
        let held = write.own.iter().find(|(name, _)| name == "witness").map(|(_, held)| held.clone());
        node.own.extend(write.own);
        let Some(held) = held else { return Ok(()) };
        let record = serde_json::from_str::<VoterState>(&held).unwrap().record;
        if record.voters.is_empty() {
            return Ok(());
        }
        let known = self.ghost.accepted.get(&record.term);
        if known.is_some_and(|(_, by)| by.contains(&me)) {
            return Ok(());
        }
        if known.is_some_and(|(one, _)| *one != record) {
            return Err(format!("two records of epoch {:?}", record.term));
        }
        let ghost = Arc::make_mut(&mut self.ghost);
        let (record, by) =
            ghost.accepted.entry(record.term.clone()).or_insert_with(|| (record, BTreeSet::new()));
        by.insert(me);
        if decides(record, by) {
            let groups = self.groups()?;
            Arc::make_mut(&mut self.ghost).groups = groups;
        }
        Ok(())
    }

    /// Each group that was chosen follows from the one before.
    fn groups(&self) -> Result<usize, String> {
        let chosen: Vec<&LeadershipRecord> =
            self.ghost.accepted.values().filter(|(r, by)| decides(r, by)).map(|(r, _)| r).collect();
        for pair in chosen.windows(2) {
            let (old, new) = (pair[0], pair[1]);
            let same = old.voters == new.voters && old.outgoing_voters == new.outgoing_voters;
            let ends =
                !old.outgoing_voters.is_empty() && new.outgoing_voters.is_empty() && old.voters == new.voters;
            let fewer = old.voters.iter().filter(|w| !new.voters.contains(w)).count();
            let more = new.voters.iter().filter(|w| !old.voters.contains(w)).count();
            let begins = old.outgoing_voters.is_empty() && new.outgoing_voters == old.voters;
            if !(same || ends || begins && fewer <= more && more <= 1) {
                return Err(format!("a group that does not follow: {old:?} then {new:?}"));
            }
        }
        let others = |pair: &&[&LeadershipRecord]| {
            pair[0].voters != pair[1].voters || pair[0].outgoing_voters != pair[1].outgoing_voters
        };
        Ok(1 + chosen.windows(2).filter(others).count())
    }

    fn wrote(&mut self, x: usize, changes: &[Change]) -> Result<(), String> {
        if !self.acting().contains(&x) {
            return Err(format!("{} acknowledges without the lease", NAMES[x]));
        }
        for change in changes {
            Arc::make_mut(&mut self.ghost).acked.insert(change.ticket);
        }
        self.check()
    }

    /// What must hold in every state.
    pub(crate) fn check(&mut self) -> Result<(), String> {
        let acting = self.acting();
        if acting.len() > 1 {
            return Err(format!("{} and {} both act", NAMES[acting[0]], NAMES[acting[1]]));
        }
        let Some(x) = acting.first().copied() else { return Ok(()) };
        let core = self.core(x).unwrap();
        let Role::Leader(record) = &core.role else { return Err("acts without a record".into()) };
        if record.term < self.ghost.top {
            return Err(format!("{} acts in an older epoch", NAMES[x]));
        }
        let by = self.ghost.accepted.get(&record.term).filter(|(one, _)| one == record).map(|(_, by)| by);
        if !by.is_some_and(|by| decides(record, by)) {
            return Err(format!("{} acts by a record that no quorum of its group's disks took", NAMES[x]));
        }
        let held = core.held();
        let holds = |state: &BTreeMap<String, String>, n: u64| state.contains_key(&format!("k{n}"));
        let new: Vec<u64> =
            (1..=self.submitted).filter(|n| holds(held, *n) && !self.ghost.seen.contains(n)).collect();
        let seen: Vec<u64> = self.ghost.seen.iter().chain(&new).copied().collect();
        for n in seen.iter().chain(&self.ghost.acked) {
            if !holds(held, *n) {
                return Err(format!("{} acts without change {n}", NAMES[x]));
            }
        }
        let last = seen.last().map(|n| n.to_string());
        if held.get("last") != last.as_ref() {
            return Err(format!("{} has the changes in another order: {held:?}, {seen:?}", NAMES[x]));
        }
        for id in std::iter::once(&record.leader).chain(&record.backups) {
            let node = &self.nodes[NAMES.iter().position(|n| n == id).unwrap()];
            let lost = node.gone
                || !node.own.get("floor").is_some_and(|floor| {
                    serde_json::from_str::<Term>(floor).is_ok_and(|floor| floor >= record.term)
                });
            // A disk that was lost since is replaced in time, and one that goes on by a newer bid holds all the same.
            if !lost && seen.iter().any(|n| !holds(&node.state, *n)) {
                return Err(format!(
                    "a change of {seen:?} is not on the disk of {id}, which the record names"
                ));
            }
            if lost && node.disk == 0 && !node.gone {
                return Err(format!("the disk of {id} is not at the epoch of the record that names it"));
            }
        }
        let top = record.term.clone();
        if top != self.ghost.top || !new.is_empty() {
            let ghost = Arc::make_mut(&mut self.ghost);
            ghost.epochs += (top != ghost.top) as usize;
            (ghost.top, ghost.seen) = (top, seen);
        }
        Ok(())
    }

    /// Whether what was lost is replaced: somebody acts, and all disks that its record names are those it means.
    pub(crate) fn mended(&self) -> bool {
        let Some(core) = self.acting().first().and_then(|x| self.core(*x)) else { return false };
        let Role::Leader(record) = &core.role else { return false };
        let node = |id: &String| &self.nodes[NAMES.iter().position(|n| n == id).unwrap()];
        let sits =
            |w: &Voter| node(&w.id).core.as_ref().is_some_and(|core| core.incarnation() == w.incarnation);
        let holds =
            |id: &String| node(id).core.as_ref().is_some_and(|core| *core.last_durable_term() >= record.term);
        record.outgoing_voters.is_empty()
            && record.voters.iter().all(sits)
            && record.backups.iter().all(holds)
    }

    /// To whom a step belongs, where it does.
    pub(crate) fn owner(&self, step: &Step) -> Option<usize> {
        match step {
            Step::Deliver(at, _) => {
                let message = &self.net[*at].1;
                Some(if matches!(message.what, What::Call(_)) { message.to } else { message.from })
            }
            Step::Confirm(x) | Step::Refuse(x) | Step::Submit(x) => Some(*x),
            _ => None,
        }
    }

    /// Whether the record of who acts has this member.
    pub(crate) fn rests_on(&self, x: usize) -> bool {
        let core = self.acting().first().and_then(|x| self.core(*x));
        core.is_some_and(|core| core.record.is_replica(NAMES[x]) || core.record.is_voter(NAMES[x]))
    }

    /// What a member has, for a story.
    pub(crate) fn view(&self, x: usize) -> String {
        let (node, at) = (&self.nodes[x], NAMES[x]);
        let Some(core) = &node.core else { return format!("{at}: down, gone {}, {:?}", node.gone, node.own) };
        let record = &core.record;
        let ids =
            |group: &[Voter]| group.iter().map(|w| format!("{}{}", w.id, w.incarnation)).collect::<Vec<_>>();
        let (group, before) = (ids(&record.voters), ids(&record.outgoing_voters));
        let (epoch, names) = (record.term.number, &record.backups);
        let (floor, life, leaving) = (core.last_durable_term(), core.incarnation(), core.is_shutting_down());
        format!(
            "{at}: life {life}, floor {}{}, fit {}, leaving {leaving}, knows {epoch} of {} with {names:?}, group {group:?} before {before:?}",
            floor.number, floor.candidate, core.disk_healthy, record.leader
        )
    }

    /// How many calls that say this are under way.
    pub(crate) fn under_way(&self, text: &str) -> usize {
        self.net.iter().filter(|(_, m)| format!("{:?}", m.what).contains(text)).count()
    }

    /// Time passes; calls whose time is over have no answer; all hear each other and tick.
    fn pass(&mut self, span: u64, keep: Option<usize>, without: Without) -> Result<(), String> {
        self.now += span;
        let now = self.now;
        self.ends.retain(|_, end| *end > now);
        let kept = keep.and_then(|at| self.net.get(at)).map(|(_, m)| Message { late: true, ..(**m).clone() });
        let mut over: Vec<(usize, u64)> = Vec::new();
        for x in 0..self.nodes.len() {
            if self.nodes[x].waits.values().any(|until| *until <= now) {
                let node = self.node(x);
                over.extend(node.waits.iter().filter(|(_, until)| **until <= now).map(|(t, _)| (x, *t)));
                node.waits.retain(|_, until| *until > now);
            }
        }
        let nodes = &self.nodes;
        self.net.retain(|(_, m)| {
            m.late || nodes[m.from].boot == m.boot && nodes[m.from].waits.contains_key(&m.token)
        });
        if let Some(kept) = kept {
            self.send(kept);
        }
        for (x, token) in over {
            self.with(x, |core, now, out| core.handle_response(now, token, None, out))?;
        }
        let told: Vec<Option<PeerStatus>> =
            (0..self.nodes.len()).map(|x| self.core(x).map(|core| core.status(self.clock(x)))).collect();
        let awake = |x: &usize| without != Without::Asleep(*x);
        let heard = |x: &usize| awake(x) && without != Without::Unheard(*x);
        for x in self.ups().into_iter().filter(heard) {
            for (_, told) in told.iter().enumerate().filter(|(y, _)| *y != x && heard(y)) {
                let Some(told) = told else { continue };
                self.with(x, |core, now, out| core.handle_peer_status(now, told, Some(now), out))?;
            }
        }
        for x in self.ups().into_iter().filter(awake) {
            self.with(x, |core, now, out| core.tick(now, out))?;
        }
        Ok(())
    }

    fn deliver(&mut self, at: usize, again: bool) -> Result<(), String> {
        let (_, message) = self.net.remove(at);
        if again {
            self.send(Message { late: true, ..(*message).clone() });
        }
        let Message { from, boot, token, to, late, what } = (*message).clone();
        match what {
            What::Call(call) => {
                let grant =
                    matches!(&call, Request::Voter(VoterRequest::Accept(..) | VoterRequest::Renew(..)));
                if grant {
                    self.ends.insert(to, self.now + self.rules.spans.lease);
                }
                let caller = (from as u64) << 48 | boot << 32 | token | if late { LATE } else { 0 };
                self.with(to, |core, now, out| core.handle_request(now, caller, call, out))
            }
            What::Reply(say) => {
                if self.nodes[from].boot != boot || self.node(from).waits.remove(&token).is_none() {
                    return Ok(());
                }
                self.with(from, |core, now, out| core.handle_response(now, token, Some(say), out))
            }
        }
    }

    fn crash(&mut self, x: usize, keep: usize) -> Result<(), String> {
        for _ in 0..keep {
            if let Some(write) = self.node(x).writes.pop_front() {
                self.store(x, write)?;
            }
        }
        let node = self.node(x);
        node.core = None;
        node.writes.clear();
        node.waits.clear();
        self.net.retain(|(_, m)| {
            m.late || if matches!(m.what, What::Call(_)) { m.from != x || m.to != x } else { m.from != x }
        });
        Ok(())
    }

    #[expect(clippy::too_many_lines, reason = "one list of all steps; its order is the order of the search")]
    pub(crate) fn steps(&self) -> Vec<Step> {
        let (budget, mut all) = (&self.budget, Vec::new());
        let struck = |x: &usize| self.rules.struck >> x & 1 == 1;
        for (at, (sum, message)) in self.net.iter().enumerate() {
            if at > 0 && self.net[at - 1].0 == *sum {
                continue;
            }
            let to = if matches!(message.what, What::Call(_)) { message.to } else { message.from };
            if self.nodes[to].core.is_none() {
                continue;
            }
            all.push(Step::Deliver(at, Then::Answer));
            let renew = matches!(&message.what, What::Call(Request::Voter(VoterRequest::Renew(..))));
            if budget.silences > 0 && !message.late && !renew {
                all.push(Step::Deliver(at, Then::Silence));
            }
            if budget.late > 0 && !message.late && matches!(message.what, What::Call(_)) {
                all.push(Step::Deliver(at, Then::Again));
            }
        }
        for x in self.ups() {
            if !self.nodes[x].writes.is_empty() {
                all.push(Step::Confirm(x));
                if budget.refusals > 0 {
                    all.push(Step::Refuse(x));
                }
            }
        }
        if budget.times > 0 {
            let mut without = vec![Without::Nobody];
            for x in self.ups().into_iter().filter(struck) {
                without.extend((budget.cuts > 0).then_some(Without::Unheard(x)));
                without.extend((budget.freezes > 0).then_some(Without::Asleep(x)));
            }
            for without in without {
                all.push(Step::Short { keep: None, without });
                if budget.expiries > 0 && !self.ends.is_empty() {
                    all.push(Step::Expiry(without));
                }
            }
            if budget.late > 0 {
                let ending = |m: &Message| {
                    !m.late
                        && self.nodes[m.from]
                            .waits
                            .get(&m.token)
                            .is_none_or(|t| *t <= self.now + self.rules.short)
                };
                for (at, (_, m)) in self.net.iter().enumerate() {
                    if ending(m) && matches!(m.what, What::Call(_)) {
                        all.push(Step::Short { keep: Some(at), without: Without::Nobody });
                    }
                }
            }
        }
        for x in self.ups().into_iter().filter(struck) {
            if budget.crashes > 0 {
                all.extend((0..=self.nodes[x].writes.len()).map(|keep| Step::Crash(x, keep)));
            }
            if budget.gone > 0 {
                all.push(Step::Gone(x));
            }
            if self.fresh && budget.leaves > 0 && !self.core(x).unwrap().is_shutting_down() {
                all.push(Step::Leave(x));
            }
        }
        let down = |x: &usize| self.nodes[*x].core.is_none() && !self.nodes[*x].gone;
        for x in (0..self.nodes.len()).filter(|x| self.fresh && down(x)) {
            all.push(Step::Restart(x));
            if budget.wipes > 0 {
                all.push(Step::Wipe(x));
            }
        }
        if self.fresh && budget.submits > 0 {
            all.extend(self.acting().into_iter().map(Step::Submit));
        }
        all
    }

    #[expect(clippy::too_many_lines, reason = "one arm for each step")]
    pub(crate) fn step(&mut self, step: &Step, tell: bool) -> Result<(), String> {
        if tell {
            let message = match step {
                Step::Deliver(at, _) | Step::Short { keep: Some(at), .. } => Some(self.net[*at].1.clone()),
                _ => None,
            };
            let (at, step, before) = (self.now, step.clone(), self.path.take());
            self.path = Some(Arc::new(Path { at, step, message, before }));
        }
        // What may only be done right after time has passed: it comes to the same as later in the same instant.
        self.fresh = matches!(step, Step::Submit(_) | Step::Leave(_) | Step::Restart(_) | Step::Wipe(_));
        let budget = &mut self.budget;
        match step {
            Step::Deliver(at, then) => {
                budget.late -= (*then == Then::Again) as u8;
                budget.silences -= (*then == Then::Silence) as u8;
                self.mute = *then == Then::Silence;
                let outcome = self.deliver(*at, *then == Then::Again);
                self.mute = false;
                outcome
            }
            Step::Confirm(x) => self.confirm(*x, true).and_then(|()| self.quick(*x)),
            Step::Refuse(x) => {
                budget.refusals -= 1;
                self.confirm(*x, false).and_then(|()| self.quick(*x))
            }
            Step::Short { keep, without } => {
                budget.times -= 1;
                budget.late -= keep.is_some() as u8;
                self.spend(*without);
                self.pass(self.rules.short, *keep, *without)
            }
            Step::Expiry(without) => {
                budget.times -= 1;
                budget.expiries -= 1;
                self.spend(*without);
                let end = self.ends.values().min().copied().unwrap_or(self.now + 1);
                self.pass(end - self.now, None, *without)
            }
            Step::Crash(x, keep) => {
                budget.crashes -= 1;
                self.crash(*x, *keep)
            }
            Step::Gone(x) => {
                budget.gone -= 1;
                self.node(*x).gone = true;
                self.crash(*x, 0)
            }
            Step::Restart(x) => self.start(*x, *x < self.rules.first && self.nodes[*x].disk == 0),
            Step::Wipe(x) => {
                budget.wipes -= 1;
                let node = self.node(*x);
                node.disk += 1;
                node.own.clear();
                node.state.clear();
                self.start(*x, false)
            }
            Step::Submit(x) => {
                budget.submits -= 1;
                self.submit(*x)
            }
            Step::Leave(x) => {
                budget.leaves -= 1;
                self.with(*x, |core, now, _| core.begin_shutdown(now))
            }
        }?;
        self.check()
    }

    fn spend(&mut self, without: Without) {
        self.fresh = true;
        match without {
            Without::Nobody => {}
            Without::Unheard(_) => self.budget.cuts -= 1,
            Without::Asleep(_) => self.budget.freezes -= 1,
        }
    }

    pub(crate) fn submit(&mut self, x: usize) -> Result<(), String> {
        self.submitted += 1;
        let n = self.submitted;
        let puts = vec![(format!("k{n}"), n.to_string()), ("last".into(), n.to_string())];
        self.with(x, |core, now, out| core.propose(now, Change { ticket: n, writes: puts }, out))
    }

    /// Nothing fails: all that is under way comes, in order.
    pub(crate) fn calm(&mut self) -> Result<(), String> {
        loop {
            if let Some(x) = self.ups().into_iter().find(|x| !self.nodes[*x].writes.is_empty()) {
                self.confirm(x, true)?;
            } else if let Some(at) = self.net.iter().position(|(_, m)| {
                let to = if matches!(m.what, What::Call(_)) { m.to } else { m.from };
                self.nodes[to].core.is_some()
            }) {
                self.deliver(at, false)?;
            } else {
                return self.check();
            }
        }
    }

    pub(crate) fn rest(&mut self, ticks: usize) -> Result<(), String> {
        for _ in 0..ticks {
            self.pass(5, None, Without::Nobody)?;
            self.calm()?;
        }
        Ok(())
    }

    /// The good end: who is not gone is there, and nothing fails any more. Says after how many ticks both changes
    /// could be written.
    pub(crate) fn good_end(&self, most: usize) -> Result<usize, String> {
        let mut world = self.clone();
        world.budget = Budget::default();
        for x in 0..world.nodes.len() {
            if world.nodes[x].core.is_none() && !world.nodes[x].gone {
                let first = x < world.rules.first && world.nodes[x].disk == 0;
                world.start(x, first)?;
            }
        }
        let mut to_do = 2;
        for tick in 0..most {
            world.rest(1)?;
            if let Some(x) = world.acting().first().copied().filter(|_| to_do > 0) {
                to_do -= 1;
                world.submit(x)?;
                world.calm()?;
                if !world.ghost.acked.contains(&world.submitted) {
                    to_do += 1;
                }
            }
            if to_do == 0 {
                return Ok(tick);
            }
        }
        Err(format!("nobody acts after {most} ticks without a fault"))
    }
}

impl Path {
    pub(crate) fn story(&self) -> String {
        let at = |x: &usize| NAMES[*x];
        let message = self.message.as_ref().map_or(String::new(), |m| match &m.what {
            What::Call(call) => format!("{} <- {} {}", at(&m.to), at(&m.from), brief(&format!("{call:?}"))),
            What::Reply(say) => {
                format!("{} <- {} answers {}", at(&m.from), at(&m.to), brief(&format!("{say:?}")))
            }
        });
        let missing = |without: &Without| match without {
            Without::Nobody => String::new(),
            Without::Unheard(x) => format!(", {} is not heard", NAMES[*x]),
            Without::Asleep(x) => format!(", {} sleeps", NAMES[*x]),
        };
        let text = match &self.step {
            Step::Deliver(_, Then::Again) => format!("{message}, and will come again"),
            Step::Deliver(_, Then::Silence) => format!("{message}; the answer is lost"),
            Step::Deliver(..) if self.message.as_ref().is_some_and(|m| m.late) => format!("{message}, late"),
            Step::Deliver(..) => message,
            Step::Confirm(x) => format!("{}'s disk takes the write", at(x)),
            Step::Refuse(x) => format!("{}'s disk refuses the write", at(x)),
            Step::Short { keep: Some(_), .. } => format!("a short time passes; kept for later: {message}"),
            Step::Short { without, .. } => format!("a short time passes{}", missing(without)),
            Step::Expiry(without) => format!("time passes to the end of a lease{}", missing(without)),
            Step::Crash(x, keep) => format!("{} crashes; {keep} unconfirmed writes are on its disk", at(x)),
            Step::Restart(x) => format!("{} starts again", at(x)),
            Step::Wipe(x) => format!("{} starts with an empty disk", at(x)),
            Step::Gone(x) => format!("{} is gone for good", at(x)),
            Step::Submit(x) => format!("a change is submitted at {}", at(x)),
            Step::Leave(x) => format!("{} is told to end", at(x)),
        };
        format!("{:>6} {text}", self.at)
    }
}

fn brief(text: &str) -> String {
    text.chars().take(400).collect()
}
