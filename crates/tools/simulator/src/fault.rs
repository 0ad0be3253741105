//! Faults that a scenario injects: what happens, to which machine, and at which moment.

mod text;

use crate::time::Millis;

/// Which machine a fault hits. Roles are resolved when the fault is injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultTarget {
    /// The machine that holds this slot of the control plane now.
    Slot(usize),
    /// The leader, as the readers beside the nodes observed it.
    Leader,
    /// The replica that last accepted a write of the leader.
    Backup,
    /// A voter that is neither leader nor backup.
    Voter,
}

/// Which of a machine's messages a partition drops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartitionDirection {
    /// All.
    Both,
    /// Those that it sends.
    Outbound,
    /// Those that are sent to it.
    Inbound,
}

/// The moment at which a fault hits its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trigger {
    /// At the fault's time.
    Immediately,
    /// When the node next has an admin response with status 200 ready, before it is sent.
    BeforeOkResponse,
    /// Right after such a response was sent.
    AfterOkResponse,
    /// Right after a consensus request to another node was sent.
    AfterPeerRequest,
    /// Right after a consensus response to another node was sent.
    AfterPeerResponse,
    /// Right after a write was handed to the disk.
    AfterWriteRequest,
}

/// Which machines a process finds in `knownPeers`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KnownPeers {
    /// Three of those that run.
    Running,
    /// Those that were listed last.
    Newest,
    /// Those that are impaired, then any.
    Impaired,
    /// The machines in these slots.
    Slots(Vec<usize>),
}

/// What a fault does. Spans are in milliseconds; `downtime` is the time until the next start.
#[derive(Debug, Clone, PartialEq)]
pub enum FaultKind {
    /// SIGKILL.
    Kill {
        /// Time until the next start.
        downtime: Millis,
    },
    /// Loss of power: unlike after SIGKILL, no connection is reset.
    PowerLoss {
        /// Time until the next start.
        downtime: Millis,
    },
    /// Loss of power, and the next start finds no disk content.
    DiskLoss {
        /// Time until the next start.
        downtime: Millis,
    },
    /// The process stands still and resumes where it was.
    Freeze {
        /// How long it stands still.
        duration: Millis,
    },
    /// SIGTERM, and a start with the same disk after the process has ended.
    Terminate {
        /// Time from the end of the process until the next start.
        downtime: Millis,
    },
    /// SIGHUP with other `knownPeers`.
    Reload {
        /// The new `knownPeers`.
        known_peers: KnownPeers,
    },
    /// SIGKILL, and a start with other `knownPeers`.
    RestartWithPeers {
        /// Time until the next start.
        downtime: Millis,
        /// The new `knownPeers`.
        known_peers: KnownPeers,
    },
    /// The machine is removed for good; an empty one takes its slot.
    Replace {
        /// By SIGTERM, else by loss of power.
        graceful: bool,
        /// Time from the order until the new machine starts.
        gap: Millis,
        /// `knownPeers` of the new machine.
        known_peers: KnownPeers,
        /// The new machine gets the address of one that was removed before.
        reuse_address: bool,
    },
    /// Loss of power; the disk is moved to a machine with a new address.
    MoveDisk {
        /// Time until the new machine starts.
        downtime: Millis,
    },
    /// A machine that was replaced comes back with its old disk.
    ReturnReplaced,
    /// A network partition between a group of machines and all others.
    Partition {
        /// Other machines on the same side.
        with: Vec<FaultTarget>,
        /// Which messages are dropped.
        direction: PartitionDirection,
        /// How long it lasts.
        duration: Millis,
        /// Whether endpoints, edges and operators are on the other side; else they still reach the group.
        include_clients: bool,
    },
    /// A network partition between one machine and a few others.
    PartitionFrom {
        /// The others.
        from: Vec<FaultTarget>,
        /// Which messages are dropped.
        direction: PartitionDirection,
        /// How long it lasts.
        duration: Millis,
    },
    /// Additional delay on all links of the machine.
    SlowLinks {
        /// Largest additional delay of a message.
        max_extra_delay: Millis,
        /// How long it lasts.
        duration: Millis,
    },
    /// Requests of and to the machine are duplicated, reset or late, and responses are lost.
    NoisyLinks {
        /// How long it lasts.
        duration: Millis,
    },
    /// Writes take 150 to 250 ms.
    DiskSlow {
        /// How long it lasts.
        duration: Millis,
    },
    /// No write is done before the end.
    DiskHang {
        /// How long it lasts.
        duration: Millis,
    },
    /// Writes fail.
    DiskFull {
        /// How long it lasts.
        duration: Millis,
    },
    /// SIGKILL to all machines.
    KillAll {
        /// Time until the next start; up to 300 ms more for each machine.
        downtime: Millis,
    },
    /// Loss of power of all machines.
    PowerLossAll {
        /// Time until the next start; up to 300 ms more for each machine.
        downtime: Millis,
    },
    /// One machine loses its disk, all others lose power.
    DiskAndPowerLossAll {
        /// Time until the next start; up to 300 ms more for each machine.
        downtime: Millis,
    },
    /// An endpoint begins a graceful shutdown.
    EndpointDrain(usize),
    /// An endpoint signs off without having drained, and goes on serving.
    EndpointSignOff(usize),
    /// An endpoint crashes.
    EndpointCrash(usize),
    /// An edge restarts without state.
    EdgeRestart(usize),
    /// An edge is partitioned from all machines.
    EdgePartition {
        /// Index of the edge.
        edge: usize,
        /// How long it lasts.
        duration: Millis,
    },
    /// One order, to that machine first.
    Order,
    /// So many orders, by both operators in turn.
    OrderBurst(usize),
    /// Two contents under one number, at once.
    ConflictingOrders,
    /// An earlier order again, or another content under a lower number.
    OlderOrder,
    /// An order that must be rejected.
    InvalidOrder,
    /// The last acknowledged order again, to that machine.
    ResendOrder,
}

