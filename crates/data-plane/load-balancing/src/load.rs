//! How long a request would wait at a host, as far as one edge can tell.
use crate::Ms;

/// The least weight of a new measurement; one edge sees a host a few times in ten seconds.
const NEW_PART: f32 = 0.1;
/// Before that, the service's mean counts as so many measurements: one slow answer makes no slow host.
const PRIOR: f32 = 2.0;
/// What a host tells of others' requests is worth nothing once they have ended: two answer times.
const TOLD_LASTS: f32 = 2.0;
/// Hosts slow down when nearly full, so that a half full one is worth this part of an answer time.
const FILL_PRICE: f32 = 0.5;
/// Until a service's first answer, its answer time is only a unit for comparisons.
pub const UNMEASURED: f32 = 100.0;

#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Load {
    /// Requests of this edge under way.
    pub own: u32,
    others: f32,
    told_at: Ms,
    slots: u32,
    /// Answer time without a queue.
    mean: f32,
    measured: u32,
}

impl Load {
    pub fn new(capacity: u32) -> Load {
        Load { slots: capacity.max(1), ..Load::default() }
    }

    pub fn capacity(&mut self, capacity: u32) {
        self.slots = capacity.max(1);
    }

    /// A `Server-Load` told with an answer, when `own` still counted the request that it answers.
    pub fn told(&mut self, running: u32, waiting: u32, slots: u32, now: Ms) {
        self.others = ((running + waiting) as f32 - self.own as f32).max(0.0);
        self.told_at = now;
        if slots > 0 {
            self.slots = slots;
        }
    }

    /// It turned a request away: as if a whole round of others were at it.
    pub fn full(&mut self, now: Ms) {
        self.others = self.others.max(2.0 * self.slots as f32);
        self.told_at = now;
    }

    /// `busy` is what was under way when the request was sent, `usual` the service's mean.
    pub fn took(&mut self, took: Ms, busy: f32, usual: f32) {
        let alone = took as f32 / (busy / self.slots as f32).max(1.0);
        let before = [alone, usual, self.mean].into_iter().rfind(|mean| *mean > 0.0).unwrap_or(alone);
        let part = (1.0 / (self.measured as f32 + PRIOR)).max(NEW_PART);
        self.measured = self.measured.saturating_add(1);
        self.mean = before + part * (alone - before);
    }

    pub fn mean(&self) -> f32 {
        self.mean
    }

    /// Requests at the host, one more included.
    pub fn busy(&self, now: Ms, usual: f32) -> f32 {
        let lasts = TOLD_LASTS * if self.mean > 0.0 { self.mean } else { usual };
        let age = now.saturating_sub(self.told_at) as f32;
        let others = self.others * (1.0 - age / lasts.max(1.0)).max(0.0);
        self.own as f32 + others + 1.0
    }

    /// Expected time to the answer. `usual` stands in for a host that has not been measured.
    pub fn expected(&self, now: Ms, usual: f32) -> f32 {
        let mean = if self.mean > 0.0 { self.mean } else { usual };
        let (busy, slots) = (self.busy(now, usual), self.slots as f32);
        mean * ((busy / slots).max(1.0) + FILL_PRICE * ((busy - 1.0) / slots).min(1.0))
    }
}
