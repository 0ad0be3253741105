//! The searches: the start state, the fault budget and the expected number of states of each.
use super::cluster::{timeouts, Cluster, FaultBudget, Isolation, ModelConfig, Step};
use super::two_voters;
use coppersail_consensus::Timeouts;

const A: u8 = 1;
const B: u8 = 2;
const C: u8 = 4;

/// Four nodes, three of them voters; only the voters fail.
pub(crate) fn config() -> ModelConfig {
    ModelConfig {
        node_count: 4,
        initial_voters: 3,
        timeouts: timeouts(),
        async_disks: 0,
        instant_responses: true,
        time_step: 25,
        fault_targets: A | B | C,
        disk_loss_targets: 0xff,
        keeps_old_disks: false,
        absent_nodes: 0,
        clock_drift: [0; 5],
    }
}

/// Applies the steps before a search, and runs to quiescence after each; after the last one only if it does
/// not advance the time.
pub(crate) fn run_prefix(mut cluster: Cluster, budget: FaultBudget, steps: &[Step]) -> Cluster {
    for step in steps {
        cluster.budget = FaultBudget::unlimited();
        cluster.apply(step).unwrap();
        let advances = matches!(step, Step::Advance { .. } | Step::AdvanceToLeaseEnd(_));
        if !advances || step != &steps[steps.len() - 1] {
            cluster.run_to_quiescence().unwrap();
        }
    }
    cluster.budget = budget;
    cluster
}

/// The state from which the search of this name starts. The names stay, because earlier results refer to
/// them.
#[expect(clippy::too_many_lines, reason = "a table of the searches")]
pub(crate) fn search_start(name: &str) -> Cluster {
    let none = FaultBudget::default();
    let quick_replacement =
        ModelConfig { timeouts: Timeouts { replace_after: 40, ..timeouts() }, ..config() };
    let advance = |isolation| Step::Advance { delayed: None, isolation };
    match name {
        "takeovers" => {
            let budget =
                FaultBudget { time_steps: 3, lease_expiries: 2, partitions: 2, proposals: 1, ..none };
            run_prefix(Cluster::started(ModelConfig { fault_targets: A | B, ..config() }), budget, &[])
        }
        "two changes" => {
            let budget =
                FaultBudget { time_steps: 3, lease_expiries: 1, partitions: 1, proposals: 2, ..none };
            run_prefix(Cluster::started(ModelConfig { fault_targets: A | B, ..config() }), budget, &[])
        }
        "old group" => {
            // No partition in the budget: with one, the search has more than 6,000,000 states.
            let budget = FaultBudget { time_steps: 2, lease_expiries: 1, crashes: 1, ..none };
            let config = ModelConfig { fault_targets: A | B, ..quick_replacement };
            run_prefix(
                Cluster::started(config),
                budget,
                &[advance(Isolation::Partitioned(2)), advance(Isolation::Partitioned(2))],
            )
        }
        "new group" => {
            let budget = FaultBudget { time_steps: 2, lease_expiries: 1, crashes: 1, ..none };
            let mut cluster = Cluster::started(ModelConfig { fault_targets: A | B, ..quick_replacement });
            // Advance until the joint configuration is chosen and the campaign for the new configuration has
            // begun.
            while cluster.reference.memberships < 2 {
                cluster = run_prefix(cluster, budget, &[advance(Isolation::Partitioned(2))]);
                cluster.run_to_quiescence().unwrap();
            }
            run_prefix(cluster, budget, &[advance(Isolation::Partitioned(2))])
        }
        "leaver" => {
            let budget = FaultBudget { time_steps: 3, lease_expiries: 1, crashes: 1, ..none };
            let config = ModelConfig { fault_targets: A, ..config() };
            let advance = advance(Isolation::None);
            run_prefix(
                Cluster::started(config),
                budget,
                &[Step::BeginShutdown(0), advance.clone(), advance.clone(), advance],
            )
        }
        "lost disk" => {
            let budget =
                FaultBudget { time_steps: 4, lease_expiries: 1, partitions: 1, disk_losses: 1, ..none };
            run_prefix(Cluster::started(config()), budget, &[Step::Crash(2, 0)])
        }
        "new backup" => {
            let budget = FaultBudget {
                time_steps: 3,
                lease_expiries: 1,
                partitions: 1,
                crashes: 1,
                proposals: 2,
                late_messages: 2,
                ..none
            };
            let lease_end = Step::AdvanceToLeaseEnd(Isolation::None);
            run_prefix(
                Cluster::started(config()),
                budget,
                &[
                    Step::Remove(1),
                    advance(Isolation::None),
                    lease_end,
                    advance(Isolation::None),
                    advance(Isolation::None),
                ],
            )
        }
        "replaced" => {
            let budget = FaultBudget { time_steps: 4, lease_expiries: 1, crashes: 1, proposals: 1, ..none };
            let config = ModelConfig { fault_targets: A, ..quick_replacement };
            run_prefix(Cluster::started(config), budget, &[advance(Isolation::Partitioned(2))])
        }
        "disk of the primary" => {
            let budget = FaultBudget { time_steps: 3, crashes: 1, proposals: 1, write_failures: 1, ..none };
            run_prefix(
                Cluster::started(ModelConfig { async_disks: A, fault_targets: A, time_step: 8, ..config() }),
                budget,
                &[],
            )
        }
        "disk of the backup" => {
            let budget = FaultBudget { time_steps: 3, crashes: 1, proposals: 1, write_failures: 1, ..none };
            run_prefix(
                Cluster::started(ModelConfig { async_disks: B, fault_targets: A, time_step: 8, ..config() }),
                budget,
                &[],
            )
        }
        "late copies" => {
            let budget = FaultBudget {
                time_steps: 2,
                lease_expiries: 1,
                partitions: 1,
                proposals: 2,
                late_messages: 2,
                ..none
            };
            run_prefix(Cluster::started(config()), budget, &[])
        }
        "late answers" => {
            let budget = FaultBudget { time_steps: 3, lease_expiries: 1, partitions: 3, ..none };
            run_prefix(
                Cluster::started(ModelConfig {
                    instant_responses: false,
                    time_step: 15,
                    fault_targets: A,
                    ..config()
                }),
                budget,
                &[],
            )
        }
        "frozen" => {
            let budget = FaultBudget { time_steps: 3, lease_expiries: 2, pauses: 2, proposals: 1, ..none };
            run_prefix(Cluster::started(ModelConfig { fault_targets: A | B, ..config() }), budget, &[])
        }
        _ => two_voters::search_start(name),
    }
}

/// How many states a search finds. A refactoring that changes this number changes behaviour.
pub(crate) fn expected_states(name: &str) -> usize {
    match name {
        "takeovers" => 529_478,
        "two changes" => 50_074,
        "frozen" => 210_022,
        "lost disk" => 221_370,
        "replaced" => 1_153_409,
        "old group" => 885_056,
        "new group" => 763_879,
        "new backup" => 346_061,
        "late copies" => 447_368,
        "late answers" => 198_681,
        "disk of the primary" => 39_507,
        "disk of the backup" => 41_453,
        "leaver" => 549_699,
        _ => two_voters::expected_states(name),
    }
}
