//! The recorder of evidence at an edge. It counts outcomes in one row per plan, route and time window, reports rows
//! that have changed, limits the size of a report, and keeps rows for a minute.
use crate::evidence::{Counts, EvidenceReport, EvidenceRow, OutcomeKind, OTHER_ROUTES, REPORT_WINDOW};
use crate::load_limit::load_limit;
use crate::variant::Variant;
use crate::Ms;
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, VecDeque};

/// How long rows are kept to be reported again to a new leader (ms). Older rows weigh little in its decision.
const ROW_RETENTION: Ms = 60_000;
/// Maximum number of distinct routes in one window; further routes are counted as [`OTHER_ROUTES`].
const MAX_ROUTES: usize = 16;
/// Maximum number of response times kept per variant, route and window; more would add no information.
const MAX_TIMES: usize = 4096;
/// The highest value of the histogram (ms), which is longer than any request.
const HISTOGRAM_MAX: u64 = 60_000;
/// Significant digits of the histogram; one digit gives an error of at most 6%.
const HISTOGRAM_DIGITS: u8 = 1;
/// Assumed size of a report without its rows, in bytes.
const REPORT_HEADER_BYTES: usize = 64;
/// With fewer hosts, none is considered overloaded, as there are too few to compare it with.
const OVERLOAD_MIN_HOSTS: usize = 3;

/// One event of an attempt, as evidence about a plan's variants.
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
    /// The outcome to count.
    pub kind: OutcomeKind,
    /// The response time in milliseconds, if the attempt was answered.
    pub latency: Option<Ms>,
    /// The host of the attempt, if it is known.
    pub host: Option<&'a str>,
}

/// A row with its response times and report status.
struct RecordedRow {
    row: EvidenceRow,
    /// Response times of the new version and of the control group, in order of arrival.
    times: [Vec<u32>; 2],
    /// The row has changed since it was last reported.
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

    fn record(&mut self, variant: Variant, kind: OutcomeKind, latency: Option<Ms>, host: Option<&str>) {
        self.unreported = true;
        self.row.revision += 1;
        let counts = if variant == Variant::New { &mut self.row.new } else { &mut self.row.control };
        counts.all[kind as usize] += 1;
        if let (Some(by_host), Some(host)) = (host_counts(counts, variant, kind), host) {
            increment(by_host, host);
        }
        let times = &mut self.times[variant as usize];
        if let Some(latency) = latency.filter(|_| times.len() < MAX_TIMES) {
            times.push(latency.clamp(1, u64::from(u32::MAX)) as u32);
        }
    }

    /// Returns the row with its histograms, and marks it as reported.
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

/// The per-host counts for an outcome, if it is counted by host.
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

/// The load of one host within a window.
#[derive(Clone, Copy)]
struct HostLoad {
    requests: u32,
    slots: f64,
}

/// The load of all hosts within one window, to detect hosts that get far more than their share of requests.
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

    /// Compares a host with the other hosts only: with its own requests included, a host that gets nearly all requests
    /// would determine the average itself.
    fn is_overloaded(&self, own: HostLoad) -> bool {
        let requests = f64::from(own.requests);
        let per_slot = (self.total_requests - requests) / (self.total_slots - own.slots).max(own.slots);
        let expected = per_slot * own.slots;
        self.hosts.len() >= OVERLOAD_MIN_HOSTS && requests > load_limit(expected)
    }
}

/// Counts outcomes at one edge and builds its reports.
#[derive(Default)]
pub struct EvidenceRecorder {
    edge: String,
    incarnation: u64,
    zone: String,
    /// Rows of the current window.
    open: Vec<RecordedRow>,
    /// The current window has a duplicate response, which is reported before the window ends.
    urgent: bool,
    /// Rows of earlier windows, the newest last.
    closed: VecDeque<RecordedRow>,
    /// Reused by all reports, as it is large.
    histogram: Option<Histogram<u32>>,
    load: LoadTracker,
}

impl EvidenceRecorder {
    /// A recorder for the edge with this name, incarnation and zone.
    pub fn new(edge: &str, incarnation: u64, zone: &str) -> EvidenceRecorder {
        EvidenceRecorder { edge: edge.into(), incarnation, zone: zone.into(), ..EvidenceRecorder::default() }
    }

    /// Closes the rows of windows that are over, and drops rows whose retention is over.
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

    /// The row of the current window for a plan and route, which is created if necessary.
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

    /// Counts a request to a host with this number of slots (concurrent requests). True if the host gets significantly
    /// more than its share of this edge's requests, so that its latency reflects the load rather than the version.
    pub fn record_sent(&mut self, now: Ms, host: &str, slots: f64) -> bool {
        self.load.begin_window(now / REPORT_WINDOW);
        let own = self.load.count(host, slots);
        self.load.is_overloaded(own)
    }

    /// Counts the outcome of an attempt at `now`.
    pub fn record_outcome(&mut self, now: Ms, attempt: &AttemptEvidence) {
        self.urgent |= attempt.kind == OutcomeKind::DuplicateResponse;
        let row = self.open_row(now, attempt.plan, attempt.number, attempt.route);
        row.record(attempt.variant, attempt.kind, attempt.latency, attempt.host);
    }

    /// A report of the changed rows whose window is over, the newest first; after a duplicate response also of the
    /// current window's rows. It has as many rows as fit into `max_bytes`, but at least one; the others are left for
    /// the next report.
    pub fn report(&mut self, now: Ms, max_bytes: usize) -> Option<EvidenceReport> {
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
            if bytes > max_bytes && !rows.is_empty() {
                recorded.unreported = true;
                break;
            }
            rows.push(row);
        }
        let (edge, incarnation, zone) = (self.edge.clone(), self.incarnation, self.zone.clone());
        (!rows.is_empty()).then_some(EvidenceReport { edge, incarnation, zone, rows })
    }

    /// Marks all retained rows to be reported again, for a new leader that has none of them or after a report was lost.
    pub fn report_all_again(&mut self) {
        self.closed.iter_mut().for_each(|row| row.unreported = true);
    }

    /// Drops all counts. Called when plans come into force or go out of force.
    pub fn clear(&mut self) {
        self.open.clear();
        self.closed.clear();
        self.load.hosts.clear();
    }
}
