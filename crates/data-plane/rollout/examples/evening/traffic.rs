//! Requests: the choice of edge, variant and host, the duration and outcome, and the evidence that is recorded.
use crate::scenario::{Mode, Scenario};
use crate::world::{normal, Attempt, Event, Simulation, PLAN_NAME, SERVICE};
use coppersail_rollout::{AttemptEvidence, Ms, OutcomeKind, Variant};
use fastrand::Rng;

const ROUTES: [&str; 2] = ["book", "look"];
const BOOK: usize = 0;
/// Maximum weight of an edge.
const MAX_EDGE_WEIGHT: f64 = 1.5;
const SLOTS: f64 = 2.0;
/// The latency target, and the deadline after which an edge gives up (ms).
const LATENCY_TARGET: Ms = 500;
const DEADLINE: Ms = 1200;
/// A host rejects requests that would wait longer than this (ms).
const MAX_WAIT: f64 = 600.0;
/// Median (ms) and sigma of the log-normal service time.
const MEDIAN_WORK: f64 = 120.0;
const WORK_SIGMA: f64 = 0.35;
/// Network time per request (ms).
const NETWORK_MS: Ms = 4;
/// The host that serves the hot client's key.
const HOT_HOST: usize = 3;
/// The fraction of a late version's answers that stall, and the minimum and spread of their delay (ms).
const STALL_SHARE: f64 = 0.3;
const STALL_MIN: f64 = 450.0;
const STALL_SPREAD: f64 = 300.0;

/// The outcome of a request at a host, and its duration.
struct Response {
    kind: OutcomeKind,
    took: Ms,
}

impl Simulation {
    pub(crate) fn request(&mut self, now: Ms, is_hot: bool) {
        self.outcome.requests += 1;
        let edge = self.draw_edge();
        let client = self.rng.usize(0..self.clients.len());
        let route = usize::from(self.rng.u8(0..3) > 0);
        let client = if is_hot { &self.hot_client } else { &self.clients[client] };
        let selector = &self.edges[edge].selector;
        let choice = selector.choose(now, SERVICE, ROUTES[route], client.as_bytes());
        let (variant, number) = choice.as_ref().map_or((Variant::Control, 0), |c| (c.variant, c.number));
        let is_counted = choice.is_some_and(|choice| selector.records_evidence(choice.plan));
        let Some(host) = self.draw_host(now, variant, is_hot) else { return };
        let is_overloaded =
            is_counted && self.mode != Mode::Fixed && self.count_sent(now, edge, variant, host);
        let attempt = Attempt { edge, number, route, variant, host };
        self.record(now, &attempt, OutcomeKind::Offered, None, None);
        let Some(Response { kind, took }) = self.execute(now, &attempt) else { return };
        if variant == Variant::New {
            self.outcome.executed_by_new += 1;
            self.outcome.last_sent = now;
        }
        let is_cold = now < self.hosts[variant as usize][host].cold_until;
        let is_timed = [OutcomeKind::Good, OutcomeKind::Late, OutcomeKind::Failed].contains(&kind);
        let kind = if (is_cold || is_overloaded) && is_timed { OutcomeKind::Excluded } else { kind };
        self.schedule(now + took, Event::Ended { attempt, kind, took });
    }

    /// Draws an edge in proportion to the weights, by rejection sampling.
    fn draw_edge(&mut self) -> usize {
        loop {
            let at = self.rng.usize(0..self.edges.len());
            if self.rng.f64() * MAX_EDGE_WEIGHT < self.edges[at].weight {
                return at;
            }
        }
    }

    /// Draws the host with the shorter queue of two random ones, as edges know the approximate queue lengths. The hot
    /// client's key always has the same host.
    fn draw_host(&mut self, now: Ms, variant: Variant, is_hot: bool) -> Option<usize> {
        let hosts = &self.hosts[variant as usize];
        let is_up = |at: &usize| now >= hosts[*at].down_until;
        let draw = |rng: &mut Rng| (0..20).map(|_| rng.usize(0..hosts.len())).find(is_up);
        let (first, second) = (draw(&mut self.rng), draw(&mut self.rng));
        let (first, second) = (first?, second?);
        let queue = |at: usize| hosts[at].free_at[0].min(hosts[at].free_at[1]);
        Some(match is_hot {
            true => HOT_HOST % hosts.len(),
            false if queue(first) <= queue(second) => first,
            false => second,
        })
    }

    fn count_sent(&mut self, now: Ms, edge: usize, variant: Variant, host: usize) -> bool {
        self.edges[edge].recorder.record_sent(now, &self.hosts[variant as usize][host].name, SLOTS)
    }

