//! Stores evidence rows from their arrival until they are evaluated, and rejects stale ones: a row may arrive several
//! times, late, or after a newer revision of itself.
use crate::evidence::{Counts, EvidenceReport, EvidenceRow, OutcomeKind};
use crate::Ms;
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, HashMap};
use std::hash::{Hash, Hasher};

/// A row whose edge has reported no later window is evaluated this long after its arrival (ms).
const EVALUATE_AFTER: Ms = 4000;
/// An edge that has reported before and not for this long (ms) is silent; silence doesn't count as good health.
const SILENT_EDGE_AFTER: Ms = 10_000;
/// A row is late if it is more than this many windows older than the newest one of its edge.
const LATE_AFTER_WINDOWS: u64 = 5;
/// How long after its arrival (ms) an evaluated row is remembered, so that it isn't counted again.
const EVALUATED_RETENTION: Ms = 120_000;
/// How many times per retention period expired rows are removed.
const SWEEPS_PER_RETENTION: Ms = 4;

/// A hash of the edge, its incarnation, the window, the plan's number and the route. Rows are evaluated in the order of
/// their keys, so that floating-point sums are the same in every run.
type RowKey = u64;

fn row_key(report: &EvidenceReport, row: &EvidenceRow) -> RowKey {
    let mut hash = DefaultHasher::new();
    (&report.edge, report.incarnation, row.window, row.number, &row.route).hash(&mut hash);
    hash.finish()
}

/// Number of attempts that were answered twice, by variant.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct DuplicateCounts {
    pub(crate) new: u64,
    pub(crate) control: u64,
}

impl DuplicateCounts {
    fn of(row: &EvidenceRow) -> DuplicateCounts {
        DuplicateCounts {
            new: row.new.of(OutcomeKind::DuplicateResponse),
            control: row.control.of(OutcomeKind::DuplicateResponse),
        }
    }

    fn since(self, before: DuplicateCounts) -> DuplicateCounts {
        DuplicateCounts {
            new: self.new.saturating_sub(before.new),
            control: self.control.saturating_sub(before.control),
        }
    }
}

/// A row that waits to be evaluated.
pub(crate) struct PendingRow {
    pub(crate) edge: String,
    pub(crate) zone: String,
    pub(crate) row: EvidenceRow,
    pub(crate) first_seen: Ms,
    /// The row came so late that the other rows of its window have been evaluated.
    pub(crate) late: bool,
}

/// The data kept of an evaluated row.
struct EvaluatedMark {
    first_seen: Ms,
    revision: u32,
    duplicates: DuplicateCounts,
}

/// The latest report of an edge.
struct EdgeProgress {
    last_report: Ms,
    newest_window: u64,
}

/// The result of accepting a row.
pub(crate) struct Acceptance {
    /// The row is new and came late.
    pub(crate) arrived_late: bool,
    /// Duplicate responses that weren't known before. They count however late they are reported, as a request that was
    /// executed twice can't be undone.
    pub(crate) new_duplicates: DuplicateCounts,
}

#[derive(Default)]
pub(crate) struct RowStore {
    pending: HashMap<RowKey, PendingRow>,
    evaluated: HashMap<RowKey, EvaluatedMark>,
    edges: BTreeMap<String, EdgeProgress>,
    /// When expired rows were last removed.
    swept_at: Ms,
}

impl RowStore {
    /// Takes in a row, unless the same or a newer revision of it is known.
    pub(crate) fn accept(&mut self, now: Ms, report: &EvidenceReport, row: &EvidenceRow) -> Acceptance {
        let key = row_key(report, row);
        let is_known = self.pending.contains_key(&key) || self.evaluated.contains_key(&key);
        let late = self.observe_edge(now, &report.edge, row.window);
        let before = match self.evaluated.contains_key(&key) {
            true => self.supersede_evaluated(key, row),
            false => self.supersede_pending(now, key, report, row, late),
        };
        let new_duplicates = before.map(|before| DuplicateCounts::of(row).since(before));
        Acceptance { arrived_late: late && !is_known, new_duplicates: new_duplicates.unwrap_or_default() }
    }

