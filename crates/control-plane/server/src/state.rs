//! All that a centre knows, and what it makes of it. No I/O: answers that are due are handed back, changes go to the
//! core.
use crate::feed::ChangeFeed;
use crate::orders::Orders;
use crate::placement_gate::PlacementGate;
use crate::rollouts::{self, Hosts, Rollouts};
use crate::store::KeyValue;
use coppersail_config::{Config, ProcessSettings};
use coppersail_consensus::{Change, Core, Id, Ms, Output, PeerStatus, RequestId};
use coppersail_peer_protocol::{
    ConfigDocument, EndpointState, EndpointUpdate, MemberDetail, MemberStatus, RequestCounts, Update,
    WatchRequest,
};
use coppersail_shard_leases::{Candidate, LeaseTable, OwnerChange};
use std::collections::{BTreeMap, BTreeSet};

/// Time spans that follow from the settings.
#[derive(Debug, Clone, Copy)]
pub struct Timeouts {
    pub core: coppersail_consensus::Timeouts,
    /// For how long a host holds its keys. Half of what is allowed: a restart of the whole core is shorter, and a host
    /// that is lost takes its keys along for no longer.
    pub keep: Ms,
    pub beat: Ms,
    /// For how long an acknowledgement may wait for followers to hear: a caller waits a second.
    pub receipt: Ms,
}

impl Timeouts {
    pub fn new(boot: &ProcessSettings) -> Timeouts {
        let ms = |time: std::time::Duration| time.as_millis() as Ms;
        // A takeover, with the beats after it, is to be over within the time after which machines count as in touch.
        let lease = (ms(boot.limits.in_contact) * 2 / 5).clamp(300, 3000);
        let core = coppersail_consensus::Timeouts {
            lease,
            heartbeat_interval: lease / 3,
            rpc_timeout: lease / 2,
            // Once it has been replaced and that time is over, the next may be lost: half of it is left for the repair.
            replace_after: ms(boot.limits.sync_time) / 2,
            shutdown_grace: ms(boot.limits.leeway) / 2,
            max_failures: boot.survive as usize,
        };
        Timeouts { core, keep: ms(boot.limits.keep_max) / 2, beat: ms(boot.heartbeat), receipt: 600 }
    }
}

/// A caller of `admin` whose answer is not due yet.
pub struct PendingReply {
    pub caller: RequestId,
    pub until: Ms,
    /// Waits for this to be written; 0 for nothing.
    pub ticket: u64,
    /// Waits until followers have heard up to this.
    pub heard: u64,
    pub kind: Kind,
}

pub enum Kind {
    Order,
    /// Another content of the number that is being written: refused once that is in force.
    Rival,
    Beat {
        ident: String,
        service: Option<String>,
    },
}

pub struct Poll {
    pub caller: RequestId,
    pub seq: u64,
    pub until: Ms,
    /// The centre that asks, if it is one.
    pub centre: Option<Id>,
    /// The feed and number that an edge has, told back to it where there is nothing to be told.
    pub has: (u64, u64),
}

#[derive(Default)]
pub struct Follower {
    pub heard: u64,
    pub seen: Ms,
    pub edge: bool,
}

