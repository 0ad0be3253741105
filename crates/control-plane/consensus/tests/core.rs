//! Failure scenarios, scripted step by step on the production core.
#[path = "model/cluster.rs"]
// The model and the scripted scenarios share this module; each uses a part of it.
#[allow(dead_code)]
mod cluster;

use cluster::{timeouts, Cluster, Delivery, FaultBudget, Isolation, ModelConfig, Step};
use coppersail_consensus::{LeadershipRecord, Role, Timeouts};

fn config() -> ModelConfig {
    ModelConfig {
        node_count: 4,
        initial_voters: 3,
        timeouts: timeouts(),
        async_disks: 0,
        instant_responses: true,
        time_step: 8,
        fault_targets: 0xff,
        disk_loss_targets: 0xff,
        keeps_old_disks: false,
        absent_nodes: 0,
        clock_drift: [0; 5],
    }
}

fn started_cluster(config: ModelConfig) -> Cluster {
    let mut cluster = Cluster::started(config);
    cluster.budget = FaultBudget::unlimited();
    cluster
}

fn apply_all(cluster: &mut Cluster, steps: &[Step]) {
    for step in steps {
        cluster.apply(step).unwrap_or_else(|reason| panic!("{reason} at {step:?}"));
    }
}

/// Delivers all messages; queued disk writes stay queued.
fn deliver_all(cluster: &mut Cluster) {
    for _ in 0..200 {
        let Some(step) =
            cluster.enabled_steps().into_iter().find(|s| matches!(s, Step::Deliver(_, Delivery::Normal)))
        else {
            return;
        };
        apply_all(cluster, &[step]);
    }
    panic!("messages are still in flight after 200 deliveries");
}

const ADVANCE: Step = Step::Advance { delayed: None, isolation: Isolation::None };

#[test]
fn a_probe_is_rejected_if_an_earlier_write_of_the_backup_fails() {
    let mut cluster = started_cluster(ModelConfig { async_disks: 0b10, ..config() });
    apply_all(&mut cluster, &[Step::Propose(0)]);
    deliver_all(&mut cluster);
    apply_all(&mut cluster, &[Step::Crash(0, 0), ADVANCE, Step::Restart(0), ADVANCE]);
    deliver_all(&mut cluster);
    // b has queued the writes of the append and of the probe; the first of them fails.
    apply_all(&mut cluster, &[Step::FailWrite(1)]);
    while cluster.enabled_steps().contains(&Step::CompleteWrite(1)) {
        apply_all(&mut cluster, &[Step::CompleteWrite(1)]);
    }
    deliver_all(&mut cluster);
    assert_eq!(cluster.nodes[1].state.get("k1"), None);
    cluster.run_without_faults(100).unwrap();
    assert_eq!((cluster.lease_holders(), cluster.reference.committed.clone()), (vec![0], vec![1]));
}

/// Advances the time with one node paused until another node leads.
fn fail_over_from(cluster: &mut Cluster, paused: usize) {
    for _ in 0..200 {
        apply_all(cluster, &[Step::Advance { delayed: None, isolation: Isolation::Paused(paused) }]);
        while let Some(step) = cluster.enabled_steps().into_iter().find(|s| {
            matches!(s, Step::Deliver(_, Delivery::Normal) | Step::CompleteWrite(_))
                && cluster.node_of(s) != Some(paused)
        }) {
            apply_all(cluster, &[step]);
        }
        if cluster.lease_holders().iter().any(|leader| *leader != paused) {
            return;
        }
    }
    panic!("no node takes over from {paused}");
}

fn commit_change(cluster: &mut Cluster) {
    let leader = cluster.lease_holders()[0];
    cluster.propose(leader).unwrap();
    cluster.run_to_quiescence().unwrap();
    assert!(
        cluster.reference.acknowledged.contains(&cluster.last_proposal),
        "change {} is not committed",
        cluster.last_proposal
    );
}

fn leader_record(cluster: &Cluster) -> LeadershipRecord {
    let leader = cluster.lease_holders()[0];
    match &cluster.core(leader).unwrap().role {
        Role::Leader(record) => record.clone(),
        Role::Follower => panic!("a node holds the lease but is not the leader"),
    }
}

