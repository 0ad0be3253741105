//! Faults: whom they meet, whether so much may be lost at once, what they do.
use super::*;

impl World<'_> {
    pub(super) fn lost(&self, m: usize) -> bool {
        let machine = &self.machines[m];
        let armed = machine.process.as_ref().is_some_and(|p| p.trap.is_some());
        armed || machine.troubled(self.now) || self.now < machine.back + SYNC * MS
    }

    pub(super) fn may(&self, more: &[usize]) -> bool {
        let lost = |m: &&usize| self.lost(**m) || more.contains(m);
        self.day.forced || self.day.wild || self.places.iter().filter(lost).count() <= self.day.survive
    }

    pub(super) fn whom(&self, who: Who, lot: u64) -> usize {
        let here = |m: Option<usize>| m.filter(|m| self.places.contains(m));
        let (primary, backup) = (here(self.primary), here(self.backup));
        let any = self.places[lot as usize % self.places.len()];
        match who {
            Who::Place(place) => self.places[place % self.places.len()],
            Who::Primary => primary.unwrap_or(any),
            Who::Backup => backup.unwrap_or(any),
            Who::Witness => {
                let others: Vec<usize> = self
                    .places
                    .iter()
                    .copied()
                    .filter(|m| Some(*m) != primary && Some(*m) != backup)
                    .collect();
                if others.is_empty() {
                    any
                } else {
                    others[lot as usize % others.len()]
                }
            }
        }
    }

    /// Addresses that the platform puts into a settings file now.
    pub(super) fn seeds(&self, seeds: &Seeds, lot: u64, not: Option<usize>) -> Vec<String> {
        let mut luck = Rng::with_seed(lot);
        let up: Vec<usize> =
            self.places.iter().copied().filter(|m| Some(*m) != not && self.machines[*m].runs()).collect();
        let mut some = up.clone();
        luck.shuffle(&mut some);
        match seeds {
            Seeds::Running => {}
            Seeds::Newest => some.sort_by_key(|m| Reverse(self.machines[*m].listed)),
            Seeds::Lost => some.sort_by_key(|m| !self.machines[*m].troubled(self.now)),
            Seeds::Of(places) => some = places.iter().map(|p| self.places[p % self.places.len()]).collect(),
        }
        some.into_iter().take(3).map(|m| self.machines[m].admin()).collect()
    }

    pub(super) fn fault(&mut self, n: usize) {
        let fault = &self.day.faults[n];
        if fault.at >= self.day.length {
            return;
        }
        let name = fault.what.name();
        let m = self.whom(fault.who, fault.lot);
        let came = self.try_fault(m, &fault.what, fault.when, fault.lot);
        let count = self.tally.faults.entry(name).or_default();
        if came {
            count.0 += 1;
        } else {
            count.1 += 1;
        }
    }

    pub(super) fn try_fault(&mut self, m: usize, what: &What, when: Moment, lot: u64) -> bool {
        let all = what.all();
        let mut side = vec![m];
        if let What::Cut { with, .. } = what {
            let more: Vec<usize> = with.iter().map(|w| self.whom(*w, lot)).collect();
            side.extend(more);
            side.sort_unstable();
            side.dedup();
            if side.len() >= self.places.len() {
                return false;
            }
        }
        if self.day.wild && what.loses_disk() {
            return false;
        }
        let gone = self.machines[m].power == Power::Gone;
        // One that leaves may meet with anything but another order to leave.
        let hard = matches!(
            what,
            What::Kill { .. }
                | What::Power { .. }
                | What::LoseDisk { .. }
                | What::Freeze { .. }
                | What::Cut { .. }
        );
        let runs = self.machines[m].process.as_ref().is_some_and(|p| hard || !p.leaving);
        if what.core() && !all && !matches!(what, What::Hup { .. } | What::Return) && !self.may(&side) {
            return false;
        }
        if all && !self.day.forced && !self.day.wild && self.places.iter().any(|m| self.lost(*m)) {
            return false;
        }
        let needs = !all && what.core() && !matches!(what, What::Return);
        if needs && (gone || !runs) {
            return false;
        }
        if what.single() && when != Moment::Now && side.len() == 1 {
            let Some(p) = &mut self.machines[m].process else { return false };
            p.trap = Some((when, what.clone(), lot));
            let life = p.life;
            self.after(TRAP, Ev::TrapEnds { m, life });
            return true;
        }
        if what.core() {
            self.troubles.push_back((self.now, what.name()));
        }
        let ip = self.machines[m].ip.clone();
        let text = || format!("{}: {what:?}", what.name());
        self.say(
            if all {
                "all"
            } else if what.core() {
                &ip
            } else {
                ""
            },
            text,
        );
        self.begin(m, side, what, lot);
        true
    }

    /// What is found later is nothing, or something that the store knows to be torn or too old.
    pub(super) fn lose_disk(&mut self, m: usize, lot: u64) {
        let machine = &mut self.machines[m];
        machine.first = false;
        machine.disk = Default::default();
        machine.disk.kept = if lot & 1 << 50 == 0 { FolderCondition::Fresh } else { FolderCondition::Lost };
    }

    pub(super) fn power_off(&mut self, m: usize, down: Us) {
        self.end(m, false);
        if self.machines[m].power == Power::Gone {
            return;
        }
        self.machines[m].power = Power::Off;
        let ends = self.machines[m].ends;
        self.after(down, Ev::Start { m, ends });
    }

    pub(super) fn kill(&mut self, m: usize, down: Us) {
        self.end(m, true);
        let ends = self.machines[m].ends;
        self.after(down, Ev::Start { m, ends });
    }

    pub(super) fn term(&mut self, m: usize, down: Us, goes: bool) {
        let machine = &mut self.machines[m];
        (machine.goes, machine.down_after) = (goes, down);
        let Some(p) = &mut machine.process else { return };
        p.leaving = true;
        let life = p.life;
        self.touch(m, false);
        self.after(LEEWAY * MS, Ev::KillNow { m, life });
        self.happen(Ev::Term { m, life });
    }

    pub(super) fn cut(&mut self, side: &[usize], from: u64, to: u64, way: Way, ms: Ms) {
        self.ends += 1;
        let id = self.ends;
        if way != Way::Hears {
            self.cuts.push(Cut { id, from, to });
        }
        if way != Way::Sends {
            self.cuts.push(Cut { id, from: to, to: from });
        }
        for m in side {
            self.machines[*m].cuts += 1;
            self.touch(*m, false);
        }
        self.lone();
        self.after(ms * MS, Ev::CutEnds(id));
        self.cut_sides.push((id, side.to_vec()));
    }

    pub(super) fn heal_cut(&mut self, id: u32) {
        self.cuts.retain(|c| c.id != id);
        if let Some(at) = self.cut_sides.iter().position(|(i, _)| *i == id) {
            let (_, side) = self.cut_sides.swap_remove(at);
            for m in side {
                self.machines[m].cuts -= 1;
                self.touch(m, true);
                let ip = self.machines[m].ip.clone();
                self.say(&ip, || "is joined again".into());
            }
        }
        self.lone();
        self.release();
    }

    /// What a cut has held up goes on, or not.
    pub(super) fn release(&mut self) {
        for (at, a, b, ev) in std::mem::take(&mut self.held_up) {
            if self.now > at + HELD_UP {
                continue;
            }
            if self.blocked(a, b) {
                self.held_up.push((at, a, b, ev));
            } else {
                let late = self.net.u64(0..1000 * MS);
                self.after(late, ev);
            }
        }
    }

    /// Who can't hear and be heard by any other.
    pub(super) fn lone(&mut self) {
        for m in 0..self.machines.len() {
            let me = 1 << m;
            let others =
                (0..self.machines.len()).filter(|o| *o != m && self.machines[*o].power != Power::Gone);
            let near = others.into_iter().any(|o| !self.blocked(me, 1 << o) && !self.blocked(1 << o, me));
            let machine = &mut self.machines[m];
            machine.alone_since = if near { None } else { machine.alone_since.or(Some(self.now)) };
        }
    }

    pub(super) fn begin(&mut self, m: usize, side: Vec<usize>, what: &What, lot: u64) {
        let mask = |all: &[usize]| all.iter().fold(0u64, |mask, m| mask | 1 << m);
        match what {
            What::Kill { down } => self.kill(m, down * MS),
            What::Power { down } => self.power_off(m, down * MS),
            What::LoseDisk { down } => {
                self.power_off(m, down * MS);
                self.lose_disk(m, lot);
            }
            What::Freeze { ms } => {
                let Some(p) = &mut self.machines[m].process else { return };
                p.frozen = true;
                let life = p.life;
                self.after(ms * MS, Ev::Thaw { m, life });
                self.touch(m, false);
            }
            What::Term { down } => self.term(m, down * MS, false),
            What::Hup { seeds } => {
                let life = self.machines[m].lives;
                self.machines[m].seeds = self.seeds(seeds, lot, None);
                self.happen(Ev::Hup { m, life });
            }
            What::Reseed { down, seeds } => {
                self.machines[m].seeds = self.seeds(seeds, lot, None);
                self.kill(m, down * MS);
            }
            What::Replace { term, gap, seeds, reuse } => {
                let Some(place) = self.machines[m].place else { return };
                if self.machines.len() >= MOST_MACHINES {
                    return;
                }
                if *term {
                    self.term(m, 0, true);
                } else {
                    self.end(m, false);
                    let machine = &mut self.machines[m];
                    (machine.power, machine.unlisted) = (Power::Gone, Some(self.now));
                }
                self.lone();
                let (seeds, reuse) = (seeds.clone(), *reuse);
                self.after(gap * MS, Ev::Newcomer { place, seeds, lot, reuse });
            }
            What::Move { down } => {
                let Some(place) = self.machines[m].place else { return };
                self.end(m, false);
                let old = &mut self.machines[m];
                (old.power, old.unlisted, old.place) = (Power::Gone, Some(self.now), None);
                let disk = std::mem::take(&mut old.disk);
                let new = self.machine(place, None);
                self.machines[new].disk = disk;
                self.machines[new].power = Power::Off;
                self.machines[new].seeds = self.seeds(&Seeds::Running, lot, Some(new));
                self.after(down * MS, Ev::Start { m: new, ends: 0 });
                self.lone();
            }
            What::Return => {
                let gone = |m: &usize| self.machines[*m].power == Power::Gone;
                let Some(m) = (0..self.machines.len()).rev().find(gone) else { return };
                let machine = &mut self.machines[m];
                (machine.power, machine.goes, machine.unlisted) = (Power::On, false, None);
                machine.place = None;
                let (ends, ip) = (machine.ends, machine.ip.clone());
                self.addresses.insert(ip, m);
                self.after(100 * MS, Ev::Start { m, ends });
                self.lone();
            }
            What::Cut { way, ms, clients, .. } => {
                let from = mask(&side);
                let to = if *clients { !from } else { !from & !CLIENTS };
                self.cut(&side, from, to, *way, *ms);
            }
            What::CutFrom { from, way, ms } => {
                let others: Vec<usize> =
                    from.iter().map(|w| self.whom(*w, lot)).filter(|o| *o != m).collect();
                self.cut(&side, 1 << m, mask(&others), *way, *ms);
            }
            What::Slow { extra, ms } => {
                self.machines[m].slow = (self.now + ms * MS, extra * MS);
                self.touch(m, false);
                self.after(ms * MS, Ev::Touch(m));
            }
            What::Noise { ms } => {
                self.machines[m].noisy_until = self.now + ms * MS;
                self.touch(m, false);
                self.after(ms * MS, Ev::Touch(m));
            }
            What::DiskSlow { ms } | What::DiskHangs { ms } | What::DiskFull { ms } => {
                let until = self.now + ms * MS;
                let disk = &mut self.machines[m].disk;
                match what {
                    What::DiskSlow { .. } => disk.slow_until = until,
                    What::DiskHangs { .. } => disk.hangs_until = until,
                    _ => disk.full_until = until,
                }
                self.touch(m, false);
                self.after(ms * MS, Ev::Touch(m));
            }
            What::KillAll { down } | What::PowerAll { down } | What::DiskAndPowerAll { down } => {
                let all: Vec<usize> =
                    (0..self.machines.len()).filter(|m| self.machines[*m].power != Power::Gone).collect();
                for one in all {
                    let down = down * MS + self.luck.u64(0..300 * MS);
                    match what {
                        What::KillAll { .. } => self.kill(one, down),
                        _ => self.power_off(one, down),
                    }
                    if one == m && matches!(what, What::DiskAndPowerAll { .. }) {
                        self.lose_disk(m, lot);
                    }
                }
                self.all_touched = self.now + down * MS + 300 * MS;
            }
            What::HostLeaves(n) => self.host_leaves(*n),
            What::HostCrashes(n) => self.host_crashes(*n),
            What::EdgeStarts(n) => self.edge_starts(*n),
            What::EdgeCut { edge, ms } => {
                let edge = edge % self.edges.len();
                self.edges[edge].cut_until = self.now + ms * MS;
                self.edges[edge].touched = self.now + ms * MS;
            }
            What::Order => {
                let n = self.new_order(0);
                self.send_order(n % 2, n, Some(m));
            }
            What::Storm(many) => self.storm(*many),
            What::Race => self.race(),
            What::Older => self.older(lot),
            What::Invalid => self.invalid(),
            What::Again => {
                if let Some(n) = self.ledger.last_acked() {
                    self.send_order(0, n, Some(m));
                }
            }
        }
    }

    /// Another machine for a place, not started yet.
    pub(super) fn machine(&mut self, place: usize, ip: Option<String>) -> usize {
        let zone = place % self.day.zones;
        let ip = ip.unwrap_or_else(|| format!("10.{}.0.{}", zone + 1, self.machines.len() + 101));
        let mut machine = Machine::new(ip, zone, place);
        machine.listed = self.now;
        machine.touched = self.now;
        self.add(machine)
    }

    pub(super) fn newcomer(&mut self, place: usize, seeds: &Seeds, lot: u64, reuse: bool) {
        let old = self.places[place];
        self.machines[old].place = None;
        let gone = |m: &&Machine| m.power == Power::Gone && m.ip != self.machines[old].ip;
        let ip = self.machines.iter().find(gone).map(|m| m.ip.clone()).filter(|_| reuse);
        let known = self.seeds(seeds, lot, Some(old));
        let m = self.machine(place, ip);
        self.machines[m].seeds = known;
        self.lone();
        let (ip, seeds) = (self.machines[m].ip.clone(), self.machines[m].seeds.clone());
        self.say(&ip, || format!("comes new and empty, told of {}", seeds.join(", ")));
        self.start(m, 0);
    }

    /// What the platform's list of those who serve `admin` says.
    pub(crate) fn listed(&self) -> Vec<usize> {
        let then = self.now.saturating_sub(LISTED * MS);
        let there = |m: &Machine| m.listed <= then && m.unlisted.is_none_or(|at| at > then);
        (0..self.machines.len()).filter(|m| there(&self.machines[*m])).collect()
    }
}
