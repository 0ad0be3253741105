//! Plans at an edge: the version of a request, and what both versions do, counted. Decisions are those of `coppersail-rollout`;
//! where no plan is in force, nothing here is done.
use crate::edge::Edge;
use coppersail_load_balancing::Ms;
use coppersail_peer_protocol::Update;
use coppersail_retry::{AttemptOutcome, IndeterminateCause};
use coppersail_rollout::evidence::OutcomeKind;
use coppersail_rollout::{EvidenceRecorder, EvidenceReport, Variant, VariantSelector, Version};
use hyper::header::HeaderValue;
use slog::{info, warn};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use tokio::time::Instant;

/// Bytes of evidence in one poll; with a plan there are three polls a second, and a row or two in two seconds.
const MOST_BYTES: usize = 600;
/// With a plan a poll is held for no longer, so that evidence and the lease are fresh.
pub const HELD: std::time::Duration = std::time::Duration::from_millis(300);

/// What the follower's thread takes along.
#[derive(Default)]
pub struct Outbox {
    reports: Mutex<Vec<EvidenceReport>>,
    pub on: AtomicBool,
}

impl Outbox {
    pub fn take(&self) -> Vec<EvidenceReport> {
        std::mem::take(&mut *self.reports.lock().expect("outbox"))
    }

    pub fn put_back(&self, reports: Vec<EvidenceReport>) {
        self.reports.lock().expect("outbox").splice(0..0, reports);
    }
}

pub struct Steer {
    /// Whether any plan is in force.
    on: Cell<bool>,
    sides: RefCell<VariantSelector>,
    ledger: RefCell<EvidenceRecorder>,
    epoch: Cell<u64>,
    pub outbox: Arc<Outbox>,
}

/// The version of one request.
#[derive(Debug, Clone, PartialEq)]
pub struct Way {
    pub plan: Rc<str>,
    pub number: u64,
    pub side: Variant,
    pub version: Version,
    /// The new version's revision, where hosts are told apart by it.
    revision: Option<Rc<str>>,
    counted: bool,
}

impl Way {
    /// The service that carries it, where versions are told apart by that.
    pub fn service(&self) -> Option<&str> {
        match &self.version {
            Version::Backend(name) => Some(name),
            Version::Revision(_) => None,
        }
    }

    /// The sound version instead.
    pub fn old(self) -> Way {
        Way { side: Variant::Old, ..self }
    }

    /// The revision that its hosts have, or don't.
    pub fn hosts(&self) -> Option<(&str, bool)> {
        self.revision.as_deref().map(|revision| (revision, self.side == Variant::New))
    }
}

impl Steer {
    pub fn new(edge: &str, area: &str) -> Steer {
        let ledger = EvidenceRecorder::new(edge, fastrand::u64(1..1 << 53), area);
        Steer {
            on: Cell::new(false),
            sides: RefCell::default(),
            ledger: RefCell::new(ledger),
            epoch: Cell::new(0),
            outbox: Arc::default(),
        }
    }

    pub fn on(&self) -> bool {
        self.on.get()
    }

    /// The header that names a request's session, where a plan speaks about the service.
    pub fn member(&self, service: &str, route: &str) -> Option<Option<String>> {
        let sides = self.sides.borrow();
        let choice = sides.choose(0, service, route, b"")?;
        Some(sides.get(choice.plan).plan.member.clone())
    }

    pub fn way(&self, now: Ms, service: &str, route: &str, member: &[u8]) -> Option<Way> {
        let sides = self.sides.borrow();
        let choice = sides.choose(now, service, route, member)?;
        let live = sides.get(choice.plan);
        let version = if choice.side == Variant::New { &live.plan.to } else { &live.plan.from };
        let revision = match &live.plan.to {
            Version::Revision(name) => Some(name.as_str().into()),
            Version::Backend(_) => None,
        };
        let counted = sides.counts(choice.plan);
        let (plan, version) = (live.name.as_str().into(), version.clone());
        Some(Way { plan, number: choice.number, side: choice.side, version, revision, counted })
    }
}

impl Edge {
    pub fn take_plans(&self, news: &Update) {
        let steer = &self.steer;
        let mut sides = steer.sides.borrow_mut();
        for stand in &news.rollouts {
            if sides.take(stand) {
                let share = stand.share().map_or(0.0, |s| s * 100.0);
                info!(self.log, "edge: plan {} is {:?} at {share}%: {}", stand.name, stand.phase, stand.why);
            }
        }
        let on = !sides.is_empty();
        if on != steer.on.get() {
            steer.on.set(on);
            steer.outbox.on.store(on, Ordering::Relaxed);
            steer.ledger.borrow_mut().clear();
        }
        // What a primary before the one heard of had says nothing of now.
        let seen = news.rollouts_as_of.filter(|seen| seen.term >= steer.epoch.get());
        if let (Some(seen), Some(asked)) = (seen, news.requested_at) {
            let ago = asked.elapsed().as_millis() as Ms + seen.age_ms;
            if let Some(at) = self.now().checked_sub(ago) {
                sides.fresh(at);
            }
            if seen.term > steer.epoch.replace(seen.term) {
                steer.ledger.borrow_mut().again();
            }
        }
        drop(sides);
        self.report();
    }

