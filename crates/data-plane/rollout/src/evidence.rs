//! The evidence that an edge reports of both variants, as it is on the wire. A row holds all that was counted so far
//! and a version of itself, so that a report may be lost, late or delivered twice.
use crate::Ms;
use serde::{Deserialize, Serialize};

/// The time that one row covers, in milliseconds: long enough that a few requests a second make a row worth its bytes,
/// short enough to stop a rollout within seconds.
pub const REPORT_WINDOW: Ms = 2000;
/// The route under which an edge counts all routes beyond those that it tells apart.
pub const OTHER_ROUTES: &str = "*";
/// Number of variants of [`OutcomeKind`].
pub const OUTCOME_KINDS: usize = 8;

/// What became of an attempt. The variants' order is that of the counts on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutcomeKind {
    /// Sent to a host.
    Offered,
    /// Answered within the latency target.
    Good,
    /// Answered after the latency target.
    Late,
    /// Answered with a failure of the host's own.
    Failed,
    /// It may have run, and no answer came.
    Lost,
    /// A second complete answer came for one attempt: it ran twice.
    DuplicateResponse,
    /// An answer whose id or seal is wrong.
    InvalidResponse,
    /// Answered by a host that is warming up or overloaded: says nothing about the variant's latency.
    Excluded,
}

/// What was counted of one variant.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// Attempts by [`OutcomeKind`].
    #[serde(rename = "n")]
    pub all: [u32; OUTCOME_KINDS],
    /// (host, attempts lost there).
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub lost_at: Vec<(String, u32)>,
    /// (host, late or failed there), of the new version: one host's trouble is not the version's.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub slow_at: Vec<(String, u32)>,
    /// Response times as a histogram: (milliseconds, how many).
    #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
    pub times: Vec<(u32, u32)>,
}

impl Counts {
    /// Attempts of one kind.
    pub fn of(&self, kind: OutcomeKind) -> u64 {
        u64::from(self.all[kind as usize])
    }

    /// Attempts that say something about latency.
    pub fn timed(&self) -> u64 {
        self.of(OutcomeKind::Good) + self.slow()
    }

    /// Attempts that were late or failed.
    pub fn slow(&self) -> u64 {
        self.of(OutcomeKind::Late) + self.of(OutcomeKind::Failed)
    }

    /// Attempts without a usable answer.
    pub fn unanswered(&self) -> u64 {
        self.of(OutcomeKind::Lost) + self.of(OutcomeKind::InvalidResponse)
    }

    /// Attempts that have come to an end, answered or lost.
    pub fn ended(&self) -> u64 {
        self.timed() + self.of(OutcomeKind::Excluded) + self.unanswered()
    }
}

/// What an edge counted of both variants of a plan on one route within one [`REPORT_WINDOW`].
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct EvidenceRow {
    /// The plan's name.
    #[serde(rename = "p")]
    pub plan: String,
    /// The plan's number while it was counted.
    #[serde(rename = "v")]
    pub number: u64,
    /// Index of the window: the edge's time divided by [`REPORT_WINDOW`].
    #[serde(rename = "b")]
    pub window: u64,
    /// The route's name, or [`OTHER_ROUTES`].
    #[serde(rename = "r")]
    pub route: String,
    /// How often the row has changed: the higher one supersedes the lower.
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
    /// The incarnation of the edge: its counts begin anew with each start.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The edge's zone.
    #[serde(rename = "area")]
    pub zone: String,
    /// Rows that are new or have changed.
    pub rows: Vec<EvidenceRow>,
}
