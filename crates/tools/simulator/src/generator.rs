//! Scenarios by seed. The order of the random draws is fixed: it decides which scenario a seed stands for.

use crate::fault::{Fault, FaultKind, FaultTarget, KnownPeers, PartitionDirection, Trigger};
use crate::scenario::Scenario;
use crate::time::Millis;
use fastrand::Rng;

/// Least time between two faults.
/// So short that a snapshot comes in parts.
const MAX_ANSWER_BYTES: u64 = 2 * 1024;
const MIN_FAULT_INTERVAL_MS: Millis = 10;

fn between(rng: &mut Rng, low: Millis, high: Millis) -> Millis {
    rng.u64(low..=high)
}

fn random_target(rng: &mut Rng, machines: usize) -> FaultTarget {
    match rng.u8(0..10) {
        0..=3 => FaultTarget::Leader,
        4..=5 => FaultTarget::Backup,
        6..=7 => FaultTarget::Voter,
        _ => FaultTarget::Slot(rng.usize(0..machines)),
    }
}

fn random_direction(rng: &mut Rng) -> PartitionDirection {
    match rng.u8(0..4) {
        0 => PartitionDirection::Outbound,
        1 => PartitionDirection::Inbound,
        _ => PartitionDirection::Both,
    }
}

/// Mostly short, at times long.
fn random_duration(rng: &mut Rng, longest: Millis) -> Millis {
    match rng.u8(0..4) {
        0 => between(rng, 50, 1500),
        1 | 2 => between(rng, 500, 5000),
        _ => between(rng, 4000, longest),
    }
}

fn random_downtime(rng: &mut Rng) -> Millis {
    match rng.u8(0..5) {
        0 => between(rng, 5000, 20_000),
        _ => between(rng, 300, 5000),
    }
}

fn random_known_peers(rng: &mut Rng) -> KnownPeers {
    match rng.u8(0..4) {
        0 => KnownPeers::Newest,
        1 => KnownPeers::Impaired,
        _ => KnownPeers::Running,
    }
}

fn random_replacement(rng: &mut Rng) -> FaultKind {
    FaultKind::Replace {
        graceful: rng.bool(),
        gap: between(rng, 100, 8000),
        known_peers: if rng.bool() { KnownPeers::Running } else { KnownPeers::Newest },
        reuse_address: false,
    }
}

fn random_trigger(rng: &mut Rng) -> Trigger {
    match rng.u8(0..8) {
        0 => Trigger::BeforeOkResponse,
        1 => Trigger::AfterOkResponse,
        2 => Trigger::AfterPeerRequest,
        3 if rng.bool() => Trigger::AfterPeerResponse,
        3 => Trigger::AfterWriteRequest,
        _ => Trigger::Immediately,
    }
}

/// One of a hundred equal chances.
fn random_fault_kind(rng: &mut Rng, scenario: &Scenario) -> FaultKind {
    match rng.u8(0..100) {
        chance @ 0..=47 => random_process_fault(rng, chance),
        chance @ 48..=71 => random_network_fault(rng, chance, scenario),
        72..=73 => FaultKind::DiskSlow { duration: random_duration(rng, 10_000) },
        74..=77 => FaultKind::DiskHang { duration: random_duration(rng, 10_000) },
        78..=80 => FaultKind::DiskFull { duration: random_duration(rng, 10_000) },
        81..=82 => FaultKind::KillAll { downtime: between(rng, 100, 1000) },
        83..=84 => FaultKind::PowerLossAll { downtime: between(rng, 300, 4000) },
        85 => FaultKind::DiskAndPowerLossAll { downtime: between(rng, 300, 4000) },
        chance => random_client_fault(rng, chance, scenario),
    }
}

fn random_process_fault(rng: &mut Rng, chance: u8) -> FaultKind {
    match chance {
        0..=9 => FaultKind::Kill { downtime: random_downtime(rng) },
        10..=16 => FaultKind::PowerLoss { downtime: random_downtime(rng) },
        17..=22 => FaultKind::DiskLoss { downtime: random_downtime(rng) },
        23..=28 => FaultKind::Freeze { duration: random_duration(rng, 15_000) },
        29..=34 => FaultKind::Terminate { downtime: random_downtime(rng) },
        35..=38 => FaultKind::Reload { known_peers: random_known_peers(rng) },
        39..=41 => FaultKind::RestartWithPeers {
            downtime: random_downtime(rng),
            known_peers: random_known_peers(rng),
        },
        _ => random_replacement(rng),
    }
}