impl FaultKind {
    /// Whether it is a fault of control-plane machines, and not of their callers.
    pub fn affects_control_plane(&self) -> bool {
        use FaultKind::*;
        !matches!(
            self,
            EndpointDrain(_)
                | EndpointSignOff(_)
                | EndpointCrash(_)
                | EdgeRestart(_)
                | EdgePartition { .. }
                | Order
                | OrderBurst(_)
                | ConflictingOrders
                | OlderOrder
                | InvalidOrder
                | ResendOrder
        )
    }

    /// Whether a disk is lost, or removed with its machine.
    pub fn loses_disk(&self) -> bool {
        use FaultKind::*;
        matches!(self, DiskLoss { .. } | Replace { .. } | DiskAndPowerLossAll { .. })
    }

    /// Whether it may wait for a [`Trigger`] of its machine.
    pub fn supports_trigger(&self) -> bool {
        use FaultKind::*;
        matches!(
            self,
            Kill { .. }
                | PowerLoss { .. }
                | DiskLoss { .. }
                | Freeze { .. }
                | Partition { .. }
                | PartitionFrom { .. }
        )
    }

    /// Whether it may hit a process that is shutting down.
    pub fn may_hit_shutdown(&self) -> bool {
        use FaultKind::*;
        matches!(self, Kill { .. } | PowerLoss { .. } | DiskLoss { .. } | Freeze { .. } | Partition { .. })
    }

    /// Whether it hits all machines at once.
    pub fn affects_all_machines(&self) -> bool {
        use FaultKind::*;
        matches!(self, KillAll { .. } | PowerLossAll { .. } | DiskAndPowerLossAll { .. })
    }
}

/// A fault of a scenario.
#[derive(Debug, Clone, PartialEq)]
pub struct Fault {
    /// Milliseconds from the start of the run.
    pub at: Millis,
    /// Which machine it hits.
    pub target: FaultTarget,
    /// What it does.
    pub kind: FaultKind,
    /// The moment, at or after `at`, at which it hits.
    pub trigger: Trigger,
    /// What the fault chooses at random depends on this number only.
    pub random_value: u64,
}

impl Fault {
    /// A fault that hits at `at`, with `at` as its random value.
    pub fn new(at: Millis, target: FaultTarget, kind: FaultKind) -> Fault {
        Fault { at, target, kind, trigger: Trigger::Immediately, random_value: at }
    }

    /// The same fault at the first such moment after its time.
    pub fn on(self, trigger: Trigger) -> Fault {
        Fault { trigger, ..self }
    }
}
