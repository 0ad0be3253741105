//! Parameters of a simulation (scenario, mode, size) and its outcome.
use coppersail_rollout::Ms;

/// The fault of the new version, or another condition. A variant's number is part of the simulation's seed, so that the
/// order of the variants must not change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Scenario {
    Late,
    LateAtPeakLoad,
    LateInOneZone,
    LateOnOneRoute,
    ExecutesBookingsTwice,
    LosesAnswers,
    InvalidSeals,
    FailsAnswers,
    LateAfterTenMinutes,
    LateAndLeaderLost,
    LateAndEdgesPartitioned,
    LateAndReportsDelayed,
    Faultless,
    ColdHosts,
    Better,
    BothBad,
    SlowWaves,
    HotKey,
    ZoneLost,
    HostsCrash,
    HostsLoseAnswers,
    HostsGarbleAnswers,
    EdgesPartitioned,
    ReportsDelayed,
}

/// All scenarios, with their names in the tables.
pub(crate) const SCENARIOS: [(Scenario, &str); 24] = [
    (Scenario::Late, "late, three answers in ten"),
    (Scenario::LateAtPeakLoad, "late at evening load only"),
    (Scenario::LateInOneZone, "late in one zone only"),
    (Scenario::LateOnOneRoute, "late on one route only"),
    (Scenario::ExecutesBookingsTwice, "doubles one booking in 500"),
    (Scenario::LosesAnswers, "loses one answer in 50, but runs"),
    (Scenario::InvalidSeals, "wrong seal on one answer in 30"),
    (Scenario::FailsAnswers, "fails one in ten"),
    (Scenario::LateAfterTenMinutes, "good for ten minutes, then late"),
    (Scenario::LateAndLeaderLost, "late; the primary lost as it decides"),
    (Scenario::LateAndEdgesPartitioned, "late; a third of the edges cut off"),
    (Scenario::LateAndReportsDelayed, "late; a third of reports a minute late"),
    (Scenario::Faultless, "sound"),
    (Scenario::ColdHosts, "sound but cold hosts, again and again"),
    (Scenario::Better, "better than the old one"),
    (Scenario::BothBad, "both bad at once"),
    (Scenario::SlowWaves, "sound; waves of slowness everywhere"),
    (Scenario::HotKey, "sound; a hot client in the new share"),
    (Scenario::ZoneLost, "sound; a zone lost"),
    (Scenario::HostsCrash, "sound; hosts crash"),
    (Scenario::HostsLoseAnswers, "sound; single hosts lose answers"),
    (Scenario::HostsGarbleAnswers, "sound; single hosts send wrong bytes"),
    (Scenario::EdgesPartitioned, "sound; a third of the edges cut off"),
    (Scenario::ReportsDelayed, "sound; a third of reports a minute late"),
];

impl Scenario {
    /// Whether the new version is faulty.
    pub(crate) fn is_faulty(self) -> bool {
        (self as usize) < Scenario::Faultless as usize
    }

    pub(crate) fn partitions_edges(self) -> bool {
        matches!(self, Scenario::LateAndEdgesPartitioned | Scenario::EdgesPartitioned)
    }

    pub(crate) fn delays_reports(self) -> bool {
        matches!(self, Scenario::LateAndReportsDelayed | Scenario::ReportsDelayed)
    }
}

/// How it is decided whether a rollout advances or is paused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mode {
    /// The control plane decides from the evidence of all edges, as implemented.
    Fleet,
    /// Each edge decides for itself, from its own evidence.
    Alone,
    /// The rollout advances by time, without an analysis.
    Fixed,
}

/// The size of the simulated fleet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Size {
    pub(crate) edges: usize,
    pub(crate) zones: usize,
    /// Requests per second of the service at peak load.
    pub(crate) peak: f64,
    /// Number of hosts of each version; each has two slots.
    pub(crate) hosts: usize,
}

pub(crate) const SMALL: Size = Size { edges: 12, zones: 4, peak: 180.0, hosts: 20 };
pub(crate) const LARGE: Size = Size { edges: 920, zones: 7, peak: 400.0, hosts: 45 };

/// The duration of a simulation (ms).
pub(crate) const DURATION: Ms = 900_000;

/// The share of requests that went to the new version, in a window that ends at `at`.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SharePoint {
    pub(crate) at: Ms,
    pub(crate) share: f64,
}

/// The outcome of one simulation.
#[derive(Debug, Clone, Default)]
pub(crate) struct Outcome {
    pub(crate) requests: u64,
    /// Requests that the new version executed.
    pub(crate) executed_by_new: u64,
    /// Bad answers that the new version caused.
    pub(crate) bad_answers: u64,
    /// When the new version caused its first bad answer.
    pub(crate) first_bad: Option<Ms>,
    /// When the last request went to the new version.
    pub(crate) last_sent: Ms,
    pub(crate) paused_at: Option<Ms>,
    pub(crate) pause_reason: String,
    /// Bytes of evidence that all edges reported together.
    pub(crate) evidence_bytes: u64,
    /// Simulated seconds.
    pub(crate) seconds: u64,
    pub(crate) new_share: Vec<SharePoint>,
}
