//! The texts of faults in traces stay the same bytes, as traces of one seed are compared between versions.

use coppersail_simulator::{FaultKind, FaultTarget, KnownPeers, PartitionDirection, Trigger};

#[test]
fn a_renamed_fault_keeps_its_text_in_traces() {
    let from = vec![FaultTarget::Leader, FaultTarget::Slot(2)];
    let direction = PartitionDirection::Outbound;
    let known_peers = KnownPeers::Slots(vec![0, 1]);
    for (kind, text) in [
        (FaultKind::Kill { downtime: 3 }, "Kill { down: 3 }"),
        (FaultKind::PowerLoss { downtime: 3 }, "Power { down: 3 }"),
        (FaultKind::DiskLoss { downtime: 3 }, "LoseDisk { down: 3 }"),
        (FaultKind::Terminate { downtime: 3 }, "Term { down: 3 }"),
        (FaultKind::Reload { known_peers: KnownPeers::Impaired }, "Hup { seeds: Lost }"),
        (FaultKind::RestartWithPeers { downtime: 3, known_peers }, "Reseed { down: 3, seeds: Of([0, 1]) }"),
        (
            FaultKind::Replace {
                graceful: true,
                gap: 3,
                known_peers: KnownPeers::Newest,
                reuse_address: false,
            },
            "Replace { term: true, gap: 3, seeds: Newest, reuse: false }",
        ),
        (FaultKind::ReturnReplaced, "Return"),
        (
            FaultKind::Partition { with: Vec::new(), direction, duration: 3, include_clients: true },
            "Cut { with: [], way: Sends, ms: 3, clients: true }",
        ),
        (
            FaultKind::PartitionFrom { from, direction: PartitionDirection::Inbound, duration: 3 },
            "CutFrom { from: [Primary, Place(2)], way: Hears, ms: 3 }",
        ),
        (FaultKind::SlowLinks { max_extra_delay: 2, duration: 3 }, "Slow { extra: 2, ms: 3 }"),
        (FaultKind::DiskAndPowerLossAll { downtime: 3 }, "DiskAndPowerAll { down: 3 }"),
        (FaultKind::EndpointDrain(3), "HostLeaves(3)"),
        (FaultKind::EndpointSignOff(3), "HostSignsOff(3)"),
        (FaultKind::EdgePartition { edge: 2, duration: 3 }, "EdgeCut { edge: 2, ms: 3 }"),
        (FaultKind::ResendOrder, "Again"),
    ] {
        assert_eq!(kind.to_string(), text);
    }
    assert_eq!(Trigger::BeforeOkResponse.to_string(), "Answer");
    assert_eq!(Trigger::AfterWriteRequest.to_string(), "Write");
}
