//! Hosts: beats, keys, leaving in order; as the protocol has it.
use crate::callers::{Act, Seek, HOPS, PATIENCE};
use crate::checks::rule;
use crate::machine::Body;
use crate::world::{local, one_holder, Ask, End, Ev, Origin, Say};
use crate::{Us, World, BEAT, EMPTY};
use coppersail_stub_backend::{EndpointState, Heartbeat, HeartbeatResponse, LeasedRanges};
use std::time::Duration;

/// The service that is divided by key, and the other.
pub const SPLIT: &str = "shelf";
pub const PLAIN: &str = "desk";
/// "At times many seconds."
const LINGERS: Us = 6_000_000;
/// How long a host that leaves waits for an acknowledgement.
const UNHEARD: Us = 5_000_000;

struct Sent {
    call: u64,
    at: Us,
    leaving: bool,
    off: bool,
    hops: u8,
    act: Act,
}

pub struct Host {
    pub ident: String,
    pub zone: usize,
    pub split: bool,
    pub up: bool,
    pub life: u32,
    pub start: Us,
    pub pace: f64,
    pub keys: LeasedRanges,
    /// Only the last wake that was ordered counts.
    no: u32,
    beats: u64,
    seek: Seek,
    sent: Option<Sent>,
    leaving: Option<Us>,
    heard: Option<Us>,
    stays: Us,
    works: usize,
}

