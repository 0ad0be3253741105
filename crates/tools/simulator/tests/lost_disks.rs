//! Lost disks on two to four control-plane nodes, one at a time, in any order and with other faults between:
//! the control plane serves again after each, with all that was acknowledged.

use coppersail_simulator::{simulate, Fault, FaultKind, FaultTarget, Millis, Scenario};

/// The next disk may be lost this long after the last one is back: `sync_time` and half a second.
const BETWEEN_LOSSES: Millis = 4500;
const FIRST_FAULT: Millis = 9000;
const SEEDS: std::ops::RangeInclusive<u64> = 1..=6;

const LEADER: FaultTarget = FaultTarget::Leader;
const BACKUP: FaultTarget = FaultTarget::Backup;

fn lose_disk(at: Millis, target: FaultTarget, downtime: Millis) -> Fault {
    Fault::new(at, target, FaultKind::DiskLoss { downtime })
}

fn kill(at: Millis, target: FaultTarget, downtime: Millis) -> Fault {
    Fault::new(at, target, FaultKind::Kill { downtime })
}

/// Whether more than one machine may be down at a time.
#[derive(Clone, Copy, PartialEq)]
enum Overlap {
    None,
    Allowed,
}

/// All invariants hold on two, three and four machines, while orders go on.
fn assert_holds(faults: &[Fault], overlap: Overlap, final_fault: Option<FaultKind>) {
    for (seed, machines) in SEEDS.flat_map(|seed| (2..=4).map(move |machines| (seed, machines))) {
        let duration = faults.iter().map(|fault| fault.at).max().unwrap_or(0) + 8000;
        let scenario = Scenario {
            seed,
            machines,
            duration,
            faults: faults.to_vec(),
            order_interval: 400,
            final_fault: final_fault.clone(),
            forced: overlap == Overlap::Allowed,
            ..Scenario::default()
        };
        let outcome = simulate(&scenario, true);
        let trace = outcome.trace.join("\n");
        assert_eq!(outcome.violation, None, "seed {seed}, {machines} machines\n{trace}");
        let counts: Vec<_> = outcome.statistics.faults.iter().collect();
        assert!(counts.iter().all(|(_, count)| count.skipped == 0), "skipped: {counts:?}\n{trace}");
    }
}

/// Guards against review case 5: with two nodes one lost disk ended the control plane for good.
#[test]
fn the_disk_of_the_leader_or_of_the_backup_is_lost() {
    for (target, downtime) in [(LEADER, 300), (BACKUP, 300), (LEADER, 20_000), (BACKUP, 20_000)] {
        assert_holds(&[lose_disk(FIRST_FAULT, target, downtime)], Overlap::None, None);
    }
}

#[test]
fn disks_are_lost_one_after_the_other() {
    for targets in [[LEADER, LEADER, LEADER], [BACKUP, BACKUP, BACKUP], [LEADER, BACKUP, LEADER]] {
        let downtime = 500;
        let times = (FIRST_FAULT..).step_by((downtime + BETWEEN_LOSSES) as usize);
        let faults: Vec<Fault> =
            times.zip(targets).map(|(at, target)| lose_disk(at, target, downtime)).collect();
        assert_holds(&faults, Overlap::None, None);
    }
}

#[test]
fn all_nodes_lose_power_and_one_of_them_its_disk() {
    for downtime in [300, 3000] {
        let kind = FaultKind::DiskAndPowerLossAll { downtime };
        let again = FIRST_FAULT + downtime + 300 + BETWEEN_LOSSES;
        let faults = [
            Fault::new(FIRST_FAULT, FaultTarget::Slot(0), kind.clone()),
            Fault::new(again, FaultTarget::Slot(1), kind.clone()),
        ];
        assert_holds(&faults, Overlap::Allowed, Some(kind));
    }
}

#[test]
fn a_disk_is_lost_again_while_the_node_joins_and_the_others_are_killed() {
    for delay in [400, 700, 1000, 1500, 2500] {
        let slot = FaultTarget::Slot(0);
        let faults = [
            lose_disk(FIRST_FAULT, slot, 300),
            lose_disk(FIRST_FAULT + delay, slot, 300),
            kill(FIRST_FAULT + delay + 100, FaultTarget::Slot(1), 500),
        ];
        assert_holds(&faults, Overlap::Allowed, None);
    }
}

#[test]
fn the_node_that_is_left_freezes_or_is_cut_off_while_the_lost_disk_is_replaced() {
    let freeze = FaultKind::Freeze { duration: 2500 };
    let partition = FaultKind::Partition {
        with: Vec::new(),
        direction: coppersail_simulator::PartitionDirection::Both,
        duration: 2500,
        include_clients: false,
    };
    for (kind, delay) in [(freeze, 350), (partition, 900)] {
        let faults = [
            lose_disk(FIRST_FAULT, FaultTarget::Slot(0), 300),
            Fault::new(FIRST_FAULT + delay, FaultTarget::Slot(1), kind),
        ];
        assert_holds(&faults, Overlap::Allowed, None);
    }
}

#[test]
fn one_node_after_the_other_is_replaced_as_planned() {
    for gap in [100, 5000] {
        let replacement = FaultKind::Replace {
            graceful: true,
            gap,
            known_peers: coppersail_simulator::KnownPeers::Running,
            reuse_address: false,
        };
        let faults = [
            Fault::new(FIRST_FAULT, FaultTarget::Slot(0), replacement.clone()),
            Fault::new(FIRST_FAULT + gap + 8000, FaultTarget::Slot(1), replacement),
            lose_disk(FIRST_FAULT + 2 * gap + 16_000, BACKUP, 500),
        ];
        assert_holds(&faults, Overlap::Allowed, None);
    }
}