fn is_voter(cluster: &Cluster, id: &str) -> bool {
    leader_record(cluster).voters.iter().any(|voter| voter.id == id)
}

#[test]
fn no_change_is_lost_if_the_next_leader_fails_right_after_a_failover() {
    let mut cluster = started_cluster(config());
    commit_change(&mut cluster);
    fail_over_from(&mut cluster, 0);
    let next = cluster.lease_holders()[0];
    commit_change(&mut cluster);
    // a runs again, and the second leader is paused immediately.
    apply_all(&mut cluster, &[ADVANCE]);
    deliver_all(&mut cluster);
    fail_over_from(&mut cluster, next);
    commit_change(&mut cluster);
    assert_eq!(cluster.reference.committed, [1, 2, 3]);
    assert!(cluster.reference.terms >= 3, "{}", cluster.reference.terms);
}

#[test]
fn a_leader_that_is_paused_past_its_lease_does_not_commit() {
    let mut cluster = started_cluster(ModelConfig { async_disks: 0b1, ..config() });
    apply_all(&mut cluster, &[Step::Propose(0)]);
    deliver_all(&mut cluster);
    // The backup has acknowledged the append; a's own write is queued while a is paused and b takes over.
    fail_over_from(&mut cluster, 0);
    assert_eq!(cluster.lease_holders(), [1]);
    apply_all(&mut cluster, &[Step::CompleteWrite(0)]);
    assert!(cluster.reference.acknowledged.is_empty(), "a has lost its lease before its write completed");
    assert_eq!(
        (cluster.reference.committed.clone(), cluster.lease_holders()),
        (vec![1], vec![1]),
        "b commits the change that is on its disk"
    );
    cluster.run_without_faults(50).unwrap();
    commit_change(&mut cluster);
}

/// A cluster in which b is down and a snapshot from a to its next backup is in flight.
fn cluster_during_snapshot() -> Cluster {
    let mut cluster = started_cluster(config());
    commit_change(&mut cluster);
    apply_all(&mut cluster, &[Step::Crash(1, 0)]);
    for _ in 0..100 {
        apply_all(&mut cluster, &[ADVANCE]);
        let next = |cluster: &Cluster| {
            cluster.enabled_steps().into_iter().find(|s| matches!(s, Step::Deliver(_, Delivery::Normal)))
        };
        while cluster.messages_containing("Snapshot") == 0 {
            let Some(step) = next(&cluster) else { break };
            apply_all(&mut cluster, &[step]);
        }
        if cluster.messages_containing("Snapshot") > 0 {
            return cluster;
        }
    }
    panic!("no snapshot is sent");
}

#[test]
fn the_cluster_recovers_if_the_next_backup_crashes_during_its_snapshot() {
    let mut cluster = cluster_during_snapshot();
    apply_all(&mut cluster, &[Step::Crash(2, 0)]);
    cluster.run_without_faults(100).unwrap();
    assert!(cluster.lease_holders().is_empty(), "a alone is not a quorum of a, b, c");
    apply_all(&mut cluster, &[ADVANCE, Step::Restart(2)]);
    cluster.run_without_faults(100).unwrap();
    commit_change(&mut cluster);
    assert_eq!(cluster.reference.committed, [1, 2]);
}

#[test]
fn a_voter_that_loses_its_disk_during_a_snapshot_votes_with_its_new_disk() {
    let mut cluster = cluster_during_snapshot();
    apply_all(&mut cluster, &[ADVANCE, Step::RestartWithEmptyDisk(1)]);
    deliver_all(&mut cluster);
    assert_eq!(cluster.nodes[1].state.get("k1"), None);
    cluster.run_without_faults(100).unwrap();
    commit_change(&mut cluster);
    let record = leader_record(&cluster);
    assert!(record.outgoing_voters.is_empty());
    assert!(
        record.voters.iter().any(|voter| voter.id == "b" && voter.incarnation > 0),
        "b votes with its new disk: {record:?}"
    );
    assert_eq!(cluster.reference.committed, [1, 2]);
}

