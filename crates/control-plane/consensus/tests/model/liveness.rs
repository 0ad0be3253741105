//! Runs without faults: until quiescence, for a number of ticks, and until the cluster serves again.
use super::config::{FaultBudget, ModelConfig};
use super::state::{index_of, Message};
use super::step::Isolation;
use super::Cluster;
use coppersail_consensus::{Role, Voter};

/// The length of a tick of a run without faults, in ms.
const TICK: u64 = 5;

/// Ticks without a fault after which the first leader holds its lease and all nodes know each other.
const STARTUP_TICKS: usize = 60;

impl Cluster {
    /// A cluster in service: node 0 leads, node 1 is its backup, and all have exchanged heartbeats.
    pub(crate) fn started(config: ModelConfig) -> Cluster {
        let mut cluster = Cluster::new(config);
        cluster.run_to_quiescence().unwrap();
        cluster.run_without_faults(STARTUP_TICKS).unwrap();
        assert_eq!(cluster.lease_holders(), [0]);
        cluster
    }

    /// Completes all writes and delivers all messages, in order, until none is pending.
    pub(crate) fn run_to_quiescence(&mut self) -> Result<(), String> {
        loop {
            let has_writes = |node: &usize| !self.nodes[*node].queued_writes.is_empty();
            let writer = self.running().into_iter().find(has_writes);
            let is_deliverable = |message: &Message| self.nodes[message.receiver()].core.is_some();
            if let Some(node) = writer {
                self.complete_write(node, true)?;
            } else if let Some(index) = self.network.iter().position(|(_, message)| is_deliverable(message)) {
                self.deliver(index, false)?;
            } else {
                return self.check_invariants();
            }
        }
    }

    /// Advances the time by a number of ticks without a fault.
    pub(crate) fn run_without_faults(&mut self, ticks: usize) -> Result<(), String> {
        for _ in 0..ticks {
            self.advance_time(TICK, None, Isolation::None)?;
            self.run_to_quiescence()?;
        }
        Ok(())
    }

    /// Liveness: once all nodes that were not removed run and no more faults occur, two changes are
    /// committed. Returns the number of ticks that this takes; the check runs on a copy of the cluster.
    pub(crate) fn check_liveness(&self, max_ticks: usize) -> Result<usize, String> {
        let mut cluster = self.clone();
        cluster.budget = FaultBudget::default();
        for node in 0..cluster.nodes.len() {
            if cluster.nodes[node].core.is_none() && !cluster.nodes[node].removed {
                cluster.restart(node)?;
            }
        }
        let mut missing_changes = 2;
        for tick in 0..max_ticks {
            cluster.run_without_faults(1)?;
            if let Some(leader) = cluster.lease_holders().first().copied() {
                cluster.propose(leader)?;
                cluster.run_to_quiescence()?;
                if cluster.reference.acknowledged.contains(&cluster.last_proposal) {
                    missing_changes -= 1;
                }
            }
            if missing_changes == 0 {
                return Ok(tick);
            }
        }
        Err(format!("no leader commits within {max_ticks} ticks without a fault"))
    }

    /// Whether all losses are repaired: there is a leader, its record has no joint configuration, its voters
    /// have the disks that the record names, and its backups have reached the term of the record.
    pub(crate) fn is_repaired(&self) -> bool {
        let Some(leader) = self.lease_holders().first().and_then(|node| self.core(*node)) else {
            return false;
        };
        let Role::Leader(record) = &leader.role else { return false };
        let core = |id: &str| self.nodes[index_of(id)].core.as_ref();
        let is_same_disk =
            |voter: &Voter| core(&voter.id).is_some_and(|core| core.incarnation() == voter.incarnation);
        let is_up_to_date =
            |id: &String| core(id).is_some_and(|core| *core.last_durable_term() >= record.term);
        record.outgoing_voters.is_empty()
            && record.voters.iter().all(is_same_disk)
            && record.backups.iter().all(is_up_to_date)
    }
}
