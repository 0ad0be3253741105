//! The state: taken from a primary, written to backups.
use super::*;

impl Core {
    /// A primary writes to this centre.
    pub(super) fn copy(&mut self, now: Ms, caller: RequestId, copy: ReplicaWrite, out: &mut Vec<Output>) {
        let life = self.life();
        let mut refuse = |why: &str| {
            let say = ReplicaWriteResponse { accepted: false, reason: why.into(), incarnation: life };
            out.push(Output::Respond { request_id: caller, response: Response::ReplicaWrite(say) });
        };
        if copy.version != VERSION {
            return refuse("another version");
        }
        let (same, newer) = (copy.term == self.floor, copy.term > self.floor);
        let (takes, why) = match &copy.kind {
            ReplicaWriteKind::Snapshot { sum: told } if sum(&copy.writes) != *told => {
                (false, "the sum is wrong")
            }
            // One that comes late or twice must not undo the changes since.
            ReplicaWriteKind::Snapshot { .. } => {
                let again = same && self.broken && copy.sequence >= self.seq;
                (newer || again || same && is_injected(InjectedBug::StaleSnapshot), "a snapshot of before")
            }
            ReplicaWriteKind::Probe { epoch, seq } => {
                let just = !self.broken && !self.dirty && self.flight.is_none();
                let alike =
                    self.floor == *epoch && self.seq == *seq || is_injected(InjectedBug::UnverifiedProbe);
                (newer && just && alike, "holds something else")
            }
            ReplicaWriteKind::Append => {
                let next = copy.sequence == self.seq + 1 || copy.sequence == self.seq;
                (same && !self.broken && next, "another epoch or a gap")
            }
        };
        if !takes {
            return refuse(why);
        }
        if newer {
            self.bid = None;
            // Two that may stand would drop each other's bids for ever: whose copy was taken is given its time.
            self.bid_at = self.bid_at.max(now + self.spans.rpc_timeout + self.chance(self.spans.rpc_timeout));
            self.step_down(now, out);
        }
        let snapshot = matches!(copy.kind, ReplicaWriteKind::Snapshot { .. });
        if snapshot {
            self.held.clear();
            (self.broken, self.dirty) = (true, false);
        }
        (self.floor, self.seq) = (copy.term.clone(), copy.sequence);
        // The same change again is written again: its first write may have failed.
        let puts = copy.writes;
        self.take(&puts);
        let alone = copy.kind == ReplicaWriteKind::Append;
        let own = if alone { vec![(SEQ.into(), json(&self.seq))] } else { self.floor_puts() };
        let job = Job::Copied { caller, epoch: copy.term, seq: copy.sequence, snapshot };
        self.write(now, job, (puts, snapshot, own), out);
    }

    /// An empty value is no value.
    pub(super) fn take(&mut self, puts: &[KeyValue]) {
        for (name, value) in puts {
            if value.is_empty() {
                self.held.remove(name);
            } else {
                self.held.insert(name.clone(), value.clone());
            }
        }
    }

    pub(super) fn all(&self) -> Vec<KeyValue> {
        self.held.iter().map(|(n, v)| (n.clone(), v.clone())).collect()
    }

    /// A change to be written; its ticket comes back in [`Output::Wrote`] or [`Output::Failed`].
    pub fn propose(&mut self, now: Ms, change: Change, out: &mut Vec<Output>) {
        if !self.holds_leader_lease(now) {
            return out.push(Output::Failed(vec![change.ticket]));
        }
        self.queue.push_back(change);
        self.pump(now, out);
    }

    /// Writes what is queued, all of it at a time, to all disks of the record.
    pub(super) fn pump(&mut self, now: Ms, out: &mut Vec<Output>) {
        let Role::Leader(record) = &self.role else { return };
        if self.flight.is_some()
            || self.bid.is_some()
            || self.queue.is_empty()
            || !self.holds_leader_lease(now)
        {
            return;
        }
        let record = record.clone();
        let changes: Vec<Change> = self.queue.drain(..).collect();
        let puts: Vec<KeyValue> = changes.iter().flat_map(|c| c.writes.clone()).collect();
        self.seq += 1;
        let (seq, away) = (self.seq, record.backups.iter().cloned().collect());
        self.flight = Some(Flight { seq, began: now, changes, puts: puts.clone(), here: false, away });
        let own = vec![(SEQ.into(), json(&seq))];
        self.write(now, Job::Change { epoch: record.term.clone(), seq }, (puts.clone(), false, own), out);
        for to in &record.backups {
            let (epoch, kind) = (record.term.clone(), ReplicaWriteKind::Append);
            let copy = ReplicaWrite {
                version: VERSION,
                term: epoch.clone(),
                sequence: seq,
                kind,
                writes: puts.clone(),
            };
            self.call(
                Ask::Change { to: to.clone(), epoch, seq, again: false },
                to,
                Request::ReplicaWrite(copy),
                out,
            );
        }
    }

    /// The write has taken its time: only who still holds the lease may say that it is done.
    pub(super) fn landed(&mut self, now: Ms, out: &mut Vec<Output>) {
        if !self
            .flight
            .as_ref()
            .is_some_and(|f| f.here && (f.away.is_empty() || is_injected(InjectedBug::CommitWithoutBackup)))
        {
            return;
        }
        if !self.holds_leader_lease(now) {
            return self.crashed(now, "within the lease", out);
        }
        let Some(flight) = self.flight.take() else { return };
        self.take(&flight.puts);
        out.push(Output::Committed(flight.changes));
        self.pump(now, out);
    }

    pub(super) fn crashed(&mut self, now: Ms, whence: &str, out: &mut Vec<Output>) {
        out.push(Output::Log(format!("A change is not written {whence}: steps down.")));
        self.step_down(now, out);
    }
}
