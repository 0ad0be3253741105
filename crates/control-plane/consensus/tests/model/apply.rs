//! One step of the model: it is added to the trace, subtracted from the fault budget and executed; then the
//! invariants are checked.
use super::state::{incarnation, OldDisk, NAMES};
use super::step::{Delivery, Isolation, Step, TraceStep};
use super::Cluster;
use coppersail_consensus::Voter;
use std::sync::Arc;

impl Cluster {
    /// Executes one step. The error names the invariant that does not hold afterwards.
    pub(crate) fn apply(&mut self, step: &Step) -> Result<(), String> {
        self.extend_trace(step);
        // These steps are enabled only right after an advance of the time: at a later point of the same
        // instant they would lead to the same states.
        self.time_just_advanced = matches!(
            step,
            Step::Propose(_)
                | Step::BeginShutdown(_)
                | Step::Restart(_)
                | Step::RestartWithEmptyDisk(_)
                | Step::RestartWithOldDisk(_)
        );
        match step {
            Step::Deliver(index, delivery) => self.apply_delivery(*index, *delivery),
            Step::CompleteWrite(node) => {
                self.complete_write(*node, true)?;
                self.complete_implicit_writes(*node)
            }
            Step::FailWrite(node) => {
                self.budget.write_failures -= 1;
                self.complete_write(*node, false)?;
                self.complete_implicit_writes(*node)
            }
            Step::Advance { delayed, isolation } => {
                self.budget.late_messages -= u8::from(delayed.is_some());
                self.begin_advance(*isolation);
                self.advance_time(self.config.time_step, *delayed, *isolation)
            }
            Step::AdvanceToLeaseEnd(isolation) => {
                self.budget.lease_expiries -= 1;
                self.begin_advance(*isolation);
                let end = self.lease_ends.values().min().copied().unwrap_or(self.now + 1);
                self.advance_time(end - self.now, None, *isolation)
            }
            Step::Crash(node, kept_writes) => {
                self.budget.crashes -= 1;
                self.crash(*node, *kept_writes)
            }
            Step::Remove(node) => {
                self.budget.removals -= 1;
                self.node_mut(*node).removed = true;
                self.crash(*node, 0)
            }
            Step::Restart(node) => self.restart(*node),
            Step::RestartWithEmptyDisk(node) => {
                self.budget.disk_losses -= 1;
                self.restart_with_empty_disk(*node)
            }
            Step::RestartWithOldDisk(node) => {
                self.budget.old_disks -= 1;
                self.restart_with_old_disk(*node)
            }
            Step::Propose(node) => {
                self.budget.proposals -= 1;
                self.propose(*node)
            }
            Step::BeginShutdown(node) => {
                self.budget.shutdowns -= 1;
                self.run_core(*node, |core, now, _| core.begin_shutdown(now))
            }
        }?;
        self.check_invariants()
    }

    fn extend_trace(&mut self, step: &Step) {
        let message = match step {
            Step::Deliver(index, _) | Step::Advance { delayed: Some(index), .. } => {
                Some(self.network[*index].1.clone())
            }
            _ => None,
        };
        let previous = self.trace.take();
        self.trace = Some(Arc::new(TraceStep { at: self.now, step: step.clone(), message, previous }));
    }

    fn apply_delivery(&mut self, index: usize, delivery: Delivery) -> Result<(), String> {
        self.budget.late_messages -= u8::from(delivery == Delivery::Duplicated);
        self.budget.lost_responses -= u8::from(delivery == Delivery::ResponseLost);
        self.drops_responses = delivery == Delivery::ResponseLost;
        let outcome = self.deliver(index, delivery == Delivery::Duplicated);
        self.drops_responses = false;
        outcome
    }

    fn begin_advance(&mut self, isolation: Isolation) {
        self.budget.time_steps -= 1;
        self.time_just_advanced = true;
        match isolation {
            Isolation::None => {}
            Isolation::Partitioned(_) => self.budget.partitions -= 1,
            Isolation::Paused(_) => self.budget.pauses -= 1,
        }
    }

    /// Restarts a node with the disk that it has.
    pub(super) fn restart(&mut self, node: usize) -> Result<(), String> {
        let bootstrap = node < self.config.initial_voters && self.nodes[node].lost_disks == 0;
        self.start_node(node, bootstrap)
    }

    fn restart_with_empty_disk(&mut self, index: usize) -> Result<(), String> {
        self.note_lost_disk(index);
        let keeps_old_disk = self.config.keeps_old_disks;
        let node = self.node_mut(index);
        node.lost_disks += 1;
        let old_disk = OldDisk {
            disk: node.disk,
            state: std::mem::take(&mut node.state),
            metadata: std::mem::take(&mut node.metadata),
        };
        node.old_disk = keeps_old_disk.then_some(old_disk);
        node.disk = node.lost_disks;
        self.start_node(index, false)
    }

    fn restart_with_old_disk(&mut self, index: usize) -> Result<(), String> {
        self.note_lost_disk(index);
        let node = self.node_mut(index);
        let old_disk = node.old_disk.take().ok_or("there is no old disk")?;
        (node.disk, node.state, node.metadata) = (old_disk.disk, old_disk.state, old_disk.metadata);
        self.start_node(index, false)
    }

    /// Records that the disk that the node has now is lost.
    fn note_lost_disk(&mut self, index: usize) {
        let disk = incarnation(index, self.nodes[index].disk, self.config.initial_voters);
        let voter = Voter::new(NAMES[index], disk);
        Arc::make_mut(&mut self.reference).lost_disks.insert(voter);
    }
}