#[test]
fn no_change_is_lost_if_a_leader_is_lost_right_after_a_repair() {
    let mut cluster =
        started_cluster(ModelConfig { timeouts: Timeouts { replace_after: 60, ..timeouts() }, ..config() });
    commit_change(&mut cluster);
    apply_all(&mut cluster, &[Step::Remove(0)]);
    let mut ticks = 0;
    while !cluster.is_repaired() || is_voter(&cluster, "a") {
        cluster.run_without_faults(1).unwrap();
        ticks += 1;
        assert!(ticks < 200, "not repaired");
    }
    commit_change(&mut cluster);
    // The leader of the three remaining nodes is lost as well; the two others are a quorum.
    let leader = cluster.lease_holders()[0];
    apply_all(&mut cluster, &[Step::Remove(leader)]);
    cluster.run_without_faults(100).unwrap();
    commit_change(&mut cluster);
    assert_eq!(cluster.reference.committed, [1, 2, 3]);
}

#[test]
fn no_change_is_lost_if_all_disks_are_lost_in_turn_and_all_nodes_then_crash() {
    let mut cluster = started_cluster(config());
    commit_change(&mut cluster);
    for node in [1, 0, 2, 3] {
        apply_all(&mut cluster, &[Step::Crash(node, 0), ADVANCE, Step::RestartWithEmptyDisk(node)]);
        let mut ticks = 0;
        while !cluster.is_repaired() {
            cluster.run_without_faults(1).unwrap();
            ticks += 1;
            assert!(ticks < 300, "not repaired after the loss of disk {node}");
        }
        cluster.run_without_faults(40).unwrap();
        commit_change(&mut cluster);
    }
    for node in 0..4 {
        apply_all(&mut cluster, &[Step::Crash(node, 0)]);
    }
    apply_all(
        &mut cluster,
        &[ADVANCE, Step::Restart(0), Step::Restart(1), Step::Restart(2), Step::Restart(3)],
    );
    cluster.run_without_faults(100).unwrap();
    commit_change(&mut cluster);
    assert_eq!(cluster.reference.committed, [1, 2, 3, 4, 5, 6]);
}

#[test]
fn no_change_is_lost_if_a_draining_leader_is_killed_before_its_transfer_is_complete() {
    for steps in 0..30 {
        let mut cluster = started_cluster(config());
        commit_change(&mut cluster);
        apply_all(&mut cluster, &[Step::BeginShutdown(0)]);
        for _ in 0..steps {
            apply_all(&mut cluster, &[ADVANCE]);
            deliver_all(&mut cluster);
        }
        apply_all(&mut cluster, &[Step::Remove(0)]);
        cluster.run_without_faults(150).unwrap();
        commit_change(&mut cluster);
        assert_eq!(cluster.reference.committed, [1, 2], "killed after {steps} steps");
    }
}

#[test]
fn a_draining_leader_hands_over_its_vote_and_its_state_before_it_exits() {
    let mut cluster = started_cluster(config());
    commit_change(&mut cluster);
    apply_all(&mut cluster, &[Step::BeginShutdown(0)]);
    let mut ticks = 0;
    while !cluster.core(0).unwrap().may_exit(cluster.clock(0)) {
        cluster.run_without_faults(1).unwrap();
        ticks += 1;
        assert!(ticks < 100, "the node is still not allowed to exit after {ticks} ticks");
    }
    assert!(ticks < 60, "{ticks} ticks: the node may exit only because its grace period is over");
    let record = leader_record(&cluster);
    assert!(!record.is_replica("a") && !record.is_voter("a"), "{record:?}");
    apply_all(&mut cluster, &[Step::Remove(0)]);
    commit_change(&mut cluster);
}

