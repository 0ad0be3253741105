//! Random walks: long runs with random faults, which reach states that are too deep for a search.
use super::cluster::{Cluster, Delivery, FaultBudget, Isolation, ModelConfig, Step};
use super::search::describe_trace;

/// The number of steps of a random walk.
const WALK_STEPS: usize = 2_000;
/// At the end of a walk the cluster must serve again within this many ticks without a fault.
const MAX_RECOVERY_TICKS: usize = 600;

/// Totals over all random walks of a test.
#[derive(Debug, Default)]
struct WalkTotals {
    faults: usize,
    terms: usize,
    changes: usize,
    exits: usize,
}

/// A random walk with crashes, lost disks (no more at once than the cluster tolerates), pauses, and clocks
/// that differ by a fiftieth.
struct Walk {
    seed: u64,
    random: fastrand::Rng,
    cluster: Cluster,
    max_failures: usize,
    /// The node that is currently paused.
    paused: Option<usize>,
    /// Disks lost since the cluster was last repaired.
    losses: usize,
    faults: usize,
    has_shut_down: bool,
    /// Nodes that shut down and exited without a loss.
    exits: usize,
}

impl Walk {
    fn new(seed: u64, config: ModelConfig) -> Walk {
        let mut cluster = Cluster::new(config);
        cluster.run_to_quiescence().unwrap();
        Walk {
            seed,
            random: fastrand::Rng::with_seed(seed),
            cluster,
            max_failures: config.timeouts.max_failures,
            paused: None,
            losses: 0,
            faults: 0,
            has_shut_down: false,
            exits: 0,
        }
    }

    /// Fails the test on an error, and prints the last steps of the walk and all nodes.
    fn expect<T>(&self, outcome: Result<T, String>) -> T {
        outcome.unwrap_or_else(|reason| {
            let (_, trace) = describe_trace(&self.cluster.trace);
            let lines: Vec<&str> = trace.lines().collect();
            let nodes: Vec<String> =
                (0..self.cluster.nodes.len()).map(|node| self.cluster.describe_node(node)).collect();
            let last = lines[lines.len().saturating_sub(60)..].join("\n");
            panic!("seed {}: {reason}\n{last}\n{}", self.seed, nodes.join("\n"));
        })
    }

    fn run(mut self) -> WalkTotals {
        for _ in 0..WALK_STEPS {
            self.step();
        }
        self.expect(self.cluster.check_liveness(MAX_RECOVERY_TICKS));
        let reference = &self.cluster.reference;
        WalkTotals {
            faults: self.faults,
            terms: reference.highest_term.number as usize,
            changes: reference.acknowledged.len(),
            exits: self.exits,
        }
    }

    /// Takes one step. The order of the draws must stay, because the walk of a seed depends on it.
    fn step(&mut self) {
        self.cluster.budget = FaultBudget::unlimited();
        self.cluster.budget.late_messages = self.random.u8(0..2);
        if self.paused.is_none() && self.random.usize(0..100) == 0 {
            self.run_without_faults();
        }
        self.let_one_node_exit();
        let is_repaired = self.cluster.is_repaired();
        if is_repaired {
            self.losses = 0;
        }
        if self.random.usize(0..60) == 0 {
            let paused = self.paused.is_none().then(|| self.random.usize(0..self.cluster.nodes.len()));
            self.paused = paused;
        }
        let allows_fault = self.random.usize(0..if is_repaired { 4 } else { 40 }) == 0;
        let steps = self.allowed_steps(allows_fault);
        let Some(step) = self.draw(&steps) else { return };
        self.losses += usize::from(matches!(
            step,
            Step::RestartWithEmptyDisk(_) | Step::RestartWithOldDisk(_) | Step::Remove(_)
        ));
        self.has_shut_down |= matches!(step, Step::BeginShutdown(_));
        self.faults += usize::from(matches!(
            step,
            Step::RestartWithEmptyDisk(_) | Step::Remove(_) | Step::Crash(..) | Step::FailWrite(_)
        ));
        let outcome = self.cluster.apply(&step);
        self.expect(outcome);
    }

    /// Runs for some ticks without faults, and then proposes a change if there is a leader.
    fn run_without_faults(&mut self) {
        let ticks = self.random.usize(0..30);
        let outcome = self.cluster.run_without_faults(ticks).and_then(|()| {
            match self.cluster.lease_holders().first() {
                Some(leader) => self.cluster.propose(*leader),
                None => Ok(()),
            }
        });
        self.expect(outcome);
    }

