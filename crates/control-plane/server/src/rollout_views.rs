//! Rollouts as operators see them: bodies of `GET /rollouts`. Fields are declared in alphabetical order,
//! which is their order on the wire.
use coppersail_consensus::Ms;
use coppersail_rollout::evidence::{Counts, OutcomeKind};
use coppersail_rollout::lifecycle::Phase;
use serde::Serialize;

#[derive(Serialize)]
pub(crate) struct RolloutList {
    pub(crate) rollouts: Vec<RolloutView>,
}

#[derive(Serialize)]
pub(crate) struct RolloutView {
    /// The answers that the analysis has counted for the state with this number.
    pub(crate) answers: u64,
    pub(crate) late_rows: u64,
    pub(crate) name: String,
    pub(crate) new: VariantView,
    pub(crate) next_in_ms: Option<Ms>,
    pub(crate) number: u64,
    pub(crate) old: VariantView,
    pub(crate) phase: Phase,
    /// The plan as it was submitted.
    pub(crate) plan: serde_json::Value,
    pub(crate) rows: u64,
    pub(crate) share: Option<f64>,
    /// Counted from 1.
    pub(crate) step: usize,
    pub(crate) steps: usize,
    pub(crate) verdict: String,
    pub(crate) why: String,
}

/// The counts of the new version, or of the control group.
#[derive(Serialize)]
pub(crate) struct VariantView {
    aside: u64,
    doubled: u64,
    failed: u64,
    good: u64,
    late: u64,
    lost: u64,
    median_ms: Option<u32>,
    offered: u64,
    p99_ms: Option<u32>,
    wrong: u64,
}

impl VariantView {
    pub(crate) fn new(counts: &Counts) -> VariantView {
        VariantView {
            aside: counts.of(OutcomeKind::Excluded),
            doubled: counts.of(OutcomeKind::DuplicateResponse),
            failed: counts.of(OutcomeKind::Failed),
            good: counts.of(OutcomeKind::Good),
            late: counts.of(OutcomeKind::Late),
            lost: counts.of(OutcomeKind::Lost),
            median_ms: quantile_ms(counts, 0.5),
            offered: counts.of(OutcomeKind::Offered),
            p99_ms: quantile_ms(counts, 0.99),
            wrong: counts.of(OutcomeKind::InvalidResponse),
        }
    }
}

/// A quantile of the answer times: the upper bound, in ms, of the first histogram bucket up to which the
/// buckets have this share of all answers.
fn quantile_ms(counts: &Counts, quantile: f64) -> Option<u32> {
    let total: u64 = counts.times.iter().map(|bucket| u64::from(bucket.1)).sum();
    let mut sum = 0;
    let bucket = counts.times.iter().find(|bucket| {
        sum += u64::from(bucket.1);
        sum as f64 >= total as f64 * quantile
    });
    bucket.map(|bucket| bucket.0)
}
