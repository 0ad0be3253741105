//! Bounds of the model: what the cluster is like, and how many faults of each kind may happen.
use coppersail_consensus::Timeouts;

/// How many faults of each kind may still happen. Part of the state of a search.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub(crate) struct FaultBudget {
    /// Steps of time, each of which ends in a heartbeat and a tick of all nodes.
    pub(crate) time_steps: u8,
    /// Of them, those to the end of a lease.
    pub(crate) lease_expiries: u8,
    pub(crate) proposals: u8,
    pub(crate) crashes: u8,
    /// Restarts with an empty disk.
    pub(crate) disk_losses: u8,
    /// Nodes removed for ever.
    pub(crate) removals: u8,
    /// Steps of time without one node's heartbeats.
    pub(crate) partitions: u8,
    pub(crate) write_failures: u8,
    /// Messages that come late or twice.
    pub(crate) late_messages: u8,
    /// Requests that are handled but whose response is lost. Requests that are lost themselves are not counted.
    pub(crate) lost_responses: u8,
    /// Steps of time over which one node is paused.
    pub(crate) pauses: u8,
    pub(crate) shutdowns: u8,
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
        }
    }
}

/// What the cluster is like; the same in all states of a search. Masks have a bit per node.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ModelConfig {
    pub(crate) node_count: usize,
    /// The first so many nodes are the voters of the bootstrap.
    pub(crate) initial_voters: usize,
    pub(crate) timeouts: Timeouts,
    /// Mask of the nodes on whose disks each write is a step of its own: it may fail, and a crash keeps or loses it.
    /// Writes of the others complete at once.
    pub(crate) async_disks: u8,
    /// A response arrives as soon as it is given, or is lost; else it is a message under way like a request.
    pub(crate) instant_responses: bool,
    /// The shorter step of time in ms. Where it is less than the RPC timeout, calls outlive a step.
    pub(crate) time_step: u64,
    /// Mask of the nodes that faults may strike.
    pub(crate) fault_targets: u8,
    /// How much faster than true time the clock of each node runs, in parts in a thousand.
    pub(crate) clock_drift: [i64; 5],
}

/// Timeouts of the model in ms, small so that few steps of time pass through all of them.
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
