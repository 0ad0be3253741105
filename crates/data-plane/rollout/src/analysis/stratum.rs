//! What the parts of the analysis exchange: evaluated rows, the stratum that each belongs to, and kinds of faults.
use crate::evidence::EvidenceRow;

/// A kind of fault that is tested. The order of variants is that of the tests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Fault {
    /// Late or failed.
    Late,
    /// Lost, or answered with a wrong id or seal.
    Lost,
}

/// A stratum: what is compared with each other. The shares are the same on all edges, so that those of a zone are one
/// stratum: alone, an edge of many would seldom have a request of both variants in one window. The order of fields is
/// that in which strata are summed.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct StratumKey {
    pub(crate) zone: String,
    pub(crate) route: String,
    /// The edge of a row that arrived late, which is a stratum of its own as the others of its window have been
    /// evaluated; empty for the rest.
    pub(crate) late_edge: String,
}

/// A row that is evaluated in this interval, with the bad answers for which a variant has to account.
pub(crate) struct EvaluatedRow {
    pub(crate) stratum: StratumKey,
    pub(crate) row: EvidenceRow,
    pub(crate) new_lost: f64,
    pub(crate) control_lost: f64,
    /// Late or failed answers of the new version.
    pub(crate) new_slow: f64,
}
