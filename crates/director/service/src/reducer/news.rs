//! News of the relay, on two connections: one leads, the other stands by with the same knowledge, so that a break
//! of the first costs nothing. What is passed on goes to the decisions as inputs.

use super::{Effect, LinkId, Out};
use coppersail::interface::{Call, HostId, Input, MarkId, ProxyId, SliceId, ZoneId};
use coppersail_protocol::relay::FOLLOW;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A sign of life comes each second; so much later the connection is given up.
const SILENT_MOST: f64 = 1.7;
/// Between dials that came to nothing.
const PAUSE: f64 = 0.2;
/// One that leads and one that stands by; the relay takes 32 of us.
const FEEDS_MOST: usize = 2;
/// Two connections tell the same event within this time.
const APART: f64 = 0.5;

/// A line of news, with its names resolved.
#[derive(Clone, Debug, PartialEq)]
pub enum Item {
    Start,
    Life,
    Joined { proxy: ProxyId, zone: ZoneId, calls_per_s: f64, fresh: bool },
    Left(ProxyId),
    Applied { proxy: ProxyId, mark: MarkId, took: f64 },
    Given(SliceId),
    Taken(SliceId),
    Line { slice: SliceId, host: HostId, weight: f64 },
}

type Lines = BTreeMap<HostId, f64>;

/// What stands, as told: the last news of each and its time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Standing {
    pub proxies: BTreeMap<ProxyId, (f64, Input)>,
    pub slices: BTreeMap<SliceId, (f64, Lines)>,
}

struct Feed {
    link: LinkId,
    address: SocketAddr,
    up: bool,
    heard: f64,
    /// The first sign of life has come, so what stood at the start is told in full.
    whole: bool,
    standing: Standing,
    /// Slices held before, told again at the start: compared when all is told.
    again: BTreeSet<SliceId>,
}

pub struct News {
    /// Where the relay is; connections elsewhere serve until one there has told all.
    address: SocketAddr,
    feeds: Vec<Feed>,
    /// What the decisions have been told; lines as far as the relay has taken them.
    pub known: Standing,
    /// Slices whose lines are in a call that is not settled: what stands of them may be old or new.
    pub under_way: BTreeSet<SliceId>,
    dial_at: f64,
    /// A loss was logged, and nothing was told since.
    lost: bool,
}

impl News {
    pub fn new(address: SocketAddr) -> Self {
        let (feeds, known, under_way) = (Vec::new(), Standing::default(), BTreeSet::new());
        News { address, feeds, known, under_way, dial_at: 0.0, lost: false }
    }

    /// The relay is elsewhere from now on. Connections that have told all serve until one there has.
    pub fn move_to(&mut self, now: f64, address: SocketAddr, out: &mut Out) {
        if std::mem::replace(&mut self.address, address) != address {
            self.dial_at = now;
            self.leave(|feed| feed.address != address && !feed.whole, out);
        }
    }

    /// The one place where connections are given back.
    fn leave(&mut self, which: impl Fn(&Feed) -> bool, out: &mut Out) {
        for feed in self.feeds.iter().filter(|feed| which(feed)) {
            out.effects.push(Effect::HangUp(feed.link));
        }
        self.feeds.retain(|feed| !which(feed));
    }

    /// Connections to where the relay is: how many, and whether all of them have told what stands.
    fn here(&self) -> (usize, bool) {
        let mut here = self.feeds.iter().filter(|feed| feed.address == self.address);
        (here.clone().count(), here.all(|feed| feed.whole))
    }

    pub fn owns(&self, id: LinkId) -> bool {
        self.feeds.iter().any(|feed| feed.link == id)
    }

    pub fn pump(&mut self, now: f64, out: &mut Out) {
        let silent = |feed: &&Feed| now - feed.heard > SILENT_MOST;
        let lost: Vec<LinkId> = self.feeds.iter().filter(silent).map(|feed| feed.link).collect();
        for link in lost {
            self.down(now, link, "silent", out);
        }
        // The second one once the first has told all, lest both be asked for the same at a time.
        let (feeds, settled) = self.here();
        if feeds < FEEDS_MOST && settled && now >= self.dial_at {
            let (link, address) = (out.link(), self.address);
            let (standing, again) = (Standing::default(), BTreeSet::new());
            self.feeds.push(Feed { link, address, up: false, heard: now, whole: false, standing, again });
            out.effects.push(Effect::Dial(link, address));
        }
    }