    /// Lets one node exit, if one may. Its exit is not a loss if the cluster is repaired and the leader's
    /// record no longer names the node. An isolated node exits although no other node has its roles.
    fn let_one_node_exit(&mut self) {
        let cluster = &self.cluster;
        let may_exit =
            |node: &usize| cluster.core(*node).is_some_and(|core| core.may_exit(cluster.clock(*node)));
        let Some(node) = cluster.running().into_iter().find(may_exit) else { return };
        let is_loss = !cluster.is_repaired() || cluster.is_in_leaders_record(node);
        if is_loss && self.losses >= self.max_failures {
            return;
        }
        self.cluster.budget = FaultBudget::unlimited();
        let outcome = self.cluster.apply(&Step::Remove(node));
        self.expect(outcome);
        self.losses += usize::from(is_loss);
        self.exits += usize::from(!is_loss);
    }

    fn allowed_steps(&mut self, allows_fault: bool) -> Vec<Step> {
        let steps = self.cluster.enabled_steps();
        steps.into_iter().filter(|step| self.allows(step, allows_fault)).collect()
    }

    fn allows(&mut self, step: &Step, allows_fault: bool) -> bool {
        let cluster = &self.cluster;
        match step {
            Step::Deliver(..) | Step::CompleteWrite(_) => {
                self.paused.is_none_or(|node| cluster.node_of(step) != Some(node))
            }
            Step::Advance { isolation, .. } | Step::AdvanceToLeaseEnd(isolation) => match self.paused {
                Some(node) => *isolation == Isolation::Paused(node),
                None => *isolation == Isolation::None || allows_fault,
            },
            Step::Propose(_) => self.random.usize(0..3) == 0,
            Step::Restart(_) => true,
            Step::RestartWithOldDisk(_) => allows_fault && self.losses < self.max_failures,
            Step::RestartWithEmptyDisk(_) | Step::Remove(_) if self.losses >= self.max_failures => false,
            Step::RestartWithEmptyDisk(_) | Step::FailWrite(_) | Step::Crash(..) => allows_fault,
            Step::Remove(_) => allows_fault && self.random.usize(0..20) == 0 && cluster.running().len() > 3,
            Step::BeginShutdown(_) => {
                let all_run = cluster.running().len() == cluster.nodes.len();
                // Without a successor, a node that exits counts as lost for some time, which a walk does not measure.
                allows_fault && !self.has_shut_down && all_run && cluster.nodes.len() > 3
            }
        }
    }

    /// Draws one of the steps; deliveries and writes are more likely than other steps.
    fn draw(&mut self, steps: &[Step]) -> Option<Step> {
        let quick: Vec<&Step> = steps
            .iter()
            .filter(|step| matches!(step, Step::Deliver(_, Delivery::Normal) | Step::CompleteWrite(_)))
            .collect();
        let others: Vec<&Step> =
            steps.iter().filter(|step| !matches!(step, Step::Deliver(..) | Step::CompleteWrite(_))).collect();
        let prefers_quick = !quick.is_empty() && (others.is_empty() || self.random.usize(0..12) > 0);
        let from = if prefers_quick { quick } else { others };
        (!from.is_empty()).then(|| from[self.random.usize(0..from.len())].clone())
    }
}

/// Runs random walks with consecutive seeds and prints their totals.
pub(crate) fn run_walks(name: &str, config: ModelConfig) {
    let seeds = walk_count();
    let mut totals = WalkTotals::default();
    for seed in 0..seeds {
        // Every other walk has asynchronous disks, and two of three have responses that are not instant.
        let async_disks = if seed % 2 == 0 { 0xff } else { 0 };
        let walk =
            Walk::new(seed, ModelConfig { async_disks, instant_responses: seed % 3 == 0, ..config }).run();
        totals.faults += walk.faults;
        totals.terms += walk.terms;
        totals.changes += walk.changes;
        totals.exits += walk.exits;
    }
    let WalkTotals { faults, terms, changes, exits } = totals;
    println!("{name}: {seeds} walks, {faults} faults, {terms} terms, {changes} changes, {exits} exits");
}

/// The number of random walks per test: the environment variable `WALKS`, or 300.
fn walk_count() -> u64 {
    std::env::var("WALKS").ok().and_then(|text| text.parse().ok()).unwrap_or(300)
}
