//! Starts and crashes of nodes, and writes to their disks.
use super::state::{incarnation, QueuedWrite, NAMES};
use super::Cluster;
use coppersail_consensus::{Core, InitialState, Voter, VoterState};
use std::sync::Arc;

impl Cluster {
    /// Starts the process of a node. With `bootstrap` it may create the first record if its disk is empty.
    pub(super) fn start_node(&mut self, index: usize, bootstrap: bool) -> Result<(), String> {
        let (now, config) = (self.clock(index), self.config.clone());
        let node = self.node_mut(index);
        let initial = InitialState {
            id: NAMES[index].into(),
            zone: "z".into(),
            timeouts: config.timeouts,
            peers: NAMES[..config.initial_voters].iter().map(|name| name.to_string()).collect(),
            bootstrap: bootstrap && node.metadata.is_empty(),
            state: node.state.clone(),
            metadata: node.metadata.clone(),
            new_incarnation: incarnation(index, node.disk, config.initial_voters),
        };
        node.boot_count += 1;
        let may_have_granted_lease = node.boot_count > 1 && !node.metadata.is_empty();
        let mut out = Vec::new();
        node.core = Some(Core::start(now, initial, &mut out));
        if may_have_granted_lease {
            self.lease_ends.insert(index, self.now + config.timeouts.lease);
        }
        self.carry_out(index, out)
    }

    /// Completes the writes that are not separate steps: all writes of a synchronous disk, and those of an
    /// asynchronous disk that contain only hints.
    pub(super) fn complete_implicit_writes(&mut self, node: usize) -> Result<(), String> {
        let is_async = self.config.async_disks >> node & 1 == 1;
        while let Some(write) = self.nodes[node].queued_writes.front() {
            if is_async && !write.is_hint() {
                break;
            }
            self.complete_write(node, true)?;
        }
        Ok(())
    }

    /// Completes or fails the oldest queued write of a node.
    pub(super) fn complete_write(&mut self, node: usize, succeeds: bool) -> Result<(), String> {
        let Some(write) = self.node_mut(node).queued_writes.pop_front() else { return Ok(()) };
        let operation_id = write.operation_id;
        if succeeds {
            self.store(node, write)?;
        }
        self.run_core(node, |core, now, out| core.handle_write_result(now, operation_id, succeeds, out))
    }

    fn store(&mut self, index: usize, write: QueuedWrite) -> Result<(), String> {
        let (initial_voters, node) = (self.config.initial_voters, self.node_mut(index));
        let voter = Voter::new(NAMES[index], incarnation(index, node.disk, initial_voters));
        if write.replace {
            node.state.clear();
        }
        node.state.extend(write.state);
        node.state.retain(|_, value| !value.is_empty());
        let voter_state =
            write.metadata.iter().find(|(name, _)| name == "witness").map(|(_, text)| text.clone());
        node.metadata.extend(write.metadata);
        let Some(voter_state) = voter_state else { return Ok(()) };
        let record = serde_json::from_str::<VoterState>(&voter_state).unwrap().record;
        if record.voters.is_empty() || self.reference.has_accepted(&record.term, &voter) {
            return Ok(());
        }
        Arc::make_mut(&mut self.reference).note_accepted(record, voter)
    }

    /// Crashes a node. Its oldest `kept_writes` queued writes reach the disk; the others are lost.
    pub(super) fn crash(&mut self, index: usize, kept_writes: usize) -> Result<(), String> {
        for _ in 0..kept_writes {
            if let Some(write) = self.node_mut(index).queued_writes.pop_front() {
                self.store(index, write)?;
            }
        }
        let node = self.node_mut(index);
        node.core = None;
        node.queued_writes.clear();
        node.call_deadlines.clear();
        // The requests of this node to others stay in flight. Responses to it are dropped, because no caller
        // waits for them.
        self.network.retain(|(_, message)| {
            message.late || message.from != index || message.is_request() && message.to != index
        });
        Ok(())
    }
}