    pub fn up(&mut self, now: f64, id: LinkId, out: &mut Out) {
        out.counters.news_opened += 1;
        out.effects.push(Effect::Send(id, FOLLOW.to_vec()));
        self.feeds
            .iter_mut()
            .filter(|feed| feed.link == id)
            .for_each(|feed| (feed.up, feed.heard) = (true, now));
    }

    pub fn down(&mut self, now: f64, id: LinkId, why: &str, out: &mut Out) {
        let Some(at) = self.feeds.iter().position(|feed| feed.link == id) else { return };
        let (up, whole) = (self.feeds[at].up, self.feeds[at].whole);
        self.leave(|feed| feed.link == id, out);
        out.counters.news_lost += up as u64;
        // One line for an outage, however often the relay is dialled in vain.
        if !std::mem::replace(&mut self.lost, true) {
            out.warn(format!("relay: news lost, {why}"));
        }
        // A relay that takes connections only to reset them is not to be dialled in a tight loop.
        if !whole {
            self.dial_at = now + PAUSE;
        }
        if at == 0 {
            // What it would have told of receipts, the next one may have told already.
            out.inputs.push(Input::Call(Call::Deaf));
            self.lead(now, out);
        }
    }

    /// The next connection leads: what only it has been told is made up for.
    fn lead(&mut self, now: f64, out: &mut Out) {
        let Some(feed) = self.feeds.first_mut() else { return };
        let known = &mut self.known;
        for (proxy, (at, input)) in &feed.standing.proxies {
            if known.proxies.get(proxy).is_none_or(|(known, _)| *at > known + APART) {
                known.proxies.insert(*proxy, (now, input.clone()));
                out.inputs.push(input.clone());
            }
        }
        for (slice, (at, _)) in &feed.standing.slices {
            if known.slices.get(slice).is_none_or(|(known, _)| *at > known + APART) {
                feed.again.insert(*slice);
            }
        }
        if feed.whole {
            self.reconcile(now, out);
        }
    }

    /// All that stands is told: what is not among it is gone, and what was changed elsewhere is given anew.
    fn reconcile(&mut self, now: f64, out: &mut Out) {
        let Some(feed) = self.feeds.first_mut() else { return };
        let (standing, known) = (&feed.standing, &mut self.known);
        for proxy in known.proxies.keys().filter(|proxy| !standing.proxies.contains_key(proxy)) {
            out.inputs.push(Input::Left(*proxy));
        }
        known.proxies.retain(|proxy, _| standing.proxies.contains_key(proxy));
        for slice in known.slices.keys().filter(|slice| !standing.slices.contains_key(slice)) {
            out.inputs.push(Input::Taken(*slice));
        }
        known.slices.retain(|slice, _| standing.slices.contains_key(slice));
        for slice in std::mem::take(&mut feed.again) {
            let Some((_, lines)) = standing.slices.get(&slice) else { continue };
            let held = known.slices.get(&slice).map(|(_, lines)| lines);
            if held.is_some_and(|held| self.under_way.contains(&slice) || alike(held, lines)) {
                continue;
            }
            out.inputs.push(Input::Given(slice));
            out.inputs.extend(lines.iter().map(|(host, weight)| stored(slice, *host, *weight)));
            known.slices.insert(slice, (now, lines.clone()));
        }
    }