#[derive(Debug, Clone, Default)]
pub struct HeartbeatRecord {
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
    /// Who acts, and what is on which disk.
    pub core: Core,
    /// Where directors listen for each other.
    pub port: u16,
    pub area: String,
    pub spans: Timeouts,
    /// What other centres last said of themselves, with what seldom changes.
    standings: BTreeMap<Id, MemberStatus>,
    pub feed: ChangeFeed,
    /// Centres that were there, each since which number of the feed followers are told of it.
    centres: BTreeMap<Id, u64>,
    pub config: Option<Config>,
    pub orders: Orders,
    pub followers: BTreeMap<String, Follower>,
    pub polls: Vec<Poll>,
    pub parked: Vec<PendingReply>,
    /// Changes that the core has not got yet.
    pub todo: Vec<Change>,
    tickets: u64,
    written: u64,
    /// Tickets that will not be written.
    lost: BTreeSet<u64>,
    /// The highest number of a configuration that is being written.
    queued: Option<u64>,
    /// Something was written, or will not be.
    stirred: bool,
    pub beats: BTreeMap<String, HeartbeatRecord>,
    pub keys: LeaseTable,
    /// Before this a primary may not know all hosts that are there.
    pub settled_at: Ms,
    /// Since when it is in touch.
    touch_since: Option<Ms>,
    /// Counts what was told to edges about keys in this epoch.
    pub shown: u64,
    /// Services that wait for their first layout.
    pub laid: BTreeMap<String, PlacementGate>,
    pub asked: BTreeMap<String, BTreeMap<u32, u32>>,
    pub edges: BTreeMap<String, Ms>,
    pub rollouts: Rollouts,
}

/// An answer that is due.
pub enum Say {
    News(RequestId, Box<Update>),
    Text(RequestId, u16, String),
}

impl State {
    /// `life`: of the feed.
    pub fn new(boot: &ProcessSettings, spans: Timeouts, core: Core, life: u64) -> State {
        State {
            core,
            port: boot.spare_ports.0,
            area: boot.area.clone(),
            spans,
            standings: BTreeMap::new(),
            feed: ChangeFeed::new(life),
            centres: BTreeMap::new(),
            config: None,
            orders: Orders::default(),
            followers: BTreeMap::new(),
            polls: Vec::new(),
            parked: Vec::new(),
            todo: Vec::new(),
            tickets: 0,
            written: 0,
            lost: BTreeSet::new(),
            queued: None,
            stirred: false,
            beats: BTreeMap::new(),
            keys: LeaseTable::new(spans.keep),
            settled_at: 0,
            touch_since: None,
            shown: 0,
            laid: BTreeMap::new(),
            asked: BTreeMap::new(),
            edges: BTreeMap::new(),
            rollouts: Rollouts::default(),
        }
    }

    /// Leases that run were granted by the spans of the start, and so were keys: those stay for this life.
    pub fn respan(&mut self, spans: Timeouts) {
        let old = self.spans;
        let core = coppersail_consensus::Timeouts {
            lease: old.core.lease,
            heartbeat_interval: old.core.heartbeat_interval,
            rpc_timeout: old.core.rpc_timeout,
            ..spans.core
        };
        self.spans = Timeouts { core, keep: old.keep, ..spans };
        self.core.spans = core;
    }

    pub fn acting(&self, now: Ms) -> bool {
        self.core.holds_leader_lease(now)
    }

    fn acts_by(&self) -> Option<u64> {
        self.core.leader_term()
    }

    /// Where the primary is, if any is heard to act.
    pub fn primary(&self, now: Ms) -> Option<&Id> {
        self.core.known_leader(now)
    }

    /// Out of touch with most witnesses: others know better, and nothing that this centre says may be relied on.
    pub fn alone(&self, now: Ms) -> bool {
        !self.core.has_quorum_contact(now)
    }

    /// For `peer`; with the detail unless it has said that it has it.
    pub fn standing(&self, now: Ms, peer: &str) -> MemberStatus {
        let live = |f: &(&String, &Follower)| f.1.edge && now < f.1.seen + 10_000;
        let told = self.core.told(now);
        let detail = MemberDetail {
            incarnation: told.incarnation,
            last_durable_term: told.last_durable_term,
            record: told.record,
            members: told.members,
            edges: self.followers.iter().filter(live).map(|(e, _)| e.clone()).collect(),
            zone: told.zone,
        };
        let (sum, other) = (detail.sum(), self.standings.get(peer));
        let known = other.is_some_and(|o| o.acknowledged_sum == sum);
        MemberStatus {
            id: told.id,
            holds_lease: told.holds_lease,
            disk_healthy: told.disk_healthy,
            draining: told.draining,
            detail_sum: sum,
            acknowledged_sum: other.filter(|o| o.detail.is_some()).map_or(0, |o| o.detail_sum),
            detail: (!known).then_some(detail),
        }
    }

