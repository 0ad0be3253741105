//! The state of the simulated world, and how it is set up for a scenario.
//!
//! What happens to it is in the other files of this folder, each with the part of `impl World` for one concern.

use super::assignments::Assignments;
use super::call::CallTable;
use super::collectors::Collectors;
use super::delivery::Deliveries;
use super::director::{Director, Store};
use super::event::{Event, EventQueue};
use super::fault_state::FaultState;
use super::host::Host;
use super::proxy::Proxy;
use super::traffic::Traffic;
use crate::measure::Measured;
use crate::policy::Kind;
use crate::rules::Rules;
use crate::scenario::{Fleet, Scenario};
use crate::truth::Truth;
use fastrand::Rng;
use rustc_hash::FxHashMap;

/// What the wall clock shows when a play in simulated time begins, milliseconds since 1970: any time of this century.
const SIMULATED_START_MS: u64 = 1_700_000_000_000;
/// When the hosts that run from the beginning were started, simulated seconds: long ago, so that they are warm.
const LONG_AGO: f64 = -1e6;
/// Separates the world's random numbers from those of the policies, which get the same seed.
const SEED_MASK: u64 = 0x5eed_1ab0;
/// Of the delay between two machines.
const NETWORK_JITTER: Jitter = Jitter { least: 0.8, spread: 0.4 };

/// A random factor, uniform from `least` to `least + spread`.
#[derive(Clone, Copy, Debug)]
pub(super) struct Jitter {
    /// The least factor.
    pub(super) least: f64,
    /// The width of the range.
    pub(super) spread: f64,
}

/// Hosts, proxies, clients, store, discovery, collectors and directors in simulated time.
pub struct World {
    /// What is played.
    pub scenario: Scenario,
    /// How far a play in real time has lagged behind the clock at most, seconds.
    pub max_lag: f64,
    /// What was measured so far.
    pub measured: Measured,
    /// The operators' rules that were broken so far.
    pub rules: Rules,
    /// Simulated seconds since the beginning.
    pub(super) now: f64,
    /// What is still to come.
    pub(super) events: EventQueue,
    /// The one source of random numbers; the order of draws is part of what a seed stands for.
    pub(super) rng: Rng,
    /// Which policy the directors have.
    pub(super) kind: Kind,
    /// From which the seeds of the policies are made.
    pub(super) seed: u64,
    /// What the wall clock shows at time 0, milliseconds since 1970.
    pub(super) start_ms: u64,
    pub(super) hosts: Vec<Host>,
    pub(super) proxies: Vec<Proxy>,
    /// Calls that have not ended.
    pub(super) calls: CallTable,
    /// The load.
    pub(super) traffic: Traffic,
    pub(super) directors: Vec<Director>,
    /// The relay, which stores the tables.
    pub(super) store: Store,
    /// What the directors have ordered.
    pub(super) assignments: Assignments,
    /// Inputs on their way to directors.
    pub(super) deliveries: Deliveries,
    /// Sums since the last report.
    pub(super) collectors: Collectors,
    /// Rises with each change of the endpoint list.
    pub(super) endpoint_list_version: u64,
    /// Mean seconds until directors hear of a change of the endpoint list.
    pub(super) discovery_delay: f64,
    /// By proxy and host, with [`Kind::PowerOfTwo`] only: attempts that wait for a reply.
    pub(super) outstanding: FxHashMap<(u16, u32), u16>,
    /// By zone: no other zone reaches it.
    pub(super) isolated_zones: Vec<bool>,
    /// By fault of the scenario.
    pub(super) fault_states: Vec<FaultState>,
    /// By slice: since when a proxy may have lacked a host for it, simulated seconds.
    pub(super) unserved_since: Vec<Option<f64>>,
    /// The state of the fleet at the last sample, for the policy that may see it.
    pub(super) truth: Truth,
}

