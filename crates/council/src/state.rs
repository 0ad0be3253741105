//! All that a centre knows, behind one lock, and what it makes of it. No I/O here: answers that are due are handed to
//! the voice, writes to the scribe.
use crate::feed::Feed;
use crate::muster::Muster;
use crate::rollouts::{self, Hosts, Rollouts};
use crate::store::Put;
use accord::{majority, Ballot, Id, Ms, Promises, Record, Seat};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use tenure::{Host, Keys};
use terms::{Boot, Config};
use tidings::{Asked, Detail, Follow, HostNews, News, Settings, Stage, Standing};

/// Time spans that follow from the settings.
#[derive(Debug, Clone, Copy)]
pub struct Spans {
    /// For how long seats promise not to listen to another: a takeover, with the beats after it, is to be over
    /// within the time after which machines count as in touch again.
    pub promise: Ms,
    /// How often a primary asks for it, and centres hear of each other.
    pub round: Ms,
    /// How long anything between directors may take.
    pub call: Ms,
    /// For how long a host holds its keys. Half of what is allowed: a restart of the whole core is shorter, and a host
    /// that is lost takes its keys along for no longer.
    pub keep: Ms,
    pub beat: Ms,
    /// For how long an acknowledgement may wait for followers to hear: a caller waits a second.
    pub receipt: Ms,
}

impl Spans {
    pub fn new(boot: &Boot) -> Spans {
        let promise = (boot.limits.in_contact.as_millis() as Ms * 2 / 5).clamp(300, 3000);
        let keep = boot.limits.keep_max.as_millis() as Ms / 2;
        let beat = boot.heartbeat.as_millis() as Ms;
        Spans { promise, round: promise / 3, call: promise / 2, keep, beat, receipt: 600 }
    }
}

pub enum Role {
    Idle,
    Acting(Record),
}

/// A change that waits to be written, with the ticket by which callers wait for it.
pub struct Change {
    pub puts: Vec<Put>,
    pub settings: Option<Settings>,
    pub ticket: u64,
}

/// A caller of `admin` whose answer is not due yet.
pub struct Parked {
    pub request: tiny_http::Request,
    pub until: Ms,
    /// Waits for this to be written; 0 for nothing.
    pub ticket: u64,
    /// Waits until followers have heard up to this.
    pub heard: u64,
    pub kind: Kind,
}

pub enum Kind {
    Order,
    Beat { ident: String, service: Option<String> },
}

pub struct Poll {
    pub request: tiny_http::Request,
    pub seq: u64,
    pub until: Ms,
    /// The centre that asks, if it is one.
    pub centre: Option<Id>,
}

#[derive(Default)]
pub struct Follower {
    pub heard: u64,
    pub seen: Ms,
    pub edge: bool,
}

#[derive(Default)]
pub struct Peer {
    pub seen: Ms,
    pub standing: Standing,
}

#[derive(Debug, Clone, Default)]
pub struct Beat {
    pub at: Ms,
    pub calls: u64,
    pub listed: u64,
    pub born: Ms,
    pub service: String,
    pub capacity: f64,
}

/// Directors listen for each other on the first spare port, the same everywhere.
pub fn peer_address(id: &str, port: u16) -> String {
    let ip = id.rsplit_once(':').map_or(id, |(ip, _)| ip);
    format!("{ip}:{port}")
}

pub struct State {
    pub me: Id,
    /// Where directors listen for each other.
    pub port: u16,
    pub area: String,
    pub spans: Spans,
    pub seats: Vec<Id>,
    pub seat: Option<Seat>,
    pub members: BTreeSet<Id>,
    pub peers: BTreeMap<Id, Peer>,
    /// What is acknowledged, or may be: the same as on the disk while it backs up or acts.
    pub held: BTreeMap<String, String>,
    pub floor: Ballot,
    pub seq: u64,
    pub role: Role,
    pub promises: Promises,
    pub record: Record,
    pub fit: bool,
    /// The disk was lost, and the seat has yet to hear the others.
    pub lost: bool,
    /// Memory and disk may differ: only a snapshot is taken.
    pub broken: bool,
    /// The highest ballot that a seat has named when it refused.
    pub top: u64,
    pub bad_backup: Option<Id>,
    pub feed: Feed,
    pub config: Option<Config>,
    pub followers: BTreeMap<String, Follower>,
    pub polls: Vec<Poll>,
    pub parked: Vec<Parked>,
    pub queue: VecDeque<Change>,
    pub tickets: u64,
    pub written: u64,
    pub failed: u64,
    pub beats: BTreeMap<String, Beat>,
    pub keys: Keys,
    /// Before this a primary may not know all hosts that are there.
    pub settled_at: Ms,
    /// Counts what was told to edges about keys in this epoch.
    pub shown: u64,
    /// Services that wait for their first layout.
    pub laid: BTreeMap<String, Muster>,
    pub asked: BTreeMap<String, BTreeMap<u32, u32>>,
    pub edges: BTreeMap<String, Ms>,
    pub rollouts: Rollouts,
}

