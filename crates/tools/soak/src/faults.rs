//! Random faults with a beginning and an end, and planned restarts; several may be active at once.
use crate::cluster::{Cluster, ProcessId};
use crate::relay::LinkMode;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// How many faults are active at once, at most; restarts in series come on top.
const MAX_ACTIVE: usize = 3;
const LENGTH_MS: std::ops::Range<u64> = 100..3_000;
const PAUSE_MS: std::ops::Range<u64> = 50..1_500;
/// The time between two processes of a series.
const SERIES_GAP_MS: std::ops::Range<u64> = 20..400;
/// The longest series.
const MAX_SERIES: usize = 40;
/// How long all nodes are down at most when they are killed at the same moment.
const ALL_DOWN_MS: std::ops::Range<u64> = 100..1_000;
/// How often all nodes are killed in a row at the end of a burst, as a rule and at times, and the time from one kill to the next.
const LAST_RESTARTS: [u32; 2] = [1, 3];
const LAST_RESTART_GAP_MS: std::ops::Range<u64> = 500..2_500;
/// Operators and platforms repeat themselves: only the first counts.
const TERMINATION_SIGNALS: [&str; 3] = ["TERM", "HUP", "TERM"];
/// A process that was told to end has ended within this: its grace period, and what a machine full of processes adds.
const END_TIMEOUT: Duration = Duration::from_secs(8);

/// After this time without a fault of the nodes another one may lose its disk (`sync_time`).
const SYNC_TIME: Duration = Duration::from_secs(4);
/// One in so many bursts begins without the loss of a disk, and one in so many faults after it is the loss of that disk again.
const RARE_LOSS: usize = 4;

/// What is wrong while a fault is active. Any faults may overlap, but only one node at a time loses its disk.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Fault {
    Killed {
        processes: Vec<ProcessId>,
        /// A node among them that finds its folder empty when it starts again.
        lost_disk: Option<usize>,
    },
    /// Told to end, and started again some time after it has.
    Terminated(ProcessId),
    /// Told that its settings file has changed.
    HungUp(ProcessId),
    Paused(ProcessId),
    Link {
        node: usize,
        mode: LinkMode,
    },
}

impl Fault {
    fn random(random: &mut fastrand::Rng, nodes: usize, edges: usize) -> Fault {
        let node = ProcessId::Node(random.usize(0..nodes));
        let edge = ProcessId::Edge(random.usize(0..edges));
        let link = |mode| Fault::Link { node: node.index(), mode };
        match random.u8(0..16) {
            0..=2 => Fault::killed(node),
            3 => Fault::all_nodes_killed(nodes),
            4 => Fault::killed(edge),
            5..=6 => Fault::Paused(node),
            7 => link(LinkMode::Cut),
            8 => link(LinkMode::LosesAnswers),
            9 => link(LinkMode::Slow),
            10 => Fault::Terminated(node),
            11 => Fault::HungUp(node),
            12 => Fault::HungUp(edge),
            _ => Fault::Terminated(edge),
        }
    }

    fn killed(process: ProcessId) -> Fault {
        Fault::Killed { processes: vec![process], lost_disk: None }
    }

    fn all_nodes_killed(nodes: usize) -> Fault {
        Fault::Killed { processes: (0..nodes).map(ProcessId::Node).collect(), lost_disk: None }
    }

    /// The same kill, after which a node has lost its disk.
    fn losing_disk_of(self, node: usize) -> Fault {
        match self {
            Fault::Killed { processes, .. } => Fault::Killed { processes, lost_disk: Some(node) },
            other => other,
        }
    }

    fn lost_disk(&self) -> Option<usize> {
        match self {
            Fault::Killed { lost_disk, .. } => *lost_disk,
            _ => None,
        }
    }

    /// Whether all nodes are killed; there are two or more.
    fn kills_all_nodes(&self) -> bool {
        matches!(self, Fault::Killed { processes, .. } if processes.len() > 1)
    }

    /// Whether it hits a node or a link of one.
    fn disturbs_core(&self) -> bool {
        self.disturbs() && self.uses().iter().any(|(_, process)| matches!(process, ProcessId::Node(_)))
    }

