//! Proposed changes of the replicated state, each with a ticket, and their outcomes. Tickets increase by one.
use crate::store::KeyValue;
use coppersail_consensus::Change;
use std::collections::BTreeSet;

/// The number of failed tickets that are remembered for the replies that wait for them; replies wait only for
/// a short time.
const REMEMBERED_FAILURES: usize = 10_000;

/// The status of a proposal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProposalStatus {
    Pending,
    Committed,
    /// It may be on some disk, but this leader will not acknowledge it.
    Failed,
}

#[derive(Default)]
pub(crate) struct Proposals {
    /// Not yet handed to the consensus core.
    unproposed: Vec<Change>,
    last_ticket: u64,
    highest_committed: u64,
    failed: BTreeSet<u64>,
}

impl Proposals {
    /// Queues a change; returns its ticket.
    pub(crate) fn submit(&mut self, writes: Vec<KeyValue>) -> u64 {
        self.last_ticket += 1;
        self.unproposed.push(Change { ticket: self.last_ticket, writes });
        self.last_ticket
    }

    pub(crate) fn take_unproposed(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.unproposed)
    }

    /// The ticket of the next change.
    pub(crate) fn next_ticket(&self) -> u64 {
        self.last_ticket + 1
    }

    pub(crate) fn last_ticket(&self) -> u64 {
        self.last_ticket
    }

    pub(crate) fn mark_committed(&mut self, ticket: u64) {
        self.highest_committed = self.highest_committed.max(ticket);
    }

    pub(crate) fn mark_failed(&mut self, tickets: &[u64]) {
        self.failed.extend(tickets);
        while self.failed.len() > REMEMBERED_FAILURES {
            self.failed.pop_first();
        }
    }

    /// The status of a proposal. Changes commit in the order of their tickets.
    pub(crate) fn status(&self, ticket: u64) -> ProposalStatus {
        if self.failed.contains(&ticket) {
            ProposalStatus::Failed
        } else if ticket > self.highest_committed {
            ProposalStatus::Pending
        } else {
            ProposalStatus::Committed
        }
    }
}