#[test]
fn a_replaced_node_that_returns_with_its_old_disk_does_not_lead() {
    let mut cluster =
        started_cluster(ModelConfig { timeouts: Timeouts { replace_after: 40, ..timeouts() }, ..config() });
    commit_change(&mut cluster);
    apply_all(&mut cluster, &[Step::Crash(0, 0)]);
    cluster.run_without_faults(100).unwrap();
    assert!(!is_voter(&cluster, "a"));
    for _ in 0..3 {
        commit_change(&mut cluster);
    }
    // a was the leader in the newest record that it knows.
    apply_all(&mut cluster, &[Step::Restart(0)]);
    for _ in 0..20 {
        apply_all(&mut cluster, &[ADVANCE]);
        deliver_all(&mut cluster);
        assert_ne!(cluster.lease_holders(), [0]);
    }
    cluster.run_without_faults(50).unwrap();
    commit_change(&mut cluster);
    assert_eq!(cluster.reference.committed, [1, 2, 3, 4, 5]);
}

fn two_nodes() -> ModelConfig {
    ModelConfig { node_count: 2, initial_voters: 2, ..config() }
}

/// Runs without faults until all losses are repaired, and commits a change.
fn repair(cluster: &mut Cluster, max_ticks: usize) {
    for _ in 0..max_ticks {
        cluster.run_without_faults(1).unwrap();
        if cluster.is_repaired() {
            return commit_change(cluster);
        }
    }
    let nodes: Vec<String> = (0..cluster.nodes.len()).map(|node| cluster.describe_node(node)).collect();
    panic!("not repaired after {max_ticks} ticks:\n{}", nodes.join("\n"));
}

/// Guards against review case 5: with two nodes one lost disk ended the control plane for good.
#[test]
fn each_of_two_nodes_may_lose_its_disk_again_and_again() {
    let mut cluster = started_cluster(two_nodes());
    commit_change(&mut cluster);
    for node in [0, 1, 1, 0, 0, 1] {
        apply_all(&mut cluster, &[Step::Crash(node, 0), ADVANCE, Step::RestartWithEmptyDisk(node)]);
        repair(&mut cluster, 100);
    }
    assert_eq!(cluster.reference.committed, [1, 2, 3, 4, 5, 6, 7]);
}

#[test]
fn two_nodes_are_repaired_if_both_are_killed_and_the_one_with_an_empty_disk_starts_first() {
    for wiped in [0, 1] {
        let mut cluster = started_cluster(two_nodes());
        commit_change(&mut cluster);
        let other = 1 - wiped;
        apply_all(&mut cluster, &[Step::Crash(0, 0), Step::Crash(1, 0), ADVANCE]);
        apply_all(&mut cluster, &[Step::RestartWithEmptyDisk(wiped)]);
        for _ in 0..20 {
            apply_all(&mut cluster, &[ADVANCE]);
            assert!(cluster.lease_holders().is_empty(), "an empty disk leads");
        }
        apply_all(&mut cluster, &[Step::Restart(other)]);
        repair(&mut cluster, 100);
        assert_eq!(cluster.reference.committed, [1, 2]);
    }
}

#[test]
fn two_nodes_are_repaired_if_the_new_disk_is_lost_or_the_other_node_is_killed_while_it_joins() {
    for steps in 0..40 {
        let mut cluster = started_cluster(two_nodes());
        commit_change(&mut cluster);
        apply_all(&mut cluster, &[Step::Crash(0, 0), ADVANCE, Step::RestartWithEmptyDisk(0)]);
        for _ in 0..steps {
            apply_all(&mut cluster, &[ADVANCE]);
            deliver_all(&mut cluster);
        }
        apply_all(&mut cluster, &[Step::Crash(0, 0), Step::Crash(1, 0), ADVANCE]);
        apply_all(&mut cluster, &[Step::RestartWithEmptyDisk(0), Step::Restart(1)]);
        repair(&mut cluster, 100);
        assert_eq!(cluster.reference.committed, [1, 2], "wiped again after {steps} steps");
    }
}

#[test]
fn one_of_two_nodes_does_not_lead_while_the_other_is_down_frozen_or_partitioned() {
    for fault in [Isolation::Paused(0), Isolation::Partitioned(0)] {
        let mut cluster = started_cluster(two_nodes());
        for _ in 0..60 {
            apply_all(&mut cluster, &[Step::Advance { delayed: None, isolation: fault }]);
            assert!(!cluster.lease_holders().contains(&1), "b leads alone: {fault:?}");
        }
    }
    let mut cluster = started_cluster(two_nodes());
    apply_all(&mut cluster, &[Step::Crash(0, 0)]);
    cluster.run_without_faults(200).unwrap();
    assert!(cluster.lease_holders().is_empty(), "b leads alone");
    apply_all(&mut cluster, &[ADVANCE, Step::Restart(0)]);
    repair(&mut cluster, 100);
}