    /// Whether it takes what it hits out of touch; a signal to read settings again does not.
    fn disturbs(&self) -> bool {
        !matches!(self, Fault::HungUp(_))
    }

    fn random_length(&self, random: &mut fastrand::Rng) -> Duration {
        let range = if self.kills_all_nodes() { ALL_DOWN_MS } else { LENGTH_MS };
        Duration::from_millis(random.u64(range))
    }

    /// The processes and links that it uses: one fault at a time for each.
    fn uses(&self) -> Vec<(bool, ProcessId)> {
        match self {
            Fault::Killed { processes, .. } => processes.iter().map(|process| (false, *process)).collect(),
            Fault::Terminated(process) | Fault::HungUp(process) | Fault::Paused(process) => {
                vec![(false, *process)]
            }
            Fault::Link { node, .. } => vec![(true, ProcessId::Node(*node))],
        }
    }

    fn begin(&self, cluster: &mut Cluster) -> eyre::Result<()> {
        match self {
            Fault::Killed { processes, lost_disk } => {
                processes.iter().for_each(|process| cluster.kill(*process));
                lost_disk.map_or(Ok(()), |node| cluster.lose_disk(node))?;
            }
            Fault::Terminated(process) => {
                TERMINATION_SIGNALS.iter().for_each(|signal| cluster.signal(*process, signal))
            }
            Fault::HungUp(process) => {
                cluster.rewrite_settings(*process)?;
                cluster.signal(*process, "HUP");
            }
            Fault::Paused(process) => cluster.signal(*process, "STOP"),
            Fault::Link { node, mode } => cluster.links[*node].set(*mode),
        }
        Ok(())
    }

    fn end(&self, cluster: &mut Cluster) -> eyre::Result<()> {
        match self {
            Fault::Killed { processes, .. } => {
                processes.iter().try_for_each(|process| cluster.start_again(*process))?
            }
            Fault::Terminated(process) => cluster.start_again(*process)?,
            Fault::HungUp(_) => {}
            Fault::Paused(process) => cluster.signal(*process, "CONT"),
            Fault::Link { node, .. } => cluster.links[*node].set(LinkMode::Open),
        }
        Ok(())
    }
}

struct ActiveFault {
    fault: Fault,
    begun: Instant,
    end: Instant,
}

/// What a step of the faults did.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct FaultStep {
    /// A fault began.
    pub(crate) began: bool,
    /// A node or a link of one was disturbed.
    pub(crate) disturbed_core: bool,
    pub(crate) disturbed_edges: BTreeSet<usize>,
    /// All nodes, which had been killed at the same moment, were started again.
    pub(crate) restarted_all_nodes: bool,
    /// Edges that were killed.
    pub(crate) killed_edges: Vec<usize>,
    /// Processes that had not ended in time, and were killed.
    pub(crate) not_ended: Vec<ProcessId>,
}

impl FaultStep {
    /// A fault begins, lasts or ends.
    fn record_disturbance(&mut self, fault: &Fault) {
        if !fault.disturbs() {
            return;
        }
        for (_, process) in fault.uses() {
            match process {
                ProcessId::Node(_) => self.disturbed_core = true,
                ProcessId::Edge(edge) => drop(self.disturbed_edges.insert(edge)),
            }
        }
    }
}

/// Begins and ends faults as time goes on.
pub(crate) struct FaultSchedule {
    random: fastrand::Rng,
    nodes: usize,
    edges: usize,
    active: Vec<ActiveFault>,
    /// The restarts that are left of series, and when they begin.
    series: Vec<(Instant, Fault)>,
    next_at: Instant,
    /// When all nodes are to be killed after a burst.
    last_restarts: Vec<Instant>,
    pub(crate) begun: u64,
    pub(crate) overlapping: u64,
    pub(crate) terminated: u64,
    /// How often all nodes were killed at the same moment.
    pub(crate) core_kills: u64,
    pub(crate) lost_disks: u64,
    /// When a node or a link of one was disturbed last.
    core_disturbed_at: Option<Instant>,
    /// The node whose disk was lost in this burst, as long as it may be lost again: the others have all theirs.
    losing_node: Option<usize>,
}

