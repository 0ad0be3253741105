//! Random faults with a beginning and an end; several may be active at once.
use crate::cluster::{Cluster, ProcessId, EDGES, NODES};
use crate::relay::LinkMode;
use std::time::{Duration, Instant};

/// How many faults are active at once, at most.
const MAX_ACTIVE: usize = 3;
const LENGTH_MS: std::ops::Range<u64> = 100..3_000;
const PAUSE_MS: std::ops::Range<u64> = 50..1_500;

/// What is wrong while a fault is active. Disks are never lost, so that any faults may overlap.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Fault {
    Killed(Vec<ProcessId>),
    Paused(ProcessId),
    Link { node: usize, mode: LinkMode },
}

impl Fault {
    fn random(random: &mut fastrand::Rng) -> Fault {
        let node = random.usize(0..NODES);
        match random.u8(0..10) {
            0..=2 => Fault::Killed(vec![ProcessId::Node(node)]),
            3 => Fault::Killed((0..NODES).map(ProcessId::Node).collect()),
            4 => Fault::Killed(vec![ProcessId::Edge(random.usize(0..EDGES))]),
            5..=6 => Fault::Paused(ProcessId::Node(node)),
            7 => Fault::Link { node, mode: LinkMode::Cut },
            8 => Fault::Link { node, mode: LinkMode::LosesAnswers },
            _ => Fault::Link { node, mode: LinkMode::Slow },
        }
    }

    /// The processes and links that it uses: one fault at a time for each.
    fn uses(&self) -> Vec<(bool, ProcessId)> {
        match self {
            Fault::Killed(processes) => processes.iter().map(|process| (false, *process)).collect(),
            Fault::Paused(process) => vec![(false, *process)],
            Fault::Link { node, .. } => vec![(true, ProcessId::Node(*node))],
        }
    }

    fn begin(&self, cluster: &mut Cluster) {
        match self {
            Fault::Killed(processes) => processes.iter().for_each(|process| cluster.kill(*process)),
            Fault::Paused(process) => cluster.pause(*process),
            Fault::Link { node, mode } => cluster.links[*node].set(*mode),
        }
    }

    fn end(&self, cluster: &mut Cluster) -> eyre::Result<()> {
        match self {
            Fault::Killed(processes) => {
                processes.iter().try_for_each(|process| cluster.start_again(*process))?
            }
            Fault::Paused(process) => cluster.resume(*process),
            Fault::Link { node, .. } => cluster.links[*node].set(LinkMode::Open),
        }
        Ok(())
    }
}

/// What a step of the faults did.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct FaultStep {
    /// A fault began.
    pub(crate) began: bool,
    /// Edges that were killed.
    pub(crate) killed_edges: Vec<usize>,
}

/// Begins and ends faults as time goes on.
pub(crate) struct FaultSchedule {
    random: fastrand::Rng,
    active: Vec<(Instant, Fault)>,
    next_at: Instant,
    pub(crate) begun: u64,
    pub(crate) overlapping: u64,
}

impl FaultSchedule {
    pub(crate) fn new(seed: u64, now: Instant) -> FaultSchedule {
        let random = fastrand::Rng::with_seed(seed);
        FaultSchedule { random, active: Vec::new(), next_at: now, begun: 0, overlapping: 0 }
    }

    pub(crate) fn is_active(&self) -> bool {
        !self.active.is_empty()
    }

    /// Ends what is due, and begins the next fault if `may_begin` and it is due.
    pub(crate) fn step(
        &mut self,
        cluster: &mut Cluster,
        now: Instant,
        may_begin: bool,
    ) -> eyre::Result<FaultStep> {
        let (over, active) = std::mem::take(&mut self.active).into_iter().partition(|(end, _)| *end <= now);
        self.active = active;
        for (_, fault) in over {
            fault.end(cluster)?;
        }
        let mut step = FaultStep::default();
        if !may_begin || now < self.next_at || self.active.len() >= MAX_ACTIVE {
            return Ok(step);
        }
        self.next_at = now + Duration::from_millis(self.random.u64(PAUSE_MS));
        let fault = Fault::random(&mut self.random);
        let is_used = |used| self.active.iter().any(|(_, other)| other.uses().contains(used));
        if fault.uses().iter().any(is_used) {
            return Ok(step);
        }
        fault.begin(cluster);
        step.began = true;
        step.killed_edges = fault.uses().iter().filter_map(|(_, id)| killed_edge(&fault, *id)).collect();
        self.begun += 1;
        self.overlapping += u64::from(self.is_active());
        let end = now + Duration::from_millis(self.random.u64(LENGTH_MS));
        self.active.push((end, fault));
        Ok(step)
    }
}

fn killed_edge(fault: &Fault, id: ProcessId) -> Option<usize> {
    match (fault, id) {
        (Fault::Killed(_), ProcessId::Edge(edge)) => Some(edge),
        _ => None,
    }
}
