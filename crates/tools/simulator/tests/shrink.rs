//! A scenario that must violate an invariant does, and is shrunk to the faults that cause it.

use coppersail_simulator::{shrink, simulate, Fault, FaultKind, FaultTarget, KnownPeers, Scenario};

#[test]
fn all_disks_lost_at_once_are_found_and_shrunk_to_the_two_that_matter() {
    let lose_disk = |slot| Fault::new(9000, FaultTarget::Slot(slot), FaultKind::DiskLoss { downtime: 1000 });
    let mut faults: Vec<Fault> = (0..3).map(lose_disk).collect();
    faults.push(Fault::new(6000, FaultTarget::Slot(0), FaultKind::EndpointDrain(1)));
    faults.push(Fault::new(7000, FaultTarget::Slot(1), FaultKind::ResendOrder));
    faults.push(Fault::new(
        8000,
        FaultTarget::Slot(2),
        FaultKind::Reload { known_peers: KnownPeers::Running },
    ));
    let scenario = Scenario { duration: 12_000, forced: true, faults, ..Scenario::default() };
    let violation = simulate(&scenario, false).violation.expect("all acknowledged orders are lost");
    let shrunk = shrink(&scenario, violation.rule);
    // Two of three disks are as bad as all.
    assert_eq!(shrunk.faults.len(), 2, "{:?}", shrunk.faults);
    assert!(shrunk.faults.iter().all(|fault| matches!(fault.kind, FaultKind::DiskLoss { .. })));
    let trace = simulate(&shrunk, true).trace.join("\n");
    assert!(trace.contains("disk lost") && trace.contains(violation.rule), "{trace}");
}
