//! Sums of the counts of both variants in a run, which are shown to operators.
use super::row_store::DuplicateCounts;
use super::stratum::Fault;
use crate::evidence::{Counts, EvidenceRow, OutcomeKind};

/// Sums of the counts of both variants over a run.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct VariantSums {
    /// Sums of the new version.
    pub new: Counts,
    /// Sums of the control group.
    pub control: Counts,
}

impl VariantSums {
    /// Adds duplicate responses as they become known.
    pub(crate) fn add_duplicates(&mut self, more: DuplicateCounts) {
        self.new.all[OutcomeKind::DuplicateResponse as usize] += more.new as u32;
        self.control.all[OutcomeKind::DuplicateResponse as usize] += more.control as u32;
    }

    /// Adds an evaluated row except for its duplicate responses, which were added when they became known.
    pub(crate) fn add_evaluated(&mut self, row: &EvidenceRow) {
        add_without_duplicates(&mut self.new, &row.new);
        add_without_duplicates(&mut self.control, &row.control);
    }

    /// The percentage of each variant's answers that have the fault: (new version, control group).
    pub(crate) fn fault_percentages(&self, fault: Fault) -> (f64, f64) {
        let share = |counts: &Counts| match fault {
            Fault::Late => counts.slow() as f64 / counts.timed().max(1) as f64,
            Fault::Lost => counts.unanswered() as f64 / counts.ended().max(1) as f64,
        };
        (100.0 * share(&self.new), 100.0 * share(&self.control))
    }

    /// The reason to pause if more than `allowed` attempts of the new version were executed twice. `None` if that
    /// happens about as often in the control group (at least half as often), as the release is then not the cause.
    pub(crate) fn duplicates_reason(&self, allowed: u64) -> Option<String> {
        let new = self.new.of(OutcomeKind::DuplicateResponse);
        let old = self.control.of(OutcomeKind::DuplicateResponse);
        if new <= allowed {
            return None;
        }
        let is_alike = old > 0 && 2 * old * self.new.ended().max(1) >= new * self.control.ended();
        (!is_alike).then(|| format!("{new} answered twice by the new version, {old} by the other"))
    }
}

fn add_without_duplicates(sum: &mut Counts, more: &Counts) {
    let duplicates = sum.all[OutcomeKind::DuplicateResponse as usize];
    sum.all.iter_mut().zip(more.all).for_each(|(sum, more)| *sum = sum.saturating_add(more));
    sum.all[OutcomeKind::DuplicateResponse as usize] = duplicates;
    for (time, count) in &more.times {
        match sum.times.binary_search_by_key(time, |bucket| bucket.0) {
            Ok(at) => sum.times[at].1 += count,
            Err(at) => sum.times.insert(at, (*time, *count)),
        }
    }
}
