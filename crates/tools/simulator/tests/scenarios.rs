//! Hard cases by name: faults at fixed times, under which all invariants must hold.

use coppersail_simulator::{
    simulate, Fault, FaultKind, FaultTarget, KnownPeers, Millis, PartitionDirection, Scenario, Trigger,
};

const FIRST_SLOTS: [FaultTarget; 3] = [FaultTarget::Slot(0), FaultTarget::Slot(1), FaultTarget::Slot(2)];
const ROLES: [FaultTarget; 3] = [FaultTarget::Leader, FaultTarget::Backup, FaultTarget::Voter];

fn at(at: Millis, target: FaultTarget, kind: FaultKind) -> Fault {
    Fault::new(at, target, kind)
}

/// All invariants hold, and no fault is skipped.
fn assert_holds(scenario: &Scenario) {
    let outcome = simulate(scenario, true);
    let trace = outcome.trace.join("\n");
    let skipped: Vec<_> = outcome.statistics.faults.iter().filter(|(_, count)| count.skipped > 0).collect();
    assert_eq!(outcome.violation, None, "{trace}\n{:#?}", scenario.faults);
    assert!(skipped.is_empty(), "these were skipped: {skipped:?}\n{trace}");
}

fn scenario(seed: u64, machines: usize, faults: Vec<Fault>) -> Scenario {
    let duration = faults.iter().map(|fault| fault.at).max().unwrap_or(0) + 8000;
    Scenario { seed, machines, duration, faults, ..Scenario::default() }
}

/// An order to each of the first three machines, and an endpoint that drains, every two seconds.
fn regular_load(from: Millis, to: Millis) -> Vec<Fault> {
    let steps = (from..to).step_by(2000).enumerate();
    let all = steps.flat_map(|(n, time)| {
        let orders = FIRST_SLOTS
            .into_iter()
            .enumerate()
            .map(move |(slot, target)| at(time + 50 * slot as Millis, target, FaultKind::Order));
        orders.chain([at(time + 500, FaultTarget::Slot(0), FaultKind::EndpointDrain(n))])
    });
    all.collect()
}

fn partition(direction: PartitionDirection, duration: Millis) -> FaultKind {
    FaultKind::Partition { with: Vec::new(), direction, duration, include_clients: false }
}

fn partition_for_twenty_seconds(direction: PartitionDirection) {
    for (seed, target) in ROLES.into_iter().enumerate() {
        let mut faults = regular_load(9000, 32_000);
        faults.push(at(10_000, target, partition(direction, 20_000)));
        assert_holds(&scenario(seed as u64 + 1, 3 + seed, faults));
    }
}

#[test]
fn a_two_way_partition_of_twenty_seconds() {
    partition_for_twenty_seconds(PartitionDirection::Both);
}

#[test]
fn a_partition_of_all_that_a_machine_sends_for_twenty_seconds() {
    partition_for_twenty_seconds(PartitionDirection::Outbound);
}

#[test]
fn a_partition_of_all_that_a_machine_receives_for_twenty_seconds() {
    partition_for_twenty_seconds(PartitionDirection::Inbound);
}

#[test]
fn a_partition_then_the_others_restarted_with_the_partitioned_ones_as_known_peers() {
    for (seed, machines) in [(1, 3), (2, 5)] {
        let partitioned = if machines == 3 { vec![0] } else { vec![0, 1] };
        let others = partitioned.len()..machines;
        let with = partitioned[1..].iter().map(|p| FaultTarget::Slot(*p)).collect();
        let kind = FaultKind::Partition {
            with,
            direction: PartitionDirection::Both,
            duration: 20_000,
            include_clients: true,
        };
        let mut faults = regular_load(9000, 32_000);
        faults.push(at(10_000, FaultTarget::Slot(0), kind));
        faults.extend(
            others.clone().map(|p| at(14_000, FaultTarget::Slot(p), FaultKind::Kill { downtime: 500 })),
        );
        let known_peers = || KnownPeers::Slots(partitioned.clone());
        faults.extend(
            others
                .clone()
                .map(|p| at(18_000, FaultTarget::Slot(p), FaultKind::Reload { known_peers: known_peers() })),
        );
        faults.extend(others.clone().map(|p| {
            at(
                22_000,
                FaultTarget::Slot(p),
                FaultKind::RestartWithPeers { downtime: 500, known_peers: known_peers() },
            )
        }));
        assert_holds(&Scenario {
            forced: true,
            max_failures: partitioned.len(),
            ..scenario(seed, machines, faults)
        });
    }
}

