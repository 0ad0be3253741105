//! What an edge counts of both versions while a plan steers, in short spans of time, and tells the centre: each row
//! whole and as often as it changes, so that a report may be lost, late or taken twice. Its size is bounded.
use crate::variant::Variant;
use crate::Ms;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Long enough that a few requests a second make a row worth its bytes, short enough to stop within seconds.
pub const REPORT_SPAN: Ms = 2000;
/// Rows are told again to a new primary for as long; older ones weigh little in what it decides.
const KEPT: Ms = 60_000;
/// Routes that are told apart; what is beyond them is one more.
const ROUTES: usize = 16;
pub const OTHERS: &str = "*";

/// What became of a try.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutcomeKind {
    Offered,
    /// Answered in the aim.
    Good,
    Late,
    /// Answered with a failure of the host's own.
    Failed,
    /// It may have run, and no answer came.
    Lost,
    /// A second whole answer came for one try: it ran twice.
    Doubled,
    /// An answer whose id or seal is wrong.
    Foreign,
    /// Answered, by a host that is cold or has much more than its part: says nothing about lateness.
    Aside,
}

pub const OUTCOME_KINDS: usize = 8;

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    #[serde(rename = "n")]
    pub all: [u32; OUTCOME_KINDS],
    /// (host, tries lost there).
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub lost_at: Vec<(String, u32)>,
    /// (host, late or failed there), of the new version: one host's trouble is not the version's.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub slow_at: Vec<(String, u32)>,
    /// Times of answers: (milliseconds, how many), in the steps of a histogram.
    #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
    pub times: Vec<(u32, u32)>,
}

impl Counts {
    pub fn of(&self, kind: OutcomeKind) -> u64 {
        u64::from(self.all[kind as usize])
    }

    /// Tries that speak about lateness.
    pub fn timed(&self) -> u64 {
        self.of(OutcomeKind::Good) + self.of(OutcomeKind::Late) + self.of(OutcomeKind::Failed)
    }

    pub fn slow(&self) -> u64 {
        self.of(OutcomeKind::Late) + self.of(OutcomeKind::Failed)
    }

    pub fn ended(&self) -> u64 {
        self.timed()
            + self.of(OutcomeKind::Aside)
            + self.of(OutcomeKind::Lost)
            + self.of(OutcomeKind::Foreign)
    }
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct EvidenceRow {
    #[serde(rename = "p")]
    pub plan: String,
    /// The plan's number while it was counted.
    #[serde(rename = "v")]
    pub number: u64,
    #[serde(rename = "b")]
    pub span: u64,
    #[serde(rename = "r")]
    pub route: String,
    /// How often it has changed: the higher one is the later.
    #[serde(rename = "c")]
    pub count: u32,
    pub new: Counts,
    pub old: Counts,
}

/// What one edge tells. Centres that are not primary pass it on as it is.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct EvidenceReport {
    pub edge: String,
    /// Which life of the edge counts.
    pub life: u64,
    pub area: String,
    pub rows: Vec<EvidenceRow>,
}

struct Page {
    row: EvidenceRow,
    /// Of the new and of the old version, as they came.
    times: [Vec<u32>; 2],
    dirty: bool,
}

/// Answers of one route in one span whose times are kept; more tell nothing new.
const TIMES: usize = 4096;

impl Page {
    fn told(&mut self, scratch: &mut Histogram<u32>) -> EvidenceRow {
        self.dirty = false;
        let mut row = self.row.clone();
        for (counts, times) in [&mut row.new, &mut row.old].into_iter().zip(&self.times) {
            if times.is_empty() {
                continue;
            }
            scratch.reset();
            times.iter().for_each(|time| scratch.saturating_record(u64::from(*time)));
            let each = scratch.iter_recorded();
            counts.times = each.map(|v| (v.value_iterated_to() as u32, v.count_at_value())).collect();
        }
        row
    }
}

fn histogram() -> Histogram<u32> {
    // One digit: 6% at worst. A minute is longer than any request.
    Histogram::new_with_bounds(1, 60_000, 1).expect("fixed bounds")
}

#[derive(Default)]
pub struct EvidenceRecorder {
    edge: String,
    life: u64,
    area: String,
    /// Of the span under way.
    open: Vec<Page>,
    /// Whether something in it can't wait for its end.
    hard: bool,
    /// Of earlier spans, the newest last.
    kept: VecDeque<Page>,
    scratch: Option<Histogram<u32>>,
    /// Sends by host in the span under way, and hosts' slots.
    sends: BTreeMap<String, (u32, f64)>,
    sends_span: u64,
    /// Sum of both.
    sends_all: (f64, f64),
}

impl EvidenceRecorder {
    pub fn new(edge: &str, life: u64, area: &str) -> EvidenceRecorder {
        EvidenceRecorder { edge: edge.into(), life, area: area.into(), ..EvidenceRecorder::default() }
    }

    /// Spans that are over change no more.
    fn close(&mut self, now: Ms) {
        let span = now / REPORT_SPAN;
        if self.open.first().is_some_and(|p| p.row.span != span) {
            self.kept.extend(self.open.drain(..));
            self.hard = false;
        }
        while self.kept.front().is_some_and(|p| p.row.span + KEPT / REPORT_SPAN < span) {
            self.kept.pop_front();
        }
    }

