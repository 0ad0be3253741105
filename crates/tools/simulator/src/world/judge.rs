//! Calm times and what must hold in them; the end of a day.
use super::*;

impl World<'_> {
    /// More than half run and are connected, nothing is slowed, and no more are lost than may be.
    pub(super) fn connected(&self) -> bool {
        let good = |m: &&usize| self.machines[**m].runs() && self.machines[**m].cuts == 0;
        let slow = |m: &Machine| self.now < m.slow.0 || self.now < m.noisy_until;
        let troubled = self.places.iter().filter(|m| self.machines[**m].troubled(self.now)).count();
        2 * self.places.iter().filter(good).count() > self.places.len()
            && !self.machines.iter().any(slow)
            && (troubled <= self.day.survive || self.day.forced)
    }

    /// As the rules have it.
    pub(crate) fn settled(&self) -> bool {
        // Twice as long after a closing fault.
        let closed = if self.last_due < Us::MAX { self.all_touched + 2 * self.day.contact * MS } else { 0 };
        self.now >= closed.max(self.touched + self.day.contact * MS) && self.connected()
    }

    pub(super) fn calm(&self) -> Option<Us> {
        if !self.connected() || self.day.forced {
            return None;
        }
        let from = self.touched + (self.day.contact + SETTLE) * MS;
        let from = from.max(self.all_touched + 2 * self.day.contact * MS);
        (self.now >= from).then_some(from)
    }

    pub(super) fn scan(&mut self) {
        self.calm_from = self.calm();
        if let Some(from) = self.calm_from {
            self.orders_in_time(from + CONFIRM * MS, CONFIRM * MS);
        }
        self.edges_know();
        if self.closing.is_some() && self.now >= self.closing_from {
            if !std::mem::replace(&mut self.closing_sent, true) {
                let n = self.new_order(0);
                self.send_order(0, n, None);
            } else if self.now > self.closing_from + 2 * CONFIRM * MS {
                self.closing = None;
                self.read_back();
            }
        }
        if self.now > self.last_due && self.last.iter().any(|(_, done)| !done) {
            let left: Vec<&str> =
                self.last.iter().filter(|l| !l.1).map(|l| self.machines[l.0].ip.as_str()).collect();
            let what =
                format!("nothing is read back through {} within {} s", left.join(", "), HEAL / 1_000_000);
            let held: Held = Err((rule::LAST, what));
            self.check(held);
        }
    }

    // ---- the end ----

    /// All trouble is over, but for machines that are being replaced, which have their time.
    pub(super) fn heal(&mut self) {
        let leaves = |m: &Machine| m.power == Power::Gone || m.process.as_ref().is_some_and(|p| p.leaving);
        if self.places.iter().any(|m| leaves(&self.machines[*m])) {
            return self.after(200 * MS, Ev::Heal);
        }
        self.say("all", || "all trouble is over".into());
        for id in self.cut_sides.iter().map(|c| c.0).collect::<Vec<_>>() {
            self.heal_cut(id);
        }
        for m in 0..self.machines.len() {
            let now = self.now;
            let machine = &mut self.machines[m];
            machine.slow.0 = machine.slow.0.min(now);
            machine.noisy_until = machine.noisy_until.min(now);
            let disk = &mut machine.disk;
            (disk.slow_until, disk.full_until, disk.hangs_until) = (0, 0, 0);
            if let Some(p) = &mut machine.process {
                p.trap = None;
                let life = p.life;
                self.thaw(m, life);
            } else if machine.power != Power::Gone {
                let ends = machine.ends;
                self.start(m, ends);
            }
        }
        self.touched = self.now;
        if self.closing.is_some() {
            self.closing_from = self.now + (SYNC + self.day.contact + SETTLE) * MS;
        } else {
            self.read_back();
        }
    }

    /// An order was just acknowledged: the time for the closing fault, if there is one.
    pub(crate) fn close(&mut self) {
        if self.now < self.closing_from {
            return;
        }
        let Some(what) = self.closing.take() else { return };
        let lot = self.luck.u64(..);
        let who = [Who::Primary, Who::Backup, Who::Witness][lot as usize % 3];
        let m = self.whom(who, lot);
        let came = self.try_fault(m, &what, Moment::Now, lot);
        let count = self.tally.faults.entry(what.name()).or_default();
        if came {
            count.0 += 1;
        } else {
            count.1 += 1;
        }
        self.read_back();
    }

    pub(super) fn read_back(&mut self) {
        self.stop_operators();
        let from = self.now.max(self.all_touched);
        self.last_from = from;
        self.last_due = from + HEAL;
        self.last = self.places.iter().map(|m| (*m, false)).collect();
        for m in self.places.clone() {
            self.at(from, Ev::Last(m));
        }
    }

    pub(super) fn last_reads(&mut self, m: usize) {
        if self.last.contains(&(m, false)) {
            self.last_call(m, m, 0);
            self.after(PATIENCE / 2, Ev::Last(m));
        }
    }

    pub(super) fn last_call(&mut self, m: usize, to: usize, hops: u64) {
        // The number of hops so far and what must be read stand in the call's number.
        let call = self.ledger.floor() << 8 | hops;
        let origin = Origin { end: End::Last(m), life: 0, call };
        self.post(to, origin, Ask::Admin(Act::Read));
    }

    pub(super) fn last_hears(&mut self, m: usize, call: u64, say: Say) {
        let Say::Text(status, body) = say else { return };
        if !self.last.contains(&(m, false)) {
            return;
        }
        let (floor, hops) = (call >> 8, call & 255);
        if status == 307 && hops < 2 {
            if let Some(to) = self.location(&body) {
                self.last_call(m, to, hops + 1);
            }
            return;
        }
        let held = self.ledger.read(floor, self.now, status, &body);
        self.check(held);
        if status == 200 || status == 404 && floor == 0 {
            self.last.iter_mut().filter(|l| l.0 == m).for_each(|l| l.1 = true);
            if self.last.iter().all(|l| l.1) {
                self.tally.ends.push((self.now - self.last_from) / MS);
                self.over = true;
            }
        }
    }
}
