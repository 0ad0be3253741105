//! What the guard knows of hosts, and what it takes each of them to be able to carry.

use coppersail::interface::{HostId, ZoneId};
use std::collections::BTreeMap;

/// A host that is old enough, but has not yet been seen to answer for so long, is judged by the cautious end, seconds:
/// longer than a cache is cold.
const PROVING: f64 = 30.0;
/// Of the fall multiple, the part that the guard lets a cold host be sent: sums are late, and what comes in between is
/// not seen.
const COLD_PART: f64 = 0.6;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Ready,
    /// Finishes what it has.
    Draining,
    Gone,
}

/// One host as it is known now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Host {
    pub state: State,
    pub zone: ZoneId,
    /// Size in relation to the others, as listed and as operators have it.
    pub weight: f64,
    /// When it started; none: long ago.
    pub born: Option<f64>,
    /// It has answered somebody since it was listed, or was there from the start.
    pub proven: bool,
    /// Proxies have been told to keep away from it.
    pub out: bool,
    /// Work a second that it does, against that of a usual host of its weight.
    pub speed: f64,
}

impl Default for Host {
    fn default() -> Self {
        let (state, zone, weight, born) = (State::Ready, ZoneId(0), 1.0, None);
        Host { state, zone, weight, born, proven: true, out: false, speed: 1.0 }
    }
}

/// An estimate: the least that is likely, and the middle.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    pub low: f64,
    pub middle: f64,
}

/// What holds for all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// A host starts at this share of its capacity...
    pub cold_from: f64,
    /// ...and is warm after this time.
    pub ramp_time: f64,
    /// Sent so many times what it can do, a cold host falls over.
    pub fall_multiple: f64,
    /// Calls a second that a host of weight 1 carries; none: nobody knows yet.
    pub carries: Option<Estimate>,
}

impl Host {
    /// It may be sent calls, as far as anybody knows.
    pub fn open(&self) -> bool {
        self.state == State::Ready && self.proven && !self.out
    }

    /// Share of its capacity that its age lets anybody count on.
    pub fn ramp(&self, now: f64, bounds: &Bounds) -> f64 {
        let age = self.born.map_or(f64::INFINITY, |born| (now - born).max(0.0));
        (bounds.cold_from + (1.0 - bounds.cold_from) * age / bounds.ramp_time.max(1e-9)).clamp(0.01, 1.0)
    }

    pub fn warm(&self, now: f64, bounds: &Bounds) -> bool {
        self.ramp(now, bounds) >= 1.0
    }

    /// Its size as it counts now.
    pub fn unit(&self, now: f64, bounds: &Bounds) -> f64 {
        self.weight * self.speed * self.ramp(now, bounds)
    }

    /// Calls a second that it can be given: by the middle of what is known for one that has proved itself for a while,
    /// by the cautious end for others; a cold one may be sent more than it can do, but not so much that it falls.
    pub fn limit(&self, now: f64, bounds: &Bounds) -> f64 {
        let Some(carries) = bounds.carries else { return f64::INFINITY };
        let unit = self.unit(now, bounds);
        let old = self.born.is_none_or(|born| now - born >= bounds.ramp_time + PROVING);
        match (self.warm(now, bounds), old) {
            (true, true) => unit * carries.middle,
            (true, false) => unit * carries.low,
            (false, _) => unit * carries.low * (COLD_PART * bounds.fall_multiple).max(1.0),
        }
    }

    /// The most that a cold one stands for the moment in which all others of its tables fail.
    pub fn falls_at(&self, now: f64, bounds: &Bounds) -> f64 {
        match bounds.carries {
            Some(carries) if !self.warm(now, bounds) => {
                self.unit(now, bounds) * carries.low * bounds.fall_multiple
            }
            _ => f64::INFINITY,
        }
    }
}

/// All hosts, and what they are taken to be able to.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    pub hosts: BTreeMap<HostId, Host>,
    pub bounds: Bounds,
}