#[test]
fn two_leaders_lost_within_a_second() {
    for seed in 1..=2 {
        // The second hits the successor of the first, within a second after its election.
        let mut faults = regular_load(9000, 16_000);
        faults.push(at(10_000, FaultTarget::Leader, FaultKind::Kill { downtime: 9000 }));
        faults.push(at(11_600 + 400 * seed, FaultTarget::Leader, FaultKind::PowerLoss { downtime: 9000 }));
        let machines = 5;
        assert_holds(&Scenario { forced: true, max_failures: 2, ..scenario(seed, machines, faults) });
    }
}

#[test]
fn a_freeze_between_the_sync_and_the_response() {
    for (seed, duration) in [(1, 700), (2, 2500), (3, 9000)] {
        let mut faults = regular_load(9000, 24_000);
        faults.push(
            at(10_000, FaultTarget::Leader, FaultKind::Freeze { duration }).on(Trigger::BeforeOkResponse),
        );
        faults.extend(
            (0..10).map(|n| at(10_300 + 400 * n, FaultTarget::Slot(n as usize % 3), FaultKind::ResendOrder)),
        );
        assert_holds(&scenario(seed, 3, faults));
    }
}

#[test]
fn a_freeze_between_the_lease_request_and_the_response() {
    for seed in 1..=8 {
        let mut faults = regular_load(9000, 15_000);
        // The voters' responses have arrived when it resumes, and nothing of its successor.
        faults.push(
            at(10_000, FaultTarget::Leader, FaultKind::Freeze { duration: 2500 })
                .on(Trigger::AfterPeerRequest),
        );
        faults.push(at(10_450, FaultTarget::Leader, partition(PartitionDirection::Both, 5000)));
        assert_holds(&scenario(seed, 3, faults));
    }
}

#[test]
fn leader_and_backup_partitioned_from_the_other_voters() {
    for seed in 1..=2 {
        let kind = FaultKind::Partition {
            with: vec![FaultTarget::Backup],
            direction: PartitionDirection::Both,
            duration: 20_000,
            include_clients: false,
        };
        let mut faults = regular_load(9000, 32_000);
        faults.push(at(10_000, FaultTarget::Leader, kind));
        assert_holds(&Scenario { max_failures: 2, ..scenario(seed, 5, faults) });
    }
}

#[test]
fn the_backup_lost_while_the_next_one_catches_up() {
    for seed in 1..=2 {
        let mut faults = regular_load(9000, 24_000);
        faults.push(at(10_000, FaultTarget::Backup, FaultKind::PowerLoss { downtime: 12_000 }));
        faults.push(at(11_250 + 50 * seed, FaultTarget::Backup, FaultKind::DiskLoss { downtime: 3000 }));
        assert_holds(&Scenario { forced: true, max_failures: 2, ..scenario(seed, 5, faults) });
    }
}

#[test]
fn the_leaders_disk_full_while_the_next_backup_catches_up() {
    for seed in 1..=2 {
        let mut faults = regular_load(9000, 24_000);
        faults.push(at(10_000, FaultTarget::Backup, FaultKind::PowerLoss { downtime: 12_000 }));
        faults.push(at(11_100 + 100 * seed, FaultTarget::Leader, FaultKind::DiskFull { duration: 8000 }));
        assert_holds(&Scenario { max_failures: 2, ..scenario(seed, 5, faults) });
    }
}

fn replace(graceful: bool, gap: Millis) -> FaultKind {
    FaultKind::Replace { graceful, gap, known_peers: KnownPeers::Running, reuse_address: false }
}

#[test]
fn a_voter_replaced_while_the_snapshot_for_its_successor_is_sent() {
    for seed in 1..=3 {
        let mut faults = vec![at(8000, FaultTarget::Slot(0), FaultKind::OrderBurst(300))];
        faults.extend(regular_load(9000, 24_000));
        faults.push(at(12_000, FaultTarget::Slot(seed as usize % 3), replace(false, 500)));
        faults.push(at(12_600 + 100 * seed, FaultTarget::Slot(seed as usize % 3), replace(false, 500)));
        assert_holds(&scenario(seed, 3, faults));
    }
}

