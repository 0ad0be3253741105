//! Replication: a backup accepts writes of the leader; a leader appends proposed changes at the backups and
//! commits them.
use super::tracker::{DiskWrite, InFlightAppend, PendingCall, WriteBatch};
use super::{json, Core, Role, LAST_SEQUENCE_KEY};
use crate::injected_bugs::{is_injected, InjectedBug};
use crate::messages::{snapshot_checksum, REPLICA_WRITE_VERSION};
use crate::{
    Change, Id, KeyValue, Ms, Output, ReplicaWrite, ReplicaWriteKind, ReplicaWriteResponse, Request,
    RequestId, Response, Term,
};

impl Core {
    /// Handles a write that a leader sends to this replica.
    pub(super) fn handle_replica_write(
        &mut self,
        now: Ms,
        request_id: RequestId,
        write: ReplicaWrite,
        out: &mut Vec<Output>,
    ) {
        if let Some(reason) = self.replica_write_rejection(&write) {
            let incarnation = self.incarnation();
            let response = ReplicaWriteResponse { accepted: false, reason: reason.into(), incarnation };
            return out.push(Output::Respond { request_id, response: Response::ReplicaWrite(response) });
        }
        if write.term > self.last_durable_term {
            self.campaign = None;
            // Two candidates could cancel each other's campaigns forever, so the sender gets time to finish
            // its own.
            let rpc_timeout = self.timeouts.rpc_timeout;
            self.next_campaign_at = self.next_campaign_at.max(now + rpc_timeout + self.jitter(rpc_timeout));
            self.step_down(now, out);
        }
        let is_snapshot = matches!(write.kind, ReplicaWriteKind::Snapshot { .. });
        if is_snapshot {
            self.state.clear();
            (self.needs_snapshot, self.may_hold_uncommitted) = (true, false);
        }
        (self.last_durable_term, self.last_sequence) = (write.term.clone(), write.sequence);
        // A retried append is written again, because its first write may have failed.
        self.apply_writes(&write.writes);
        let metadata = if write.kind == ReplicaWriteKind::Append {
            vec![(LAST_SEQUENCE_KEY.into(), json(&self.last_sequence))]
        } else {
            self.term_metadata()
        };
        let pending = DiskWrite::ReplicaWrite {
            request_id,
            term: write.term,
            sequence: write.sequence,
            snapshot: is_snapshot,
        };
        let batch = WriteBatch { state: write.writes, replace: is_snapshot, metadata };
        self.persist(now, pending, batch, out);
    }

    /// Why a write of a leader is rejected; `None` if it is accepted.
    fn replica_write_rejection(&self, write: &ReplicaWrite) -> Option<&'static str> {
        if write.version != REPLICA_WRITE_VERSION {
            return Some("another version");
        }
        let same_term = write.term == self.last_durable_term;
        let newer_term = write.term > self.last_durable_term;
        let (accepted, reason) = match &write.kind {
            ReplicaWriteKind::Snapshot { checksum } if snapshot_checksum(&write.writes) != *checksum => {
                (false, "the sum is wrong")
            }
            // A late or duplicate snapshot must not undo the changes that followed it.
            ReplicaWriteKind::Snapshot { .. } => {
                let repairs = same_term && self.needs_snapshot && write.sequence >= self.last_sequence;
                let injected = same_term && is_injected(InjectedBug::StaleSnapshot);
                (newer_term || repairs || injected, "a snapshot of before")
            }
            ReplicaWriteKind::Probe { term, sequence } => {
                let is_clean = !self.needs_snapshot && !self.may_hold_uncommitted && self.in_flight.is_none();
                let matches = self.last_durable_term == *term && self.last_sequence == *sequence
                    || is_injected(InjectedBug::UnverifiedProbe);
                (newer_term && is_clean && matches, "holds something else")
            }
            ReplicaWriteKind::Append => {
                let is_next =
                    write.sequence == self.last_sequence + 1 || write.sequence == self.last_sequence;
                (same_term && !self.needs_snapshot && is_next, "another epoch or a gap")
            }
        };
        (!accepted).then_some(reason)
    }

    /// Applies writes to the state in memory; an empty value removes the entry.
    pub(super) fn apply_writes(&mut self, writes: &[KeyValue]) {
        for (name, value) in writes {
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

    /// Proposes a change; its ticket comes back in [`Output::Committed`] or [`Output::Failed`].
    pub fn propose(&mut self, now: Ms, change: Change, out: &mut Vec<Output>) {
        if !self.holds_leader_lease(now) {
            return out.push(Output::Failed(vec![change.ticket]));
        }
        self.proposals.push_back(change);
        self.append_next(now, out);
    }

    /// Writes all proposals as one batch to all disks of the record; one append is in flight at a time.
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
        let writes: Vec<KeyValue> = changes.iter().flat_map(|change| change.writes.clone()).collect();
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        let unacknowledged = record.backups.iter().cloned().collect();
        self.in_flight = Some(InFlightAppend {
            sequence,
            started_at: now,
            changes,
            writes: writes.clone(),
            persisted_locally: false,
            unacknowledged,
        });
        let metadata = vec![(LAST_SEQUENCE_KEY.into(), json(&sequence))];
        self.persist(
            now,
            DiskWrite::Append { term: record.term.clone(), sequence },
            WriteBatch { state: writes.clone(), replace: false, metadata },
            out,
        );
        for backup in &record.backups {
            self.send_append(backup, record.term.clone(), sequence, writes.clone(), false, out);
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
        let pending = PendingCall::Append { to: to.clone(), term, sequence, is_retry };
        self.send_request(pending, to, Request::ReplicaWrite(append), out);
    }

    /// Commits the append once it is on all disks of the record. The lease is checked again, because it may
    /// have expired in the meantime and another node may lead already.
    pub(super) fn commit_if_replicated(&mut self, now: Ms, out: &mut Vec<Output>) {
        if !self.in_flight.as_ref().is_some_and(|append| {
            append.persisted_locally
                && (append.unacknowledged.is_empty() || is_injected(InjectedBug::CommitWithoutBackup))
        }) {
            return;
        }
        if !self.holds_leader_lease(now) {
            return self.fail_append(now, "the lease has expired", out);
        }
        let Some(append) = self.in_flight.take() else { return };
        self.apply_writes(&append.writes);
        out.push(Output::Committed(append.changes));
        // A wanted change comes before the next append: while changes follow one another without a pause, no
        // tick finds the leader without an append in flight.
        if !self.start_wanted_change(now, out) {
            self.append_next(now, out);
        }
    }

    pub(super) fn fail_append(&mut self, now: Ms, reason: &str, out: &mut Vec<Output>) {
        out.push(Output::Log(format!("Steps down, because a change could not be replicated: {reason}.")));
        self.step_down(now, out);
    }
}