    /// Rows that are over go with the next poll.
    pub fn report(&self) {
        if self.steer.on() {
            let report = self.steer.ledger.borrow_mut().report(self.now(), MOST_BYTES);
            self.steer.outbox.put_back(report.into_iter().collect());
        }
    }

    /// A request goes to a host. True if its time will tell nothing of the version.
    pub fn steered(&self, way: &Way, ident: &str, now: Ms) -> bool {
        let host = self.book.borrow().endpoint(ident).map(|h| (h.capacity, now < h.slow_start_until));
        let (slots, cold) = host.unwrap_or((1, false));
        way.counted && (self.steer.ledger.borrow_mut().sent(now, ident, f64::from(slots)) || cold)
    }

    /// What became of it. `aim`: in which its answer had to come.
    #[allow(clippy::too_many_arguments)]
    pub fn weigh<A>(
        &self,
        way: &Way,
        route: &str,
        ident: &str,
        verdict: &AttemptOutcome<A>,
        failed: bool,
        took: Ms,
        aim: Ms,
        aside: bool,
    ) {
        if !way.counted || !verdict.arrived() {
            return;
        }
        let kind = match verdict {
            AttemptOutcome::NotSent(_) | AttemptOutcome::Rejected(_) => None,
            AttemptOutcome::Completed(_) if aside => Some(OutcomeKind::Aside),
            AttemptOutcome::Failed(_) if aside => Some(OutcomeKind::Aside),
            AttemptOutcome::Failed(_) => Some(OutcomeKind::Failed),
            AttemptOutcome::Completed(_) if failed => Some(OutcomeKind::Failed),
            AttemptOutcome::Completed(_) if took > aim => Some(OutcomeKind::Late),
            AttemptOutcome::Completed(_) => Some(OutcomeKind::Good),
            AttemptOutcome::Indeterminate(
                IndeterminateCause::ForeignResponse | IndeterminateCause::Unsealed,
            ) => Some(OutcomeKind::Foreign),
            AttemptOutcome::Indeterminate(_) => Some(OutcomeKind::Lost),
        };
        let answered =
            matches!(verdict, AttemptOutcome::Completed(_) | AttemptOutcome::Failed(_)).then_some(took);
        let (now, mut ledger) = (self.now(), self.steer.ledger.borrow_mut());
        ledger.note(now, &way.plan, way.number, route, way.side, OutcomeKind::Offered, None, None);
        if let Some(kind) = kind {
            ledger.note(now, &way.plan, way.number, route, way.side, kind, answered, Some(ident));
        }
    }

    fn doubled(&self, watched: &Watched) {
        let way = &watched.way;
        if !way.counted {
            return;
        }
        warn!(self.log, "edge: a try was answered twice by the {:?} version of plan {}", way.side, way.plan);
        if way.side == Variant::New {
            self.steer.sides.borrow_mut().stop(&way.plan, way.number);
        }
        let (now, plan, route) = (self.now(), &*way.plan, &*watched.route);
        self.steer.ledger.borrow_mut().note(
            now,
            plan,
            way.number,
            route,
            way.side,
            OutcomeKind::Doubled,
            None,
            None,
        );
        self.report();
    }
}

/// A try on a connection, whose answers are counted.
struct Watched {
    id: HeaderValue,
    way: Way,
    route: Rc<str>,
    answers: u32,
}

/// Looks out for second answers on a connection: they come behind the first, or before the next request's.
pub struct Lookout {
    edge: Rc<Edge>,
    now: Watched,
    before: Option<Watched>,
}

impl Lookout {
    pub fn next(
        last: Option<Box<Lookout>>,
        edge: &Rc<Edge>,
        id: &HeaderValue,
        way: &Way,
        route: &str,
    ) -> Box<Lookout> {
        let now = Watched { id: id.clone(), way: way.clone(), route: route.into(), answers: 0 };
        Box::new(Lookout { edge: edge.clone(), now, before: last.map(|last| last.now) })
    }

    /// Bytes that a host sent. A second whole head with the same id and a seal is a second run.
    pub fn read(&mut self, bytes: &[u8]) {
        const BEGINS: &[u8] = b"HTTP/1.1 2";
        let starts = bytes.windows(BEGINS.len()).enumerate().filter(|(_, w)| *w == BEGINS).map(|(at, _)| at);
        for at in starts {
            let Some(end) = bytes[at..].windows(4).position(|four| four == b"\r\n\r\n") else { continue };
            let head = String::from_utf8_lossy(&bytes[at..at + end]);
            let header = |name: &str| {
                let mut lines = head.lines().filter_map(|line| line.split_once(':'));
                lines
                    .find(|(one, _)| one.trim().eq_ignore_ascii_case(name))
                    .map(|(_, v)| v.trim().to_string())
            };
            let (Some(id), Some(_)) = (header("try-id"), header("server-seal")) else { continue };
            let of = |w: &&mut Watched| w.id.as_bytes() == id.as_bytes();
            let now = std::iter::once(&mut self.now);
            if let Some(watched) = now.chain(&mut self.before).find(of) {
                watched.answers += 1;
                if watched.answers == 2 {
                    self.edge.doubled(watched);
                }
            }
        }
    }
}

/// When it was sent, to tell how long it took.
pub fn took(since: Instant) -> Ms {
    since.elapsed().as_millis() as Ms
}