    /// Records that an edge has reported. True if the row is late.
    fn observe_edge(&mut self, now: Ms, edge: &str, window: u64) -> bool {
        if !self.edges.contains_key(edge) {
            self.edges.insert(edge.into(), EdgeProgress { last_report: now, newest_window: window });
        }
        let Some(progress) = self.edges.get_mut(edge) else { return false };
        progress.last_report = now;
        let late = window + LATE_AFTER_WINDOWS < progress.newest_window;
        progress.newest_window = progress.newest_window.max(window);
        late
    }

    /// Handles a newer revision of an evaluated row. As the row has been tested already, only its duplicate responses
    /// still count. Returns their previous counts, or `None` if the revision isn't newer.
    fn supersede_evaluated(&mut self, key: RowKey, row: &EvidenceRow) -> Option<DuplicateCounts> {
        let evaluated = self.evaluated.get_mut(&key).filter(|evaluated| row.revision > evaluated.revision)?;
        evaluated.revision = row.revision;
        Some(std::mem::replace(&mut evaluated.duplicates, DuplicateCounts::of(row)))
    }

    /// Handles a new row, or a newer revision of a pending one. Returns the previous counts of duplicate responses, or
    /// `None` if the revision isn't newer.
    fn supersede_pending(
        &mut self,
        now: Ms,
        key: RowKey,
        report: &EvidenceReport,
        row: &EvidenceRow,
        late: bool,
    ) -> Option<DuplicateCounts> {
        let pending = self.pending.entry(key).or_insert_with(|| PendingRow {
            edge: report.edge.clone(),
            zone: report.zone.clone(),
            row: EvidenceRow::default(),
            first_seen: now,
            late,
        });
        if row.revision <= pending.row.revision {
            return None;
        }
        let before = std::mem::replace(&mut pending.row, row.clone());
        Some(DuplicateCounts::of(&before))
    }

    /// Takes out the rows that can be evaluated. Their window is over, because the edge has reported a later one or
    /// [`EVALUATE_AFTER`] has passed, and it is known of each host that lost an answer whether it died. `host_died` is
    /// called with the host and the time of the row's arrival.
    pub(crate) fn take_due(
        &mut self,
        now: Ms,
        host_died: &impl Fn(&str, Ms) -> Option<bool>,
    ) -> Vec<PendingRow> {
        self.sweep(now);
        let is_due = |pending: &PendingRow| {
            let edge = self.edges.get(&pending.edge);
            let is_closed = edge.is_some_and(|edge| edge.newest_window > pending.row.window);
            let deaths_known = |counts: &Counts| {
                counts.lost_at.iter().all(|(host, _)| host_died(host, pending.first_seen).is_some())
            };
            (is_closed || now >= pending.first_seen + EVALUATE_AFTER)
                && deaths_known(&pending.row.new)
                && deaths_known(&pending.row.control)
        };
        let due = self.pending.iter().filter(|(_, pending)| is_due(pending));
        let mut keys: Vec<RowKey> = due.map(|(key, _)| *key).collect();
        keys.sort_unstable();
        keys.into_iter().filter_map(|key| self.take_out(key)).collect()
    }

    fn take_out(&mut self, key: RowKey) -> Option<PendingRow> {
        let pending = self.pending.remove(&key)?;
        let mark = EvaluatedMark {
            first_seen: pending.first_seen,
            revision: pending.row.revision,
            duplicates: DuplicateCounts::of(&pending.row),
        };
        self.evaluated.insert(key, mark);
        Some(pending)
    }

    /// Removes evaluated rows whose retention is over.
    fn sweep(&mut self, now: Ms) {
        if now >= self.swept_at + EVALUATED_RETENTION / SWEEPS_PER_RETENTION {
            self.swept_at = now;
            self.evaluated.retain(|_, mark| now < mark.first_seen + EVALUATED_RETENTION);
        }
    }

    /// Number of edges that have reported anything.
    pub(crate) fn edges(&self) -> usize {
        self.edges.len()
    }

    /// Number of edges that have reported before and are silent now.
    pub(crate) fn silent_edges(&self, now: Ms) -> usize {
        self.edges.values().filter(|edge| now > edge.last_report + SILENT_EDGE_AFTER).count()
    }
}
