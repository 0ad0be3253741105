//! The state: taken from a primary, written to backups.
use super::*;

impl Core {
    /// A primary writes to this centre.
    pub(super) fn copy(&mut self, now: Ms, caller: Caller, copy: Copy, out: &mut Vec<Out>) {
        let life = self.life();
        let mut refuse = |why: &str| {
            let say = CopySay { ok: false, why: why.into(), life };
            out.push(Out::Reply { caller, say: Say::Copy(say) });
        };
        if copy.version != VERSION {
            return refuse("another version");
        }
        let (same, newer) = (copy.epoch == self.floor, copy.epoch > self.floor);
        let (takes, why) = match &copy.kind {
            CopyKind::Snapshot { sum: told } if sum(&copy.puts) != *told => (false, "the sum is wrong"),
            // One that comes late or twice must not undo the changes since.
            CopyKind::Snapshot { .. } => {
                let again = same && self.broken && copy.seq >= self.seq;
                (newer || again || same && flaw(Flaw::OldSnapshot), "a snapshot of before")
            }
            CopyKind::Join { epoch, seq } => {
                let just = !self.broken && !self.dirty && self.flight.is_none();
                let alike = self.floor == *epoch && self.seq == *seq || flaw(Flaw::JoinUnproven);
                (newer && just && alike, "holds something else")
            }
            CopyKind::Change => {
                let next = copy.seq == self.seq + 1 || copy.seq == self.seq;
                (same && !self.broken && next, "another epoch or a gap")
            }
        };
        if !takes {
            return refuse(why);
        }
        if newer {
            self.bid = None;
            // Two that may stand would drop each other's bids for ever: whose copy was taken is given its time.
            self.bid_at = self.bid_at.max(now + self.spans.call + self.chance(self.spans.call));
            self.step_down(now, out);
        }
        let snapshot = matches!(copy.kind, CopyKind::Snapshot { .. });
        if snapshot {
            self.held.clear();
            (self.broken, self.dirty) = (true, false);
        }
        (self.floor, self.seq) = (copy.epoch.clone(), copy.seq);
        // The same change again is written again: its first write may have failed.
        let puts = copy.puts;
        self.take(&puts);
        let alone = copy.kind == CopyKind::Change;
        let own = if alone { vec![(SEQ.into(), json(&self.seq))] } else { self.floor_puts() };
        let job = Job::Copied { caller, epoch: copy.epoch, seq: copy.seq, snapshot };
        self.write(now, job, (puts, snapshot, own), out);
    }

    /// An empty value is no value.
    pub(super) fn take(&mut self, puts: &[Put]) {
        for (name, value) in puts {
            if value.is_empty() {
                self.held.remove(name);
            } else {
                self.held.insert(name.clone(), value.clone());
            }
        }
    }

    pub(super) fn all(&self) -> Vec<Put> {
        self.held.iter().map(|(n, v)| (n.clone(), v.clone())).collect()
    }

    /// A change to be written; its ticket comes back in [`Out::Wrote`] or [`Out::Failed`].
    pub fn submit(&mut self, now: Ms, change: Change, out: &mut Vec<Out>) {
        if !self.acting(now) {
            return out.push(Out::Failed(vec![change.ticket]));
        }
        self.queue.push_back(change);
        self.pump(now, out);
    }

    /// Writes what is queued, all of it at a time, to all disks of the record.
    pub(super) fn pump(&mut self, now: Ms, out: &mut Vec<Out>) {
        let Role::Acting(record) = &self.role else { return };
        if self.flight.is_some() || self.bid.is_some() || self.queue.is_empty() || !self.acting(now) {
            return;
        }
        let record = record.clone();
        let changes: Vec<Change> = self.queue.drain(..).collect();
        let puts: Vec<Put> = changes.iter().flat_map(|c| c.puts.clone()).collect();
        self.seq += 1;
        let (seq, away) = (self.seq, record.backups.iter().cloned().collect());
        self.flight = Some(Flight { seq, began: now, changes, puts: puts.clone(), here: false, away });
        let own = vec![(SEQ.into(), json(&seq))];
        self.write(now, Job::Change { epoch: record.epoch.clone(), seq }, (puts.clone(), false, own), out);
        for to in &record.backups {
            let (epoch, kind) = (record.epoch.clone(), CopyKind::Change);
            let copy = Copy { version: VERSION, epoch: epoch.clone(), seq, kind, puts: puts.clone() };
            self.call(Ask::Change { to: to.clone(), epoch, seq, again: false }, to, Call::Copy(copy), out);
        }
    }

    /// The write has taken its time: only who still holds the lease may say that it is done.
    pub(super) fn landed(&mut self, now: Ms, out: &mut Vec<Out>) {
        if !self.flight.as_ref().is_some_and(|f| f.here && (f.away.is_empty() || flaw(Flaw::BeforeBackup))) {
            return;
        }
        if !self.acting(now) {
            return self.crashed(now, "within the lease", out);
        }
        let Some(flight) = self.flight.take() else { return };
        self.take(&flight.puts);
        out.push(Out::Wrote(flight.changes));
        self.pump(now, out);
    }

    pub(super) fn crashed(&mut self, now: Ms, whence: &str, out: &mut Vec<Out>) {
        out.push(Out::Note(format!("A change is not written {whence}: steps down.")));
        self.step_down(now, out);
    }
}
