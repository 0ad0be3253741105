//! Random faults with a beginning and an end, and planned restarts; several may be active at once.
use crate::cluster::{Cluster, ProcessId, NODES};
use crate::relay::LinkMode;
use std::time::{Duration, Instant};

/// How many faults are active at once, at most; restarts in series come on top.
const MAX_ACTIVE: usize = 3;
const LENGTH_MS: std::ops::Range<u64> = 100..3_000;
const PAUSE_MS: std::ops::Range<u64> = 50..1_500;
/// The time between two processes of a series.
const SERIES_GAP_MS: std::ops::Range<u64> = 20..400;
/// The longest series.
const MAX_SERIES: usize = 40;
/// Operators and platforms repeat themselves: only the first counts.
const TERMINATION_SIGNALS: [&str; 3] = ["TERM", "HUP", "TERM"];
/// A process that was told to end has ended within this: its grace period, and what a machine full of processes adds.
const END_TIMEOUT: Duration = Duration::from_secs(8);

/// What is wrong while a fault is active. Disks are never lost, so that any faults may overlap.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Fault {
    Killed(Vec<ProcessId>),
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
    fn random(random: &mut fastrand::Rng, edges: usize) -> Fault {
        let node = ProcessId::Node(random.usize(0..NODES));
        let edge = ProcessId::Edge(random.usize(0..edges));
        let link = |mode| Fault::Link { node: node.index(), mode };
        match random.u8(0..16) {
            0..=2 => Fault::Killed(vec![node]),
            3 => Fault::Killed((0..NODES).map(ProcessId::Node).collect()),
            4 => Fault::Killed(vec![edge]),
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

    /// The processes and links that it uses: one fault at a time for each.
    fn uses(&self) -> Vec<(bool, ProcessId)> {
        match self {
            Fault::Killed(processes) => processes.iter().map(|process| (false, *process)).collect(),
            Fault::Terminated(process) | Fault::HungUp(process) | Fault::Paused(process) => {
                vec![(false, *process)]
            }
            Fault::Link { node, .. } => vec![(true, ProcessId::Node(*node))],
        }
    }

    fn begin(&self, cluster: &mut Cluster) -> eyre::Result<()> {
        match self {
            Fault::Killed(processes) => processes.iter().for_each(|process| cluster.kill(*process)),
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
            Fault::Killed(processes) => {
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
    /// Edges that were killed.
    pub(crate) killed_edges: Vec<usize>,
    /// Edges that had ended as they were told, and were started again.
    pub(crate) restarted_edges: Vec<usize>,
    /// Processes that had not ended in time, and were killed.
    pub(crate) not_ended: Vec<ProcessId>,
}

/// Begins and ends faults as time goes on.
pub(crate) struct FaultSchedule {
    random: fastrand::Rng,
    edges: usize,
    active: Vec<ActiveFault>,
    /// Processes that are to be told to end, and when: the rest of a series.
    series: Vec<(Instant, ProcessId)>,
    next_at: Instant,
    pub(crate) begun: u64,
    pub(crate) overlapping: u64,
    pub(crate) terminated: u64,
}

impl FaultSchedule {
    pub(crate) fn new(seed: u64, edges: usize, now: Instant) -> FaultSchedule {
        FaultSchedule {
            random: fastrand::Rng::with_seed(seed),
            edges,
            active: Vec::new(),
            series: Vec::new(),
            next_at: now,
            begun: 0,
            overlapping: 0,
            terminated: 0,
        }
    }

    pub(crate) fn is_active(&self) -> bool {
        !self.active.is_empty()
    }

    /// Ends what is due, and begins what is due if `may_begin`.
    pub(crate) fn step(
        &mut self,
        cluster: &mut Cluster,
        now: Instant,
        may_begin: bool,
    ) -> eyre::Result<FaultStep> {
        let mut step = FaultStep::default();
        self.end_due(cluster, now, &mut step)?;
        if !may_begin {
            self.series.clear();
            return Ok(step);
        }
        let (due, later) = std::mem::take(&mut self.series).into_iter().partition(|(at, _)| *at <= now);
        self.series = later;
        for (_, process) in due {
            self.begin(Fault::Terminated(process), cluster, now, &mut step)?;
        }
        if now >= self.next_at && self.active.len() < MAX_ACTIVE {
            self.next_at = now + Duration::from_millis(self.random.u64(PAUSE_MS));
            self.begin_random(cluster, now, &mut step)?;
        }
        Ok(step)
    }

    /// A fault, or a series of restarts of edges while those before are still ending.
    fn begin_random(
        &mut self,
        cluster: &mut Cluster,
        now: Instant,
        step: &mut FaultStep,
    ) -> eyre::Result<()> {
        if self.random.u8(0..5) > 0 {
            let fault = Fault::random(&mut self.random, self.edges);
            return self.begin(fault, cluster, now, step);
        }
        let gap = Duration::from_millis(self.random.u64(SERIES_GAP_MS));
        let first = self.random.usize(0..self.edges);
        let count = self.random.usize(1..=self.edges.min(MAX_SERIES));
        let edges = self.edges;
        let process = |index: usize| ProcessId::Edge((first + index) % edges);
        self.series.extend((0..count).map(|index| (now + gap * index as u32, process(index))));
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
        let end = now + Duration::from_millis(self.random.u64(LENGTH_MS));
        self.active.push(ActiveFault { fault, begun: now, end });
        Ok(())
    }

    fn end_due(&mut self, cluster: &mut Cluster, now: Instant, step: &mut FaultStep) -> eyre::Result<()> {
        for active in std::mem::take(&mut self.active) {
            if active.end > now || !has_ended(&active, cluster, now, step) {
                self.active.push(active);
                continue;
            }
            active.fault.end(cluster)?;
            if let Fault::Terminated(ProcessId::Edge(edge)) = active.fault {
                step.restarted_edges.push(edge);
            }
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
        Fault::Killed(_) => id.edge(),
        _ => None,
    }
}
