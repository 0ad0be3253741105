//! Who stands by, and what part of a slice goes there.

use super::*;

impl Tables {
    /// Weights of a standby line: from a trickle that keeps its connections open to more than the owner's.
    const NOTCHES: [f64; 6] = [0.1, 0.2, 0.4, 0.7, 1.2, 2.0];

    /// Every slice has a second line where a further try, or a withdrawn host's part, can go.
    pub(super) fn standbys(&mut self, f: &Figures) {
        if f.exclusive {
            return;
        }
        let mut plan = (self.loads(), self.rooms(f));
        // An owner far over the fleet's mean and a standby nearly as full can't help each other.
        let full = |host: &HostId| self.full.get(host).copied().unwrap_or(0.0);
        let stuck = |owner: &HostId, h: &HostId| full(owner) > 1.6 * self.mean && full(h) > 0.7 * full(owner);
        for id in self.slices.keys().copied().collect::<Vec<_>>() {
            let slice = &self.slices[&id];
            let Some(owner) = slice.owner else { continue };
            let open = |h: HostId| owner != h && self.is_open(h) && !self.apart(id, h);
            let fit = |h: HostId| open(h) && plan.1[&h] >= 0.0 && !stuck(&owner, &h);
            if slice.standby.is_some_and(fit) {
                continue;
            }
            let standby = self.reseat(&mut plan, slice.standby, (id, slice.score), Some(owner));
            self.slices.entry(id).and_modify(|slice| (slice.standby, slice.notch) = (standby, 0));
        }
    }

    /// By age, ease, and reported speed against the fleet's; else half of what response times say, in logs.
    pub(super) fn able(&self, host: HostId) -> f64 {
        let Some(view) = self.views.get(&host) else { return 1.0 };
        let against = match view.speed {
            _ if view.ramp < 1.0 => 1.0,
            Some(speed) => speed / self.speed,
            None if view.answered >= 1.0 => (self.rt / view.rt).sqrt(),
            None => 1.0,
        };
        // Between half and one and a half: the spread of machines; more is a fault, for which ease is there.
        view.ramp * view.ease * against.clamp(0.5, 1.5) * self.wish(host)
    }

    /// What each host's lines bring it, in slices of the average score.
    pub(super) fn loads(&self) -> Sums {
        let average = self.slices.values().map(|s| s.score).sum::<f64>() / self.slices.len().max(1) as f64;
        let mut loads: Sums = self.views.keys().map(|host| (*host, 0.0)).collect();
        for slice in self.slices.values() {
            let lines = self.desired(slice);
            let part = slice.score / average / lines.values().sum::<f64>();
            lines.into_iter().for_each(|(host, weight)| add(&mut loads, Some(host), weight * part));
        }
        loads
    }

    /// Shares the slices of a host that carries more, for what it can, than the fleet and the standby.
    pub(super) fn share(&mut self) {
        self.full = self.loads();
        let able: Vec<f64> = self.full.keys().map(|host| self.able(*host)).collect();
        self.full.values_mut().zip(able).for_each(|(load, able)| *load /= able);
        let open = || self.full.iter().filter(|(host, _)| self.is_open(**host));
        self.mean = open().map(|(_, load)| load).sum::<f64>() / open().count().max(1) as f64;
        let (loads, mean) = (&self.full, self.mean);
        for slice in self.slices.values_mut() {
            let load = |h: Seat| h.and_then(|h| loads.get(&h)).copied().unwrap_or(0.0);
            let (own, other) = (load(slice.owner), load(slice.standby));
            // A quarter more than its standby: past the noise of the counts.
            if own > 1.25 * other && own > mean {
                slice.notch = (slice.notch + 1).min(Self::NOTCHES.len() - 1);
            } else if own < other {
                slice.notch = slice.notch.saturating_sub(1);
            }
        }
    }

    /// The lines that a slice's table should have.
    pub(super) fn desired(&self, slice: &Slice) -> Sums {
        // With nobody open to own it, what stands is better than nothing.
        let Some(owner) = slice.owner else { return slice.lines.clone() };
        // A line that stands keeps its weight, so that only its partner's need be told.
        let base = slice.lines.get(&owner).copied().filter(|weight| *weight > 0.01).unwrap_or(1.0);
        let mut lines = Sums::from([(owner, base)]);
        if let Some(standby) = slice.standby {
            let part = Self::NOTCHES[slice.notch] * self.able(standby) / self.able(owner);
            // A young owner takes no more than its age allows; the standby, if older, the rest.
            let ramp = |host: HostId| self.views.get(&host).map_or(1.0, |v| v.ramp);
            let rest = if ramp(standby) > ramp(owner) { 1.0 / ramp(owner) - 1.0 } else { 0.0 };
            lines.insert(standby, base * part.max(rest).clamp(0.02, 50.0));
        }
        lines
    }
}