impl FaultSchedule {
    pub(crate) fn new(seed: u64, nodes: usize, edges: usize, now: Instant) -> FaultSchedule {
        FaultSchedule {
            random: fastrand::Rng::with_seed(seed),
            nodes,
            edges,
            lost_disks: 0,
            core_disturbed_at: None,
            losing_node: None,
            active: Vec::new(),
            series: Vec::new(),
            next_at: now,
            last_restarts: Vec::new(),
            begun: 0,
            overlapping: 0,
            terminated: 0,
            core_kills: 0,
        }
    }

    pub(crate) fn is_active(&self) -> bool {
        !self.active.is_empty()
    }

    /// Whether a fault is active or will follow without a new burst.
    pub(crate) fn is_under_way(&self) -> bool {
        self.is_active() || !self.last_restarts.is_empty()
    }

    /// Ends a burst: no further faults begin, but all nodes may be killed a few times in a row.
    pub(crate) fn end_burst(&mut self, now: Instant) {
        self.series.clear();
        let mut at = now;
        for _ in 0..LAST_RESTARTS[usize::from(self.random.u8(0..3) == 0)] {
            self.last_restarts.push(at);
            at += Duration::from_millis(self.random.u64(LAST_RESTART_GAP_MS));
        }
    }

    /// Ends what is due, and begins what is due if `may_begin`. Calls `on_restart` for each edge that has ended as it was told,
    /// before it is started again.
    pub(crate) fn step(
        &mut self,
        cluster: &mut Cluster,
        now: Instant,
        may_begin: bool,
        on_restart: &mut dyn FnMut(usize),
    ) -> eyre::Result<FaultStep> {
        let mut step = FaultStep::default();
        self.active.iter().for_each(|active| step.record_disturbance(&active.fault));
        if step.disturbed_core {
            self.core_disturbed_at = Some(now);
        }
        self.end_due(cluster, now, &mut step, on_restart)?;
        if !may_begin {
            self.begin_last_restart_if_due(cluster, now, &mut step)?;
            return Ok(step);
        }
        let (due, later) = std::mem::take(&mut self.series).into_iter().partition(|(at, _)| *at <= now);
        self.series = later;
        for (_, restart) in due {
            self.begin(restart, cluster, now, &mut step)?;
        }
        if now >= self.next_at && self.active.len() < MAX_ACTIVE {
            self.next_at = now + Duration::from_millis(self.random.u64(PAUSE_MS));
            self.begin_random(cluster, now, &mut step)?;
        }
        Ok(step)
    }

    /// Kills all nodes if it is time; while one of them is in another fault, that waits.
    fn begin_last_restart_if_due(
        &mut self,
        cluster: &mut Cluster,
        now: Instant,
        step: &mut FaultStep,
    ) -> eyre::Result<()> {
        let is_due = self.last_restarts.first().is_some_and(|at| *at <= now);
        let is_used = self.active.iter().any(|active| {
            active.fault.uses().iter().any(|(_, process)| matches!(process, ProcessId::Node(_)))
        });
        if !is_due || is_used {
            return Ok(());
        }
        self.last_restarts.remove(0);
        let kill = Fault::all_nodes_killed(self.nodes);
        let kill = match self.losing_node.filter(|_| self.random.bool()) {
            Some(node) => kill.losing_disk_of(node),
            None => kill,
        };
        self.begin(kill, cluster, now, step)
    }

    /// A kill that loses a disk, if one may be lost now: all nodes have been in order for [`SYNC_TIME`], or it is the
    /// disk that was lost last.
    fn random_disk_loss(&mut self, now: Instant) -> Option<Fault> {
        let is_settled = self.core_disturbed_at.is_none_or(|at| now >= at + SYNC_TIME);
        if is_settled {
            self.losing_node = None;
        }
        let node = if is_settled { self.random.usize(0..self.nodes) } else { self.losing_node? };
        let is_rare = self.random.usize(0..RARE_LOSS) == 0;
        // A burst mostly begins with a loss; the same disk is seldom lost again.
        if is_rare == is_settled {
            return None;
        }
        let kill = if self.random.u8(0..3) == 0 {
            Fault::all_nodes_killed(self.nodes)
        } else {
            Fault::killed(ProcessId::Node(node))
        };
        Some(kill.losing_disk_of(node))
    }

