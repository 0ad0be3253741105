//! What befalls a call.

use super::hosts::{Job, State};
use super::{Call, Event, How, World};
use crate::policy::Kind;
use crate::rules::Rule;

/// A try is given up after this share of what is left of the call's time.
const TRY_PART: f64 = 0.6;

fn drawn(parts: &[f64], at: f64) -> usize {
    parts.partition_point(|part| *part < at).min(parts.len() - 1)
}

impl World {
    pub(super) fn arrive(&mut self) {
        let gap = -(1.0 - self.chance.f64()).ln() / (self.rate * self.flood).max(1e-9);
        if self.now + gap < self.scenario.seconds {
            self.plan(self.now + gap, Event::Arrive);
        }
        let load = &self.scenario.load;
        let hot = !self.hot.is_empty() && self.chance.f64() < load.hot_share;
        let slice = match hot {
            true => self.hot[self.chance.usize(0..self.hot.len())],
            false => drawn(&self.parts, self.chance.f64()) as u16,
        };
        let route = drawn(&self.route_parts, self.chance.f64()) as u8;
        let spec = &load.routes[route as usize];
        // Log-normal with the stated mean.
        let normal = (0..12).map(|_| self.chance.f64()).sum::<f64>() - 6.0;
        let work =
            spec.work * self.cost[route as usize] * (spec.tail * normal - spec.tail * spec.tail / 2.0).exp();
        let importance = spec.importance;
        let proxy = self.chance.u16(0..self.proxies.len() as u16);
        let index = self.free.pop().unwrap_or_else(|| {
            self.calls.push(Call::default());
            self.calls.len() as u32 - 1
        });
        let age = self.calls[index as usize].age.wrapping_add(1);
        let arrived = self.now;
        self.calls[index as usize] = Call { arrived, work, age, slice, proxy, route, ..Call::default() };
        self.asked_lately[slice as usize] += 0.3;
        let second = self.measured.at(arrived);
        (second.asked, second.calls) = (second.asked + importance, second.calls + 1);
        self.measured.by_route[route as usize].0 += importance;
        self.ask(index, age);
    }

    fn live(&self, call: u32, age: u32) -> Option<Call> {
        let found = self.calls[call as usize];
        (found.age == age && !found.over).then_some(found)
    }

    /// A client asks its proxy, for the first time or again.
    pub(super) fn ask(&mut self, index: u32, age: u32) {
        let Some(call) = self.live(index, age) else { return };
        let (director, proxy) =
            (call.slice as usize % self.directors.len(), &self.proxies[call.proxy as usize]);
        let (level, _) = *self.levels[director][call.route as usize].at(proxy.applied[director]);
        let routes = self.scenario.load.routes.len();
        self.demand[call.slice as usize * routes + call.route as usize].0 += 1;
        let call = &mut self.calls[index as usize];
        call.asks += 1;
        call.tries = 0;
        if level < 1.0 && self.chance.f64() >= level {
            return self.failed(index, age, true);
        }
        self.try_host(index, age, None);
    }

    fn try_host(&mut self, index: u32, age: u32, not: Option<u32>) {
        let Some(call) = self.live(index, age) else { return };
        let draw = self.chance.f64();
        let fleet = &self.scenario.fleet;
        let director = call.slice as usize % self.directors.len();
        let proxy = &self.proxies[call.proxy as usize];
        let applied = proxy.applied[director];
        let table = self.tables[call.slice as usize].at(applied).clone();
        let out = |host: u32| *self.outs[director][host as usize].at(applied);
        let usable = |shy: bool| {
            let (table, now) = (&table, self.now);
            let fits = move |(host, weight): &&(u32, f64)| {
                *weight > 0.0 && Some(*host) != not && !out(*host) && (shy || !proxy.shuns(*host, now))
            };
            table.iter().filter(fits)
        };
        // With nobody left it tries even those that it shuns.
        let shy = usable(false).next().is_none();
        let sum: f64 = usable(shy).map(|(_, weight)| weight).sum();
        let mut at = draw * sum;
        let mut picked = None;
        for (host, weight) in usable(shy) {
            picked = Some(*host);
            at -= weight;
            if at <= 0.0 {
                break;
            }
        }
        let Some(mut host) = picked else { return self.failed(index, age, false) };
        if self.kind == Kind::PowerOfTwo {
            // Even weights, so a second draw is any of the usable ones.
            let many = usable(shy).count();
            let other = usable(shy).nth((draw * 7919.0 * many as f64) as usize % many).map(|(host, _)| *host);
            let held = |host: u32| self.held.get(&(call.proxy, host)).copied().unwrap_or(0);
            host = other.filter(|other| held(*other) < held(host)).unwrap_or(host);
        }
        let route = &self.scenario.load.routes[call.route as usize];
        let left = call.arrived + route.limit - self.now;
        let (zone, there) = (proxy.zone, self.hosts[host as usize].zone);
        // Rule 3: past the grace nobody is sent to a host that its director knows to drain or be gone.
        let told = self.directors[director].told_gone.get(&host).copied();
        let reached = !self.parted(zone, self.directors[director].zone);
        if told.is_some_and(|told| self.now > told + fleet.grace)
            && reached
            && !self.store.down
            && self.directors[director].up
        {
            self.rules.broke(Rule::Drained, self.now, || format!("host {host}, slice {}", call.slice));
        }
        let entry = &mut self.calls[index as usize];
        entry.tries += 1;
        entry.serial += 1;
        entry.host = host;
        let serial = entry.serial;
        self.measured.at(call.arrived).tries += 1;
        if self.kind == Kind::PowerOfTwo {
            *self.held.entry((call.proxy, host)).or_default() += 1;
        }
        self.plan(
            self.now + (TRY_PART * left).max(0.01).min(left.max(0.0)),
            Event::TimedOut { call: index, age, serial },
        );
        if !self.parted(zone, there) {
            let way = self.way(zone, there);
            self.plan(self.now + way, Event::Reach { call: index, age, serial, host });
        }
    }