    /// A heartbeat of another centre. `asked`: when the call was sent that it answers.
    pub fn hear(&mut self, now: Ms, standing: &MemberStatus, asked: Option<Ms>, outs: &mut Vec<Output>) {
        let kept = self.standings.entry(standing.id.clone()).or_default();
        let mut new = standing.clone();
        if new.detail.is_none() {
            new.detail = kept.detail.take().filter(|_| kept.detail_sum == new.detail_sum);
        }
        *kept = new;
        // What it is was lost on the way: its next call brings it, as it is told that it is not known.
        let Some(detail) = kept.detail.clone() else { return };
        let told = PeerStatus {
            id: standing.id.clone(),
            holds_lease: standing.holds_lease,
            disk_healthy: standing.disk_healthy,
            draining: standing.draining,
            incarnation: detail.incarnation,
            last_durable_term: detail.last_durable_term,
            zone: detail.zone,
            record: detail.record,
            members: detail.members,
        };
        self.core.handle_peer_status(now, &told, asked, outs);
        detail.edges.into_iter().for_each(|e| {
            self.edges.insert(e, now);
        });
    }

    /// A configuration that is acknowledged: parsed once for what this centre does by it.
    pub fn took_settings(&mut self) {
        let revision = self.feed.settings().map(|s| s.revision);
        if revision != self.config.as_ref().map(|c| c.revision) {
            let body = self.feed.settings().map(|s| s.body.clone()).unwrap_or_default();
            self.config = coppersail_config::config::parse(body.as_bytes()).ok();
        }
    }

    /// None: no configuration that would say is known.
    pub fn split(&self, service: &str) -> Option<bool> {
        self.config.as_ref().map(|c| c.service(service).is_some_and(|s| s.split_up))
    }

    pub fn merge(&mut self, news: &Update) {
        self.feed.merge(news);
        self.took_settings();
    }

    /// The answer to an edge where this centre is out of touch: where else to ask, and nothing to go by.
    fn nothing(&self, now: Ms, (feed, seq): (u64, u64)) -> Update {
        let centres = self.core.members.iter().map(|id| peer_address(id, self.port)).collect();
        Update {
            feed_id: feed,
            sequence: seq,
            isolated: true,
            uptime_ms: now,
            control_plane_addresses: centres,
            ..Update::default()
        }
    }

    /// Where centres listen for edges: those that are there. Where those are fewer than two, all that ever were.
    fn centres_now(&self, now: Ms) -> Vec<String> {
        let there: Vec<&Id> = self
            .core
            .members
            .iter()
            .filter(|id| **id == self.core.id || self.core.is_peer_alive(now, id))
            .collect();
        let all = if there.len() < 2 { self.core.members.iter().collect() } else { there };
        all.into_iter().map(|id| peer_address(id, self.port)).collect()
    }

    /// A centre that was not there before is told to all followers, whatever they have.
    fn meet(&mut self, now: Ms) {
        let new = |id: &&Id| !self.centres.contains_key(*id) && self.core.is_peer_alive(now, id);
        let new: Vec<Id> = self.core.members.iter().filter(new).cloned().collect();
        if !new.is_empty() {
            let at = self.feed.stir();
            self.centres.extend(new.into_iter().map(|id| (id, at)));
        }
    }

    /// The answer to a follower.
    pub fn news(&self, now: Ms, feed: u64, seq: u64, centre: Option<&str>) -> Update {
        let mut news = self.feed.since(feed, seq);
        if self.feed.planned() {
            let epoch = self.acts_by().filter(|_| self.acting(now));
            news.rollouts_as_of = self.rollouts.seen(now, epoch);
        }
        news.isolated = self.alone(now);
        news.uptime_ms = now;
        news.edge_count = self.edges.values().filter(|at| now < **at + 30_000).count() as u32;
        if let Some(peer) = centre {
            news.status = Some(self.standing(now, peer));
        } else if news.is_snapshot || self.centres.values().any(|at| *at > seq) {
            news.control_plane_addresses = self.centres_now(now);
        }
        news
    }

