//! The steps that are enabled in a state. Searches take them in this order, and a random walk draws from them
//! by index.
use super::state::{Message, Payload};
use super::step::{Delivery, Isolation, Step};
use super::Cluster;
use coppersail_consensus::{Request, VoterRequest};

impl Cluster {
    /// All steps that can happen next, within the budget.
    pub(crate) fn enabled_steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        self.add_deliveries(&mut steps);
        self.add_writes(&mut steps);
        self.add_advances(&mut steps);
        self.add_node_faults(&mut steps);
        self.add_restarts(&mut steps);
        if self.time_just_advanced && self.budget.proposals > 0 {
            steps.extend(self.lease_holders().into_iter().map(Step::Propose));
        }
        steps
    }

    fn is_fault_target(&self, node: usize) -> bool {
        self.config.fault_targets >> node & 1 == 1
    }

    fn fault_targets(&self) -> Vec<usize> {
        self.running().into_iter().filter(|node| self.is_fault_target(*node)).collect()
    }

    fn add_deliveries(&self, steps: &mut Vec<Step>) {
        for (index, (fingerprint, message)) in self.network.iter().enumerate() {
            // Equal messages lead to equal states.
            if index > 0 && self.network[index - 1].0 == *fingerprint {
                continue;
            }
            if self.nodes[message.receiver()].core.is_none() {
                continue;
            }
            steps.push(Step::Deliver(index, Delivery::Normal));
            let is_renewal =
                matches!(&message.payload, Payload::Request(Request::Voter(VoterRequest::Renew(..))));
            if self.budget.lost_responses > 0 && !message.late && !is_renewal {
                steps.push(Step::Deliver(index, Delivery::ResponseLost));
            }
            if self.budget.late_messages > 0 && !message.late && message.is_request() {
                steps.push(Step::Deliver(index, Delivery::Duplicated));
            }
        }
    }

    fn add_writes(&self, steps: &mut Vec<Step>) {
        for node in self.running() {
            if !self.nodes[node].queued_writes.is_empty() {
                steps.push(Step::CompleteWrite(node));
                if self.budget.write_failures > 0 {
                    steps.push(Step::FailWrite(node));
                }
            }
        }
    }

    fn add_advances(&self, steps: &mut Vec<Step>) {
        let budget = &self.budget;
        if budget.time_steps == 0 {
            return;
        }
        let mut isolations = vec![Isolation::None];
        for node in self.fault_targets() {
            isolations.extend((budget.partitions > 0).then_some(Isolation::Partitioned(node)));
            isolations.extend((budget.pauses > 0).then_some(Isolation::Paused(node)));
        }
        for isolation in isolations {
            steps.push(Step::Advance { delayed: None, isolation });
            if budget.lease_expiries > 0 && !self.lease_ends.is_empty() {
                steps.push(Step::AdvanceToLeaseEnd(isolation));
            }
        }
        if budget.late_messages > 0 {
            for (index, (_, message)) in self.network.iter().enumerate() {
                if message.is_request() && self.times_out_in_next_step(message) {
                    steps.push(Step::Advance { delayed: Some(index), isolation: Isolation::None });
                }
            }
        }
    }

    fn times_out_in_next_step(&self, message: &Message) -> bool {
        let deadline = self.nodes[message.from].call_deadlines.get(&message.operation_id);
        !message.late && deadline.is_none_or(|deadline| *deadline <= self.now + self.config.time_step)
    }

    fn add_node_faults(&self, steps: &mut Vec<Step>) {
        let budget = &self.budget;
        for node in self.fault_targets() {
            if budget.crashes > 0 {
                let queued = self.nodes[node].queued_writes.len();
                steps.extend((0..=queued).map(|kept| Step::Crash(node, kept)));
            }
            if budget.removals > 0 {
                steps.push(Step::Remove(node));
            }
            if self.time_just_advanced && budget.shutdowns > 0 && !self.core(node).unwrap().is_shutting_down()
            {
                steps.push(Step::BeginShutdown(node));
            }
        }
    }

    fn add_restarts(&self, steps: &mut Vec<Step>) {
        if !self.time_just_advanced {
            return;
        }
        for (index, node) in self.nodes.iter().enumerate() {
            if node.core.is_none() && !node.removed {
                steps.push(Step::Restart(index));
                let may_lose_disk = self.config.disk_loss_targets >> index & 1 == 1;
                if self.budget.disk_losses > 0 && may_lose_disk {
                    steps.push(Step::RestartWithEmptyDisk(index));
                }
                if self.budget.old_disks > 0 && node.old_disk.is_some() {
                    steps.push(Step::RestartWithOldDisk(index));
                }
            }
        }
    }
}