    pub(super) fn reach(&mut self, index: u32, age: u32, serial: u16, host: u32) {
        let Some(call) = self.live(index, age).filter(|call| call.serial == serial) else { return };
        let (now, fleet) = (self.now, &self.scenario.fleet);
        let zone = self.proxies[call.proxy as usize].zone;
        let limit = call.arrived + self.scenario.load.routes[call.route as usize].limit;
        let h = &mut self.hosts[host as usize];
        let how = match () {
            _ if !h.up || h.fallen || h.state == State::Gone => Some(How::Refused),
            _ if h.queue.len() >= fleet.queue_most => Some(How::Throttled),
            _ => None,
        };
        if let Some(how) = how {
            let back = self.way(zone, self.hosts[host as usize].zone);
            return self.plan(now + back, Event::Reply { call: index, age, serial, how });
        }
        if h.pushed(now, call.work, fleet) {
            // It stays down, and all that it holds is broken off.
            h.fallen = true;
            self.rules.broke(Rule::PushedOver, now, || format!("host {host}"));
            return self.ended(host);
        }
        h.queue.push_back(Job { call: index, age, serial, work: call.work, until: limit });
        self.work_on(host);
    }

    /// Free cores take what waits; what has been given up is not begun.
    pub(super) fn work_on(&mut self, host: u32) {
        let (now, cores) = (self.now, self.scenario.fleet.cores);
        while self.hosts[host as usize].running < cores && !self.hosts[host as usize].hung {
            let Some(job) = self.hosts[host as usize].queue.pop_front() else { return };
            let live =
                self.live(job.call, job.age).filter(|call| call.serial == job.serial && now < job.until);
            let Some(call) = live else { continue };
            let entry = &mut self.calls[job.call as usize];
            entry.ran += 1;
            let repeatable = self.scenario.load.routes[call.route as usize].repeatable;
            if call.ran >= 1 && call.ordered && !repeatable {
                self.rules.broke(Rule::Twice, now, || format!("a call of slice {}", call.slice));
            }
            let h = &mut self.hosts[host as usize];
            let left = h.remembered(now, call.slice, &self.scenario.fleet);
            let takes = job.work * left * f64::from(cores) / h.does(now, &self.scenario.fleet).max(1e-9);
            h.running += 1;
            h.doing.push(job);
            h.service = 0.9 * h.service + 0.1 * takes;
            let life = h.life;
            self.plan(now + takes, Event::Finish { host, life, job });
        }
    }

    pub(super) fn finish(&mut self, host: u32, life: u32, job: Job) {
        let h = &mut self.hosts[host as usize];
        if h.life != life {
            return;
        }
        if h.hung {
            // It is stuck: what it holds comes out when it goes on, if ever.
            return self.plan(self.now + 0.5, Event::Finish { host, life, job });
        }
        h.running -= 1;
        h.doing.retain(|other| (other.call, other.age, other.serial) != (job.call, job.age, job.serial));
        h.answered += 1;
        let there = h.zone;
        if let Some(call) = self.live(job.call, job.age).filter(|call| call.serial == job.serial) {
            let zone = self.proxies[call.proxy as usize].zone;
            if !self.parted(zone, there) {
                let back = self.way(zone, there);
                let Job { call, age, serial, .. } = job;
                self.plan(self.now + back, Event::Reply { call, age, serial, how: How::Answered });
            }
        }
        self.work_on(host);
    }

