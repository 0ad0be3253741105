//! Replication: writes taken from a leader, changes proposed, appended at the backups and committed.
use super::tracker::*;
use super::*;

impl Core {
    /// A primary writes to this centre.
    pub(super) fn handle_replica_write(
        &mut self,
        now: Ms,
        caller: RequestId,
        copy: ReplicaWrite,
        out: &mut Vec<Output>,
    ) {
        let life = self.life();
        let mut refuse = |why: &str| {
            let say = ReplicaWriteResponse { accepted: false, reason: why.into(), incarnation: life };
            out.push(Output::Respond { request_id: caller, response: Response::ReplicaWrite(say) });
        };
        if copy.version != REPLICA_WRITE_VERSION {
            return refuse("another version");
        }
        let (same, newer) = (copy.term == self.last_durable_term, copy.term > self.last_durable_term);
        let (takes, why) = match &copy.kind {
            ReplicaWriteKind::Snapshot { sum: told } if snapshot_checksum(&copy.writes) != *told => {
                (false, "the sum is wrong")
            }
            // One that comes late or twice must not undo the changes since.
            ReplicaWriteKind::Snapshot { .. } => {
                let again = same && self.needs_snapshot && copy.sequence >= self.last_sequence;
                (newer || again || same && is_injected(InjectedBug::StaleSnapshot), "a snapshot of before")
            }
            ReplicaWriteKind::Probe { epoch, seq } => {
                let just = !self.needs_snapshot && !self.may_hold_uncommitted && self.in_flight.is_none();
                let alike = self.last_durable_term == *epoch && self.last_sequence == *seq
                    || is_injected(InjectedBug::UnverifiedProbe);
                (newer && just && alike, "holds something else")
            }
            ReplicaWriteKind::Append => {
                let next = copy.sequence == self.last_sequence + 1 || copy.sequence == self.last_sequence;
                (same && !self.needs_snapshot && next, "another epoch or a gap")
            }
        };
        if !takes {
            return refuse(why);
        }
        if newer {
            self.campaign = None;
            // Two that may stand would drop each other's bids for ever: whose copy was taken is given its time.
            self.next_campaign_at =
                self.next_campaign_at.max(now + self.spans.rpc_timeout + self.jitter(self.spans.rpc_timeout));
            self.step_down(now, out);
        }
        let snapshot = matches!(copy.kind, ReplicaWriteKind::Snapshot { .. });
        if snapshot {
            self.state.clear();
            (self.needs_snapshot, self.may_hold_uncommitted) = (true, false);
        }
        (self.last_durable_term, self.last_sequence) = (copy.term.clone(), copy.sequence);
        // The same change again is written again: its first write may have failed.
        let puts = copy.writes;
        self.apply_writes(&puts);
        let alone = copy.kind == ReplicaWriteKind::Append;
        let own = if alone { vec![(SEQ.into(), json(&self.last_sequence))] } else { self.term_metadata() };
        let job = DiskWrite::ReplicaWrite { caller, epoch: copy.term, seq: copy.sequence, snapshot };
        self.persist(now, job, WriteBatch { state: puts, replace: snapshot, metadata: own }, out);
    }

    /// An empty value is no value.
    pub(super) fn apply_writes(&mut self, puts: &[KeyValue]) {
        for (name, value) in puts {
            if value.is_empty() {
                self.state.remove(name);
            } else {
                self.state.insert(name.clone(), value.clone());
            }
        }
    }

    pub(super) fn state_entries(&self) -> Vec<KeyValue> {
        self.state.iter().map(|(n, v)| (n.clone(), v.clone())).collect()
    }

    /// A change to be written; its ticket comes back in [`Output::Wrote`] or [`Output::Failed`].
    pub fn propose(&mut self, now: Ms, change: Change, out: &mut Vec<Output>) {
        if !self.holds_leader_lease(now) {
            return out.push(Output::Failed(vec![change.ticket]));
        }
        self.proposals.push_back(change);
        self.append_next(now, out);
    }

    /// Writes what is queued, all of it at a time, to all disks of the record.
    pub(super) fn append_next(&mut self, now: Ms, out: &mut Vec<Output>) {
        let Role::Leader(record) = &self.role else { return };
        if self.in_flight.is_some()
            || self.campaign.is_some()
            || self.proposals.is_empty()
            || !self.holds_leader_lease(now)
        {
            return;
        }
        let record = record.clone();
        let changes: Vec<Change> = self.proposals.drain(..).collect();
        let puts: Vec<KeyValue> = changes.iter().flat_map(|c| c.writes.clone()).collect();
        self.last_sequence += 1;
        let (seq, away) = (self.last_sequence, record.backups.iter().cloned().collect());
        self.in_flight = Some(InFlightAppend {
            sequence: seq,
            started_at: now,
            changes,
            writes: puts.clone(),
            persisted_locally: false,
            unacknowledged: away,
        });
        let own = vec![(SEQ.into(), json(&seq))];
        self.persist(
            now,
            DiskWrite::Append { epoch: record.term.clone(), seq },
            WriteBatch { state: puts.clone(), replace: false, metadata: own },
            out,
        );
        for to in &record.backups {
            self.send_append(to, record.term.clone(), seq, puts.clone(), false, out);
        }
    }

    /// Sends one change to a backup.
    pub(super) fn send_append(
        &mut self,
        to: &Id,
        term: Term,
        sequence: u64,
        writes: Vec<KeyValue>,
        is_retry: bool,
        out: &mut Vec<Output>,
    ) {
        let append = ReplicaWrite {
            version: REPLICA_WRITE_VERSION,
            term: term.clone(),
            sequence,
            kind: ReplicaWriteKind::Append,
            writes,
        };
        let pending = PendingCall::Append { to: to.clone(), epoch: term, seq: sequence, again: is_retry };
        self.send_request(pending, to, Request::ReplicaWrite(append), out);
    }

    /// The write has taken its time: only who still holds the lease may say that it is done.
    pub(super) fn commit_if_replicated(&mut self, now: Ms, out: &mut Vec<Output>) {
        if !self.in_flight.as_ref().is_some_and(|f| {
            f.persisted_locally
                && (f.unacknowledged.is_empty() || is_injected(InjectedBug::CommitWithoutBackup))
        }) {
            return;
        }
        if !self.holds_leader_lease(now) {
            return self.fail_append(now, "within the lease", out);
        }
        let Some(flight) = self.in_flight.take() else { return };
        self.apply_writes(&flight.writes);
        out.push(Output::Committed(flight.changes));
        self.append_next(now, out);
    }

    pub(super) fn fail_append(&mut self, now: Ms, whence: &str, out: &mut Vec<Output>) {
        out.push(Output::Log(format!("A change is not written {whence}: steps down.")));
        self.step_down(now, out);
    }
}