#[test]
fn an_old_disk_that_comes_back_to_two_nodes_is_brought_up_to_date() {
    let mut cluster = started_cluster(ModelConfig { keeps_old_disks: true, ..two_nodes() });
    commit_change(&mut cluster);
    for node in [0, 1] {
        apply_all(&mut cluster, &[Step::Crash(node, 0), ADVANCE, Step::RestartWithEmptyDisk(node)]);
        repair(&mut cluster, 100);
    }
    // Both nodes are voters with new disks, of which the old one of a knows nothing.
    apply_all(&mut cluster, &[Step::Crash(0, 0), ADVANCE, Step::RestartWithOldDisk(0)]);
    for _ in 0..20 {
        apply_all(&mut cluster, &[ADVANCE]);
        deliver_all(&mut cluster);
        assert_ne!(cluster.lease_holders(), [0], "the old disk leads");
    }
    repair(&mut cluster, 100);
    assert_eq!(cluster.reference.committed, [1, 2, 3, 4]);
}

/// Two nodes, and a third one that is started later.
fn two_nodes_and_a_late_one() -> ModelConfig {
    ModelConfig { node_count: 3, absent_nodes: 0b100, ..two_nodes() }
}

/// The ids of the leader's voters; there is no joint configuration.
fn voter_ids(cluster: &Cluster) -> Vec<String> {
    let record = leader_record(cluster);
    assert!(record.outgoing_voters.is_empty(), "{record:?}");
    record.voters.into_iter().map(|voter| voter.id).collect()
}

#[test]
fn one_of_two_nodes_is_replaced_by_a_node_that_starts_after_it_has_exited() {
    for leaving in [0, 1] {
        let mut cluster = started_cluster(two_nodes_and_a_late_one());
        commit_change(&mut cluster);
        apply_all(&mut cluster, &[Step::BeginShutdown(leaving)]);
        cluster.run_without_faults(100).unwrap();
        apply_all(&mut cluster, &[Step::Remove(leaving)]);
        cluster.run_without_faults(100).unwrap();
        apply_all(&mut cluster, &[ADVANCE, Step::Restart(2)]);
        repair(&mut cluster, 200);
        cluster.run_without_faults(100).unwrap();
        assert_eq!(voter_ids(&cluster), if leaving == 0 { ["b", "c"] } else { ["a", "c"] });
        assert_eq!(cluster.reference.committed, [1, 2]);
    }
}

/// A node that had left stayed one of three voters, so that one lost disk of the two others was one too many.
#[test]
fn one_of_two_nodes_is_replaced_by_a_node_that_starts_before_it_exits() {
    let timeouts = Timeouts { replace_after: 60, ..timeouts() };
    for lost in [1, 2] {
        let mut cluster = started_cluster(ModelConfig { timeouts, ..two_nodes_and_a_late_one() });
        apply_all(&mut cluster, &[Step::Restart(2)]);
        cluster.run_without_faults(100).unwrap();
        assert_eq!(voter_ids(&cluster), ["a", "b", "c"]);
        apply_all(&mut cluster, &[Step::BeginShutdown(0)]);
        cluster.run_without_faults(100).unwrap();
        apply_all(&mut cluster, &[Step::Remove(0)]);
        cluster.run_without_faults(100).unwrap();
        commit_change(&mut cluster);
        assert_eq!(voter_ids(&cluster), ["b", "c"]);
        apply_all(&mut cluster, &[Step::Crash(lost, 0), ADVANCE, Step::RestartWithEmptyDisk(lost)]);
        repair(&mut cluster, 100);
        assert_eq!(cluster.reference.committed, [1, 2]);
    }
}