fn random_network_fault(rng: &mut Rng, chance: u8, scenario: &Scenario) -> FaultKind {
    match chance {
        48..=56 => FaultKind::Partition {
            with: Vec::new(),
            direction: random_direction(rng),
            duration: random_duration(rng, 22_000),
            include_clients: rng.u8(0..3) == 0,
        },
        57..=59 => FaultKind::Partition {
            with: vec![FaultTarget::Backup; usize::from(scenario.max_failures > 1)],
            direction: random_direction(rng),
            duration: random_duration(rng, 22_000),
            include_clients: false,
        },
        60..=63 => FaultKind::PartitionFrom {
            from: vec![random_target(rng, scenario.machines)],
            direction: random_direction(rng),
            duration: random_duration(rng, 15_000),
        },
        64..=66 => FaultKind::SlowLinks {
            max_extra_delay: between(rng, 50, 1200),
            duration: random_duration(rng, 10_000),
        },
        _ => FaultKind::NoisyLinks { duration: random_duration(rng, 10_000) },
    }
}

fn random_client_fault(rng: &mut Rng, chance: u8, scenario: &Scenario) -> FaultKind {
    match chance {
        86..=87 => FaultKind::EndpointDrain(rng.usize(0..scenario.endpoints)),
        88 => FaultKind::EndpointSignOff(rng.usize(0..scenario.endpoints)),
        89 => FaultKind::EndpointCrash(rng.usize(0..scenario.endpoints)),
        90 => FaultKind::EdgeRestart(rng.usize(0..scenario.edges)),
        91 => FaultKind::EdgePartition {
            edge: rng.usize(0..scenario.edges),
            duration: random_duration(rng, 10_000),
        },
        92..=93 => FaultKind::ResendOrder,
        94..=95 => FaultKind::ConflictingOrders,
        96 => FaultKind::OlderOrder,
        97 => FaultKind::InvalidOrder,
        98 => FaultKind::OrderBurst(rng.usize(5..60)),
        _ => FaultKind::OrderBurst(if rng.u8(0..4) == 0 { 300 } else { 20 }),
    }
}

fn random_final_fault(rng: &mut Rng) -> Option<FaultKind> {
    match rng.u8(0..4) {
        0 => Some(FaultKind::KillAll { downtime: between(rng, 100, 1000) }),
        1 => Some(FaultKind::PowerLossAll { downtime: between(rng, 300, 4000) }),
        2 => Some(FaultKind::DiskAndPowerLossAll { downtime: between(rng, 300, 4000) }),
        _ => None,
    }
}

impl Scenario {
    /// The scenario that a seed stands for.
    pub fn from_seed(seed: u64) -> Scenario {
        let mut rng = Rng::with_seed(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x5eed);
        let rng = &mut rng;
        let machines = [3, 3, 3, 4, 5, 5, 6, 7, 9][rng.usize(0..9)];
        let max_failures = if machines >= 5 && rng.u8(0..3) == 0 { 2 } else { 1 };
        let mut scenario = Scenario {
            max_answer_bytes: Some(MAX_ANSWER_BYTES),
            seed,
            machines,
            zones: rng.usize(3..=4),
            max_failures,
            quorum_contact: if rng.u8(0..3) == 0 { 5000 } else { 3000 },
            duration: between(rng, 40_000, 90_000),
            endpoints: rng.usize(6..=20),
            edges: rng.usize(2..=4),
            order_interval: [400, 1500, 4000][rng.usize(0..3)],
            beyond_tolerance: rng.u8(0..4) == 0,
            ..Scenario::default()
        };
        // At the longest interval all machines recover between two faults; at the shortest the next one is injected as
        // soon as the tolerance allows it.
        let mean_interval = [700, 2500, 9000][rng.usize(0..3)];
        let mut at = between(rng, 4500, 9000);
        while at < scenario.duration {
            let target = random_target(rng, machines);
            let kind = random_fault_kind(rng, &scenario);
            let random_value = rng.u64(..);
            let trigger = random_trigger(rng);
            scenario.faults.push(Fault { at, target, kind, trigger, random_value });
            at += MIN_FAULT_INTERVAL_MS + (-(rng.f64().max(1e-9).ln()) * mean_interval as f64) as Millis;
        }
        scenario.final_fault = random_final_fault(rng);
        scenario
    }
}