    /// A fault, or a series of restarts of edges or nodes while those before are still ending.
    fn begin_random(
        &mut self,
        cluster: &mut Cluster,
        now: Instant,
        step: &mut FaultStep,
    ) -> eyre::Result<()> {
        if let Some(loss) = self.random_disk_loss(now) {
            return self.begin(loss, cluster, now, step);
        }
        if self.random.u8(0..5) > 0 {
            let fault = Fault::random(&mut self.random, self.nodes, self.edges);
            return self.begin(fault, cluster, now, step);
        }
        let gap = Duration::from_millis(self.random.u64(SERIES_GAP_MS));
        let of_nodes = self.random.u8(0..3) == 0;
        let processes = if of_nodes { self.nodes } else { self.edges };
        let first = self.random.usize(0..processes);
        let count = self.random.usize(1..=processes.min(MAX_SERIES));
        let kills = of_nodes && self.random.bool();
        let restart = |index: usize| match (of_nodes, (first + index) % processes) {
            (true, node) if kills => Fault::killed(ProcessId::Node(node)),
            (true, node) => Fault::Terminated(ProcessId::Node(node)),
            (false, edge) => Fault::Terminated(ProcessId::Edge(edge)),
        };
        self.series.extend((0..count).map(|index| (now + gap * index as u32, restart(index))));
        Ok(())
    }

    fn begin(
        &mut self,
        fault: Fault,
        cluster: &mut Cluster,
        now: Instant,
        step: &mut FaultStep,
    ) -> eyre::Result<()> {
        let is_used = |used| self.active.iter().any(|other| other.fault.uses().contains(used));
        if fault.uses().iter().any(is_used) {
            return Ok(());
        }
        fault.begin(cluster)?;
        step.began = true;
        step.killed_edges.extend(fault.uses().iter().filter_map(|(_, id)| killed_edge(&fault, *id)));
        self.begun += 1;
        self.overlapping += u64::from(self.is_active());
        self.terminated += u64::from(matches!(fault, Fault::Terminated(_)));
        self.core_kills += u64::from(fault.kills_all_nodes());
        self.lost_disks += u64::from(fault.lost_disk().is_some());
        self.losing_node = fault.lost_disk().or(self.losing_node);
        if fault.disturbs_core() {
            self.core_disturbed_at = Some(now);
        }
        // A node that is told to end may hand its vote over to the one whose disk was lost.
        if matches!(fault, Fault::Terminated(ProcessId::Node(_))) {
            self.losing_node = None;
        }
        step.record_disturbance(&fault);
        let end = now + fault.random_length(&mut self.random);
        self.active.push(ActiveFault { fault, begun: now, end });
        Ok(())
    }

    fn end_due(
        &mut self,
        cluster: &mut Cluster,
        now: Instant,
        step: &mut FaultStep,
        on_restart: &mut dyn FnMut(usize),
    ) -> eyre::Result<()> {
        for active in std::mem::take(&mut self.active) {
            if active.end > now || !has_ended(&active, cluster, now, step) {
                self.active.push(active);
                continue;
            }
            if let Fault::Terminated(ProcessId::Edge(edge)) = active.fault {
                on_restart(edge);
            }
            active.fault.end(cluster)?;
            step.restarted_all_nodes |= active.fault.kills_all_nodes();
        }
        Ok(())
    }
}

/// Whether a process that was told to end has. One that takes too long is killed.
fn has_ended(active: &ActiveFault, cluster: &mut Cluster, now: Instant, step: &mut FaultStep) -> bool {
    let Fault::Terminated(process) = active.fault else { return true };
    if cluster.has_ended(process) {
        return true;
    }
    if now < active.begun + END_TIMEOUT {
        return false;
    }
    step.not_ended.push(process);
    step.killed_edges.extend(process.edge());
    cluster.kill(process);
    true
}

fn killed_edge(fault: &Fault, id: ProcessId) -> Option<usize> {
    match fault {
        Fault::Killed { .. } => id.edge(),
        _ => None,
    }
}
