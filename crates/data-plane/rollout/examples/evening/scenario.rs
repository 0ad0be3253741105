//! What is played: scenarios, ways of deciding, sizes, and what an evening comes to.
use coppersail_rollout::Ms;

/// What is wrong with the new version, or else goes on. The number of a variant is part of an evening's seed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Scenario {
    Late,
    LateAtEveningLoad,
    LateInOneZone,
    LateOnOneRoute,
    DoublesBookings,
    LosesAnswers,
    WrongSeals,
    FailsAnswers,
    LateAfterTenMinutes,
    LateAndLeaderLost,
    LateAndEdgesCutOff,
    LateAndReportsDelayed,
    Sound,
    ColdHosts,
    Better,
    BothBad,
    SlowWaves,
    HotKey,
    ZoneLost,
    HostsCrash,
    HostsLoseAnswers,
    HostsGarbleAnswers,
    EdgesCutOff,
    ReportsDelayed,
}

/// All scenarios, with their names on the page.
pub(crate) const SCENARIOS: [(Scenario, &str); 24] = [
    (Scenario::Late, "late, three answers in ten"),
    (Scenario::LateAtEveningLoad, "late at evening load only"),
    (Scenario::LateInOneZone, "late in one zone only"),
    (Scenario::LateOnOneRoute, "late on one route only"),
    (Scenario::DoublesBookings, "doubles one booking in 500"),
    (Scenario::LosesAnswers, "loses one answer in 50, but runs"),
    (Scenario::WrongSeals, "wrong seal on one answer in 30"),
    (Scenario::FailsAnswers, "fails one in ten"),
    (Scenario::LateAfterTenMinutes, "good for ten minutes, then late"),
    (Scenario::LateAndLeaderLost, "late; the primary lost as it decides"),
    (Scenario::LateAndEdgesCutOff, "late; a third of the edges cut off"),
    (Scenario::LateAndReportsDelayed, "late; a third of reports a minute late"),
    (Scenario::Sound, "sound"),
    (Scenario::ColdHosts, "sound but cold hosts, again and again"),
    (Scenario::Better, "better than the old one"),
    (Scenario::BothBad, "both bad at once"),
    (Scenario::SlowWaves, "sound; waves of slowness everywhere"),
    (Scenario::HotKey, "sound; a hot client in the new share"),
    (Scenario::ZoneLost, "sound; a zone lost"),
    (Scenario::HostsCrash, "sound; hosts crash"),
    (Scenario::HostsLoseAnswers, "sound; single hosts lose answers"),
    (Scenario::HostsGarbleAnswers, "sound; single hosts send wrong bytes"),
    (Scenario::EdgesCutOff, "sound; a third of the edges cut off"),
    (Scenario::ReportsDelayed, "sound; a third of reports a minute late"),
];

impl Scenario {
    /// Whether the new version is to blame.
    pub(crate) fn is_bad(self) -> bool {
        (self as usize) < Scenario::Sound as usize
    }

    pub(crate) fn cuts_edges_off(self) -> bool {
        matches!(self, Scenario::LateAndEdgesCutOff | Scenario::EdgesCutOff)
    }

    pub(crate) fn delays_reports(self) -> bool {
        matches!(self, Scenario::LateAndReportsDelayed | Scenario::ReportsDelayed)
    }
}

/// Who decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mode {
    /// The control plane, from the evidence of all edges: as built.
    Fleet,
    /// Each edge, from what it sees itself.
    Alone,
    /// Nobody: steps by time.
    Fixed,
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct Size {
    pub(crate) edges: usize,
    pub(crate) zones: usize,
    /// Requests a second at the peak, of one service.
    pub(crate) peak: f64,
    /// Hosts of each version, of two slots.
    pub(crate) hosts: usize,
}

pub(crate) const SMALL: Size = Size { edges: 12, zones: 4, peak: 180.0, hosts: 20 };
pub(crate) const LARGE: Size = Size { edges: 920, zones: 7, peak: 400.0, hosts: 45 };

/// The length of an evening (ms).
pub(crate) const EVENING: Ms = 900_000;

/// The share of requests that met the new version, in a window that ends at `at`.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SharePoint {
    pub(crate) at: Ms,
    pub(crate) share: f64,
}

/// What one evening came to.
#[derive(Debug, Clone, Default)]
pub(crate) struct Outcome {
    pub(crate) requests: u64,
    /// Requests that the new version ran.
    pub(crate) met_new: u64,
    /// Bad answers of it that the release is to blame for.
    pub(crate) harmed: u64,
    pub(crate) first_bad: Option<Ms>,
    /// When the last request went to the new version.
    pub(crate) last_sent: Ms,
    pub(crate) paused_at: Option<Ms>,
    pub(crate) pause_reason: String,
    /// Bytes of evidence, by all edges together.
    pub(crate) evidence_bytes: u64,
    /// Seconds that were played.
    pub(crate) seconds: u64,
    pub(crate) new_share: Vec<SharePoint>,
}
