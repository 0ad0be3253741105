#![allow(dead_code)]
use council::store::Found;
use tidings::*;
pub type Caller = u64;
pub type Token = u64;
pub type Ms = u64;
pub struct Begin {
    pub boot: terms::Boot,
    pub found: Found,
    pub life: u64,
}
pub enum Event {
    Tick,
    Admin { caller: Caller, call: Admin },
    Peer { caller: Caller, call: Peer },
    Told { token: Token, say: Option<PeerSay> },
    Disk { token: Token, ok: bool },
    Term,
    Reread(Box<terms::Boot>),
}
pub enum Admin {
    Pulse { ident: String, body: String },
    SignOff { ident: String },
    Replace { body: String },
    Read,
    Plans { post: bool, rest: String, body: String },
}
pub enum Peer {
    Follow(Box<Follow>),
    Seat(SeatCall),
    Copy(Copy),
}
pub enum PeerSay {
    News(Box<News>),
    Seat(SeatSay),
    Copy(CopySay),
}
pub enum Effect {
    Answer { caller: Caller, status: u16, body: String },
    Reply { caller: Caller, say: PeerSay },
    Call { token: Token, to: accord::Id, call: Peer, wait: Ms },
    Write { token: Token, write: Batch },
    Note(String),
    Leave,
}
pub struct Batch {
    pub state: Vec<(String, String)>,
    pub whole: bool,
    pub own: Vec<(String, String)>,
}

use accord::*;
use council::feed::Feed;
use std::collections::{BTreeMap, BTreeSet};
use tenure::{Host, Keys};

enum Job {
    Follow(Id),
    Prepare(Id, Ballot),
    Accept(Id, Record, Ms),
    Renew(Id, Record, Ms),
    Snapshot(Ballot, Id),
    Change(u64),
}
enum Wrote {
    Seat(Caller, SeatSay),
    Own(Ballot),
    Copied(Caller, CopySay, Vec<(String, String)>, bool, Ballot, u64),
    Change(u64),
    Nothing,
}
enum Stand {
    No,
    Asking(Ballot, Vec<Record>, usize),
    Writing(Ballot, Record),
    Bringing(Ballot),
    Accepting(Record),
}
struct Parked {
    caller: Caller,
    until: Ms,
    ticket: u64,
    heard: u64,
    ident: Option<(String, Option<String>)>,
}

pub struct Node {
    me: Id,
    area: String,
    seats: Vec<Id>,
    seat: Option<Seat>,
    lost: bool,
    held: BTreeMap<String, String>,
    floor: Ballot,
    seq: u64,
    acting: Option<Record>,
    stand: Stand,
    retry_at: Ms,
    promises: Promises,
    asked: BTreeMap<Id, Ms>,
    record: Record,
    top: u64,
    peers: BTreeMap<Id, (Ms, Standing)>,
    members: BTreeSet<Id>,
    feed: Feed,
    polling: BTreeMap<Id, (bool, Ms, u64, u64)>,
    jobs: BTreeMap<Token, Job>,
    writes: BTreeMap<Token, Wrote>,
    token: Token,
    promise: Ms,
    keep: Ms,
    polls: Vec<(Caller, u64, Ms, Option<Id>)>,
    parked: Vec<Parked>,
    queue: Vec<(u64, Vec<(String, String)>, Option<Settings>)>,
    tickets: u64,
    written: u64,
    failed: u64,
    under_way: Option<(u64, Vec<(u64, Vec<(String, String)>, Option<Settings>)>, bool, bool)>,
    followers: BTreeMap<String, (u64, Ms)>,
    keys: Keys,
    shown: u64,
    beats: BTreeMap<String, (Ms, u64, String)>,
    splits: BTreeSet<String>,
    seen_backup: Ms,
    broken: bool,
    out: Vec<Effect>,
    laid: Ms,
    busy: u64,
}

fn ip(id: &str) -> String {
    format!("{}:7540", id.split(':').next().unwrap())
}