#[test]
fn a_kill_before_the_leadership_transfer_of_a_shutdown_is_complete() {
    for (seed, late) in [1, 10, 60, 300].into_iter().enumerate() {
        for (n, target) in [FaultTarget::Leader, FaultTarget::Slot(1)].into_iter().enumerate() {
            let mut faults = regular_load(9000, 20_000);
            faults.push(at(10_000, target, FaultKind::Terminate { downtime: 3000 }));
            let mut scenario = scenario(seed as u64 * 2 + n as u64, 3, faults);
            // A machine that has ended by then can't be killed: the fault may be skipped.
            scenario.faults.push(at(10_000 + late, target, FaultKind::Kill { downtime: 4000 }));
            let outcome = simulate(&scenario, true);
            assert_eq!(outcome.violation, None, "{}", outcome.trace.join("\n"));
        }
    }
}

#[test]
fn a_second_loss_one_second_after_sync_time() {
    for seed in 1..=3 {
        let mut faults = regular_load(9000, 40_000);
        faults.push(at(10_000, FaultTarget::Leader, replace(seed == 2, 500)));
        faults.push(at(15_600, FaultTarget::Leader, FaultKind::DiskLoss { downtime: 500 }));
        faults.push(at(21_200, FaultTarget::Backup, FaultKind::DiskLoss { downtime: 500 }));
        faults.push(at(26_800, FaultTarget::Voter, replace(false, 500)));
        faults.push(at(32_400, FaultTarget::Leader, FaultKind::PowerLoss { downtime: 500 }));
        let final_fault = Some(FaultKind::DiskAndPowerLossAll { downtime: 500 });
        assert_holds(&Scenario { final_fault, ..scenario(seed, 3, faults) });
    }
}

#[test]
fn a_second_loss_just_after_sync_time_where_the_first_was_the_leader() {
    // Quick and slow elections: both must leave time to restore the membership.
    for n in [6, 12, 17, 18, 19] {
        let mut faults = regular_load(9000, 26_000);
        faults.push(at(10_000 + 40 * n, FaultTarget::Slot(0), replace(false, 236)));
        faults.push(at(14_300 + 40 * n, FaultTarget::Leader, FaultKind::Kill { downtime: 15_000 }));
        assert_holds(&Scenario { duration: 29_000, ..scenario(n, 4, faults) });
    }
}

#[test]
fn a_founding_voter_that_was_removed_becomes_a_voter_again() {
    for seed in 1..=2 {
        let mut faults = regular_load(9000, 44_000);
        faults.push(at(10_000, FaultTarget::Slot(3), replace(false, 1100)));
        faults.push(at(10_600, FaultTarget::Slot(2), FaultKind::Terminate { downtime: 4800 }));
        faults.push(at(35_000, FaultTarget::Slot(0), FaultKind::DiskLoss { downtime: 15_000 }));
        faults.push(at(35_600, FaultTarget::Slot(4), FaultKind::Kill { downtime: 15_000 }));
        assert_holds(&Scenario { max_failures: 2, duration: 52_000, ..scenario(seed, 5, faults) });
    }
}

#[test]
fn all_members_replaced_in_turn_then_all_lose_power() {
    for (seed, graceful) in [(1, false), (2, true)] {
        let mut faults = regular_load(9000, 34_000);
        let places =
            (0..3).map(|p| at(10_000 + 8000 * p, FaultTarget::Slot(p as usize), replace(graceful, 500)));
        faults.extend(places);
        assert_holds(&Scenario {
            final_fault: Some(FaultKind::PowerLossAll { downtime: 500 }),
            ..scenario(seed, 3, faults)
        });
    }
}

#[test]
fn a_member_that_returns_three_hundred_changes_behind() {
    for (seed, target) in ROLES.into_iter().enumerate() {
        let mut faults = regular_load(9000, 40_000);
        faults.push(at(10_000, target, FaultKind::PowerLoss { downtime: 25_000 }));
        faults.push(at(14_000, FaultTarget::Slot(0), FaultKind::OrderBurst(300)));
        // Once it is back for `sync_time`, another one may fail.
        faults.push(at(40_500, FaultTarget::Leader, FaultKind::PowerLoss { downtime: 500 }));
        assert_holds(&scenario(seed as u64, 3, faults));
    }
}

/// Edges that take the feed in small parts while nodes are killed, and that go from one to the other.
#[test]
fn edges_that_take_the_feed_in_parts() {
    for (seed, target) in ROLES.into_iter().enumerate() {
        let mut faults = regular_load(9000, 40_000);
        faults.push(at(14_000, target, FaultKind::PowerLoss { downtime: 2_000 }));
        faults.push(at(26_000, FaultTarget::Leader, FaultKind::PowerLoss { downtime: 500 }));
        let whole = scenario(seed as u64, 3, faults);
        assert_holds(&Scenario { max_answer_bytes: Some(1_500), ..whole });
    }
}

