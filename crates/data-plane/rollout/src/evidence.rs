//! The evidence that an edge reports of both variants, in its wire format. A row holds the totals so far and its own
//! revision, so that reports may be lost, late or delivered twice.
use crate::Ms;
use serde::{Deserialize, Serialize};

/// The time window that one row covers, in milliseconds. It is long enough for a row to hold several requests at a few
/// requests per second, which limits the bytes, and short enough to stop a rollout within seconds.
pub const REPORT_WINDOW: Ms = 2000;
/// The route name under which an edge counts all routes beyond its limit of distinct routes.
pub const OTHER_ROUTES: &str = "*";
/// Number of variants of [`OutcomeKind`].
pub const OUTCOME_KINDS: usize = 8;

/// The outcome of an attempt. The order of the variants is that of the counts on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutcomeKind {
    /// The attempt was sent to a host. This is counted in addition to the outcome.
    Offered,
    /// Answered within the latency target.
    Good,
    /// Answered after the latency target.
    Late,
    /// Answered with an error by the host itself.
    Failed,
    /// No answer came, and the attempt may have been executed.
    Lost,
    /// A second complete answer came for the same attempt: it was executed twice.
    DuplicateResponse,
    /// The answer came from another host than the intended one, or without a valid `Server-Seal` header.
    InvalidResponse,
    /// Answered by a host that is warming up or overloaded, so that the latency says nothing about the variant.
    Excluded,
}

/// The counts of one variant.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// Attempts by [`OutcomeKind`].
    #[serde(rename = "n")]
    pub all: [u32; OUTCOME_KINDS],
    /// (host, number of attempts lost there).
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub lost_at: Vec<(String, u32)>,
    /// (host, number of late or failed attempts there). Reported only for the new version, so that the analysis can
    /// discount a fault of a single host.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub slow_at: Vec<(String, u32)>,
    /// Histogram of response times: (milliseconds, count).
    #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
    pub times: Vec<(u32, u32)>,
}

impl Counts {
    /// Number of attempts with this outcome.
    pub fn of(&self, kind: OutcomeKind) -> u64 {
        u64::from(self.all[kind as usize])
    }

    /// Number of attempts that count for latency: good, late or failed.
    pub fn timed(&self) -> u64 {
        self.of(OutcomeKind::Good) + self.slow()
    }

    /// Number of attempts that were late or failed.
    pub fn slow(&self) -> u64 {
        self.of(OutcomeKind::Late) + self.of(OutcomeKind::Failed)
    }

    /// Number of attempts without a valid answer.
    pub fn unanswered(&self) -> u64 {
        self.of(OutcomeKind::Lost) + self.of(OutcomeKind::InvalidResponse)
    }

    /// Number of attempts that have ended, answered or lost.
    pub fn ended(&self) -> u64 {
        self.timed() + self.of(OutcomeKind::Excluded) + self.unanswered()
    }
}

/// The counts of both variants of a plan at one edge, on one route, within one [`REPORT_WINDOW`].
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct EvidenceRow {
    /// The plan's name.
    #[serde(rename = "p")]
    pub plan: String,
    /// The plan's number at the time of counting.
    #[serde(rename = "v")]
    pub number: u64,
    /// Index of the window: the edge's time divided by [`REPORT_WINDOW`].
    #[serde(rename = "b")]
    pub window: u64,
    /// The route's name, or [`OTHER_ROUTES`].
    #[serde(rename = "r")]
    pub route: String,
    /// Incremented with each change of the row; a higher revision supersedes a lower one.
    #[serde(rename = "c")]
    pub revision: u32,
    /// Counts of the new version.
    pub new: Counts,
    /// Counts of the control group.
    #[serde(rename = "old")]
    pub control: Counts,
}

/// A report of one edge. Control-plane nodes that aren't the leader forward it unchanged.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct EvidenceReport {
    /// The edge's name.
    pub edge: String,
    /// The incarnation of the edge; its counts restart from zero with each incarnation.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The edge's zone.
    #[serde(rename = "area")]
    pub zone: String,
    /// The rows that are new or have changed since they were last reported.
    pub rows: Vec<EvidenceRow>,
}
