//! Proxies: what of the directors' messages they have applied, whom they keep away from, and how they pick.

use rustc_hash::FxHashMap;

/// Something that changes with a director's messages: what it is after each of them.
#[derive(Clone, Debug)]
pub struct History<T>(Vec<(u32, T)>);

impl<T: Clone> History<T> {
    pub fn new(first: T) -> Self {
        History(vec![(0, first)])
    }

    pub fn at(&self, applied: u32) -> &T {
        let place = self.0.partition_point(|(message, _)| *message <= applied);
        &self.0[place.saturating_sub(1)].1
    }

    pub fn last(&self) -> &T {
        &self.0[self.0.len() - 1].1
    }

    pub fn set(&mut self, message: u32, value: T) {
        match self.0.last_mut() {
            Some((last, old)) if *last == message => *old = value,
            _ => self.0.push((message, value)),
        }
    }

    /// What nobody can have applied any more is given back.
    pub fn forget(&mut self, applied_by_all: u32) {
        let place = self.0.partition_point(|(message, _)| *message <= applied_by_all);
        self.0.drain(..place.saturating_sub(1));
    }
}

pub type Table = std::rc::Rc<Vec<(u32, f64)>>;

#[derive(Clone, Debug)]
pub struct Proxy {
    pub zone: u16,
    /// Of each director: the last message that it has applied, and when the next can be.
    pub applied: Vec<u32>,
    pub applied_at: Vec<f64>,
    /// Failures in a row at a host, and until when it keeps away.
    shy: FxHashMap<u32, (u8, f64)>,
}

impl Proxy {
    pub fn new(zone: u16, directors: usize) -> Self {
        Proxy {
            zone,
            applied: vec![0; directors],
            applied_at: vec![0.0; directors],
            shy: FxHashMap::default(),
        }
    }

    pub fn shuns(&self, host: u32, now: f64) -> bool {
        self.shy.get(&host).is_some_and(|(_, until)| now < *until)
    }

    pub fn met(&mut self, host: u32, well: bool, now: f64, after: u8, lasts: f64) {
        if well {
            self.shy.remove(&host);
            return;
        }
        let (many, until) = self.shy.entry(host).or_insert((0, 0.0));
        *many += 1;
        if *many >= after {
            (*many, *until) = (0, now + lasts);
        }
    }
}