/// What the voice is to say, outside of the lock.
pub enum Say {
    News(tiny_http::Request, Box<News>),
    Text(tiny_http::Request, u16, String),
}

impl State {
    pub fn acting(&self, now: Ms) -> bool {
        matches!(self.role, Role::Acting(_)) && self.promises.until(&self.seats) > now
    }

    /// Where the primary is, if any is heard to act.
    pub fn primary(&self, now: Ms) -> Option<&Id> {
        let heard = |p: &&Peer| now < p.seen + self.spans.promise && p.standing.acting;
        let epoch = |p: &&Peer| p.standing.detail.as_ref().map(|d| d.record.epoch.clone());
        let best = self.peers.values().filter(heard).max_by_key(epoch);
        best.map(|p| &p.standing.id).filter(|id| **id != self.me)
    }

    /// Out of touch with most seats: others know better.
    pub fn alone(&self, now: Ms) -> bool {
        let near = |id: &&Id| {
            **id == self.me || self.peers.get(*id).is_some_and(|p| now < p.seen + self.spans.promise)
        };
        self.seats.iter().filter(near).count() < majority(self.seats.len())
    }

    /// For `peer`; with the detail unless it has said that it has it.
    pub fn standing(&self, now: Ms, peer: &str) -> Standing {
        let live = |f: &(&String, &Follower)| f.1.edge && now < f.1.seen + 10_000;
        let detail = Detail {
            record: self.record.clone(),
            held: self.seat.as_ref().filter(|s| s.whole()).map(|s| s.held.clone()),
            seats: self.seats.clone(),
            members: self.members.iter().cloned().collect(),
            edges: self.followers.iter().filter(live).map(|(e, _)| e.clone()).collect(),
            area: self.area.clone(),
        };
        let (sum, other) = (detail.sum(), self.peers.get(peer).map(|p| &p.standing));
        let known = other.is_some_and(|o| o.seen == sum);
        Standing {
            id: self.me.clone(),
            acting: self.acting(now),
            fit: self.fit,
            sum,
            seen: other.filter(|o| o.detail.is_some()).map_or(0, |o| o.sum),
            detail: (!known).then_some(detail),
        }
    }

    pub fn hear(&mut self, now: Ms, standing: &Standing) {
        self.members.insert(standing.id.clone());
        let peer = self.peers.entry(standing.id.clone()).or_default();
        let mut new = standing.clone();
        if new.detail.is_none() {
            new.detail = peer.standing.detail.take().filter(|_| peer.standing.sum == new.sum);
        }
        (peer.seen, peer.standing) = (now, new);
        let Some(detail) = peer.standing.detail.clone() else { return };
        self.members.extend(detail.members);
        if detail.record.epoch > self.record.epoch {
            self.record = detail.record;
        }
        if self.seats.is_empty() {
            self.seats = detail.seats;
        }
        detail.edges.into_iter().for_each(|e| {
            self.edges.insert(e, now);
        });
    }

    /// A configuration that is acknowledged: parsed once for what this centre does by it.
    pub fn took_settings(&mut self) {
        let revision = self.feed.settings().map(|s| s.revision);
        if revision != self.config.as_ref().map(|c| c.revision) {
            let body = self.feed.settings().map(|s| s.body.clone()).unwrap_or_default();
            self.config = terms::config::parse(body.as_bytes()).ok();
        }
    }

    /// None: no configuration that would say is known.
    pub fn split(&self, service: &str) -> Option<bool> {
        self.config.as_ref().map(|c| c.service(service).is_some_and(|s| s.split_up))
    }

    pub fn merge(&mut self, news: &News) {
        self.feed.merge(news);
        self.took_settings();
    }

    /// The answer to a follower.
    pub fn news(&self, now: Ms, feed: u64, seq: u64, centre: Option<&str>) -> News {
        let mut news = self.feed.since(feed, seq);
        if self.feed.planned() {
            let epoch = match &self.role {
                Role::Acting(record) if self.acting(now) => Some(record.epoch.n),
                _ => None,
            };
            news.plans_seen = self.rollouts.seen(now, epoch);
        }
        news.alone = self.alone(now);
        news.up_ms = now;
        news.edges = self.edges.values().filter(|at| now < **at + 30_000).count() as u32;
        if let Some(peer) = centre {
            news.standing = Some(self.standing(now, peer));
        } else if news.whole || seq == 0 || news.up_ms < 10_000 {
            news.centres = self.members.iter().map(|id| peer_address(id, self.port)).collect();
        }
        news
    }

