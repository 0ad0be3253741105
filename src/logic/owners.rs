//! Who owns a slice: weights, scores, rooms; start, moves off hosts that leave, balancing.

use super::*;
use coppersail_rebalancer::{Board, Holder};

impl Tables {
    /// The weight by which counts are reckoned: as listed, less what a young host can't carry yet.
    pub(super) fn unit(&self, host: HostId) -> f64 {
        self.views.get(&host).map_or(1.0, |v| coppersail_rebalancer::unit(v.weight, self.weight) * v.ramp)
            * self.wish(host)
    }

    /// The paper's score; a slice without counted calls scores as the average one.
    pub(super) fn score(&mut self, f: &Figures) {
        // Inc has the paper's own value; the heaviest route is the one with the longest SLO time.
        const INC: f64 = 1.5;
        let heaviest = (0..f.slo_times.len()).max_by(|a, b| f.slo_times[*a].total_cmp(&f.slo_times[*b]));
        let rows: Vec<&[f64]> = self.slices.values().map(|slice| &slice.demand[..]).collect();
        let scores = coppersail_rebalancer::scores(&rows, heaviest, INC);
        self.slices.values_mut().zip(scores).for_each(|(slice, score)| slice.score = score);
    }

    /// The score that a host may still be listed for. All calls of a young one's tables, if others fail, may
    /// ask 0.6 of the fall multiple, or twice what it can do; double that while the fleet answers quickly, or
    /// no more calls come than when it last did: then it is slow because few hosts carry them.
    pub(super) fn rooms(&self, f: &Figures) -> Sums {
        // With under four fifths of the fleet left calls come again, so young hosts may add less.
        let (most, open) = (self.most.max(1) as f64, self.open().len() as f64);
        let part = self.slices.values().map(|s| s.score).sum::<f64>() / most * (open / most / 0.8).min(1.0);
        // With proxies out of reach few calls come, till they are back at once; the unmeasured is not quick.
        let crowd = if self.calls > 0.5 * self.borne { 2.0 * self.borne / self.calls } else { 0.0 };
        let quick = if self.rt > 0.0 { (0.5 * f.tightest_slo / self.rt).max(crowd) } else { 1.0 };
        let spare = quick.clamp(1.0, 2.0);
        let most = (0.6 * f.fall_multiple).min(2.0) * spare * part;
        let limit = |v: &View| if v.ramp < 1.0 { most * v.ramp } else { f64::INFINITY };
        let mut rooms: Sums = self.views.iter().map(|(host, v)| (*host, limit(v))).collect();
        for slice in self.slices.values() {
            add(&mut rooms, slice.owner, -slice.score);
            add(&mut rooms, slice.standby, -slice.score);
        }
        rooms
    }

    /// The open host with room that would hold fewest slices per unit of weight, the longest listed. For a
    /// standby the least loaded, young ones late; the owner's zone counts as two, each shared one as 0.7.
    pub(super) fn emptiest(&self, (counts, rooms): &Plan, (id, score): (SliceId, f64), owner: Seat) -> Seat {
        let zone = owner.and_then(|owner| self.views.get(&owner)).map(|v| v.zone);
        let mut shared = Sums::new();
        let mine = self.slices.values().filter(|s| owner.is_some() && s.owner == owner);
        mine.for_each(|s| add(&mut shared, s.standby, 1.0));
        let key = |host: HostId| {
            let view = &self.views[&host];
            let zone = if zone == Some(view.zone) { 2.0 } else { 0.0 };
            let shared = shared.get(&host).copied().unwrap_or(0.0);
            let unit = if owner.is_some() { self.able(host) * view.ramp.sqrt() } else { self.unit(host) };
            (rooms[&host] < score, (counts[&host] + 1.0 + zone + 0.7 * shared) / unit, view.senior)
        };
        let room = |host: &HostId| owner.is_none() || rooms[host] >= score;
        let fits = |host: &HostId| Some(*host) != owner && room(host) && !self.apart(id, *host);
        coppersail_rebalancer::seat(self.open().into_iter().filter(fits).map(|host| (key(host), host)))
    }

    /// Takes a slice from a host and gives it to the emptiest one, in a plan of counts and rooms.
    pub(super) fn reseat(&self, plan: &mut Plan, old: Seat, slice: (SliceId, f64), owner: Seat) -> Seat {
        add(&mut plan.0, old, -1.0);
        add(&mut plan.1, old, slice.1);
        let new = self.emptiest(plan, slice, owner);
        add(&mut plan.0, new, 1.0);
        add(&mut plan.1, new, -slice.1);
        new
    }

    /// Even, but a holder keeps slices up to two over its part, for caches; `rescue` places the others.
    pub(super) fn lay(&mut self, f: &Figures, post: &mut Post) {
        let fresh = self.slices.values().filter(|slice| slice.owner.is_none()).count();
        if fresh == 0 {
            return;
        }
        self.score(f);
        let units: f64 = self.open().into_iter().map(|host| self.unit(host)).sum();
        let (mut counts, mut slices) = (self.counts(), std::mem::take(&mut self.slices));
        let all = slices.len() as f64;
        for (id, slice) in slices.iter_mut().filter(|(_, slice)| slice.owner.is_none()) {
            let open = slice.lines.iter().filter(|(h, _)| self.is_open(**h) && !self.apart(*id, **h));
            let holder = open.max_by(|a, b| a.1.total_cmp(b.1)).map(|(host, _)| *host);
            slice.owner = holder.filter(|host| counts[host] < (all * self.unit(*host) / units).ceil() + 2.0);
            add(&mut counts, slice.owner, 1.0);
            slice.standby = slice.lines.keys().copied().find(|host| Some(*host) != slice.owner);
        }
        self.slices = slices;
        post.log(format!("{fresh} slices laid"), vec![]);
    }