    pub fn follow(
        &mut self,
        now: Ms,
        follow: &WatchRequest,
        caller: RequestId,
        say: &mut Vec<Say>,
        outs: &mut Vec<Output>,
    ) {
        let centre = follow.status.as_ref().map(|s| s.id.clone());
        if let Some(standing) = &follow.status {
            self.hear(now, standing, None, outs);
        } else {
            self.edges.insert(follow.edge.clone(), now);
        }
        self.count(&follow.request_counts);
        if !follow.rollout_reports.is_empty() {
            let acts = self.acts_by().is_some();
            self.rollouts.take(now, acts, &follow.rollout_reports);
        }
        let known = follow.feed_id == self.feed.id;
        let heard = if known { follow.sequence } else { 0 };
        let follower = Follower { heard, seen: now, edge: centre.is_none() };
        self.followers.insert(follow.edge.clone(), follower);
        let has = (follow.feed_id, follow.sequence);
        if centre.is_none() && self.alone(now) {
            say.push(Say::News(caller, Box::new(self.nothing(now, has))));
        } else if !known || follow.sequence != self.feed.seq {
            let news = self.news(now, follow.feed_id, follow.sequence, centre.as_deref());
            say.push(Say::News(caller, Box::new(news)));
        } else {
            let until = now + follow.wait_ms;
            self.polls.push(Poll { caller, seq: follow.sequence, until, centre, has });
        }
    }

    pub fn count(&mut self, asked: &[RequestCounts]) {
        let acts = self.acts_by().is_some();
        for a in asked {
            if acts {
                self.keys.record_requests(&a.service, &a.counts);
            } else {
                let sums = self.asked.entry(a.service.clone()).or_default();
                a.counts.iter().for_each(|(slice, many)| *sums.entry(*slice).or_default() += many);
            }
        }
    }

    /// Answers polls that have waited long enough, or for which there is news.
    pub fn flush(&mut self, now: Ms, say: &mut Vec<Say>) {
        let seq = self.feed.seq;
        self.flush_where(now, say, |poll| poll.seq < seq || now >= poll.until);
    }

    /// Answers all polls.
    pub fn flush_all(&mut self, now: Ms, say: &mut Vec<Say>) {
        self.flush_where(now, say, |_| true);
    }

    pub fn flush_edges(&mut self, now: Ms, say: &mut Vec<Say>) {
        self.flush_where(now, say, |poll| poll.centre.is_none());
    }

    fn flush_where(&mut self, now: Ms, say: &mut Vec<Say>, due: impl Fn(&Poll) -> bool) {
        let id = self.feed.id;
        for poll in std::mem::take(&mut self.polls) {
            if !due(&poll) {
                self.polls.push(poll);
                continue;
            }
            let news = if poll.centre.is_none() && self.alone(now) {
                self.nothing(now, poll.has)
            } else {
                self.news(now, id, poll.seq, poll.centre.as_deref())
            };
            say.push(Say::News(poll.caller, Box::new(news)));
        }
    }

    /// Have all who follow heard up to here? Who has been silent for longer than a poll is not in touch.
    pub fn all_heard(&self, now: Ms, seq: u64) -> bool {
        let live = |f: &&Follower| now < f.seen + 1000 + self.spans.core.heartbeat_interval;
        self.followers.values().filter(live).all(|f| f.heard >= seq)
    }

    /// A change of the control state, to be written. Its ticket tells when.
    pub fn queue(&mut self, puts: Vec<KeyValue>) -> u64 {
        self.tickets += 1;
        self.todo.push(Change { ticket: self.tickets, writes: puts });
        self.tickets
    }

    /// The ticket that the next change gets.
    pub fn next_ticket(&self) -> u64 {
        self.tickets + 1
    }