#[test]
fn a_replaced_member_that_returns_with_its_old_disk() {
    for seed in 1..=3 {
        let mut faults = regular_load(9000, 40_000);
        faults.push(at(10_000, FaultTarget::Slot(seed as usize - 1), replace(false, 500)));
        faults.push(at(12_000, FaultTarget::Slot(0), FaultKind::OrderBurst(100)));
        faults.push(at(20_000, FaultTarget::Slot(0), FaultKind::ReturnReplaced));
        faults.push(at(30_000, FaultTarget::Leader, FaultKind::PowerLoss { downtime: 500 }));
        assert_holds(&scenario(seed, 3, faults));
    }
}

#[test]
fn a_member_at_a_reused_address_and_one_whose_disk_moves() {
    for seed in 1..=2 {
        let mut faults = regular_load(9000, 40_000);
        faults.push(at(10_000, FaultTarget::Slot(0), replace(false, 500)));
        let reuse = FaultKind::Replace {
            graceful: false,
            gap: 500,
            known_peers: KnownPeers::Running,
            reuse_address: true,
        };
        faults.push(at(18_000, FaultTarget::Slot(1), reuse));
        faults.push(at(26_000, FaultTarget::Leader, FaultKind::MoveDisk { downtime: 500 }));
        assert_holds(&scenario(seed, 3, faults));
    }
}

#[test]
fn an_order_resent_to_the_new_leader_before_and_after_its_election() {
    for seed in 1..=3 {
        let mut faults = vec![at(9999 - seed, FaultTarget::Leader, FaultKind::Order)];
        faults.push(at(10_000, FaultTarget::Leader, FaultKind::Kill { downtime: 6000 }));
        faults.extend(
            (0..24).map(|n| at(10_100 + 130 * n, FIRST_SLOTS[n as usize % 3], FaultKind::ResendOrder)),
        );
        assert_holds(&scenario(seed, 3, faults));
    }
}

#[test]
fn eight_orders_in_flight_two_of_one_number() {
    for seed in 1..=4 {
        let mut faults = Vec::new();
        for time in [9000, 12_000, 15_000, 20_000, 22_000] {
            faults.extend([
                at(time, FaultTarget::Leader, FaultKind::ConflictingOrders),
                at(time + 1, FaultTarget::Leader, FaultKind::OrderBurst(12)),
            ]);
        }
        faults.push(at(9000 + seed, FaultTarget::Leader, FaultKind::NoisyLinks { duration: 2000 }));
        faults.push(at(15_001 + seed, FaultTarget::Leader, FaultKind::PowerLoss { downtime: 1000 }));
        assert_holds(&scenario(seed, 3, faults));
    }
}

#[test]
fn sighup_in_the_middle_of_an_election() {
    for seed in 1..=2 {
        let mut faults = regular_load(9000, 16_000);
        faults.push(at(10_000, FaultTarget::Slot(0), FaultKind::Kill { downtime: 4000 }));
        for (n, target) in
            [FaultTarget::Slot(1), FaultTarget::Slot(2)].into_iter().cycle().take(12).enumerate()
        {
            faults.push(at(
                10_400 + 120 * n as Millis,
                target,
                FaultKind::Reload { known_peers: KnownPeers::Newest },
            ));
        }
        assert_holds(&scenario(seed, 3, faults));
    }
}

#[test]
fn a_fault_of_all_machines_right_after_an_acknowledgement() {
    let final_faults = [
        FaultKind::KillAll { downtime: 300 },
        FaultKind::PowerLossAll { downtime: 1500 },
        FaultKind::DiskAndPowerLossAll { downtime: 1500 },
    ];
    for (n, final_fault) in final_faults.into_iter().enumerate() {
        for seed in 1..=2 {
            let scenario =
                Scenario { duration: 9000, final_fault: Some(final_fault.clone()), ..Scenario::default() };
            assert_holds(&Scenario { seed: seed + 10 * n as u64, machines: 3 + n, ..scenario });
        }
    }
}

/// All endpoints leave, from `from` on, every other one by a sign-off without a drain.
fn departures(from: Millis, interval: Millis) -> impl Iterator<Item = Fault> {
    (0..8).map(move |n| {
        let kind = if n % 2 == 0 { FaultKind::EndpointSignOff(n) } else { FaultKind::EndpointDrain(n) };
        at(from + interval * n as Millis, FaultTarget::Slot(0), kind)
    })
}

