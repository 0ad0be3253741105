//! How an edge counts evidence of both variants and bounds what it reports: a row a plan, route and window of time, kept
//! for a minute, reported whenever it has changed.
use crate::evidence::{Counts, EvidenceReport, EvidenceRow, OutcomeKind, OTHER_ROUTES, REPORT_WINDOW};
use crate::load_limit::load_limit;
use crate::variant::Variant;
use crate::Ms;
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, VecDeque};

/// Rows are reported again to a new leader for as long (ms); older ones weigh little in what it decides.
const ROW_RETENTION: Ms = 60_000;
/// Routes that are told apart in one window; those beyond are counted as [`OTHER_ROUTES`].
const MAX_ROUTES: usize = 16;
/// Response times kept of one variant, route and window; more add nothing.
const MAX_TIMES: usize = 4096;
/// The longest time that the histogram tells apart (ms): longer than any request.
const HISTOGRAM_MAX: u64 = 60_000;
/// One significant digit: an error of 6% at worst.
const HISTOGRAM_DIGITS: u8 = 1;
/// Bytes of a report without its rows.
const REPORT_HEADER_BYTES: usize = 64;
/// Among fewer hosts none can be called overloaded.
const OVERLOAD_MIN_HOSTS: usize = 3;

/// What an attempt tells about the variants of a plan.
#[derive(Debug, Clone, Copy)]
pub struct AttemptEvidence<'a> {
    /// The plan's name.
    pub plan: &'a str,
    /// The plan's number when the variant was selected.
    pub number: u64,
    /// The route's name.
    pub route: &'a str,
    /// The variant that the request was sent to.
    pub variant: Variant,
    /// How the attempt ended.
    pub kind: OutcomeKind,
    /// The response time in milliseconds, where it was answered.
    pub latency: Option<Ms>,
    /// Where it ran, if that is known.
    pub host: Option<&'a str>,
}

/// A row and what is needed to report it.
struct RecordedRow {
    row: EvidenceRow,
    /// Response times of the new version and of the control group, in order of arrival.
    times: [Vec<u32>; 2],
    /// It has changed since it was last reported.
    unreported: bool,
}

impl RecordedRow {
    fn new(plan: &str, number: u64, window: u64, route: &str) -> RecordedRow {
        let (plan, route) = (plan.into(), route.into());
        let row = EvidenceRow { plan, number, window, route, ..EvidenceRow::default() };
        RecordedRow { row, times: [Vec::new(), Vec::new()], unreported: true }
    }

    fn belongs_to(&self, plan: &str, number: u64) -> bool {
        self.row.plan == plan && self.row.number == number
    }

    fn record(&mut self, variant: Variant, kind: OutcomeKind, took: Option<Ms>, host: Option<&str>) {
        self.unreported = true;
        self.row.revision += 1;
        let counts = if variant == Variant::New { &mut self.row.new } else { &mut self.row.control };
        counts.all[kind as usize] += 1;
        if let (Some(by_host), Some(host)) = (host_counts(counts, variant, kind), host) {
            increment(by_host, host);
        }
        let times = &mut self.times[variant as usize];
        if let Some(took) = took.filter(|_| times.len() < MAX_TIMES) {
            times.push(took.clamp(1, u64::from(u32::MAX)) as u32);
        }
    }

    /// The row with its histograms, marked as reported.
    fn report(&mut self, histogram: &mut Histogram<u32>) -> EvidenceRow {
        self.unreported = false;
        let mut row = self.row.clone();
        for (counts, times) in [&mut row.new, &mut row.control].into_iter().zip(&self.times) {
            if times.is_empty() {
                continue;
            }
            histogram.reset();
            times.iter().for_each(|time| histogram.saturating_record(u64::from(*time)));
            let buckets = histogram.iter_recorded();
            counts.times = buckets.map(|b| (b.value_iterated_to() as u32, b.count_at_value())).collect();
        }
        row
    }
}

/// The list of hosts in which an outcome is counted, if any.
fn host_counts(counts: &mut Counts, variant: Variant, kind: OutcomeKind) -> Option<&mut Vec<(String, u32)>> {
    match kind {
        OutcomeKind::Lost | OutcomeKind::InvalidResponse => Some(&mut counts.lost_at),
        OutcomeKind::Late | OutcomeKind::Failed if variant == Variant::New => Some(&mut counts.slow_at),
        _ => None,
    }
}

fn increment(by_host: &mut Vec<(String, u32)>, host: &str) {
    match by_host.iter_mut().find(|(known, _)| known == host) {
        Some((_, count)) => *count += 1,
        None => by_host.push((host.into(), 1)),
    }
}

fn new_histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, HISTOGRAM_MAX, HISTOGRAM_DIGITS).expect("fixed bounds")
}

/// Requests that were sent to one host within a window.
#[derive(Clone, Copy)]
struct HostLoad {
    requests: u32,
    slots: f64,
}

/// Requests by host within one window, to find hosts with far more than their share.
#[derive(Default)]
struct LoadTracker {
    window: u64,
    hosts: BTreeMap<String, HostLoad>,
    total_requests: f64,
    total_slots: f64,
}

impl LoadTracker {
    fn begin_window(&mut self, window: u64) {
        if window != self.window {
            (self.window, self.total_requests, self.total_slots) = (window, 0.0, 0.0);
            self.hosts.clear();
        }
    }