    pub fn last_ticket(&self) -> u64 {
        self.tickets
    }

    /// The highest number that is in force, or being written.
    pub fn newest(&self) -> Option<u64> {
        self.feed.settings().map(|s| s.revision).max(self.queued)
    }

    pub fn queued(&mut self, revision: u64) {
        self.queued = self.queued.max(Some(revision));
    }

    /// Whose beat is waiting here, or due in a moment.
    fn back(&self, now: Ms) -> Vec<String> {
        let beat = |p: &PendingReply| match &p.kind {
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
        self.stirred = false;
        if self.acts_by().is_some() {
            self.show(now);
        }
        for parked in std::mem::take(&mut self.parked) {
            let lost = self.lost.contains(&parked.ticket);
            let waits = parked.ticket > self.written && !lost;
            if lost || (waits && now >= parked.until) {
                say.push(Say::Text(parked.caller, 503, "{\"why\":\"not on two disks\"}".into()));
                continue;
            }
            let deaf = parked.heard > 0 && !self.all_heard(now, parked.heard) && now < parked.until;
            let awaited = match &parked.kind {
                Kind::Beat { ident, service: Some(s) } if now < parked.until => {
                    let due = |b: &HeartbeatRecord| b.at + self.spans.beat <= parked.until;
                    self.keys.has_pending_transfer(s, ident, |holder| self.beats.get(holder).is_some_and(due))
                }
                _ => false,
            };
            if waits || deaf || awaited {
                self.parked.push(parked);
                continue;
            }
            match &parked.kind {
                // A process that was frozen since the write must not answer.
                Kind::Order | Kind::Rival if !self.acting(now) => {
                    say.push(Say::Text(parked.caller, 503, "{}".into()));
                }
                Kind::Order => say.push(Say::Text(parked.caller, 200, "{}".into())),
                Kind::Rival => say.push(Say::Text(parked.caller, 409, crate::admin::rival())),
                Kind::Beat { ident, service } => {
                    let (status, text) = self.beat_answer(now, ident, service.as_deref());
                    say.push(Say::Text(parked.caller, status, text));
                }
            }
        }
        if self.acts_by().is_some() {
            self.show(now);
        }
        self.flush(now, say);
    }

    /// After something was written, or failed: who waits for it is answered.
    pub fn settle_if_due(&mut self, now: Ms, say: &mut Vec<Say>) {
        if self.stirred {
            self.settle(now, say);
        }
    }

    fn beat_answer(&mut self, now: Ms, ident: &str, service: Option<&str>) -> (u16, String) {
        // Where it could not act itself, a beat that is keyed would not get this far.
        if self.alone(now) {
            return (503, "{}".into());
        }
        let mut answer = serde_json::json!({});
        if !self.core.is_shutting_down() {
            answer["reportTo"] = serde_json::json!(self.core.id);
        }
        if let Some(service) = service {
            if !self.acting(now) {
                return (503, "{}".into());
            }
            let back = self.back(now);
            // A host that leaves has its keys taken within the time that it stays.
            let leaves = self.feed.host(ident).is_some_and(|h| h.state > EndpointState::Ready);
            let patience = if leaves { self.spans.beat / 2 } else { self.spans.beat * 3 / 2 };
            let rows = self.keys.renew(now, service, ident, &back, patience);
            let rows: Vec<_> = rows.iter().map(|g| (g.from, g.to, g.fencing_token, &g.handover)).collect();
            answer["held"] = serde_json::json!(rows);
            answer["keep_time"] = serde_json::json!(format!("{}ms", self.keys.lease_duration()));
        }
        (200, answer.to_string())
    }

    /// Tells edges what changed of who holds which keys.
    fn show(&mut self, _now: Ms) {
        let Some(epoch) = self.acts_by() else { return };
        let base = epoch << 32;
        let mut seen = std::collections::BTreeSet::new();
        for OwnerChange { service, slice, owner: id } in self.keys.take_owner_changes() {
            // Neighbours with one number are told as one; a row that changes twice needs two.
            if seen.is_empty() || !seen.insert((service.clone(), slice)) {
                seen = std::collections::BTreeSet::from([(service.clone(), slice)]);
                self.shown += 1;
            }
            let slices = self.keys.slices(&service);
            self.feed.put_row(&service, slices, slice, &id, base + self.shown);
        }
    }

    /// It acts from now on. If it did not right before: what stands is known, and edges are told all of it under the new
    /// epoch.
    pub fn acts(&mut self, now: Ms, fresh: bool) {
        if !fresh {
            return;
        }
        let state = || self.core.held().iter().map(|(n, v)| (n.as_str(), v.as_str()));
        (self.keys, self.orders) =
            (LeaseTable::recover(self.spans.keep, now, state()), Orders::recover(state()));
        self.queued = None;
        self.shown = 1;
        let base = self.acts_by().unwrap_or(0) << 32;
        for OwnerChange { service, slice, owner: id } in self.keys.all_owners() {
            let slices = self.keys.slices(&service);
            self.feed.put_row(&service, slices, slice, &id, base + self.shown);
        }
        let settings = self.core.held().get("config").and_then(|text| serde_json::from_str(text).ok());
        if let Some(settings) = settings {
            self.feed.put_settings(&settings);
            self.took_settings();
        }
        for stand in self.rollouts.took_over(now, self.core.held().iter()) {
            self.feed.put_plan(&stand);
        }
        // By then every host that is there has beaten here.
        self.settled_at = now + self.spans.beat * 5 / 2;
        self.laid.clear();
        self.stirred = true;
    }

    pub fn stops(&mut self) {
        self.rollouts.step_down();
        self.orders.failed_all();
        self.queued = None;
        self.stirred = true;
    }

    pub fn failed(&mut self, tickets: &[u64]) {
        self.lost.extend(tickets);
        tickets.iter().for_each(|ticket| self.orders.failed(*ticket));
        // Nobody waits for one that is long past.
        while self.lost.len() > 10_000 {
            self.lost.pop_first();
        }
        self.stirred = true;
    }

    /// On all disks of the record: it is in force.
    pub fn wrote(&mut self, now: Ms, changes: &[Change]) {
        for change in changes {
            self.keys.apply(now, &change.writes);
            for stand in change.writes.iter().filter_map(rollouts::read) {
                self.feed.put_plan(&stand);
            }
            let config = change.writes.iter().find(|(name, _)| name == "config");
            if let Some(settings) =
                config.and_then(|(_, text)| serde_json::from_str::<ConfigDocument>(text).ok())
            {
                self.feed.put_settings(&settings);
                self.took_settings();
            }
            self.orders.done(change.ticket);
            self.written = self.written.max(change.ticket);
        }
        self.stirred = true;
    }

    /// What plans come to; a line about each change.
    pub fn steer(&mut self, now: Ms) -> Vec<String> {
        if !self.acting(now) || !self.feed.planned() {
            return Vec::new();
        }
        let (feed, beats, beat, me) = (&self.feed, &self.beats, self.spans.beat, &self.core.id);
        let all = || feed.hosts().cloned().collect();
        let dead = |ident: &str, told: Ms| match feed.host(ident) {
            None => Some(true),
            Some(host) if host.suspect || host.state == EndpointState::Removed => Some(true),
            // A host that beats elsewhere is known to live once it would have been found silent.
            Some(host) => {
                let beaten = host.reported_by == *me && beats.get(ident).is_some_and(|b| b.at > told);
                (beaten || now > told + 3 * beat).then_some(false)
            }
        };
        let changes = self.rollouts.tick(now, self.config.as_ref(), &Hosts { all: &all, dead: &dead });
        let (puts, lines): (Vec<KeyValue>, Vec<String>) = changes.into_iter().unzip();
        if !puts.is_empty() {
            self.queue(puts);
        }
        lines
    }

    /// Hosts of a divided service, as placement sees them.
    pub fn hosts_of(&self, now: Ms, service: &str) -> Vec<Candidate> {
        let of = self.feed.hosts().filter(|h| h.service == service && h.state < EndpointState::Removed);
        let host = |h: &EndpointUpdate| {
            let beat = self.beats.get(&h.id)?;
            let silent = h.suspect || now > beat.at + self.spans.beat * 5 / 2;
            Some(Candidate {
                id: h.id.clone(),
                listing_order: beat.listed,
                capacity: beat.capacity.max(1.0),
                new: now < beat.born + 2 * self.spans.keep,
                draining: h.state > EndpointState::Ready || silent,
                suspect: silent,
                next_heartbeat_at: beat.at + self.spans.beat,
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
                    let (slices, pieces) = (
                        coppersail_shard_leases::slices_for(hosts.len()),
                        coppersail_shard_leases::pieces_for(hosts.len()),
                    );
                    let puts = self.keys.assign_initially(now, &service, slices, pieces, &hosts);
                    self.queue(puts);
                }
                continue;
            }
            // Half of what a host has at first may be under way at a time.
            let most = coppersail_shard_leases::pieces_for(hosts.len()) as usize / hosts.len().max(1) / 2 + 1;
            let settled = now >= self.settled_at;
            self.keys.plan(now, &service, &hosts, most, settled);
            let puts = self.keys.expire(now, &service);
            if !puts.is_empty() {
                self.queue(puts);
            }
        }
    }

    /// Hosts whose beats this centre hears, and does not hear any more.
    pub fn listen(&mut self, now: Ms) {
        self.meet(now);
        let quiet = self.spans.beat * 5 / 2;
        // Out of touch it would take its own deafness for theirs, and others would believe it once it is back.
        self.touch_since = if self.alone(now) { None } else { self.touch_since.or(Some(now)) };
        let judges = self.touch_since.is_some_and(|since| now >= since + quiet);
        let mut lost = Vec::new();
        for host in self.feed.hosts().filter(|h| judges && !h.suspect && h.state < EndpointState::Removed) {
            let Some(beat) = self.beats.get(&host.id) else { continue };
            let mine = host.reported_by == self.core.id;
            let orphan = !mine
                && self
                    .core
                    .peers
                    .get(&host.reported_by)
                    .is_none_or(|p| now > p.last_heard + 2 * self.spans.core.lease);
            if (mine && now > beat.at + quiet) || (orphan && now > beat.at + 2 * quiet) {
                let calls = beat.calls.max(host.heartbeat_sequence);
                lost.push(EndpointUpdate { suspect: true, heartbeat_sequence: calls, ..host.clone() });
            }
        }
        for host in lost {
            self.feed.put_host(&host);
        }
        // Hosts that others hear count as heard while those are there.
        let heard: Vec<(String, Ms)> = self
            .feed
            .hosts()
            .filter(|h| h.reported_by != self.core.id && !h.suspect)
            .filter(|h| {
                self.core
                    .peers
                    .get(&h.reported_by)
                    .is_some_and(|p| now < p.last_heard + self.spans.core.lease)
            })
            .map(|h| (h.id.clone(), now))
            .collect();
        for (id, at) in heard {
            if let Some(host) = self.feed.host(&id) {
                let (capacity, service) = (host.capacity as f64, host.service.clone());
                let listed = self.beats.len() as u64;
                let beat = self.beats.entry(id).or_insert(HeartbeatRecord {
                    listed,
                    born: at,
                    ..HeartbeatRecord::default()
                });
                (beat.at, beat.capacity, beat.service) = (at, capacity, service);
            }
        }
        let old = |b: &HeartbeatRecord| now > b.at + 60_000;
        for ident in self.beats.iter().filter(|(_, b)| old(b)).map(|(i, _)| i.clone()).collect::<Vec<_>>() {
            self.beats.remove(&ident);
            self.feed.forget(&ident);
        }
        self.followers.retain(|_, f| now < f.seen + 60_000);
    }
}