/// Acknowledged departures reach the edges, whatever happens to nodes and edges meanwhile.
fn assert_departures_hold(seeds: u64, machines: usize, interval: Millis, disturbances: &[Fault]) {
    for seed in 1..=seeds {
        let mut faults = disturbances.to_vec();
        faults.extend(departures(12_000, interval));
        faults.sort_by_key(|fault| fault.at);
        let scenario = Scenario { order_interval: 0, forced: true, ..scenario(seed, machines, faults) };
        assert_holds(&scenario);
    }
}

/// Guards against a departure that is acknowledged and forgotten: after a restart of all nodes none of them
/// knows an endpoint until its next heartbeat, and one that signs off sends no more.
#[test]
fn departures_soon_after_all_nodes_were_killed() {
    let kill = at(11_600, FaultTarget::Slot(0), FaultKind::KillAll { downtime: 300 });
    assert_departures_hold(20, 3, 150, &[kill]);
}

/// Guards against a departure that is kept in the memory of the nodes alone.
#[test]
fn departures_just_before_all_nodes_are_killed_again_and_again() {
    let kills = [12_050, 14_000, 16_500];
    let kill = |time| at(time, FaultTarget::Slot(0), FaultKind::KillAll { downtime: 200 });
    assert_departures_hold(20, 3, 10, &kills.map(kill));
    let power_loss = |time| at(time, FaultTarget::Slot(0), FaultKind::PowerLossAll { downtime: 300 });
    assert_departures_hold(5, 4, 400, &kills.map(power_loss));
}

/// Guards against a departure that is kept in the memory of the nodes alone: an edge that has not heard of it
/// when it is acknowledged must hear of it after a restart of all nodes.
#[test]
fn departures_while_edges_are_cut_off_and_then_all_nodes_are_killed() {
    let cut = |edge| FaultKind::EdgePartition { edge, duration: 1500 };
    let mut disturbances: Vec<Fault> =
        (0..2).map(|edge| at(11_900, FaultTarget::Slot(0), cut(edge))).collect();
    disturbances.push(at(12_900, FaultTarget::Slot(0), FaultKind::KillAll { downtime: 300 }));
    assert_departures_hold(10, 3, 10, &disturbances);
}

#[test]
fn departures_while_nodes_restart_one_after_the_other() {
    let restarts = (0..12).map(|n| {
        let target = FaultTarget::Slot(n % 3);
        at(11_500 + 250 * n as Millis, target, FaultKind::Kill { downtime: 200 })
    });
    assert_departures_hold(10, 3, 300, &restarts.collect::<Vec<_>>());
}

#[test]
fn departures_while_the_leader_is_lost_or_shuts_down() {
    let losses = [
        FaultKind::Kill { downtime: 6000 },
        FaultKind::PowerLoss { downtime: 2000 },
        FaultKind::Freeze { duration: 4000 },
        FaultKind::Terminate { downtime: 500 },
        FaultKind::DiskHang { duration: 3000 },
        FaultKind::DiskFull { duration: 5000 },
    ];
    for loss in losses {
        assert_departures_hold(3, 4, 200, &[at(11_950, FaultTarget::Leader, loss)]);
    }
}

/// Endpoints reach both sides of the partition.
#[test]
fn departures_on_both_sides_of_a_partition() {
    for (machines, with) in [(3, Vec::new()), (5, vec![FaultTarget::Voter])] {
        for target in ROLES {
            for duration in [2500, 8000] {
                let (with, direction) = (with.clone(), PartitionDirection::Both);
                let kind = FaultKind::Partition { with, direction, duration, include_clients: false };
                assert_departures_hold(3, machines, 250, &[at(11_900, target, kind)]);
            }
        }
    }
}

/// Edges come from another node, or with nothing, to nodes that have just started.
#[test]
fn departures_while_edges_change_nodes() {
    let mut disturbances = vec![at(12_500, FaultTarget::Slot(0), FaultKind::KillAll { downtime: 300 })];
    for edge in 0..4 {
        let time = 12_000 + 300 * edge as Millis;
        let cut = FaultKind::EdgePartition { edge, duration: 1500 };
        disturbances.push(at(time, FaultTarget::Slot(0), cut));
        disturbances.push(at(time + 1600, FaultTarget::Slot(0), FaultKind::EdgeRestart(edge)));
    }
    for n in 0..3 {
        disturbances.push(at(
            15_000 + 400 * n as Millis,
            FaultTarget::Slot(n),
            FaultKind::Kill { downtime: 200 },
        ));
    }
    assert_departures_hold(10, 3, 200, &disturbances);
}