impl Pool {
    pub fn open(&self) -> impl Iterator<Item = (HostId, &Host)> {
        self.hosts.iter().filter(|(_, host)| host.open()).map(|(id, host)| (*id, host))
    }
}

/// What is known to happen to a host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pending {
    /// When it is complete.
    pub at: f64,
    pub host: HostId,
    pub what: Change,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// It drains or goes: nothing may be sent there from then on.
    Leaves,
    /// It is open from then on.
    Opens,
}

/// Learns what a host of weight 1 carries from what hosts have answered.
#[derive(Clone, Debug, Default)]
pub struct Carrying {
    seen: BTreeMap<HostId, Seen>,
}

/// Of one host, for a unit of its size.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    /// The most that it has answered well lately: it carries that at least.
    best: f64,
    /// What it does when it is full, where that could be told.
    full: Option<f64>,
    at: f64,
}

/// A span in which more than this share of tries failed shows a host past what it carries.
const FAILING: f64 = 0.05;
/// What a host once did is believed less as time goes by: by half in this many seconds.
const FORGETTING: f64 = 120.0;
/// Hosts that must have been heard of before anything is said of all.
const HEARD_LEAST: usize = 3;
/// Cores that are busy for less than this tell next to nothing of full ones; calls that wait, as many as this, tell that
/// all are busy.
const BUSY_LEAST: f64 = 0.2;
const WAITING_LEAST: f64 = 2.0;

/// What one host did in one span.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Span {
    /// A second.
    pub answered: f64,
    pub failed: f64,
    /// Share of its cores, and calls that wait, where it tells.
    pub busy: Option<f64>,
    pub waiting: Option<f64>,
    /// Its unit then.
    pub unit: f64,
}

impl Carrying {
    pub fn heard(&mut self, host: HostId, now: f64, span: Span) {
        let Span { answered, failed, busy, waiting, unit } = span;
        if answered <= 0.0 || unit <= 0.0 {
            return;
        }
        let seen = self.seen.entry(host).or_default();
        let faded = 0.5_f64.powf((now - seen.at).max(0.0) / FORGETTING);
        let rate = answered / unit;
        // A host that fails calls is full if it answers as much as it can; it carries no more.
        let full = match (busy, waiting) {
            (Some(busy), _) if busy > BUSY_LEAST => Some(rate / busy.min(1.0)),
            (None, Some(waiting)) if waiting >= WAITING_LEAST => Some(rate),
            _ => None,
        };
        seen.full = match (seen.full, full) {
            (Some(old), Some(new)) if busy.is_some() => Some(0.8 * old + 0.2 * new),
            // Calls wait by chance as well, long before a host is full: the most that was seen counts.
            (Some(old), Some(new)) => Some((old * faded).max(new)),
            (old, new) => old.or(new),
        };
        if failed <= FAILING * (answered + failed) {
            seen.best = (seen.best * faded).max(rate);
        }
        seen.at = now;
    }

    pub fn forget(&mut self, host: HostId) {
        self.seen.remove(&host);
    }

    /// Four in five hosts carry the low end, as far as was seen. The middle is that of those of which it could be told
    /// what they do when full; where nobody has been full, there is none to be told.
    pub fn estimate(&self) -> Option<Estimate> {
        if self.seen.len() < HEARD_LEAST {
            return None;
        }
        let sorted = |figures: Vec<f64>| {
            let mut figures = figures;
            figures.sort_by(f64::total_cmp);
            figures
        };
        let least = sorted(
            self.seen.values().map(|seen| seen.full.map_or(seen.best, |full| full.max(seen.best))).collect(),
        );
        let full = sorted(self.seen.values().filter_map(|seen| Some(seen.full?.max(seen.best))).collect());
        let middle = if full.len() >= HEARD_LEAST { full[full.len() / 2] } else { f64::INFINITY };
        let low = least[least.len() / 5];
        (low > 0.0).then_some(Estimate { low: low.min(middle), middle })
    }
}