    pub fn follow(&mut self, now: Ms, follow: &Follow, request: tiny_http::Request, say: &mut Vec<Say>) {
        let centre = follow.standing.as_ref().map(|s| s.id.clone());
        if let Some(standing) = &follow.standing {
            self.hear(now, standing);
        } else {
            self.edges.insert(follow.edge.clone(), now);
        }
        self.count(&follow.asked);
        if !follow.evidence.is_empty() {
            let acts = matches!(self.role, Role::Acting(_));
            self.rollouts.take(now, acts, &follow.evidence);
        }
        let known = follow.feed == self.feed.id;
        let heard = if known { follow.seq } else { 0 };
        let follower = Follower { heard, seen: now, edge: centre.is_none() };
        self.followers.insert(follow.edge.clone(), follower);
        if !known || follow.seq != self.feed.seq || self.alone(now) && centre.is_none() {
            say.push(Say::News(
                request,
                Box::new(self.news(now, follow.feed, follow.seq, centre.as_deref())),
            ));
        } else {
            let until = now + follow.wait_ms;
            self.polls.push(Poll { request, seq: follow.seq, until, centre });
        }
    }

    pub fn count(&mut self, asked: &[Asked]) {
        let acts = matches!(self.role, Role::Acting(_));
        for a in asked {
            if acts {
                self.keys.count(&a.backend, &a.counts);
            } else {
                let sums = self.asked.entry(a.backend.clone()).or_default();
                a.counts.iter().for_each(|(slice, many)| *sums.entry(*slice).or_default() += many);
            }
        }
    }

    /// Answers polls that have waited long enough, or for which there is news.
    pub fn flush(&mut self, now: Ms, say: &mut Vec<Say>) {
        let (seq, id) = (self.feed.seq, self.feed.id);
        for poll in std::mem::take(&mut self.polls) {
            if poll.seq < seq || now >= poll.until {
                let news = self.news(now, id, poll.seq, poll.centre.as_deref());
                say.push(Say::News(poll.request, Box::new(news)));
            } else {
                self.polls.push(poll);
            }
        }
    }

    /// Have all who follow heard up to here? Who has been silent for longer than a poll is not in touch.
    pub fn all_heard(&self, now: Ms, seq: u64) -> bool {
        let live = |f: &&Follower| now < f.seen + 1000 + self.spans.round;
        self.followers.values().filter(live).all(|f| f.heard >= seq)
    }

    pub fn queue(&mut self, puts: Vec<Put>, settings: Option<Settings>) -> u64 {
        self.tickets += 1;
        self.queue.push_back(Change { puts, settings, ticket: self.tickets });
        self.tickets
    }

    /// Whose beat is waiting here, or due in a moment.
    fn back(&self, now: Ms) -> Vec<String> {
        let beat = |p: &Parked| match &p.kind {
            Kind::Beat { ident, service: Some(_) } => Some(ident.clone()),
            _ => None,
        };
        let due = self
            .beats
            .iter()
            .filter(|(_, b)| b.at + self.spans.beat <= now + 150 && now < b.at + 2 * self.spans.beat);
        self.parked.iter().filter_map(beat).chain(due.map(|(i, _)| i.clone())).collect()
    }

    /// Answers callers that have waited for what has come, or too long.
    pub fn settle(&mut self, now: Ms, say: &mut Vec<Say>) {
        if matches!(self.role, Role::Acting(_)) {
            self.show(now);
        }
        for parked in std::mem::take(&mut self.parked) {
            let lost = parked.ticket > 0 && parked.ticket <= self.failed && parked.ticket > self.written;
            let waits = parked.ticket > self.written && !lost;
            if lost || (waits && now >= parked.until) {
                say.push(Say::Text(parked.request, 503, "{\"why\":\"not on two disks\"}".into()));
                continue;
            }
            let deaf = parked.heard > 0 && !self.all_heard(now, parked.heard) && now < parked.until;
            let awaited = match &parked.kind {
                Kind::Beat { ident, service: Some(s) } if now < parked.until => {
                    let due = |b: &Beat| b.at + self.spans.beat <= parked.until;
                    self.keys.awaited(s, ident, |holder| self.beats.get(holder).is_some_and(due))
                }
                _ => false,
            };
            if waits || deaf || awaited {
                self.parked.push(parked);
                continue;
            }
            match &parked.kind {
                // A process that was frozen since the write must not answer.
                Kind::Order if !self.acting(now) => say.push(Say::Text(parked.request, 503, "{}".into())),
                Kind::Order => say.push(Say::Text(parked.request, 200, "{}".into())),
                Kind::Beat { ident, service } => {
                    let (status, text) = self.beat_answer(now, ident, service.as_deref());
                    say.push(Say::Text(parked.request, status, text));
                }
            }
        }
        if matches!(self.role, Role::Acting(_)) {
            self.show(now);
        }
        self.flush(now, say);
    }