    /// Takes one line of news.
    pub fn take(&mut self, now: f64, id: LinkId, item: Item, out: &mut Out) {
        let Some(at) = self.feeds.iter().position(|feed| feed.link == id) else { return };
        let (feed, known, leads) = (&mut self.feeds[at], &mut self.known, at == 0);
        feed.heard = now;
        match item {
            Item::Start => {}
            Item::Life => {
                if !std::mem::replace(&mut feed.whole, true) {
                    let (proxies, slices) = (feed.standing.proxies.len(), feed.standing.slices.len());
                    out.tell(format!("relay: news open, {proxies} proxies, {slices} slices"));
                    self.lost = false;
                    if leads {
                        self.reconcile(now, out);
                    } else if self.feeds[at].address == self.address && self.feeds[0].address != self.address
                    {
                        // The first that has told all where the relay is now: the old ones have served.
                        let here = self.address;
                        self.leave(|feed| feed.address != here, out);
                        self.lead(now, out);
                    }
                }
            }
            Item::Joined { proxy, zone, calls_per_s, fresh } => {
                let input = Input::Joined { proxy, zone, calls_per_s, fresh };
                // Who is told at the start of a second connection, and known, has not joined again.
                let at = known.proxies.get(&proxy).map(|(at, _)| *at);
                let at = at.filter(|_| !feed.whole && !leads).unwrap_or(now);
                feed.standing.proxies.insert(proxy, (at, input.clone()));
                if leads {
                    known.proxies.insert(proxy, (now, input.clone()));
                    out.inputs.push(input);
                }
            }
            Item::Left(proxy) => {
                feed.standing.proxies.remove(&proxy);
                if leads && known.proxies.remove(&proxy).is_some() {
                    out.inputs.push(Input::Left(proxy));
                }
            }
            Item::Applied { proxy, mark, took } => {
                if leads && known.proxies.contains_key(&proxy) {
                    out.inputs.push(Input::Applied { proxy, mark, took });
                }
            }
            Item::Given(slice) => {
                feed.standing.slices.insert(slice, (now, Lines::new()));
                if leads && !feed.whole && known.slices.contains_key(&slice) {
                    feed.again.insert(slice);
                } else if leads {
                    known.slices.insert(slice, (now, Lines::new()));
                    out.inputs.push(Input::Given(slice));
                }
            }
            Item::Taken(slice) => {
                feed.standing.slices.remove(&slice);
                feed.again.remove(&slice);
                if leads && known.slices.remove(&slice).is_some() {
                    out.inputs.push(Input::Taken(slice));
                }
            }
            Item::Line { slice, host, weight } => {
                if let Some((_, lines)) = feed.standing.slices.get_mut(&slice) {
                    lines.insert(host, weight);
                }
                if leads && !feed.again.contains(&slice) {
                    if let Some((_, lines)) = known.slices.get_mut(&slice) {
                        // A line that is known already would count twice.
                        if lines.insert(host, weight).is_none() {
                            out.inputs.push(stored(slice, host, weight));
                        }
                    }
                }
            }
        }
    }

    /// The relay has taken this line: so it stands, whether or not a connection's start has told it.
    pub fn wrote(&mut self, slice: SliceId, host: HostId, weight: f64) {
        for (_, lines) in self.tables(slice) {
            _ = if weight > 0.0 { lines.insert(host, weight) } else { lines.remove(&host) };
        }
    }

    pub fn cleared(&mut self, slice: SliceId) {
        self.tables(slice).for_each(|(_, lines)| lines.clear());
    }

    /// Whether a table names the host, as far as told.
    pub fn names(&self, host: HostId) -> bool {
        let standing = self.feeds.iter().map(|feed| &feed.standing).chain([&self.known]);
        standing.flat_map(|standing| standing.slices.values()).any(|(_, lines)| lines.contains_key(&host))
    }

    fn tables(&mut self, slice: SliceId) -> impl Iterator<Item = &mut (f64, Lines)> {
        let feeds = self.feeds.iter_mut().map(|feed| &mut feed.standing);
        feeds.chain([&mut self.known]).filter_map(move |standing| standing.slices.get_mut(&slice))
    }

    /// What stands is known, and is being told.
    pub fn told(&self) -> bool {
        self.feeds.first().is_some_and(|feed| feed.whole)
    }

    /// When a slice was given to us, as far as the decisions know.
    pub fn given_at(&self, slice: SliceId) -> Option<f64> {
        self.known.slices.get(&slice).map(|(at, _)| *at)
    }

    pub fn next(&self) -> f64 {
        let silent = self.feeds.iter().map(|feed| feed.heard + SILENT_MOST + 1e-3);
        let (feeds, settled) = self.here();
        let dial = if feeds < FEEDS_MOST { self.dial_at } else { f64::INFINITY };
        silent.fold(if settled { dial } else { f64::INFINITY }, f64::min)
    }
}

pub fn stored(slice: SliceId, host: HostId, weight: f64) -> Input {
    Input::StoredLine { slice, host, weight }
}

/// The store tells weights with three decimals: of a small one that is more than a thousandth. A line that was
/// only rounded must not seem changed elsewhere, as its slice would be laid anew.
fn alike(held: &Lines, told: &Lines) -> bool {
    let near = |host, weight: &f64| {
        told.get(host).is_some_and(|told| (told - weight).abs() <= 1e-3 * weight.abs() + 5.1e-4)
    };
    held.len() == told.len() && held.iter().all(|(host, weight)| near(host, weight))
}
