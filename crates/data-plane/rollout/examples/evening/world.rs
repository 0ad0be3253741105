//! Hosts, clients, edges and a control plane in simulated time, under load that rises to a peak. The modules of
//! `coppersail-rollout` make all decisions; only hosts, clients and the network are simulated.
use crate::scenario::{Mode, Outcome, Scenario, SharePoint, Size, DURATION};
use coppersail_rollout::analysis::RolloutAnalysis;
use coppersail_rollout::lifecycle::AppliedAt;
use coppersail_rollout::{
    share, EvidenceRecorder, EvidenceReport, Ms, OutcomeKind, RolloutState, Variant, VariantSelector,
};
use fastrand::Rng;
use std::collections::BTreeMap;

pub(crate) const SERVICE: &str = "ledger";
pub(crate) const PLAN_NAME: &str = "friday";
const PLAN: &str = r#"{"service": "ledger", "from": {"revision": "v1"}, "to": {"revision": "v2"}, "ends": "1800s",
    "member": "session", "steps": [
    {"share": 0.02, "least": "60s", "evidence": 50}, {"share": 0.05, "least": "60s", "evidence": 100},
    {"share": 0.1, "least": "90s", "evidence": 200}, {"share": 0.25, "least": "120s", "evidence": 200},
    {"share": 0.5, "least": "360s", "evidence": 200}, {"share": 1.0, "least": "60s", "evidence": 200}]}"#;

/// The step of simulated time (ms).
const TICK: Ms = 100;
/// Ticks after the end of the simulation for which events may still be scheduled.
const EXTRA_TICKS: Ms = 800;
/// Periods of the control plane's ticks and of the edges' polls (ms).
const CONTROL_PLANE_PERIOD: Ms = 200;
const POLL_PERIOD: Ms = 500;
/// The time window of one point of the chart (ms).
const CHART_WINDOW: Ms = 5000;
/// How long a simulation continues after a bad release was paused (ms).
const AFTER_PAUSE: Ms = 30_000;
const CLIENTS: u32 = 5000;
/// When the load reaches its peak (ms).
const PEAK_AT: f64 = 480_000.0;
/// From this time (ms) on a hot client multiplies the load by the factor and has the given share of all requests.
const HOT_FROM: Ms = 100_000;
const HOT_LOAD_FACTOR: f64 = 1.2;
const HOT_SHARE: f64 = 0.16;

/// A simulated host of one version.
pub(crate) struct Host {
    pub(crate) name: String,
    pub(crate) zone: usize,
    /// When each slot becomes free (ms).
    pub(crate) free_at: [f64; 2],
    pub(crate) cold_until: Ms,
    pub(crate) down_until: Ms,
    pub(crate) garbles_until: Ms,
    pub(crate) loses_until: Ms,
}

impl Host {
    fn new(version: &str, number: usize, zones: usize) -> Host {
        Host {
            name: format!("{version}-{number}"),
            zone: number % zones,
            free_at: [0.0; 2],
            cold_until: 0,
            down_until: 0,
            garbles_until: 0,
            loses_until: 0,
        }
    }
}

/// A simulated edge.
pub(crate) struct Edge {
    pub(crate) zone: usize,
    /// The edge's share of the requests relative to other edges; at most 1.5.
    pub(crate) weight: f64,
    pub(crate) selector: VariantSelector,
    pub(crate) recorder: EvidenceRecorder,
    /// The edge's own analysis, in the mode where each edge decides alone.
    pub(crate) analysis: Option<RolloutAnalysis>,
    pub(crate) poll_at: Ms,
    pub(crate) poll_period: Ms,
    /// Delay (ms) from the leader to the edge via its control-plane node, one way.
    pub(crate) delay: Ms,
    pub(crate) is_partitioned: bool,
    pub(crate) delays_reports: bool,
}

impl Edge {
    fn new(number: usize, scenario: Scenario, mode: Mode, size: Size, rng: &mut Rng) -> Edge {
        let zone = number % size.zones;
        let plan = initial_state().plan();
        Edge {
            zone,
            weight: 0.5 + rng.f64(),
            selector: VariantSelector::default(),
            recorder: EvidenceRecorder::new(&format!("e{number}"), 1, &format!("z{zone}")),
            analysis: (mode == Mode::Alone).then(|| RolloutAnalysis::new(&plan, 1)),
            poll_at: rng.u64(0..POLL_PERIOD),
            poll_period: POLL_PERIOD,
            // Most edges poll a control-plane node that is not the leader.
            delay: if rng.u8(0..3) == 0 { rng.u64(5..20) } else { rng.u64(20..350) },
            is_partitioned: scenario.partitions_edges() && number.is_multiple_of(3),
            delays_reports: scenario.delays_reports() && number.is_multiple_of(3),
        }
    }
}

/// A request at an edge, with its variant and host.
#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    pub(crate) edge: usize,
    /// The plan's number when the variant was selected; 0 without a plan.
    pub(crate) number: u64,
    pub(crate) route: usize,
    pub(crate) variant: Variant,
    pub(crate) host: usize,
}

/// An event that is due at a time.
pub(crate) enum Event {
    Ended { attempt: Attempt, kind: OutcomeKind, took: Ms },
    ReportArrives { report: EvidenceReport, at: Ms },
    StateArrives { edge: usize, state: usize, as_of: Ms },
}