    /// Executes a request on a host. `None` if the host rejects it.
    fn execute(&mut self, now: Ms, attempt: &Attempt) -> Option<Response> {
        let (variant, at) = (attempt.variant as usize, attempt.host);
        let slot = usize::from(self.hosts[variant][at].free_at[1] < self.hosts[variant][at].free_at[0]);
        let wait = (self.hosts[variant][at].free_at[slot] - now as f64).max(0.0);
        if wait > MAX_WAIT {
            return None;
        }
        let work = self.draw_work(now, attempt);
        let stall = self.draw_stall(now, attempt);
        // A stalled request waits without using its slot.
        self.hosts[variant][at].free_at[slot] = now as f64 + wait + work;
        let took = ((wait + work + stall.unwrap_or(0.0)) as Ms + NETWORK_MS).min(DEADLINE);
        let version_fault = self.draw_version_fault(attempt);
        let host_fault = self.draw_host_fault(now, attempt);
        let timely = if took > LATENCY_TARGET { OutcomeKind::Late } else { OutcomeKind::Good };
        let kind = version_fault.or(host_fault).unwrap_or(timely);
        let is_new = attempt.variant == Variant::New;
        if version_fault.is_some() || (is_new && stall.is_some() && self.scenario.is_faulty()) {
            self.outcome.bad_answers += 1;
            self.outcome.first_bad.get_or_insert(now + took);
        }
        Some(Response { kind, took })
    }

    /// Draws the service time (ms).
    fn draw_work(&mut self, now: Ms, attempt: &Attempt) -> f64 {
        let is_cold = now < self.hosts[attempt.variant as usize][attempt.host].cold_until;
        let is_slow_wave = self.scenario == Scenario::SlowWaves && now % 100_000 < 20_000;
        let is_better = attempt.variant == Variant::New && self.scenario == Scenario::Better;
        let mut work = MEDIAN_WORK * (WORK_SIGMA * normal(&mut self.rng)).exp();
        work *= if is_cold { 3.0 } else { 1.0 };
        work *= if is_slow_wave { 2.5 } else { 1.0 };
        work *= if is_better { 0.7 } else { 1.0 };
        work
    }

    /// Draws how long a request stalls (ms); `None` if it doesn't.
    fn draw_stall(&mut self, now: Ms, attempt: &Attempt) -> Option<f64> {
        let may_stall = self.is_late(now, attempt) || self.scenario == Scenario::BothBad;
        let stalls = may_stall && self.rng.f64() < STALL_SHARE;
        stalls.then(|| STALL_MIN + STALL_SPREAD * self.rng.f64())
    }

    /// Whether the new version is late for this request.
    fn is_late(&self, now: Ms, attempt: &Attempt) -> bool {
        let is_late = match self.scenario {
            Scenario::Late
            | Scenario::LateAndLeaderLost
            | Scenario::LateAndEdgesPartitioned
            | Scenario::LateAndReportsDelayed => true,
            Scenario::LateAtPeakLoad => self.rate(now) > 0.85 * self.size.peak,
            Scenario::LateInOneZone => self.hosts[attempt.variant as usize][attempt.host].zone == 1,
            Scenario::LateOnOneRoute => attempt.route == BOOK,
            Scenario::LateAfterTenMinutes => now > 600_000,
            _ => false,
        };
        attempt.variant == Variant::New && is_late
    }

    fn draw_version_fault(&mut self, attempt: &Attempt) -> Option<OutcomeKind> {
        if attempt.variant != Variant::New {
            return None;
        }
        let (kind, chance) = match self.scenario {
            Scenario::LosesAnswers => (OutcomeKind::Lost, 0.02),
            Scenario::InvalidSeals => (OutcomeKind::InvalidResponse, 1.0 / 30.0),
            Scenario::FailsAnswers => (OutcomeKind::Failed, 0.1),
            Scenario::ExecutesBookingsTwice if attempt.route == BOOK => {
                (OutcomeKind::DuplicateResponse, 0.002)
            }
            _ => return None,
        };
        (self.rng.f64() < chance).then_some(kind)
    }

    fn draw_host_fault(&mut self, now: Ms, attempt: &Attempt) -> Option<OutcomeKind> {
        let host = &self.hosts[attempt.variant as usize][attempt.host];
        let loses = now < host.loses_until && self.rng.f64() < 0.1;
        let garbles = now < host.garbles_until && self.rng.f64() < 0.3;
        match (loses, garbles) {
            (_, true) => Some(OutcomeKind::InvalidResponse),
            (true, false) => Some(OutcomeKind::Lost),
            (false, false) => None,
        }
    }

    /// Records an outcome as evidence at the attempt's edge.
    pub(crate) fn record(
        &mut self,
        now: Ms,
        attempt: &Attempt,
        kind: OutcomeKind,
        took: Option<Ms>,
        host: Option<usize>,
    ) {
        if self.mode == Mode::Fixed {
            return;
        }
        let Attempt { number, route, variant, .. } = *attempt;
        let edge = &mut self.edges[attempt.edge];
        if number > 0 && edge.selector.active().any(|rollout| rollout.number >= number) {
            let host = host.map(|at| self.hosts[variant as usize][at].name.as_str());
            let (plan, route, latency) = (PLAN_NAME, ROUTES[route], took);
            let evidence = AttemptEvidence { plan, number, route, variant, kind, latency, host };
            edge.recorder.record_outcome(now, &evidence);
        }
    }
}