    /// A host's process ends, and the connections of all that it holds break.
    pub(super) fn ended(&mut self, host: u32) {
        let there = self.hosts[host as usize].zone;
        for job in self.hosts[host as usize].end() {
            let live = self.live(job.call, job.age).filter(|call| call.serial == job.serial);
            let Some(zone) = live.map(|call| self.proxies[call.proxy as usize].zone) else { continue };
            if !self.parted(zone, there) {
                let (back, Job { call, age, serial, .. }) = (self.way(zone, there), job);
                self.plan(self.now + back, Event::Reply { call, age, serial, how: How::Broken });
            }
        }
    }

    fn met(&mut self, call: &Call, well: bool, rt: f64) {
        if let Some(held) = self.held.get_mut(&(call.proxy, call.host)) {
            *held = held.saturating_sub(1);
        }
        let fleet = &self.scenario.fleet;
        let proxy = &mut self.proxies[call.proxy as usize];
        proxy.met(call.host, well, self.now, fleet.ejects_after, fleet.ejects_for);
        let sum = &mut self.sums[proxy.zone as usize * self.hosts.len() + call.host as usize];
        sum.tries += 1;
        *(if well { &mut sum.answered } else { &mut sum.dropped }) += 1;
        sum.rt += if well { rt } else { 0.0 };
    }

    pub(super) fn reply(&mut self, index: u32, age: u32, serial: u16, how: How) {
        let Some(call) = self.live(index, age).filter(|call| call.serial == serial) else { return };
        let took = self.now - call.arrived;
        self.met(&call, how == How::Answered, took);
        match how {
            How::Answered => self.answered(index, &call, took),
            How::Throttled | How::Refused => self.again(index, age, &call, true),
            How::Broken => self.again(index, age, &call, false),
        }
    }

    pub(super) fn timed_out(&mut self, index: u32, age: u32, serial: u16) {
        let Some(call) = self.live(index, age).filter(|call| call.serial == serial) else { return };
        self.met(&call, false, 0.0);
        self.again(index, age, &call, false);
    }

    /// A proxy may try another host, as its director has it; a client asks again by itself.
    fn again(&mut self, index: u32, age: u32, call: &Call, never_ran: bool) {
        // A later answer is none any more.
        self.calls[index as usize].serial += 1;
        let director = call.slice as usize % self.directors.len();
        let applied = self.proxies[call.proxy as usize].applied[director];
        let (_, way) = *self.levels[director][call.route as usize].at(applied);
        let left = call.arrived + self.scenario.load.routes[call.route as usize].limit - self.now;
        let tries = match way {
            0 => 1,
            1 => 1 + u8::from(never_ran),
            more => more,
        };
        if call.tries < tries && left > 0.02 {
            // What ran for certain may have run; that it is tried again is by order, unless it never ran.
            self.calls[index as usize].ordered |= !never_ran;
            return self.try_host(index, age, Some(call.host));
        }
        self.failed(index, age, false);
    }

    fn failed(&mut self, index: u32, age: u32, throttled: bool) {
        let Some(call) = self.live(index, age) else { return };
        let load = &self.scenario.load;
        let routes = load.routes.len();
        self.demand[call.slice as usize * routes + call.route as usize].1 += 1;
        let left = call.arrived + load.routes[call.route as usize].limit - self.now;
        if u32::from(call.asks) <= load.again && left > load.again_after + 0.02 {
            // Whether a client's own second try runs twice is no director's doing.
            self.calls[index as usize].ran = 0;
            self.calls[index as usize].ordered = false;
            return self.plan(self.now + load.again_after, Event::AskAgain { call: index, age });
        }
        let second = self.measured.at(call.arrived);
        *(if throttled { &mut second.throttled } else { &mut second.dropped }) += 1;
        self.over(index);
    }

    fn answered(&mut self, index: u32, call: &Call, took: f64) {
        let route = &self.scenario.load.routes[call.route as usize];
        let (importance, in_time) = (route.importance, took <= route.slo);
        let second = self.measured.at(call.arrived);
        second.answered += 1;
        if in_time {
            second.served += importance;
            self.measured.by_route[call.route as usize].1 += importance;
        } else {
            self.measured.at(call.arrived).late += 1;
        }
        let _ = self.measured.latency[call.route as usize].record((took * 1e3).max(1.0) as u64);
        self.over(index);
    }

    /// The one place where a call's place is given back.
    fn over(&mut self, index: u32) {
        self.calls[index as usize].over = true;
        self.free.push(index);
    }
}
