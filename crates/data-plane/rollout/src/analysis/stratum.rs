//! Types that the parts of the analysis share: evaluated rows, their strata, and kinds of faults.
use crate::evidence::EvidenceRow;

/// A kind of fault that is tested. The order of variants is that of the tests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Fault {
    /// Late or failed answers.
    Late,
    /// Lost and invalid answers.
    Lost,
}

/// A stratum, within which the variants are compared. The edges of a zone are in one stratum, which is valid as the
/// shares are the same on all edges; a single edge of many would seldom have requests of both variants in one window.
/// The order of fields determines the order in which strata are summed.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct StratumKey {
    pub(crate) zone: String,
    pub(crate) route: String,
    /// The edge, if the row arrived late; otherwise empty. A late row has a stratum of its own, as the other rows of
    /// its window have been evaluated.
    pub(crate) late_edge: String,
}

/// A row that is evaluated in this interval, with the bad answers that count against each variant.
pub(crate) struct EvaluatedRow {
    pub(crate) stratum: StratumKey,
    pub(crate) row: EvidenceRow,
    pub(crate) new_lost: f64,
    pub(crate) control_lost: f64,
    /// Late or failed answers that count against the new version.
    pub(crate) new_slow: f64,
}