    fn beat_answer(&mut self, now: Ms, ident: &str, service: Option<&str>) -> (u16, String) {
        let mut answer = serde_json::json!({ "reportTo": self.me });
        if let Some(service) = service {
            if !self.acting(now) {
                return (503, "{}".into());
            }
            let back = self.back(now);
            // A host that leaves has its keys taken within the time that it stays.
            let leaves = self.feed.host(ident).is_some_and(|h| h.stage > Stage::Ready);
            let patience = if leaves { self.spans.beat / 2 } else { self.spans.beat * 3 / 2 };
            let rows = self.keys.grant(now, service, ident, &back, patience);
            let rows: Vec<_> = rows.iter().map(|g| (g.from, g.to, g.fence, &g.handover)).collect();
            answer["held"] = serde_json::json!(rows);
            answer["keep_time"] = serde_json::json!(format!("{}ms", self.keys.keep()));
        }
        (200, answer.to_string())
    }

    /// Tells edges what changed of who holds which keys.
    fn show(&mut self, _now: Ms) {
        let Role::Acting(record) = &self.role else { return };
        let base = record.epoch.n << 32;
        let mut seen = std::collections::BTreeSet::new();
        for (service, slice, ident) in self.keys.shown() {
            // Neighbours with one number are told as one; a row that changes twice needs two.
            if seen.is_empty() || !seen.insert((service.clone(), slice)) {
                seen = std::collections::BTreeSet::from([(service.clone(), slice)]);
                self.shown += 1;
            }
            let slices = self.keys.slices(&service);
            self.feed.put_row(&service, slices, slice, &ident, base + self.shown);
        }
    }

    /// It acts from now on: what stands is known, and edges are told all of it under the new epoch.
    pub fn took_over(&mut self, now: Ms, record: Record) {
        let state = self.held.iter().map(|(n, v)| (n.as_str(), v.as_str()));
        self.keys = Keys::recover(self.spans.keep, now, state);
        self.shown = 1;
        let base = record.epoch.n << 32;
        for (service, slice, ident) in self.keys.all_shown() {
            let slices = self.keys.slices(&service);
            self.feed.put_row(&service, slices, slice, &ident, base + self.shown);
        }
        if let Some(settings) = self.held.get("config").and_then(|text| serde_json::from_str(text).ok()) {
            self.feed.put_settings(&settings);
            self.took_settings();
        }
        for stand in self.rollouts.took_over(now, self.held.iter()) {
            self.feed.put_plan(&stand);
        }
        // By then every host that is there has beaten here.
        self.settled_at = now + self.spans.beat * 5 / 2;
        self.laid.clear();
        self.record = record.clone();
        self.role = Role::Acting(record);
    }

    pub fn step_down(&mut self) {
        if matches!(self.role, Role::Acting(_)) {
            self.role = Role::Idle;
            self.rollouts.step_down();
            self.failed = self.tickets;
            self.queue.clear();
        }
    }

    /// On both disks: it is in force.
    pub fn wrote(&mut self, now: Ms, changes: &[Change]) {
        for change in changes {
            for (name, value) in &change.puts {
                self.held.insert(name.clone(), value.clone());
            }
            self.keys.apply(now, &change.puts);
            for stand in change.puts.iter().filter_map(rollouts::read) {
                self.feed.put_plan(&stand);
            }
            if let Some(settings) = &change.settings {
                self.feed.put_settings(settings);
                self.took_settings();
            }
            self.written = self.written.max(change.ticket);
        }
    }

