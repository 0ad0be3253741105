//! Evidence rows from their arrival until they are evaluated, and the guard against stale ones: a row may arrive
//! several times, late, or after a newer version of itself.
use crate::evidence::{Counts, EvidenceReport, EvidenceRow, OutcomeKind};
use crate::Ms;
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, HashMap};
use std::hash::{Hash, Hasher};

/// A row whose edge has reported no later window is evaluated so long after its arrival (ms).
const EVALUATE_AFTER: Ms = 4000;
/// An edge that had reported something and reports nothing for so long (ms) is silent: that is not health.
const STALE_EDGE_AFTER: Ms = 10_000;
/// A row so many windows older than the newest of its edge is late.
const LATE_WINDOWS: u64 = 5;
/// For how long after its arrival (ms) an evaluated row is remembered, so that it isn't counted again.
const EVALUATED_RETENTION: Ms = 120_000;
/// Evaluated rows are swept so many times in their retention.
const SWEEPS_PER_RETENTION: Ms = 4;

/// A hash of the edge, its incarnation, the window, the plan's number and the route. Rows are evaluated in its order, so
/// that sums of floating-point numbers come out the same in every run.
type RowKey = u64;

fn row_key(report: &EvidenceReport, row: &EvidenceRow) -> RowKey {
    let mut hash = DefaultHasher::new();
    (&report.edge, report.incarnation, row.window, row.number, &row.route).hash(&mut hash);
    hash.finish()
}

/// Attempts that were answered twice, by variant.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct DoubledCounts {
    pub(crate) new: u64,
    pub(crate) old: u64,
}

impl DoubledCounts {
    fn of(row: &EvidenceRow) -> DoubledCounts {
        DoubledCounts {
            new: row.new.of(OutcomeKind::DuplicateResponse),
            old: row.control.of(OutcomeKind::DuplicateResponse),
        }
    }

    fn since(self, before: DoubledCounts) -> DoubledCounts {
        DoubledCounts { new: self.new.saturating_sub(before.new), old: self.old.saturating_sub(before.old) }
    }
}

/// A row that waits to be evaluated.
pub(crate) struct PendingRow {
    pub(crate) edge: String,
    pub(crate) zone: String,
    pub(crate) row: EvidenceRow,
    pub(crate) first_seen: Ms,
    /// It came so late that the others of its window have been evaluated.
    pub(crate) late: bool,
}

/// What is remembered of a row that was evaluated.
struct EvaluatedMark {
    first_seen: Ms,
    change_count: u32,
    doubled: DoubledCounts,
}

struct EdgeProgress {
    last_report: Ms,
    newest_window: u64,
}

/// What a row brought.
pub(crate) struct Acceptance {
    /// It wasn't known before, and came late.
    pub(crate) arrived_late: bool,
    /// Second answers that weren't known before. What ran twice can't be undone: it counts whenever it comes.
    pub(crate) newly_doubled: DoubledCounts,
}

#[derive(Default)]
pub(crate) struct RowStore {
    pending: HashMap<RowKey, PendingRow>,
    evaluated: HashMap<RowKey, EvaluatedMark>,
    edges: BTreeMap<String, EdgeProgress>,
    swept_at: Ms,
}

impl RowStore {
    /// Takes a row in, unless the same or a newer version of it is known.
    pub(crate) fn accept(&mut self, now: Ms, report: &EvidenceReport, row: &EvidenceRow) -> Acceptance {
        let key = row_key(report, row);
        let is_known = self.pending.contains_key(&key) || self.evaluated.contains_key(&key);
        let late = self.observe_edge(now, &report.edge, row.window);
        let before = match self.evaluated.contains_key(&key) {
            true => self.supersede_evaluated(key, row),
            false => self.supersede_pending(now, key, report, row, late),
        };
        let newly_doubled = before.map(|before| DoubledCounts::of(row).since(before));
        Acceptance { arrived_late: late && !is_known, newly_doubled: newly_doubled.unwrap_or_default() }
    }

    /// Notes that an edge has reported. True if the row is late.
    fn observe_edge(&mut self, now: Ms, edge: &str, window: u64) -> bool {
        if !self.edges.contains_key(edge) {
            self.edges.insert(edge.into(), EdgeProgress { last_report: now, newest_window: window });
        }
        let Some(progress) = self.edges.get_mut(edge) else { return false };
        progress.last_report = now;
        let late = window + LATE_WINDOWS < progress.newest_window;
        progress.newest_window = progress.newest_window.max(window);
        late
    }

    /// A newer version of an evaluated row: the bets on it are evaluated, and only what ran twice still counts.
    /// Returns what was known of that before; none if the version isn't newer.
    fn supersede_evaluated(&mut self, key: RowKey, row: &EvidenceRow) -> Option<DoubledCounts> {
        let evaluated =
            self.evaluated.get_mut(&key).filter(|evaluated| row.revision > evaluated.change_count)?;
        evaluated.change_count = row.revision;
        Some(std::mem::replace(&mut evaluated.doubled, DoubledCounts::of(row)))
    }

    fn supersede_pending(
        &mut self,
        now: Ms,
        key: RowKey,
        report: &EvidenceReport,
        row: &EvidenceRow,
        late: bool,
    ) -> Option<DoubledCounts> {
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
        Some(DoubledCounts::of(&before))
    }

    /// Takes out the rows that can be evaluated: their edge is past their window or has had its time, and of each host
    /// that lost an answer it is known whether it died. `host_died` is asked with the host and the row's arrival.
    pub(crate) fn take_due(
        &mut self,
        now: Ms,
        host_died: &impl Fn(&str, Ms) -> Option<bool>,
    ) -> Vec<PendingRow> {
        self.sweep(now);
        let is_due = |pending: &PendingRow| {
            let edge = self.edges.get(&pending.edge);
            let is_closed = edge.is_some_and(|edge| edge.newest_window > pending.row.window);
            let fates_known = |counts: &Counts| {
                counts.lost_at.iter().all(|(host, _)| host_died(host, pending.first_seen).is_some())
            };
            (is_closed || now >= pending.first_seen + EVALUATE_AFTER)
                && fates_known(&pending.row.new)
                && fates_known(&pending.row.control)
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
            change_count: pending.row.revision,
            doubled: DoubledCounts::of(&pending.row),
        };
        self.evaluated.insert(key, mark);
        Some(pending)
    }

    fn sweep(&mut self, now: Ms) {
        if now >= self.swept_at + EVALUATED_RETENTION / SWEEPS_PER_RETENTION {
            self.swept_at = now;
            self.evaluated.retain(|_, mark| now < mark.first_seen + EVALUATED_RETENTION);
        }
    }

    /// Edges that have reported anything.
    pub(crate) fn edges(&self) -> usize {
        self.edges.len()
    }

    /// Edges that had reported something and don't any more.
    pub(crate) fn stale_edges(&self, now: Ms) -> usize {
        self.edges.values().filter(|edge| now > edge.last_report + STALE_EDGE_AFTER).count()
    }
}