#[test]
fn a_spare_node_that_exits_while_it_becomes_a_voter_does_not_stay_one() {
    let timeouts = Timeouts { replace_after: 60, shutdown_grace: 1_000_000, ..timeouts() };
    for steps in 0..40 {
        let mut cluster = started_cluster(ModelConfig { timeouts, ..two_nodes_and_a_late_one() });
        apply_all(&mut cluster, &[Step::Restart(2)]);
        for _ in 0..steps {
            let deliveries = cluster.enabled_steps();
            let is_delivery = |step: &Step| matches!(step, Step::Deliver(_, Delivery::Normal));
            let step = deliveries.into_iter().find(is_delivery).unwrap_or(ADVANCE);
            apply_all(&mut cluster, &[step]);
        }
        apply_all(&mut cluster, &[Step::BeginShutdown(2)]);
        while !cluster.core(2).unwrap().may_exit(cluster.clock(2)) {
            cluster.run_without_faults(1).unwrap();
        }
        apply_all(&mut cluster, &[Step::Remove(2)]);
        cluster.run_without_faults(100).unwrap();
        apply_all(&mut cluster, &[Step::Crash(1, 0), ADVANCE, Step::RestartWithEmptyDisk(1)]);
        repair(&mut cluster, 100);
    }
}

#[test]
fn one_of_two_nodes_that_is_restarted_becomes_a_voter_again() {
    let mut cluster = started_cluster(two_nodes());
    commit_change(&mut cluster);
    apply_all(&mut cluster, &[Step::BeginShutdown(0)]);
    cluster.run_without_faults(100).unwrap();
    assert_eq!(voter_ids(&cluster), ["b"]);
    apply_all(&mut cluster, &[Step::Crash(0, 0), ADVANCE, Step::Restart(0)]);
    repair(&mut cluster, 100);
    cluster.run_without_faults(100).unwrap();
    assert_eq!(voter_ids(&cluster), ["b", "a"]);
}

#[test]
fn a_voter_does_not_exit_while_the_voters_that_replace_it_need_its_vote() {
    for (leaving, steps) in [0, 1].into_iter().flat_map(|node| (0..30).map(move |steps| (node, steps))) {
        let timeouts = Timeouts { shutdown_grace: 1_000_000, ..timeouts() };
        let mut cluster = started_cluster(ModelConfig { timeouts, ..two_nodes_and_a_late_one() });
        commit_change(&mut cluster);
        apply_all(&mut cluster, &[Step::BeginShutdown(leaving), Step::Restart(2)]);
        for _ in 0..steps {
            apply_all(&mut cluster, &[ADVANCE]);
            deliver_all(&mut cluster);
        }
        // A partition of the leader from the other nodes while it replaces the voter.
        apply_all(
            &mut cluster,
            &[Step::Advance { delayed: None, isolation: Isolation::Partitioned(1 - leaving) }],
        );
        while !cluster.core(leaving).unwrap().may_exit(cluster.clock(leaving)) {
            apply_all(&mut cluster, &[ADVANCE]);
            deliver_all(&mut cluster);
        }
        apply_all(&mut cluster, &[Step::Remove(leaving)]);
        repair(&mut cluster, 400);
    }
}

/// Guards against review case 4: lost disks were not replaced while changes followed one another without a
/// pause.
#[test]
fn lost_disks_are_replaced_while_an_append_is_in_flight_at_each_tick() {
    let mut cluster = started_cluster(config());
    for node in [2, 1] {
        apply_all(&mut cluster, &[Step::Crash(node, 0), ADVANCE, Step::RestartWithEmptyDisk(node)]);
        let mut rounds = 0;
        while !cluster.is_repaired() {
            let leader = cluster.lease_holders().first().copied();
            apply_all(&mut cluster, leader.map(Step::Propose).as_slice());
            apply_all(&mut cluster, &[ADVANCE]);
            deliver_all(&mut cluster);
            rounds += 1;
            assert!(rounds < 60, "the disk of {node} is not replaced after {rounds} appends");
        }
    }
    for node in [0, 1, 2, 3] {
        apply_all(&mut cluster, &[Step::Crash(node, 0)]);
    }
    let restarts = [0, 1, 2, 3].map(Step::Restart);
    apply_all(&mut cluster, &[ADVANCE]);
    apply_all(&mut cluster, &restarts);
    repair(&mut cluster, 100);
}