    /// What plans come to; a line about each change.
    pub fn steer(&mut self, now: Ms) -> Vec<String> {
        if !self.acting(now) || !self.feed.planned() {
            return Vec::new();
        }
        let (feed, beats, beat, me) = (&self.feed, &self.beats, self.spans.beat, &self.me);
        let all = || feed.hosts().cloned().collect();
        let dead = |ident: &str, told: Ms| match feed.host(ident) {
            None => Some(true),
            Some(host) if host.silent || host.stage == Stage::Gone => Some(true),
            // A host that beats elsewhere is known to live once it would have been found silent.
            Some(host) => {
                let beaten = host.via == *me && beats.get(ident).is_some_and(|b| b.at > told);
                (beaten || now > told + 3 * beat).then_some(false)
            }
        };
        let changes = self.rollouts.tick(now, self.config.as_ref(), &Hosts { all: &all, dead: &dead });
        let (puts, lines): (Vec<Put>, Vec<String>) = changes.into_iter().unzip();
        if !puts.is_empty() {
            self.queue(puts, None);
        }
        lines
    }

    /// Hosts of a divided service, as placement sees them.
    pub fn hosts_of(&self, now: Ms, service: &str) -> Vec<Host> {
        let of = self.feed.hosts().filter(|h| h.backend == service && h.stage < Stage::Gone);
        let host = |h: &HostNews| {
            let beat = self.beats.get(&h.ident)?;
            let silent = h.silent || now > beat.at + self.spans.beat * 5 / 2;
            Some(Host {
                ident: h.ident.clone(),
                listed: beat.listed,
                capacity: beat.capacity.max(1.0),
                young: now < beat.born + 2 * self.spans.keep,
                leaving: h.stage > Stage::Ready || silent,
                silent,
                beat_at: beat.at + self.spans.beat,
            })
        };
        of.filter_map(host).collect()
    }

    /// The loop that works out the difference between what is wanted of keys and what is.
    pub fn place(&mut self, now: Ms) {
        if !self.acting(now) {
            return;
        }
        let split =
            self.config.iter().flat_map(|c| &c.services).filter(|s| s.split_up).map(|s| s.name.clone());
        for service in split.collect::<Vec<_>>() {
            let hosts = self.hosts_of(now, &service);
            if self.keys.slices(&service) == 0 {
                let (beat, most) = (self.spans.beat, self.spans.keep);
                let muster = self.laid.entry(service.clone()).or_default();
                if muster.complete(now, hosts.len(), beat, most) {
                    let (slices, pieces) = (tenure::slices_for(hosts.len()), tenure::pieces_for(hosts.len()));
                    let puts = self.keys.lay(now, &service, slices, pieces, &hosts);
                    self.queue(puts, None);
                }
                continue;
            }
            // Half of what a host has at first may be under way at a time.
            let most = tenure::pieces_for(hosts.len()) as usize / hosts.len().max(1) / 2 + 1;
            let settled = now >= self.settled_at;
            self.keys.plan(now, &service, &hosts, most, settled);
            let puts = self.keys.expire(now, &service);
            if !puts.is_empty() {
                self.queue(puts, None);
            }
        }
    }

    /// Hosts whose beats this centre hears, and does not hear any more.
    pub fn listen(&mut self, now: Ms) {
        let quiet = self.spans.beat * 5 / 2;
        let mut lost = Vec::new();
        for host in self.feed.hosts().filter(|h| !h.silent && h.stage < Stage::Gone) {
            let Some(beat) = self.beats.get(&host.ident) else { continue };
            let mine = host.via == self.me;
            let orphan =
                !mine && self.peers.get(&host.via).is_none_or(|p| now > p.seen + 2 * self.spans.promise);
            if (mine && now > beat.at + quiet) || (orphan && now > beat.at + 2 * quiet) {
                let calls = beat.calls.max(host.calls);
                lost.push(HostNews { silent: true, calls, ..host.clone() });
            }
        }
        for host in lost {
            self.feed.put_host(&host);
        }
        // Hosts that others hear count as heard while those are there.
        let heard: Vec<(String, Ms)> = self
            .feed
            .hosts()
            .filter(|h| h.via != self.me && !h.silent)
            .filter(|h| self.peers.get(&h.via).is_some_and(|p| now < p.seen + self.spans.promise))
            .map(|h| (h.ident.clone(), now))
            .collect();
        for (ident, at) in heard {
            if let Some(host) = self.feed.host(&ident) {
                let (capacity, service) = (host.capacity as f64, host.backend.clone());
                let listed = self.beats.len() as u64;
                let beat = self.beats.entry(ident).or_insert(Beat { listed, born: at, ..Beat::default() });
                (beat.at, beat.capacity, beat.service) = (at, capacity, service);
            }
        }
        let old = |b: &Beat| now > b.at + 60_000;
        for ident in self.beats.iter().filter(|(_, b)| old(b)).map(|(i, _)| i.clone()).collect::<Vec<_>>() {
            self.beats.remove(&ident);
            self.feed.forget(&ident);
        }
        self.followers.retain(|_, f| now < f.seen + 60_000);
    }
}
