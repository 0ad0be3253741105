//! Bounds of the model: the configuration of the cluster, and how many faults of each kind may happen.
use coppersail_consensus::Timeouts;

/// How many faults of each kind may still happen. Part of the state of a search.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub(crate) struct FaultBudget {
    /// Advances of the time, each of which ends in a heartbeat and a tick of all nodes.
    pub(crate) time_steps: u8,
    /// Those of the time steps that go to the end of a lease.
    pub(crate) lease_expiries: u8,
    pub(crate) proposals: u8,
    pub(crate) crashes: u8,
    /// Restarts with an empty disk.
    pub(crate) disk_losses: u8,
    /// Nodes that are removed permanently.
    pub(crate) removals: u8,
    /// Time steps during which one node's heartbeats are lost.
    pub(crate) partitions: u8,
    pub(crate) write_failures: u8,
    /// Messages that are late or duplicated.
    pub(crate) late_messages: u8,
    /// Requests that are handled but whose response is lost. Lost requests are unlimited and not counted.
    pub(crate) lost_responses: u8,
    /// Time steps during which one node is paused.
    pub(crate) pauses: u8,
    pub(crate) shutdowns: u8,
    /// Restarts with the disk that was lost last.
    pub(crate) old_disks: u8,
}

impl FaultBudget {
    /// More faults of each kind than any scripted test needs.
    pub(crate) fn unlimited() -> FaultBudget {
        const MANY: u8 = 99;
        FaultBudget {
            time_steps: MANY,
            lease_expiries: MANY,
            proposals: MANY,
            crashes: MANY,
            disk_losses: MANY,
            removals: MANY,
            partitions: MANY,
            write_failures: MANY,
            late_messages: MANY,
            lost_responses: MANY,
            pauses: MANY,
            shutdowns: MANY,
            old_disks: MANY,
        }
    }
}

/// The configuration of the cluster, which is the same in all states of a search. Masks have one bit per
/// node.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ModelConfig {
    pub(crate) node_count: usize,
    /// How many nodes, counted from the first, are the voters of the bootstrap.
    pub(crate) initial_voters: usize,
    pub(crate) timeouts: Timeouts,
    /// Mask of the nodes with asynchronous disks. There each write is a separate step, which may fail, and
    /// which a crash may keep or lose. Writes of other nodes complete at once.
    pub(crate) async_disks: u8,
    /// Whether a response arrives (or is lost) as soon as it is sent. Otherwise it is a message in flight
    /// like a request.
    pub(crate) instant_responses: bool,
    /// The length of a normal time step in ms. If it is less than the RPC timeout, calls can outlast a step.
    pub(crate) time_step: u64,
    /// Mask of the nodes that may fail.
    pub(crate) fault_targets: u8,
    /// Mask of the nodes that may lose their disk.
    pub(crate) disk_loss_targets: u8,
    /// Whether a lost disk may come back.
    pub(crate) keeps_old_disks: bool,
    /// Mask of the nodes that are not started at first.
    pub(crate) absent_nodes: u8,
    /// How much faster than true time the clock of each node runs, in parts in a thousand.
    pub(crate) clock_drift: [i64; 5],
}

/// Timeouts of the model in ms. They are small, so that few time steps are needed to exceed them.
pub(crate) fn timeouts() -> Timeouts {
    Timeouts {
        lease: 100,
        heartbeat_interval: 30,
        rpc_timeout: 20,
        replace_after: 100_000,
        shutdown_grace: 1_000,
        max_failures: 1,
    }
}