    fn page(&mut self, now: Ms, plan: &str, number: u64, route: &str) -> &mut Page {
        self.close(now);
        let of = |p: &Page| p.row.plan == plan && p.row.number == number;
        let at = self.open.iter().position(|p| of(p) && p.row.route == route);
        let full = at.is_none() && self.open.iter().filter(|p| of(p)).count() >= ROUTES;
        let route = if full { OTHERS } else { route };
        let at = at.or_else(|| self.open.iter().position(|p| of(p) && p.row.route == route));
        let at = at.unwrap_or_else(|| {
            let (plan, route, span) = (plan.into(), route.into(), now / REPORT_SPAN);
            let row = EvidenceRow { plan, number, span, route, ..EvidenceRow::default() };
            self.open.push(Page { row, times: [Vec::new(), Vec::new()], dirty: true });
            self.open.len() - 1
        });
        &mut self.open[at]
    }

    /// A request goes to a host. True if the host gets so much more than its part of what this edge sends that its
    /// answers tell more about the load than about the version: more than twice its part, beyond chance.
    pub fn sent(&mut self, now: Ms, host: &str, slots: f64) -> bool {
        if now / REPORT_SPAN != self.sends_span {
            (self.sends_span, self.sends_all) = (now / REPORT_SPAN, (0.0, 0.0));
            self.sends.clear();
        }
        let (own, own_slots) = match self.sends.get_mut(host) {
            Some(entry) => {
                entry.0 += 1;
                *entry
            }
            None => {
                self.sends_all.1 += slots.max(1.0);
                self.sends.insert(host.into(), (1, slots.max(1.0)));
                (1, slots.max(1.0))
            }
        };
        self.sends_all.0 += 1.0;
        let (sum, all) = self.sends_all;
        // Of the others: a host with nearly everything would otherwise be its own measure.
        let rest = (sum - f64::from(own)) / (all - own_slots).max(own_slots);
        let part = rest * own_slots;
        self.sends.len() > 2 && f64::from(own) > 2.0 * part + 3.0 * part.max(1.0).sqrt()
    }

    /// `took`: where it was answered. `host`: where it was lost.
    #[allow(clippy::too_many_arguments)]
    pub fn note(
        &mut self,
        now: Ms,
        plan: &str,
        number: u64,
        route: &str,
        side: Variant,
        kind: OutcomeKind,
        took: Option<Ms>,
        host: Option<&str>,
    ) {
        self.hard |= kind == OutcomeKind::Doubled;
        let page = self.page(now, plan, number, route);
        page.dirty = true;
        page.row.count += 1;
        let which = side as usize;
        let counts = if side == Variant::New { &mut page.row.new } else { &mut page.row.old };
        counts.all[kind as usize] += 1;
        let list = match kind {
            OutcomeKind::Lost | OutcomeKind::Foreign => Some(&mut counts.lost_at),
            OutcomeKind::Late | OutcomeKind::Failed if side == Variant::New => Some(&mut counts.slow_at),
            _ => None,
        };
        if let (Some(list), Some(host)) = (list, host) {
            match list.iter_mut().find(|(h, _)| h == host) {
                Some((_, n)) => *n += 1,
                None => list.push((host.into(), 1)),
            }
        }
        if let Some(took) = took {
            let times = &mut page.times[which];
            if times.len() < TIMES {
                times.push(took.clamp(1, u64::from(u32::MAX)) as u32);
            }
        }
    }

    /// Rows of spans that are over, and what ran twice at once; as much as fits into `most` bytes, of the newest time
    /// first. What does not fit comes with the next one.
    pub fn report(&mut self, now: Ms, most: usize) -> Option<EvidenceReport> {
        self.close(now);
        let mut rows: Vec<EvidenceRow> = Vec::new();
        let mut bytes = 64;
        let hard = std::mem::take(&mut self.hard);
        let scratch = self.scratch.get_or_insert_with(histogram);
        let open = self.open.iter_mut().filter(|p| hard && p.dirty);
        for page in open.chain(self.kept.iter_mut().rev().filter(|p| p.dirty)) {
            let row = page.told(scratch);
            bytes += serde_json::to_string(&row).map_or(0, |t| t.len() + 1);
            if bytes > most && !rows.is_empty() {
                page.dirty = true;
                break;
            }
            rows.push(row);
        }
        let (edge, life, area) = (self.edge.clone(), self.life, self.area.clone());
        (!rows.is_empty()).then_some(EvidenceReport { edge, life, area, rows })
    }

    /// A new primary has heard nothing yet, or a report was lost: all that is kept is told again.
    pub fn again(&mut self) {
        self.kept.iter_mut().for_each(|p| p.dirty = true);
    }

    pub fn idle(&self) -> bool {
        self.open.is_empty() && self.kept.is_empty()
    }

    pub fn clear(&mut self) {
        self.open.clear();
        self.kept.clear();
        self.sends.clear();
    }
}