/// The state of one simulation.
pub(crate) struct Simulation {
    pub(crate) scenario: Scenario,
    pub(crate) mode: Mode,
    pub(crate) size: Size,
    pub(crate) rng: Rng,
    pub(crate) edges: Vec<Edge>,
    /// The hosts of the new and of the old version.
    pub(crate) hosts: [Vec<Host>; 2],
    /// Scheduled events, by tick.
    pub(crate) events: Vec<Vec<Event>>,
    pub(crate) clients: Vec<String>,
    /// All states of the rollout so far, the current one last.
    pub(crate) states: Vec<RolloutState>,
    pub(crate) since: AppliedAt,
    pub(crate) analysis: RolloutAnalysis,
    pub(crate) no_leader_until: Ms,
    pub(crate) lost_leader: bool,
    /// When each host last died, by name.
    pub(crate) died: BTreeMap<String, Ms>,
    pub(crate) hot_client: String,
    pub(crate) outcome: Outcome,
}

/// A random number from the standard normal distribution (Box-Muller transform).
pub(crate) fn normal(rng: &mut Rng) -> f64 {
    (-2.0 * rng.f64().max(1e-12).ln()).sqrt() * (std::f64::consts::TAU * rng.f64()).cos()
}

fn initial_state() -> RolloutState {
    RolloutState::submit(PLAN_NAME, PLAN, None).expect("the plan is valid")
}

/// The name of the hot client. It is the worst case: a client that gets the new version from the first step on.
fn hot_client() -> String {
    let is_first = |n: &u32| share::position(SERVICE, PLAN_NAME, format!("c{n}").as_bytes()) < 0.02;
    format!("c{}", (0..CLIENTS).find(is_first).unwrap_or(0))
}

/// Requests in one window of the chart.
#[derive(Default)]
struct Window {
    requests: u64,
    executed_by_new: u64,
}

impl Simulation {
    pub(crate) fn new(scenario: Scenario, mode: Mode, size: Size, seed: u64) -> Simulation {
        let mut rng = Rng::with_seed(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ scenario as u64);
        let state = initial_state();
        let edges = (0..size.edges).map(|n| Edge::new(n, scenario, mode, size, &mut rng)).collect();
        let hosts = |version: &str| (0..size.hosts).map(|n| Host::new(version, n, size.zones)).collect();
        Simulation {
            scenario,
            mode,
            size,
            rng,
            edges,
            hosts: ["n", "o"].map(hosts),
            events: (0..DURATION / TICK + EXTRA_TICKS).map(|_| Vec::new()).collect(),
            clients: (0..CLIENTS).map(|n| format!("c{n}")).collect(),
            analysis: RolloutAnalysis::new(&state.plan(), 1),
            states: vec![state],
            since: AppliedAt(0),
            no_leader_until: 0,
            lost_leader: false,
            died: BTreeMap::new(),
            hot_client: hot_client(),
            outcome: Outcome::default(),
        }
    }

    /// Requests per second at a time. The rate rises to the peak until [`PEAK_AT`] and then stays.
    pub(crate) fn rate(&self, now: Ms) -> f64 {
        self.size.peak * (0.5 + 0.5 * (now as f64 / PEAK_AT).min(1.0))
    }

    pub(crate) fn schedule(&mut self, at: Ms, event: Event) {
        self.events[(at / TICK) as usize + 1].push(event);
    }

    pub(crate) fn run(mut self) -> Outcome {
        let plan = self.states[0].plan();
        let mut window = Window::default();
        for now in (0..DURATION).step_by(TICK as usize) {
            self.inject_faults(now);
            for event in std::mem::take(&mut self.events[(now / TICK) as usize]) {
                self.handle(now, event);
            }
            if self.is_decided(now) {
                return self.stop_early(now);
            }
            if now.is_multiple_of(CONTROL_PLANE_PERIOD) {
                self.control_plane_tick(now, &plan);
            }
            for edge in 0..self.edges.len() {
                if now >= self.edges[edge].poll_at {
                    self.poll(now, edge);
                }
            }
            self.send_requests(now, &mut window);
            if now % CHART_WINDOW == CHART_WINDOW - TICK {
                let share = window.executed_by_new as f64 / window.requests.max(1) as f64;
                self.outcome.new_share.push(SharePoint { at: now, share });
                window = Window::default();
            }
        }
        self.outcome.seconds = DURATION / 1000;
        self.outcome
    }

    /// Whether the simulation can end early, as nothing is sent to the new version any more.
    fn is_decided(&self, now: Ms) -> bool {
        let is_over = self.outcome.paused_at.is_some_and(|at| now > at + AFTER_PAUSE);
        is_over && self.scenario.is_faulty() && self.mode == Mode::Fleet && now.is_multiple_of(CHART_WINDOW)
    }

    /// Ends the simulation early, and adds the expected number of the remaining requests.
    fn stop_early(mut self, now: Ms) -> Outcome {
        let rest = (now..DURATION).step_by(TICK as usize).map(|at| self.rate(at)).sum::<f64>();
        self.outcome.requests += (rest * TICK as f64 / 1000.0) as u64;
        self.outcome.seconds = now / 1000;
        self.outcome
    }

    fn send_requests(&mut self, now: Ms, window: &mut Window) {
        let executed_before = self.outcome.executed_by_new;
        let has_hot_client = self.scenario == Scenario::HotKey && now > HOT_FROM;
        let mut expected = self.rate(now) * TICK as f64 / 1000.0;
        expected *= if has_hot_client { HOT_LOAD_FACTOR } else { 1.0 };
        let noise = normal(&mut self.rng) * expected.sqrt();
        let requests = (expected + noise).round().max(0.0) as u64;
        for _ in 0..requests {
            let is_hot = has_hot_client && self.rng.f64() < HOT_SHARE;
            self.request(now, is_hot);
        }
        window.requests += requests;
        window.executed_by_new += self.outcome.executed_by_new - executed_before;
    }
}