impl World {
    /// The world at time 0, with directors of one kind. The seed determines everything but a play in real time.
    pub fn new(scenario: &Scenario, kind: Kind, seed: u64) -> World {
        let mut rng = Rng::with_seed(seed ^ SEED_MASK);
        let fleet = &scenario.fleet;
        let routes = scenario.load.routes.len();
        // The hosts draw first; the order of draws is part of what a seed stands for.
        let hosts = new_hosts(fleet, &mut rng);
        let traffic = Traffic::new(scenario, &mut rng);
        let mut world = World {
            scenario: scenario.clone(),
            max_lag: 0.0,
            measured: Measured::new(scenario.seconds, routes),
            rules: Rules::default(),
            now: 0.0,
            events: EventQueue::default(),
            rng,
            kind,
            seed,
            start_ms: if kind == Kind::Process { wall_clock_ms() } else { SIMULATED_START_MS },
            hosts,
            proxies: (0..fleet.proxies).map(|n| Proxy::new(n % fleet.zones, fleet.directors)).collect(),
            calls: CallTable::default(),
            traffic,
            directors: Vec::new(),
            store: Store::default(),
            assignments: Assignments::new(fleet.slices, fleet.hosts, fleet.directors, routes),
            deliveries: Deliveries::default(),
            collectors: Collectors::new(fleet.zones, fleet.hosts, fleet.slices, routes),
            endpoint_list_version: 1,
            discovery_delay: scenario.list.delay,
            outstanding: FxHashMap::default(),
            isolated_zones: vec![false; fleet.zones as usize],
            fault_states: vec![FaultState::default(); scenario.faults.len()],
            unserved_since: vec![None; fleet.slices as usize],
            truth: Truth::default(),
        };
        for director in 0..fleet.directors {
            world.start_director(director as u16);
        }
        world.schedule_first_events();
        world
    }

    fn schedule_first_events(&mut self) {
        let first = [Event::CallArrives, Event::FleetSampled, Event::TablesChecked, Event::HotSlicesChange];
        for event in first {
            self.schedule(0.0, event);
        }
        self.schedule(self.scenario.reports.interval, Event::CollectorsReport);
        for index in 0..self.scenario.faults.len() {
            let fault = &self.scenario.faults[index];
            let (begins_at, ends_at) = (fault.at, fault.at + fault.duration);
            self.schedule(begins_at, Event::FaultBegins { fault: index as u32 });
            self.schedule(ends_at, Event::FaultEnds { fault: index as u32 });
        }
        for index in 0..self.scenario.changes.len() {
            let at = self.scenario.changes[index].at;
            self.schedule(at, Event::ChangeSubmitted { change: index as u32 });
        }
    }

    /// Simulated seconds since the beginning.
    pub fn now(&self) -> f64 {
        self.now
    }

    /// Schedules an event; one in the past happens now.
    pub(super) fn schedule(&mut self, at: f64, event: Event) {
        self.events.schedule(at.max(self.now), event);
    }

    /// Multiplies a mean by a random factor.
    pub(super) fn jittered(&mut self, mean: f64, jitter: Jitter) -> f64 {
        mean * (jitter.least + jitter.spread * self.rng.f64())
    }

    /// The zones cannot reach each other.
    pub(super) fn are_partitioned(&self, a: u16, b: u16) -> bool {
        a != b && (self.isolated_zones[a as usize] || self.isolated_zones[b as usize])
    }

    /// Draws the delay one way between machines of two zones, in seconds.
    pub(super) fn draw_network_delay(&mut self, a: u16, b: u16) -> f64 {
        let fleet = &self.scenario.fleet;
        let mean = if a == b { fleet.intra_zone_latency } else { fleet.inter_zone_latency };
        self.jittered(mean, NETWORK_JITTER)
    }
}

/// Warm hosts, spread evenly over the zones; their speeds differ at random.
fn new_hosts(fleet: &Fleet, rng: &mut Rng) -> Vec<Host> {
    let mut hosts = Vec::new();
    for index in 0..fleet.hosts {
        let zone = (index % u32::from(fleet.zones)) as u16;
        let speed = 1.0 + fleet.speed_spread * (2.0 * rng.f64() - 1.0);
        hosts.push(Host::new(zone, speed, LONG_AGO));
    }
    hosts
}

/// Milliseconds since 1970.
fn wall_clock_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
