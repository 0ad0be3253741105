//! The texts of faults in traces and in the table of statistics.
//!
//! Traces of one seed are compared between versions, so these texts are a format of their own: they stay as they are
//! when a type or a variant is renamed.

use super::{FaultKind, FaultTarget, KnownPeers, PartitionDirection, Trigger};
use std::fmt;

impl fmt::Display for FaultTarget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FaultTarget::Slot(slot) => write!(f, "Place({slot})"),
            FaultTarget::Leader => f.write_str("Primary"),
            FaultTarget::Backup => f.write_str("Backup"),
            FaultTarget::Voter => f.write_str("Witness"),
        }
    }
}

impl fmt::Display for PartitionDirection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            PartitionDirection::Both => "Both",
            PartitionDirection::Outbound => "Sends",
            PartitionDirection::Inbound => "Hears",
        })
    }
}

impl fmt::Display for Trigger {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Trigger::Immediately => "Now",
            Trigger::BeforeOkResponse => "Answer",
            Trigger::AfterOkResponse => "Answered",
            Trigger::AfterPeerRequest => "Call",
            Trigger::AfterPeerResponse => "Reply",
            Trigger::AfterWriteRequest => "Write",
        })
    }
}

impl fmt::Display for KnownPeers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            KnownPeers::Running => f.write_str("Running"),
            KnownPeers::Newest => f.write_str("Newest"),
            KnownPeers::Impaired => f.write_str("Lost"),
            KnownPeers::Slots(slots) => write!(f, "Of({slots:?})"),
        }
    }
}

/// `[Primary, Place(1)]`
struct Targets<'a>(&'a [FaultTarget]);

impl fmt::Display for Targets<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let targets: Vec<String> = self.0.iter().map(FaultTarget::to_string).collect();
        write!(f, "[{}]", targets.join(", "))
    }
}

impl fmt::Display for FaultKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        use FaultKind::*;
        match self {
            Kill { downtime } => write!(f, "Kill {{ down: {downtime} }}"),
            PowerLoss { downtime } => write!(f, "Power {{ down: {downtime} }}"),
            DiskLoss { downtime } => write!(f, "LoseDisk {{ down: {downtime} }}"),
            Freeze { duration } => write!(f, "Freeze {{ ms: {duration} }}"),
            Terminate { downtime } => write!(f, "Term {{ down: {downtime} }}"),
            Reload { known_peers } => write!(f, "Hup {{ seeds: {known_peers} }}"),
            RestartWithPeers { downtime, known_peers } => {
                write!(f, "Reseed {{ down: {downtime}, seeds: {known_peers} }}")
            }
            Replace { graceful, gap, known_peers, reuse_address } => write!(
                f,
                "Replace {{ term: {graceful}, gap: {gap}, seeds: {known_peers}, reuse: {reuse_address} }}"
            ),
            MoveDisk { downtime } => write!(f, "Move {{ down: {downtime} }}"),
            ReturnReplaced => f.write_str("Return"),
            Partition { with, direction, duration, include_clients } => {
                let with = Targets(with);
                write!(
                    f,
                    "Cut {{ with: {with}, way: {direction}, ms: {duration}, clients: {include_clients} }}"
                )
            }
            PartitionFrom { from, direction, duration } => {
                write!(f, "CutFrom {{ from: {}, way: {direction}, ms: {duration} }}", Targets(from))
            }
            SlowLinks { max_extra_delay, duration } => {
                write!(f, "Slow {{ extra: {max_extra_delay}, ms: {duration} }}")
            }
            NoisyLinks { duration } => write!(f, "Noise {{ ms: {duration} }}"),
            DiskSlow { duration } => write!(f, "DiskSlow {{ ms: {duration} }}"),
            DiskHang { duration } => write!(f, "DiskHangs {{ ms: {duration} }}"),
            DiskFull { duration } => write!(f, "DiskFull {{ ms: {duration} }}"),
            KillAll { downtime } => write!(f, "KillAll {{ down: {downtime} }}"),
            PowerLossAll { downtime } => write!(f, "PowerAll {{ down: {downtime} }}"),
            DiskAndPowerLossAll { downtime } => write!(f, "DiskAndPowerAll {{ down: {downtime} }}"),
            EndpointDrain(endpoint) => write!(f, "HostLeaves({endpoint})"),
            EndpointSignOff(endpoint) => write!(f, "HostSignsOff({endpoint})"),
            EndpointCrash(endpoint) => write!(f, "HostCrashes({endpoint})"),
            EdgeRestart(edge) => write!(f, "EdgeStarts({edge})"),
            EdgePartition { edge, duration } => write!(f, "EdgeCut {{ edge: {edge}, ms: {duration} }}"),
            Order => f.write_str("Order"),
            OrderBurst(count) => write!(f, "Storm({count})"),
            ConflictingOrders => f.write_str("Race"),
            OlderOrder => f.write_str("Older"),
            InvalidOrder => f.write_str("Invalid"),
            ResendOrder => f.write_str("Again"),
        }
    }
}

impl FaultKind {
    /// The row of the table of statistics that counts it.
    pub fn name(&self) -> &'static str {
        match self {
            FaultKind::Kill { .. } => "kill",
            FaultKind::PowerLoss { .. } => "power lost",
            FaultKind::DiskLoss { .. } => "disk lost",
            FaultKind::Freeze { .. } => "freeze",
            FaultKind::Terminate { .. } => "SIGTERM",
            FaultKind::Reload { .. } => "SIGHUP",
            FaultKind::RestartWithPeers { .. } => "kill, other knownPeers",
            FaultKind::Replace { graceful: true, .. } => "replaced after SIGTERM",
            FaultKind::Replace { graceful: false, .. } => "replaced",
            FaultKind::MoveDisk { .. } => "disk moved to a new address",
            FaultKind::ReturnReplaced => "replaced machine returns",
            FaultKind::Partition { direction: PartitionDirection::Both, .. } => "cut off",
            FaultKind::Partition { direction: PartitionDirection::Outbound, .. } => "cut off, hears",
            FaultKind::Partition { direction: PartitionDirection::Inbound, .. } => "cut off, is heard",
            FaultKind::PartitionFrom { .. } => "cut from one",
            FaultKind::SlowLinks { .. } => "slow links",
            FaultKind::NoisyLinks { .. } => "resets, doubles, losses",
            FaultKind::DiskSlow { .. } => "disk slow",
            FaultKind::DiskHang { .. } => "disk hangs",
            FaultKind::DiskFull { .. } => "disk full",
            FaultKind::KillAll { .. } => "all killed",
            FaultKind::PowerLossAll { .. } => "all power lost",
            FaultKind::DiskAndPowerLossAll { .. } => "one disk, others' power lost",
            FaultKind::EndpointDrain(_) => "host leaves",
            FaultKind::EndpointSignOff(_) => "host signs off",
            FaultKind::EndpointCrash(_) => "host crashes",
            FaultKind::EdgeRestart(_) => "edge starts anew",
            FaultKind::EdgePartition { .. } => "edge cut off",
            FaultKind::Order => "order",
            FaultKind::OrderBurst(_) => "storm of orders",
            FaultKind::ConflictingOrders => "two contents, one number",
            FaultKind::OlderOrder => "older order",
            FaultKind::InvalidOrder => "invalid order",
            FaultKind::ResendOrder => "order again",
        }
    }
}
