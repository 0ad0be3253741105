//! Hosts: cores, a queue, warming up, what they remember of keys, falling over.

use crate::scenario::Fleet;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// A try in a host's hands: whose, which of its tries, and how much work it is when warm.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    pub call: u32,
    pub age: u32,
    pub serial: u16,
    pub work: f64,
    pub until: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Debug)]
pub struct Host {
    pub zone: u16,
    pub speed: f64,
    /// When it last started; long before the beginning for those that were there.
    pub born: f64,
    pub up: bool,
    pub hung: bool,
    pub slow: f64,
    pub fallen: bool,
    pub state: State,
    pub running: u32,
    /// What its cores are at.
    pub doing: Vec<Job>,
    pub queue: VecDeque<Job>,
    /// Numbers its lives, so that what an earlier one began is not finished by a later one.
    pub life: u32,
    /// Work that was sent to it lately, by when: for falling over.
    sent: VecDeque<(f64, f64)>,
    sent_sum: f64,
    /// Of each slice, how many calls it has met lately, and when last.
    met: FxHashMap<u16, (f64, f64)>,
    /// Recent service time, answers and failures since the last report.
    pub service: f64,
    pub answered: u32,
}

impl Host {
    pub fn new(zone: u16, speed: f64, born: f64) -> Self {
        Host {
            zone,
            speed,
            born,
            up: true,
            hung: false,
            slow: 1.0,
            fallen: false,
            state: State::Ready,
            running: 0,
            doing: Vec::new(),
            queue: VecDeque::new(),
            life: 0,
            sent: VecDeque::new(),
            sent_sum: 0.0,
            met: FxHashMap::default(),
            service: 0.0,
            answered: 0,
        }
    }

    pub fn answers(&self) -> bool {
        self.up && !self.hung && !self.fallen
    }

    pub fn ramp(&self, now: f64, fleet: &Fleet) -> f64 {
        let age = (now - self.born).max(0.0);
        (fleet.cold_from + (1.0 - fleet.cold_from) * age / fleet.ramp_time.max(1e-9)).clamp(0.01, 1.0)
    }

    /// Work a second that all of its cores do now.
    pub fn does(&self, now: f64, fleet: &Fleet) -> f64 {
        f64::from(fleet.cores) * self.speed * self.ramp(now, fleet) / self.slow
    }

    /// What is left of a call's work: the more of its slice's calls came here lately, the likelier its key was among
    /// them. A slice whose calls are spread over many hosts is remembered by none.
    pub fn remembered(&mut self, now: f64, slice: u16, fleet: &Fleet) -> f64 {
        let (many, last) = self.met.entry(slice).or_insert((0.0, now));
        *many *= (-(now - *last) / fleet.memory_time.max(1e-9)).exp();
        let known = 1.0 - (-*many / fleet.keys.max(1e-9)).exp();
        (*many, *last) = (*many + 1.0, now);
        1.0 - fleet.memory_saves * known
    }

    /// Work is sent to it; true: it falls over by it.
    pub fn pushed(&mut self, now: f64, work: f64, fleet: &Fleet) -> bool {
        self.sent.push_back((now, work));
        self.sent_sum += work;
        while self.sent.front().is_some_and(|(at, _)| now - at > fleet.fall_time) {
            self.sent_sum -= self.sent.pop_front().map_or(0.0, |(_, work)| work);
        }
        let cold = self.ramp(now, fleet) < 1.0;
        cold && self.sent_sum > fleet.fall_multiple * self.does(now, fleet) * fleet.fall_time
    }

    /// It ends. Gives what it had in hand, whose connections break.
    pub fn end(&mut self) -> Vec<Job> {
        self.up = false;
        self.life += 1;
        self.running = 0;
        let held = self.doing.drain(..).chain(self.queue.drain(..)).collect();
        self.sent.clear();
        self.sent_sum = 0.0;
        self.met.clear();
        held
    }

    /// It starts anew, cold.
    pub fn begin(&mut self, now: f64) {
        (self.up, self.hung, self.born, self.slow, self.fallen) = (true, false, now, 1.0, false);
        self.state = State::Ready;
    }
}