impl World<'_> {
    pub(crate) fn start_callers(&mut self) {
        for n in 0..self.day.hosts {
            let zone = n % self.day.zones;
            self.hosts.push(Host {
                ident: String::new(),
                zone,
                split: n % 2 == 0,
                up: false,
                life: 0,
                start: 0,
                pace: 1.0,
                keys: LeasedRanges::default(),
                no: 0,
                beats: 0,
                seek: Seek::default(),
                sent: None,
                leaving: None,
                heard: None,
                stays: 0,
                works: 0,
            });
            let at = self.luck.u64(0..2_000_000);
            self.host_wake(n, at);
        }
        self.start_edges();
        self.start_operators();
    }

    fn host_wake(&mut self, n: usize, span: Us) {
        self.hosts[n].no += 1;
        let no = self.hosts[n].no;
        self.after(span, Ev::Host { n, no });
    }

    pub(crate) fn host_wakes(&mut self, n: usize, no: u32) {
        if self.hosts[n].no != no || self.hosts[n].sent.is_some() {
            return;
        }
        let now = self.now;
        if !self.hosts[n].up {
            let (pace, at) = (0.98 + 0.02 * self.luck.f64(), self.luck.usize(0..9));
            let stays = if self.luck.u8(0..5) == 0 { LINGERS } else { 500_000 };
            let host = &mut self.hosts[n];
            host.life += 1;
            host.ident = format!("i-{n}-{}", host.life);
            (host.up, host.start, host.pace, host.beats) = (true, now, pace, 0);
            (host.keys, host.seek) = (LeasedRanges::default(), Seek { at, ..Seek::default() });
            (host.leaving, host.heard, host.stays) = (None, None, stays);
        }
        let host = &mut self.hosts[n];
        let over = match (host.heard, host.leaving) {
            (Some(heard), _) => now >= heard + EMPTY * 1000 + host.stays,
            (None, Some(since)) => now >= since + UNHEARD,
            _ => false,
        };
        if let (true, None, Some(since)) = (over, host.heard, host.leaving) {
            let what = format!("{} ends unheard, leaving since {} ms", host.ident, since / 1000);
            if self.calm_from.is_some_and(|from| from <= since) {
                self.check::<()>(Err((rule::LEAVES, what)));
            }
        }
        let host = &mut self.hosts[n];
        let ident: Body = host.ident.as_str().into();
        let act = if over {
            Act::SignOff { ident }
        } else {
            host.beats += 1;
            let report = host.keys.report(local(now, host.start, host.pace));
            let beat = Heartbeat {
                service: if host.split { SPLIT } else { PLAIN }.into(),
                address: format!("10.{}.2.{n}:8080", host.zone + 1),
                zone: format!("zone-{}", host.zone),
                revision: "v1".into(),
                capacity: 4,
                state: if host.leaving.is_some() { EndpointState::Draining } else { EndpointState::Ready },
                slow_start_left: "0ms".into(),
                sequence: host.beats,
                leases: host.split.then_some(report.leases),
                released: host.split.then_some(report.released),
            };
            Act::Pulse { ident, body: serde_json::to_string(&beat).expect("a beat").into() }
        };
        let Some(m) = self.sought(&self.hosts[n].seek) else { return self.host_wake(n, 100_000) };
        let host = &mut self.hosts[n];
        let leaving = host.leaving.is_some();
        host.sent = Some(Sent { call: 0, at: now, leaving, off: over, hops: 0, act });
        self.host_sends(n, m, true);
    }

    fn host_sends(&mut self, n: usize, m: usize, first: bool) {
        let call = self.number();
        let host = &mut self.hosts[n];
        let Some(sent) = &mut host.sent else { return };
        sent.call = call;
        let act = sent.act.clone();
        let origin = Origin { end: End::Host(n), life: host.life, call };
        self.post(m, origin, Ask::Admin(act));
        if first || self.hosts[n].sent.is_some() {
            // The second of patience is for the beat, the ways by 307 included.
            let at = self.hosts[n].sent.as_ref().map_or(0, |s| s.at) + PATIENCE;
            self.at(at, Ev::HostLimit { n, call });
        }
    }

    pub(crate) fn host_hears(&mut self, n: usize, call: u64, say: Option<Say>) {
        let now = self.now;
        let Some(sent) = self.hosts[n].sent.as_mut().filter(|s| s.call == call) else { return };
        let (status, body) = match say {
            Some(Say::Text(status, body)) => (status, body),
            _ => (0, String::new()),
        };
        if status == 307 && sent.hops < HOPS {
            sent.hops += 1;
            if let Some(m) = self.location(&body) {
                return self.host_sends(n, m, false);
            }
        }
        let Some(sent) = self.hosts[n].sent.take() else { return };
        let reply = HeartbeatResponse::parse(body.as_bytes()).ok().filter(|_| (200..300).contains(&status));
        let Some(reply) = reply.filter(|_| body.len() <= HeartbeatResponse::MAX_BYTES) else {
            let pause = self.hosts[n].seek.bad();
            if sent.off {
                return self.host_ends(n);
            }
            return self.host_wake(n, pause);
        };
        if sent.off {
            return self.host_ends(n);
        }
        let host = &mut self.hosts[n];
        host.seek.good(reply.report_to);
        host.keys.acknowledge_report();
        if sent.leaving && host.heard.is_none() {
            host.heard = Some(now);
            let ident = host.ident.clone();
            self.tally.emptied += 1;
            if self.settled() {
                self.emptied.push((ident, now));
            }
        }
        let host = &mut self.hosts[n];
        if let (true, Some(rows)) = (host.split, &reply.leases) {
            let keep =
                reply.lease_duration.as_deref().and_then(coppersail_config::duration).unwrap_or_default();
            let at = |t: Us| local(t, host.start, host.pace);
            host.keys.apply_grants(at(now), at(sent.at), keep, rows);
            self.tally.grants += 1;
            let held = one_holder(&self.hosts, n, now);
            self.check(held);
            self.host_works(n);
        }
        let host = &self.hosts[n];
        let next = match host.leaving {
            Some(_) if !sent.leaving => 1000,
            Some(_) if host.heard.is_some() => {
                let over = host.heard.unwrap_or(now) + EMPTY * 1000 + host.stays;
                over.saturating_sub(now).min(BEAT * 1000)
            }
            _ if host.keys.has_pending_releases() => 50_000,
            _ => BEAT * 1000,
        };
        let next = if host.keys.has_pending_releases() { next.min(50_000) } else { next };
        self.host_wake(n, next);
    }

    /// Now and then a request is at work on a key for a while.
    fn host_works(&mut self, n: usize) {
        if self.luck.u8(0..4) > 0 {
            return;
        }
        let (key, takes) = (self.luck.u32(0..65536), self.luck.u64(20_000..900_000));
        let host = &mut self.hosts[n];
        host.works += 1;
        let (id, life) = (host.works, host.life);
        let now: Duration = local(self.now, host.start, host.pace);
        if host.keys.start_request(now, id, key) {
            self.after(takes, Ev::HostDone { n, life, id });
        }
    }

    pub(crate) fn host_done(&mut self, n: usize, life: u32, id: usize) {
        let now = self.now;
        let host = &mut self.hosts[n];
        if host.life == life && host.up {
            host.keys.finish_request(local(now, host.start, host.pace), id);
            if host.keys.has_pending_releases() && host.sent.is_none() {
                self.host_wake(n, 1000);
            }
        }
    }

    fn host_ends(&mut self, n: usize) {
        let host = &mut self.hosts[n];
        (host.up, host.sent) = (false, None);
        // What has ended is reached by nothing.
        self.emptied.retain(|(ident, _)| *ident != host.ident);
        let again = self.luck.u64(500_000..5_000_000);
        self.host_wake(n, again);
    }

    pub(crate) fn host_leaves(&mut self, n: usize) {
        let n = n % self.hosts.len();
        let now = self.now;
        let host = &mut self.hosts[n];
        if !host.up || host.leaving.is_some() {
            return;
        }
        host.leaving = Some(now);
        if host.sent.is_none() {
            self.host_wake(n, 0);
        }
    }

    pub(crate) fn host_crashes(&mut self, n: usize) {
        let n = n % self.hosts.len();
        if self.hosts[n].up {
            self.host_ends(n);
        }
    }
}