impl Node {
    pub fn start(now: Ms, b: Begin) -> (Node, Vec<Effect>) {
        let me = b.boot.admin.clone().unwrap();
        let promise = b.boot.limits.in_contact.as_millis() as Ms * 2 / 5;
        let keep = b.boot.limits.keep_max.as_millis() as Ms / 2;
        let get = |n: &str| b.found.own.get(n).cloned();
        let mut n = Node {
            me: me.clone(),
            area: b.boot.area.clone(),
            seats: Vec::new(),
            seat: None,
            lost: false,
            held: b.found.state.clone(),
            floor: Ballot::default(),
            seq: 0,
            acting: None,
            stand: Stand::No,
            retry_at: 0,
            promises: Promises::default(),
            asked: BTreeMap::new(),
            record: Record::default(),
            top: 0,
            peers: BTreeMap::new(),
            members: b.boot.known_peers.iter().cloned().collect(),
            feed: Feed::new(b.life),
            polling: BTreeMap::new(),
            jobs: BTreeMap::new(),
            writes: BTreeMap::new(),
            token: 0,
            promise,
            keep,
            polls: vec![],
            parked: vec![],
            queue: vec![],
            tickets: 0,
            written: 0,
            failed: 0,
            under_way: None,
            followers: BTreeMap::new(),
            keys: Keys::new(keep),
            shown: 0,
            beats: BTreeMap::new(),
            splits: BTreeSet::new(),
            seen_backup: 0,
            broken: false,
            out: vec![],
            laid: 0,
            busy: 0,
        };
        if let Some(seats) = get("seats") {
            n.seats = serde_json::from_str(&seats).unwrap();
            n.floor = serde_json::from_str(&get("floor").unwrap()).unwrap();
            if let Some(held) = get("seat") {
                let held: Held = serde_json::from_str(&held).unwrap();
                n.record = held.record.clone();
                n.seat = Some(Seat::again(held, now + promise));
            }
        } else if b.boot.initial_boot {
            n.seats = b.boot.known_peers.clone();
            n.seats.sort();
            let first =
                Record { epoch: Ballot::new(1, ""), primary: n.seats[0].clone(), backup: n.seats[1].clone() };
            n.record = first.clone();
            if first.names(&me) {
                n.floor = first.epoch.clone();
            }
            let mut own = vec![
                ("seats".to_string(), serde_json::to_string(&n.seats).unwrap()),
                ("floor".to_string(), serde_json::to_string(&n.floor).unwrap()),
            ];
            if n.seats.contains(&me) {
                let s = Seat::first(first);
                own.push(("seat".into(), serde_json::to_string(&s.held).unwrap()));
                n.seat = Some(s);
            }
            n.write(Wrote::Nothing, vec![], false, own);
        } else {
            n.lost = true;
        }
        n.members.extend(n.seats.clone());
        n.members.insert(me);
        let out = std::mem::take(&mut n.out);
        (n, out)
    }
    fn write(&mut self, w: Wrote, state: Vec<(String, String)>, whole: bool, own: Vec<(String, String)>) {
        self.token += 1;
        self.writes.insert(self.token, w);
        self.out.push(Effect::Write { token: self.token, write: Batch { state, whole, own } });
    }
    fn call(&mut self, j: Job, to: &Id, call: Peer, wait: Ms) {
        self.token += 1;
        self.jobs.insert(self.token, j);
        self.out.push(Effect::Call { token: self.token, to: to.clone(), call, wait });
    }
    fn acts(&self, now: Ms) -> bool {
        self.acting.is_some() && self.promises.until(&self.seats) > now
    }
    fn alone(&self, now: Ms) -> bool {
        self.seats
            .iter()
            .filter(|s| **s == self.me || self.peers.get(*s).is_some_and(|p| now < p.0 + self.promise))
            .count()
            < majority(self.seats.len().max(1))
    }
    fn primary(&self, now: Ms) -> Option<Id> {
        self.peers
            .iter()
            .filter(|(_, p)| now < p.0 + self.promise && p.1.acting)
            .max_by_key(|(_, p)| p.1.detail.as_ref().map(|d| d.record.epoch.clone()))
            .map(|(i, _)| i.clone())
    }
    fn standing(&self, now: Ms) -> Standing {
        let detail = Detail {
            record: self.record.clone(),
            held: self.seat.as_ref().filter(|s| s.whole()).map(|s| s.held.clone()),
            seats: self.seats.clone(),
            members: self.members.iter().cloned().collect(),
            edges: vec![],
            area: self.area.clone(),
        };
        Standing {
            id: self.me.clone(),
            acting: self.acts(now),
            fit: true,
            sum: 0,
            seen: 0,
            detail: Some(detail),
        }
    }
    fn hear(&mut self, now: Ms, s: &Standing) {
        self.members.insert(s.id.clone());
        self.peers.insert(s.id.clone(), (now, s.clone()));
        let d = s.detail.clone().unwrap();
        self.members.extend(d.members);
        if d.record.epoch > self.record.epoch {
            self.record = d.record;
        }
        if self.seats.is_empty() && !d.seats.is_empty() {
            self.seats = d.seats;
            if !self.seats.contains(&self.me) {
                let own = vec![
                    ("seats".to_string(), serde_json::to_string(&self.seats).unwrap()),
                    ("floor".to_string(), serde_json::to_string(&self.floor).unwrap()),
                ];
                self.write(Wrote::Nothing, vec![], false, own);
                self.lost = false;
            }
        }
        if self.lost && self.seats.contains(&self.me) {
            if self.seat.is_none() {
                let others: Vec<Id> = self.seats.iter().filter(|x| **x != self.me).cloned().collect();
                self.seat = Some(Seat::lost(others, now + self.promise));
            }
            if let Some(h) = &d.held {
                let (p, seat) = (self.promise, self.seat.as_mut().unwrap());
                if seat.hear(now, &s.id, h, p) {
                    self.lost = false;
                    let own = vec![
                        ("seats".to_string(), serde_json::to_string(&self.seats).unwrap()),
                        ("floor".to_string(), serde_json::to_string(&self.floor).unwrap()),
                        ("seat".into(), serde_json::to_string(&self.seat.as_ref().unwrap().held).unwrap()),
                    ];
                    self.write(Wrote::Nothing, vec![], false, own);
                }
            }
        }
    }
    fn down(&mut self) {
        if self.acting.take().is_some() {
            self.failed = self.tickets;
            self.queue.clear();
            self.under_way = None;
            self.out.push(Effect::Note("steps down".into()));
        }
    }
    fn news(&self, now: Ms, feed: u64, seq: u64, centre: bool) -> News {
        let mut news = self.feed.since(feed, seq);
        news.alone = self.alone(now);
        if centre {
            news.standing = Some(self.standing(now));
        } else {
            news.centres = self.members.iter().map(|i| ip(i)).collect();
        }
        news
    }
    fn seat_call(&mut self, now: Ms, caller: Caller, call: SeatCall) {
        let Some(seat) = self.seat.as_mut() else {
            return self.out.push(Effect::Reply {
                caller,
                say: PeerSay::Seat(SeatSay { record: None, no: Some(No::default()) }),
            });
        };
        let (r, write) = match &call {
            SeatCall::Prepare(b) => (seat.prepare(now, b).map(Some), true),
            SeatCall::Accept(r, span) => (seat.accept(now, r, *span).map(|_| None), true),
            SeatCall::Renew(r, span) => match seat.renew(now, r, *span) {
                Ok(new) => (Ok(None), new),
                Err(e) => (Err(e), false),
            },
        };
        let ok = r.is_ok();
        if let (true, SeatCall::Accept(r, _) | SeatCall::Renew(r, _)) = (ok, &call) {
            if r.epoch > self.record.epoch {
                self.record = r.clone();
            }
        }
        let say = match r {
            Ok(record) => SeatSay { record, no: None },
            Err(no) => SeatSay { record: None, no: Some(no) },
        };
        if ok && write {
            let held = serde_json::to_string(&self.seat.as_ref().unwrap().held).unwrap();
            self.write(Wrote::Seat(caller, say), vec![], false, vec![("seat".into(), held)]);
        } else {
            self.reply_seat(now, caller, say);
        }
    }
    /// Caller 0: this node itself.
    fn reply_seat(&mut self, now: Ms, caller: Caller, say: SeatSay) {
        if caller != 0 {
            self.out.push(Effect::Reply { caller, say: PeerSay::Seat(say) })
        } else {
            let me = self.me.clone();
            self.seat_said(now, me, Some(say), None)
        }
    }
    fn seat_said(&mut self, now: Ms, id: Id, say: Option<SeatSay>, job: Option<Job>) {
        let Some(say) = say else { return };
        if let Some(no) = &say.no {
            self.top = self.top.max(no.promised.n);
        }
        match (&mut self.stand, job) {
            (_, Some(Job::Renew(_, record, asked))) => {
                if say.no.is_none() && self.acting.as_ref() == Some(&record) {
                    self.promises.add(&id, asked, self.promise);
                }
            }
            (Stand::Asking(b, got, _), job) => {
                if matches!(&job, Some(Job::Prepare(_, x)) if x != b) {
                    return;
                }
                got.extend(say.record);
                if got.len() >= majority(self.seats.len()) {
                    let (b, base) = (b.clone(), got.iter().max_by_key(|r| r.epoch.clone()).unwrap().clone());
                    if base.epoch > self.record.epoch {
                        self.record = base.clone();
                    }
                    if !base.lets(&self.me, &self.floor) || self.floor > b {
                        self.stand = Stand::No;
                        return;
                    }
                    self.down();
                    self.floor = b.clone();
                    self.seq = 0;
                    let own = vec![("floor".to_string(), serde_json::to_string(&b).unwrap())];
                    self.stand = Stand::Writing(b.clone(), base);
                    let state = self.held.clone().into_iter().collect();
                    self.write(Wrote::Own(b), state, true, own);
                }
            }
            (Stand::Accepting(r), job) => {
                let asked = match job {
                    Some(Job::Accept(_, x, asked)) if x == *r => asked,
                    None => self.busy,
                    _ => return,
                };
                let r = r.clone();
                if say.no.is_none() {
                    self.promises.add(&id, asked, self.promise);
                }
                if self.promises.until(&self.seats) > now && self.floor == r.epoch {
                    self.stand = Stand::No;
                    self.out.push(Effect::Note(format!("acts in {} with {}", r.epoch.n, r.backup)));
                    self.keys = Keys::recover(
                        self.keep,
                        now,
                        self.held.iter().map(|(a, b)| (a.as_str(), b.as_str())),
                    );
                    self.record = r.clone();
                    self.acting = Some(r);
                    self.seen_backup = now;
                    self.shown = 1;
                    let base = self.record.epoch.n << 32;
                    for (s, slice, ident) in self.keys.all_shown() {
                        let n = self.keys.slices(&s);
                        self.feed.put_row(&s, n, slice, &ident, base + 1);
                    }
                    if let Some(c) = self.held.get("config") {
                        let s: Settings = serde_json::from_str(c).unwrap();
                        self.settings(&s);
                    }
                }
            }
            _ => {}
        }
    }
    fn settings(&mut self, s: &Settings) {
        self.feed.put_settings(s);
        if let Some(s) = self.feed.settings() {
            self.splits = terms::config::parse(s.body.as_bytes())
                .unwrap()
                .services
                .iter()
                .filter(|s| s.split_up)
                .map(|s| s.name.clone())
                .collect();
        }
    }
    fn partners(&self, now: Ms) -> Vec<Id> {
        let mut v: Vec<Id> =
            self.peers.iter().filter(|(_, p)| now < p.0 + self.promise).map(|p| p.0.clone()).collect();
        v.sort_by_key(|i| (!self.record.names(i), !self.seats.contains(i), i.clone()));
        v
    }
    fn copy(&mut self, caller: Caller, c: Copy) {
        let gap = !c.whole && c.seq != self.seq + 1 && c.seq != self.seq;
        if c.epoch < self.floor || (!c.whole && (c.epoch != self.floor || self.broken)) || gap {
            return self.out.push(Effect::Reply {
                caller,
                say: PeerSay::Copy(CopySay { ok: false, why: "no".into(), floor: self.floor.clone() }),
            });
        }
        let again = !c.whole && c.seq == self.seq;
        if c.whole {
            self.down();
            self.stand = Stand::No;
            self.held.clear();
            self.floor = c.epoch.clone();
        }
        self.seq = c.seq;
        let own = vec![("floor".to_string(), serde_json::to_string(&self.floor).unwrap())];
        if !again {
            self.held.extend(c.puts.clone());
        }
        self.broken = false;
        let say = CopySay { ok: true, why: String::new(), floor: self.floor.clone() };
        self.write(Wrote::Copied(caller, say, vec![], c.whole, c.epoch.clone(), c.seq), c.puts, c.whole, own);
    }
    fn next(&mut self, now: Ms) {
        if self.under_way.is_some() || self.queue.is_empty() || !self.acts(now) {
            return;
        }
        let mut changes = std::mem::take(&mut self.queue);
        let held = self.feed.settings().map_or(0, |s| s.revision);
        let best = changes
            .iter()
            .filter_map(|c| c.2.clone())
            .max_by_key(|s| s.revision)
            .filter(|s| s.revision > held);
        for c in &mut changes {
            if let Some(s) = c.2.take() {
                if s.revision > held {
                    c.1.push((format!("n{}", s.revision), s.body));
                }
            }
        }
        if let Some(s) = best {
            let l = changes.last_mut().unwrap();
            l.1.push(("config".into(), serde_json::to_string(&s).unwrap()));
            l.2 = Some(s);
        }
        let puts: Vec<_> = changes.iter().flat_map(|c| c.1.clone()).collect();
        self.seq += 1;
        self.busy += 1;
        let (id, seq, record) = (self.token + 1_000_000, self.seq, self.acting.clone().unwrap());
        self.under_way = Some((id, changes, false, false));
        self.write(Wrote::Change(id), puts.clone(), false, vec![]);
        self.call(
            Job::Change(id),
            &record.backup,
            Peer::Copy(Copy { epoch: record.epoch.clone(), seq, whole: false, puts }),
            self.promise / 2,
        );
    }
    fn done(&mut self, now: Ms, id: u64, mine: bool, ok: bool) {
        let Some(u) = self.under_way.as_mut().filter(|u| u.0 == id) else { return };
        if !ok {
            return self.down();
        }
        if mine {
            u.2 = true
        } else {
            u.3 = true
        }
        if !(u.2 && u.3) {
            return;
        }
        let (_, changes, _, _) = self.under_way.take().unwrap();
        if !self.acts(now) {
            return self.down();
        }
        for (t, puts, s) in changes {
            self.held.extend(puts.clone());
            self.keys.apply(now, &puts);
            if let Some(s) = s {
                self.settings(&s);
            }
            self.written = t;
        }
    }
    fn settle(&mut self, now: Ms) {
        self.next(now);
        if let Some(r) = &self.acting {
            let base = r.epoch.n << 32;
            for (s, slice, ident) in self.keys.shown() {
                self.shown += 1;
                let n = self.keys.slices(&s);
                self.feed.put_row(&s, n, slice, &ident, base + self.shown);
            }
        }
        let seq = self.feed.seq;
        let heard = |n: &Node, h: u64| n.followers.values().filter(|f| now < f.1 + 1400).all(|f| f.0 >= h);
        for p in std::mem::take(&mut self.parked) {
            let lost = p.ticket > self.written && p.ticket <= self.failed;
            if lost || p.ticket > self.written && now >= p.until {
                self.out.push(Effect::Answer { caller: p.caller, status: 503, body: "{}".into() });
                continue;
            }
            if p.ticket > self.written || (p.heard > 0 && now < p.until && !heard(self, p.heard)) {
                self.parked.push(p);
                continue;
            }
            match &p.ident {
                None => {
                    let status = if self.acts(now) { 200 } else { 503 };
                    self.out.push(Effect::Answer { caller: p.caller, status, body: "{}".into() });
                }
                Some((ident, split)) => {
                    let mut a = serde_json::json!({"reportTo": self.me});
                    if let Some(s) = split {
                        if !self.acts(now) {
                            self.out.push(Effect::Answer {
                                caller: p.caller,
                                status: 503,
                                body: "{}".into(),
                            });
                            continue;
                        }
                        let rows = self.keys.grant(now, s, ident, &[], 1000);
                        a["held"] = serde_json::json!(rows
                            .iter()
                            .map(|g| (g.from, g.to, g.fence, &g.handover))
                            .collect::<Vec<_>>());
                        a["keep_time"] = serde_json::json!(format!("{}ms", self.keys.keep()));
                    }
                    self.out.push(Effect::Answer { caller: p.caller, status: 200, body: a.to_string() });
                }
            }
        }
        for (caller, s, until, centre) in std::mem::take(&mut self.polls) {
            if s < seq || now >= until {
                let news = self.news(now, self.feed.id, s, centre.is_some());
                self.out.push(Effect::Reply { caller, say: PeerSay::News(Box::new(news)) });
            } else {
                self.polls.push((caller, s, until, centre));
            }
        }
    }
    fn tick(&mut self, now: Ms) {
        if self.acting.is_some() {
            let r = self.acting.clone().unwrap();
            if !self.acts(now) {
                self.down();
            } else {
                if self.peers.get(&r.backup).is_some_and(|p| now < p.0 + self.promise) {
                    self.seen_backup = now;
                }
                for s in self.seats.clone() {
                    if now < self.asked.get(&s).copied().unwrap_or(0) + self.promise / 3 {
                        continue;
                    }
                    self.asked.insert(s.clone(), now);
                    if s == self.me {
                        let p = self.promise;
                        if self.seat.as_mut().is_some_and(|x| x.renew(now, &r, p).is_ok()) {
                            self.promises.add(&s, now, p);
                        }
                    } else {
                        self.call(
                            Job::Renew(s.clone(), r.clone(), now),
                            &s,
                            Peer::Seat(SeatCall::Renew(r.clone(), self.promise)),
                            self.promise / 2,
                        );
                    }
                }
                let split: Vec<String> = self.splits.iter().cloned().collect();
                for s in split {
                    let hosts: Vec<Host> = self
                        .feed
                        .hosts()
                        .filter(|h| h.backend == s && h.stage < Stage::Gone)
                        .map(|h| {
                            let mut x = Host::new(&h.ident, 0);
                            let at = self.beats.get(&h.ident).map_or(0, |b| b.0);
                            x.silent = now > at + 3250;
                            x.leaving = h.stage > Stage::Ready || x.silent;
                            x.beat_at = at + 1300;
                            x
                        })
                        .collect();
                    if self.keys.slices(&s) == 0 {
                        if hosts.is_empty() {
                            self.laid = now;
                        } else if now > self.laid + 2000 {
                            let n = hosts.len();
                            let puts =
                                self.keys.lay(now, &s, tenure::slices_for(n), tenure::pieces_for(n), &hosts);
                            self.tickets += 1;
                            self.queue.push((self.tickets, puts, None));
                        }
                    } else {
                        self.keys.plan(now, &s, &hosts, 8, true);
                        let puts = self.keys.expire(now, &s);
                        if !puts.is_empty() {
                            self.tickets += 1;
                            self.queue.push((self.tickets, puts, None));
                        }
                    }
                }
                if now > self.seen_backup + 100 && matches!(self.stand, Stand::No) && now > self.retry_at {
                    self.begin(now);
                }
            }
        } else if matches!(self.stand, Stand::No)
            && now > self.retry_at
            && !self.alone(now)
            && self.primary(now).is_none()
            && self.record.lets(&self.me, &self.floor)
            && (self.record.primary == self.me
                || !self.peers.get(&self.record.primary).is_some_and(|p| now < p.0 + 800))
        {
            self.begin(now);
        }
        if !matches!(self.stand, Stand::No) && now > self.retry_at {
            self.stand = Stand::No;
            self.retry_at = now + 50 + self.feed.id % 400;
        }
        for p in self.members.clone() {
            if p == self.me {
                continue;
            }
            let e = self.polling.entry(p.clone()).or_insert((false, 0, 0, 0));
            if e.0 || now < e.1 {
                continue;
            }
            e.0 = true;
            let f = Follow {
                edge: self.me.clone(),
                feed: e.2,
                seq: e.3,
                wait_ms: self.promise / 3,
                standing: Some(self.standing(now)),
                ..Follow::default()
            };
            self.call(Job::Follow(p.clone()), &p, Peer::Follow(Box::new(f)), self.promise / 2);
        }
    }
    fn begin(&mut self, now: Ms) {
        let n = self
            .record
            .epoch
            .n
            .max(self.top)
            .max(self.floor.n)
            .max(self.seat.as_ref().map_or(0, |s| s.held.promised.n))
            + 1;
        let b = Ballot::new(n, &self.me);
        self.stand = Stand::Asking(b.clone(), vec![], 0);
        self.retry_at = now + 1500;
        for s in self.seats.clone() {
            if s == self.me {
                self.seat_call(now, 0, SeatCall::Prepare(b.clone()));
            } else {
                self.call(
                    Job::Prepare(s.clone(), b.clone()),
                    &s,
                    Peer::Seat(SeatCall::Prepare(b.clone())),
                    self.promise / 2,
                );
            }
        }
    }
    pub fn step(&mut self, now: Ms, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Tick => self.tick(now),
            Event::Admin { caller, call } => {
                let answer =
                    |n: &mut Node, status, body: String| n.out.push(Effect::Answer { caller, status, body });
                let away = |n: &Node, path: &str| {
                    n.primary(now).map_or((503, "{}".to_string()), |p| (307, format!("http://{p}{path}")))
                };
                match call {
                    Admin::Replace { body } => match terms::config::parse(body.as_bytes()) {
                        Err(e) => answer(self, 400, e.to_string()),
                        Ok(_) if !self.acts(now) => {
                            let (s, b) = away(self, "/settings/replace");
                            answer(self, s, b)
                        }
                        Ok(c) if self.held.get(&format!("n{}", c.revision)).is_some_and(|b| *b != body) => {
                            answer(self, 409, "{}".into())
                        }
                        Ok(c)
                            if self.queue.iter().chain(self.under_way.iter().flat_map(|u| &u.1)).any(
                                |q| q.2.as_ref().is_some_and(|s| s.revision == c.revision && s.body != body),
                            ) =>
                        {
                            answer(self, 503, "{}".into())
                        }
                        Ok(c) if self.feed.settings().is_none_or(|s| s.revision < c.revision) => {
                            self.tickets += 1;
                            self.queue.push((
                                self.tickets,
                                vec![],
                                Some(Settings { revision: c.revision, body }),
                            ));
                            self.parked.push(Parked {
                                caller,
                                until: now + 2000,
                                ticket: self.tickets,
                                heard: 0,
                                ident: None,
                            });
                        }
                        Ok(_) => answer(self, 200, "{}".into()),
                    },
                    Admin::Read => {
                        if !self.acts(now) {
                            let (s, b) = away(self, "/settings/read");
                            return {
                                answer(self, s, b);
                                out.append(&mut self.out)
                            };
                        }
                        let (s, b) =
                            self.feed.settings().map_or((404, "{}".to_string()), |s| (200, s.body.clone()));
                        answer(self, s, b)
                    }
                    Admin::Pulse { ident, body } => {
                        let v: serde_json::Value = serde_json::from_str(&body).unwrap();
                        if self.alone(now) {
                            answer(self, 503, "{}".into());
                            out.append(&mut self.out);
                            return;
                        }
                        let (calls, service) =
                            (v["callCount"].as_u64().unwrap(), v["backend"].as_str().unwrap().to_string());
                        let beat = self.beats.entry(ident.clone()).or_default();
                        if calls < beat.1 {
                            answer(self, 200, "{}".into());
                            out.append(&mut self.out);
                            return;
                        }
                        *beat = (now, calls, service.clone());
                        let stage = if v["stage"] == "emptying" { Stage::Emptying } else { Stage::Ready };
                        let new = stage > Stage::Ready
                            && self.feed.host(&ident).is_none_or(|h| h.stage == Stage::Ready);
                        self.feed.put_host(&HostNews {
                            ident: ident.clone(),
                            backend: service.clone(),
                            address: v["address"].as_str().unwrap().into(),
                            stage,
                            calls,
                            via: self.me.clone(),
                            capacity: 4,
                            ..HostNews::default()
                        });
                        let split = self.splits.contains(&service);
                        if split && !self.acts(now) {
                            let (s, b) = away(self, &format!("/servers/{ident}/pulse"));
                            answer(self, s, b);
                        } else {
                            let mut ticket = 0;
                            if split {
                                let rel: Vec<(u32, u32, String)> =
                                    serde_json::from_value(v["released"].clone()).unwrap_or_default();
                                let puts = self.keys.released(&service, &ident, &rel);
                                if !puts.is_empty() {
                                    self.tickets += 1;
                                    ticket = self.tickets;
                                    self.queue.push((ticket, puts, None));
                                }
                            }
                            let heard = if new { self.feed.seq } else { 0 };
                            self.parked.push(Parked {
                                caller,
                                until: now + 600,
                                ticket,
                                heard,
                                ident: Some((ident, split.then_some(service))),
                            });
                        }
                    }
                    Admin::SignOff { ident } => {
                        if let Some(h) = self.feed.host(&ident).cloned() {
                            self.feed.put_host(&HostNews { stage: Stage::Gone, calls: h.calls + 1, ..h });
                        }
                        answer(self, 200, "{}".into())
                    }
                    Admin::Plans { .. } => {}
                }
            }
            Event::Peer { caller, call } => match call {
                Peer::Follow(f) => {
                    let centre = f.standing.as_ref().map(|s| s.id.clone());
                    if let Some(s) = &f.standing {
                        self.hear(now, s);
                    }
                    let known = f.feed == self.feed.id;
                    self.followers.insert(f.edge.clone(), (if known { f.seq } else { 0 }, now));
                    for a in &f.asked {
                        self.keys.count(&a.backend, &a.counts);
                    }
                    if !known || f.seq != self.feed.seq || self.alone(now) && centre.is_none() {
                        let n = self.news(now, f.feed, f.seq, centre.is_some());
                        self.out.push(Effect::Reply { caller, say: PeerSay::News(Box::new(n)) });
                    } else {
                        self.polls.push((caller, f.seq, now + f.wait_ms, centre));
                    }
                }
                Peer::Seat(c) => self.seat_call(now, caller, c),
                Peer::Copy(c) => self.copy(caller, c),
            },
            Event::Told { token, say } => match (self.jobs.remove(&token).unwrap(), say) {
                (Job::Follow(p), Some(PeerSay::News(n))) => {
                    self.polling.insert(p, (false, 0, n.feed, n.seq));
                    if let Some(s) = &n.standing {
                        self.hear(now, s);
                    }
                    self.feed.merge(&n);
                    if let Some(s) = n.settings {
                        self.settings(&s);
                    }
                    for h in &n.hosts {
                        if !h.silent {
                            let b = self.beats.entry(h.ident.clone()).or_default();
                            b.0 = now;
                        }
                    }
                }
                (Job::Follow(p), _) => {
                    let e = self.polling.get_mut(&p).unwrap();
                    (e.0, e.1) = (false, now + 100);
                }
                (Job::Change(id), say) => {
                    let ok = matches!(say, Some(PeerSay::Copy(CopySay { ok: true, .. })));
                    self.done(now, id, false, ok)
                }
                (Job::Snapshot(b, id), say) => {
                    if !matches!(&self.stand, Stand::Bringing(x) if *x == b) || self.floor != b {
                    } else if matches!(say, Some(PeerSay::Copy(CopySay { ok: true, .. }))) {
                        let r = Record { epoch: b, primary: self.me.clone(), backup: id };
                        self.promises.clear();
                        self.stand = Stand::Accepting(r.clone());
                        self.busy = now;
                        for s in self.seats.clone() {
                            if s == self.me {
                                self.seat_call(now, 0, SeatCall::Accept(r.clone(), self.promise));
                            } else {
                                self.call(
                                    Job::Accept(s.clone(), r.clone(), now),
                                    &s,
                                    Peer::Seat(SeatCall::Accept(r.clone(), self.promise)),
                                    self.promise / 2,
                                );
                            }
                        }
                    } else {
                        self.stand = Stand::No;
                        self.retry_at = now + 100;
                    }
                }
                (job, say) => {
                    let id = match &job {
                        Job::Prepare(i, _) | Job::Accept(i, _, _) | Job::Renew(i, _, _) => i.clone(),
                        _ => unreachable!(),
                    };
                    let say = match say {
                        Some(PeerSay::Seat(s)) => Some(s),
                        _ => None,
                    };
                    self.seat_said(now, id, say, Some(job))
                }
            },
            Event::Disk { token, ok } => match self.writes.remove(&token).unwrap() {
                Wrote::Seat(caller, say) => {
                    if ok {
                        self.reply_seat(now, caller, say)
                    } else if caller != 0 {
                        self.out.push(Effect::Reply {
                            caller,
                            say: PeerSay::Seat(SeatSay { record: None, no: Some(No::default()) }),
                        })
                    }
                }
                Wrote::Own(b) => {
                    if !ok {
                        self.stand = Stand::No
                    } else if matches!(&self.stand, Stand::Writing(x, _) if *x == b) {
                        let backup = self.partners(now).first().cloned();
                        if let Some(p) = backup {
                            self.stand = Stand::Bringing(b.clone());
                            let puts = self.held.clone().into_iter().collect();
                            self.call(
                                Job::Snapshot(b.clone(), p.clone()),
                                &p,
                                Peer::Copy(Copy { epoch: b, seq: 0, whole: true, puts }),
                                self.promise / 2,
                            );
                        } else {
                            self.stand = Stand::No;
                        }
                    }
                }
                Wrote::Copied(caller, say, ..) => {
                    if !ok {
                        self.broken = true;
                    }
                    self.out.push(Effect::Reply { caller, say: PeerSay::Copy(CopySay { ok, ..say }) })
                }
                Wrote::Change(id) => self.done(now, id, true, ok),
                Wrote::Nothing => {}
            },
            Event::Term => self.out.push(Effect::Leave),
            Event::Reread(_) => {}
        }
        self.settle(now);
        out.append(&mut self.out);
    }
}
