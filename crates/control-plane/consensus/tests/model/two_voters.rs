//! The searches with two voters, which lose disks.
use super::cases::{config, run_prefix};
use super::cluster::{Cluster, FaultBudget, Isolation, ModelConfig, Step};

const A: u8 = 1;
const B: u8 = 2;
const C: u8 = 4;

const ADVANCE: Step = Step::Advance { delayed: None, isolation: Isolation::None };
/// A lost disk is replaced within this many ticks without a fault.
const MAX_REPAIR_TICKS: usize = 200;

/// Two nodes, both voters and both replicas.
pub(crate) fn two_nodes() -> ModelConfig {
    ModelConfig { node_count: 2, initial_voters: 2, fault_targets: A | B, ..config() }
}

/// Two nodes, and a third one that is started later.
pub(crate) fn two_nodes_and_a_late_one() -> ModelConfig {
    ModelConfig { node_count: 3, absent_nodes: C, ..two_nodes() }
}

/// Commits a change, wipes the disk of a node, and waits until its new disk is a voter and a backup.
fn replace_disk(mut cluster: Cluster, node: usize) -> Cluster {
    cluster.budget = FaultBudget::unlimited();
    let leader = cluster.lease_holders()[0];
    cluster.propose(leader).unwrap();
    cluster.run_to_quiescence().unwrap();
    for step in [Step::Crash(node, 0), ADVANCE, Step::RestartWithEmptyDisk(node)] {
        cluster.apply(&step).unwrap();
        cluster.run_to_quiescence().unwrap();
    }
    for _ in 0..MAX_REPAIR_TICKS {
        if cluster.is_repaired() {
            return cluster;
        }
        cluster.run_without_faults(1).unwrap();
    }
    panic!("the disk of {node} is not replaced");
}

/// The state from which the search of this name starts.
pub(crate) fn search_start(name: &str) -> Cluster {
    let none = FaultBudget::default();
    match name {
        "two voters, a lost disk" => {
            let budget = FaultBudget {
                time_steps: 4,
                lease_expiries: 2,
                crashes: 1,
                partitions: 1,
                disk_losses: 1,
                proposals: 1,
                ..none
            };
            run_prefix(Cluster::started(two_nodes()), budget, &[])
        }
        "two voters, cut off" => {
            let budget = FaultBudget {
                time_steps: 4,
                lease_expiries: 2,
                partitions: 2,
                pauses: 1,
                crashes: 1,
                proposals: 1,
                ..none
            };
            run_prefix(Cluster::started(two_nodes()), budget, &[])
        }
        "two voters, lost again" => {
            let budget = FaultBudget { time_steps: 6, lease_expiries: 2, crashes: 3, disk_losses: 1, ..none };
            let config = ModelConfig { disk_loss_targets: A, ..two_nodes() };
            let steps = [Step::Propose(0), Step::Crash(0, 0), ADVANCE, Step::RestartWithEmptyDisk(0)];
            run_prefix(Cluster::started(config), budget, &steps)
        }
        "two voters, an old disk" => {
            let budget = FaultBudget {
                time_steps: 4,
                lease_expiries: 2,
                crashes: 2,
                partitions: 1,
                old_disks: 1,
                proposals: 1,
                ..none
            };
            let config = ModelConfig { fault_targets: A, keeps_old_disks: true, ..two_nodes() };
            run_prefix(replace_disk(replace_disk(Cluster::started(config), 0), 1), budget, &[])
        }
        "two voters, a third joins" => {
            let budget = FaultBudget { time_steps: 4, lease_expiries: 1, crashes: 1, disk_losses: 1, ..none };
            run_prefix(
                Cluster::started(two_nodes_and_a_late_one()),
                budget,
                &[Step::Propose(0), Step::Restart(2)],
            )
        }
        "two voters, one leaves" => {
            let budget = FaultBudget { time_steps: 4, lease_expiries: 1, crashes: 1, proposals: 1, ..none };
            let config = ModelConfig { fault_targets: A | B, ..two_nodes_and_a_late_one() };
            run_prefix(Cluster::started(config), budget, &[Step::BeginShutdown(0), ADVANCE])
        }
        _ => panic!("no case {name}"),
    }
}

/// How many states a search finds. A refactoring that changes this number changes behaviour.
pub(crate) fn expected_states(name: &str) -> usize {
    match name {
        "two voters, a lost disk" => 67_350,
        "two voters, cut off" => 207_619,
        "two voters, lost again" => 937_252,
        "two voters, an old disk" => 71_500,
        "two voters, a third joins" => 202_803,
        "two voters, one leaves" => 706_066,
        _ => panic!("no search {name}"),
    }
}