    /// Moves slices of gone and draining hosts, of those withdrawn a while, and those beyond a host's room;
    /// and what operators want moved, which goes home when they want it no more and home can have it.
    pub(super) fn rescue(&mut self, now: f64, f: &Figures) {
        let mut plan = (self.counts(), self.rooms(f));
        // Two seconds: past a passing fault, and before the list would tell.
        let ready = self.views.iter().filter(|(_, v)| v.ready).map(|(host, _)| *host);
        let stays = |host: &HostId| self.withdrawn.get(host).is_none_or(|since| now - since <= 2.0);
        let kept: BTreeSet<HostId> = ready.filter(stays).collect();
        // Past its part, a host that operators made smaller gives slices up at once, not by and by.
        let units: f64 = self.open().into_iter().map(|host| self.unit(host)).sum();
        let part = |host: HostId| (self.slices.len() as f64 * self.unit(host) / units.max(1e-9)).ceil();
        let over = |host: HostId, many: f64| self.wish(host) < 1.0 && many > part(host);
        let mut ranked: Vec<(f64, SliceId)> = self.slices.iter().map(|(id, s)| (s.score, *id)).collect();
        ranked.sort_by(|a, b| b.0.total_cmp(&a.0));
        let mut moved = Vec::new();
        for (score, id) in ranked {
            let (old, home) = (self.slices[&id].owner, self.slices[&id].home);
            let sound = old.is_some_and(|old| kept.contains(&old) && plan.1[&old] >= 0.0);
            let wished = |host: HostId| self.drained(host) || self.apart(id, host);
            let unwanted = |old: HostId| wished(old) || over(old, plan.0[&old]);
            // Had it stayed at home, it would now go where the slices of hosts that went go.
            let homeless = home.is_some_and(|h| !wished(h) && !self.views.get(&h).is_some_and(|v| v.ready));
            if !sound || homeless || old.is_some_and(unwanted) {
                let new = self.reseat(&mut plan, old, (id, score), None).or(old);
                moved.push((id, new, home.or(old).filter(|_| sound && !homeless && new != old)));
                continue;
            }
            let fits = |home: HostId| plan.1[&home] >= score && !over(home, plan.0[&home] + 1.0);
            let back = |home: &HostId| self.is_open(*home) && !self.apart(id, *home) && fits(*home);
            if let Some(home) = home.filter(back) {
                [(old, -1.0), (Some(home), 1.0)].iter().for_each(|(host, sign)| {
                    add(&mut plan.0, *host, *sign);
                    add(&mut plan.1, *host, -sign * score);
                });
                moved.push((id, Some(home), None));
            }
        }
        for (id, owner, home) in moved {
            self.slices.entry(id).and_modify(|slice| (slice.owner, slice.home) = (owner, home));
        }
    }

    /// The paper's balancing, on a board of the hosts in view: what is not open neither gives nor takes.
    pub(super) fn balance(&mut self, now: f64, f: &Figures, post: &mut Post) {
        let (rooms, hosts): (Sums, Vec<HostId>) = (self.rooms(f), self.views.keys().copied().collect());
        let place = |host: HostId| hosts.binary_search(&host).ok();
        let holder = |host: &HostId| {
            let (listed, open, room) = (self.views[host].senior.0, self.is_open(*host), rooms[host]);
            // Newly listed: since the start of this director, for as long as a host takes to be warm.
            let young = listed > 0.0 && now - listed < f.ramp_time;
            Holder { unit: self.unit(*host), listed_at: Some(listed), young, open, leaving: !open, room }
        };
        let ids: Vec<SliceId> = self.slices.keys().copied().collect();
        let apart = self.wishes.apart.iter().chain(self.refused.keys()).filter(|(id, h)| self.apart(*id, *h));
        let barred = apart.filter_map(|(id, host)| Some((ids.binary_search(id).ok()?, place(*host)?)));
        let mut board = Board { barred: barred.collect(), ..Board::default() };
        board.holders = hosts.iter().map(holder).collect();
        board.owners = self.slices.values().map(|slice| slice.owner.and_then(place)).collect();
        board.scores = self.slices.values().map(|slice| slice.score).collect();
        // Where a director sees a part of the slices, the gaps of all, as chance has it, add up by the root.
        board.part = Some((ids.len() as f64 / f.all_slices.max(1.0)).min(1.0));
        let begun = self.balancing.moving;
        let next = self.balancing.step(&board);
        if let Some((from, to, gap)) = board.gap().filter(|_| self.balancing.moving && !begun) {
            post.log(format!("balancing starts, a gap of {gap:.1} slices"), vec![hosts[from], hosts[to]]);
        }
        let moved = next.and_then(|next| Some((self.slices.get_mut(&ids[next.slice])?, hosts[next.to])));
        moved.into_iter().for_each(|(slice, to)| (slice.owner, slice.home) = (Some(to), None));
    }
}