    fn count(&mut self, host: &str, slots: f64) -> HostLoad {
        self.total_requests += 1.0;
        if let Some(load) = self.hosts.get_mut(host) {
            load.requests += 1;
            return *load;
        }
        let load = HostLoad { requests: 1, slots: slots.max(1.0) };
        self.total_slots += load.slots;
        self.hosts.insert(host.into(), load);
        load
    }

    /// Measured against the other hosts: a host with nearly all requests would otherwise be its own measure.
    fn is_overloaded(&self, own: HostLoad) -> bool {
        let requests = f64::from(own.requests);
        let per_slot = (self.total_requests - requests) / (self.total_slots - own.slots).max(own.slots);
        let expected = per_slot * own.slots;
        self.hosts.len() >= OVERLOAD_MIN_HOSTS && requests > load_limit(expected)
    }
}

/// Counts outcomes at one edge and makes its reports.
#[derive(Default)]
pub struct EvidenceRecorder {
    edge: String,
    incarnation: u64,
    zone: String,
    /// Rows of the current window.
    open: Vec<RecordedRow>,
    /// The current window has something that can't wait for its end.
    urgent: bool,
    /// Rows of earlier windows, the newest last.
    closed: VecDeque<RecordedRow>,
    /// Reused from report to report: it is large.
    histogram: Option<Histogram<u32>>,
    load: LoadTracker,
}

impl EvidenceRecorder {
    /// A recorder of an edge with this name, incarnation and zone.
    pub fn new(edge: &str, incarnation: u64, zone: &str) -> EvidenceRecorder {
        EvidenceRecorder { edge: edge.into(), incarnation, zone: zone.into(), ..EvidenceRecorder::default() }
    }

    /// Closes the rows of windows that are over, and drops those whose retention is.
    fn close_windows(&mut self, now: Ms) {
        let window = now / REPORT_WINDOW;
        if self.open.first().is_some_and(|open| open.row.window != window) {
            self.closed.extend(self.open.drain(..));
            self.urgent = false;
        }
        let expired = |closed: &RecordedRow| closed.row.window + ROW_RETENTION / REPORT_WINDOW < window;
        while self.closed.front().is_some_and(expired) {
            self.closed.pop_front();
        }
    }

    fn open_row(&mut self, now: Ms, plan: &str, number: u64, route: &str) -> &mut RecordedRow {
        self.close_windows(now);
        let find = |open: &[RecordedRow], route: &str| {
            open.iter().position(|row| row.belongs_to(plan, number) && row.row.route == route)
        };
        let found = find(&self.open, route);
        let routes = self.open.iter().filter(|row| row.belongs_to(plan, number)).count();
        let route = if found.is_none() && routes >= MAX_ROUTES { OTHER_ROUTES } else { route };
        let found = found.or_else(|| find(&self.open, route));
        let at = found.unwrap_or_else(|| {
            self.open.push(RecordedRow::new(plan, number, now / REPORT_WINDOW, route));
            self.open.len() - 1
        });
        &mut self.open[at]
    }

    /// Counts a request that goes to a host with so many slots. True if the host gets so much more than its share of
    /// what this edge sends, beyond chance, that its answers say more about the load than about the version.
    pub fn record_sent(&mut self, now: Ms, host: &str, slots: f64) -> bool {
        self.load.begin_window(now / REPORT_WINDOW);
        let own = self.load.count(host, slots);
        self.load.is_overloaded(own)
    }

    /// Counts an attempt that has ended at `now`.
    pub fn record_outcome(&mut self, now: Ms, attempt: &AttemptEvidence) {
        self.urgent |= attempt.kind == OutcomeKind::DuplicateResponse;
        let row = self.open_row(now, attempt.plan, attempt.number, attempt.route);
        row.record(attempt.variant, attempt.kind, attempt.latency, attempt.host);
    }

    /// A report of the rows that have changed and whose window is over, and at once of the current ones if something ran
    /// twice; as many as fit into `most` bytes, but one at least, the newest first. The others follow with the next.
    pub fn report(&mut self, now: Ms, most: usize) -> Option<EvidenceReport> {
        self.close_windows(now);
        let urgent = std::mem::take(&mut self.urgent);
        let histogram = self.histogram.get_or_insert_with(new_histogram);
        let open = self.open.iter_mut().filter(|row| urgent && row.unreported);
        let closed = self.closed.iter_mut().rev().filter(|row| row.unreported);
        let mut rows: Vec<EvidenceRow> = Vec::new();
        let mut bytes = REPORT_HEADER_BYTES;
        for recorded in open.chain(closed) {
            let row = recorded.report(histogram);
            bytes += serde_json::to_string(&row).map_or(0, |text| text.len() + 1);
            if bytes > most && !rows.is_empty() {
                recorded.unreported = true;
                break;
            }
            rows.push(row);
        }
        let (edge, incarnation, zone) = (self.edge.clone(), self.incarnation, self.zone.clone());
        (!rows.is_empty()).then_some(EvidenceReport { edge, incarnation, zone, rows })
    }

    /// Reports all retained rows again: there is a new leader that knows none of them, or a report was lost.
    pub fn report_all_again(&mut self) {
        self.closed.iter_mut().for_each(|row| row.unreported = true);
    }

    /// Forgets everything, when plans come into force or go out of it.
    pub fn clear(&mut self) {
        self.open.clear();
        self.closed.clear();
        self.load.hosts.clear();
    }
}
