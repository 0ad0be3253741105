//! Who writes the tables: the decision module, with or without the guard, or a baseline on the same interface. Baselines
//! are here to be compared with, and one sees the true state, which nobody can.

use crate::build::{self, Build};
use crate::live::Live;
use crate::platform::Platform;
use crate::reduced::Reduced;
use crate::Scenario;
use coppersail::interface::*;
use coppersail_capacity_guard::{Guarded, Mode};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

pub use crate::truth::{TrueHost, Truth};

#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(try_from = "String", into = "String")]
pub enum Kind {
    #[default]
    Module,
    Guarded,
    /// The module in all of the daemon but its I/O: the director's reducer.
    Reduced,
    /// The director's binary on loopback, in real time (`World::run_live` alone plays it).
    Live,
    /// An earlier build of ours on the simulator's wire, by the number that `build::number` gave its path.
    Build(u8),
    Even,
    /// Even weights, and each proxy takes of two drawn hosts the one that holds fewer of its own calls.
    PowerOfTwo,
    LeastLoaded,
    BoundedHashing,
    TrueState,
}

/// A name that no policy has.
#[derive(Debug, thiserror::Error)]
#[error("policy {name}: expected one of {}", Kind::ALL.map(|(known, _)| known).join(", "))]
pub struct UnknownPolicy {
    /// The name that was given.
    pub name: String,
}

impl Kind {
    pub const ALL: [(&'static str, Kind); 9] = [
        ("module", Kind::Module),
        ("guarded", Kind::Guarded),
        ("reduced", Kind::Reduced),
        ("live", Kind::Live),
        ("even", Kind::Even),
        ("power-of-two", Kind::PowerOfTwo),
        ("least-loaded", Kind::LeastLoaded),
        ("bounded-hashing", Kind::BoundedHashing),
        ("true-state", Kind::TrueState),
    ];

    /// The policy of that name; `build:PATH` is the build at that path.
    ///
    /// # Errors
    /// [`UnknownPolicy`]: no policy has the name.
    pub fn named(name: &str) -> Result<Kind, UnknownPolicy> {
        if let Some(path) = name.strip_prefix("build:") {
            return Ok(Kind::Build(build::number(std::path::Path::new(path))));
        }
        let found = Kind::ALL.iter().find(|(known, _)| *known == name).map(|(_, kind)| *kind);
        found.ok_or_else(|| UnknownPolicy { name: name.to_string() })
    }

    pub fn name(self) -> String {
        if let Kind::Build(number) = self {
            let path = build::path(number);
            return format!("build {}", path.file_name().unwrap_or_default().to_string_lossy());
        }
        Kind::ALL.iter().find(|(_, kind)| *kind == self).map_or("", |(name, _)| name).to_string()
    }
}

/// By name, and a build by its path: its number holds for one process only.
impl From<Kind> for String {
    fn from(kind: Kind) -> String {
        match kind {
            Kind::Build(number) => format!("build:{}", build::path(number).display()),
            kind => kind.name(),
        }
    }
}

impl TryFrom<String> for Kind {
    type Error = UnknownPolicy;
    fn try_from(name: String) -> Result<Kind, UnknownPolicy> {
        Kind::named(&name)
    }
}

pub enum Policy {
    Module(Box<Guarded>),
    Reduced(Box<Reduced>),
    Live(Box<Started>),
    Build(Box<Build>),
    Plain(Box<Plain>),
}

impl Policy {
    pub fn new(kind: Kind, settings: Settings, seed: u64, scenario: &Scenario, began_ms: u64) -> Policy {
        match kind {
            Kind::Module => Policy::Module(Box::new(Guarded::plain(settings, seed))),
            Kind::Guarded => Policy::Module(Box::new(Guarded::new(settings, seed, Mode::On))),
            Kind::Reduced | Kind::Live | Kind::Build(_) => {
                let routes = scenario.load.routes.iter().map(|route| route.name.clone()).collect();
                let platform = Platform { settings, routes, began_ms };
                if let Kind::Build(number) = kind {
                    let started = Build::start(&build::path(number), platform, seed);
                    // Without the program there is nothing to play.
                    return Policy::Build(Box::new(started.unwrap_or_else(|wrong| panic!("{wrong}"))));
                }
                if kind == Kind::Live {
                    return Policy::Live(Box::new(Started { platform: Some(platform), seed, live: None }));
                }
                Policy::Reduced(Box::new(Reduced::new(platform, seed, !scenario.changes.is_empty())))
            }
            kind => Policy::Plain(Box::new(Plain { kind, ..Plain::default() })),
        }
    }

    pub fn handle(&mut self, now: f64, inputs: &[Input], truth: &Truth) -> Vec<Order> {
        match self {
            Policy::Module(module) => module.handle(now, inputs),
            Policy::Reduced(reduced) => reduced.handle(now, inputs, truth),
            Policy::Build(build) => build.handle(now, inputs),
            Policy::Live(started) => started.handle(inputs, truth.store_down),
            Policy::Plain(plain) => plain.handle(now, inputs, truth),
        }
    }
}

/// The binary, once it has been told what stands.
pub struct Started {
    platform: Option<Platform>,
    seed: u64,
    pub live: Option<Live>,
}

impl Started {
    fn handle(&mut self, inputs: &[Input], down: bool) -> Vec<Order> {
        if let Some(platform) = self.platform.take() {
            // Without the program there is nothing to play; whoever asked for it is told at once.
            let started = Live::start(&director(), platform, self.seed, inputs);
            self.live = Some(started.unwrap_or_else(|wrong| panic!("{wrong}")));
        } else if let Some(live) = &mut self.live {
            live.hear(inputs, down);
        }
        // It orders when it likes.
        vec![]
    }
}

/// The director's binary: as told, or beside this program, or one folder up, where tests run.
pub fn director() -> std::path::PathBuf {
    if let Some(told) = std::env::var_os("COPPERSAIL_DIRECTOR") {
        return told.into();
    }
    let here = std::env::current_exe().unwrap_or_default();
    let beside = here.with_file_name("coppersail-director");
    match here.parent().and_then(std::path::Path::parent) {
        Some(up) if !beside.exists() => up.join("coppersail-director"),
        _ => beside,
    }
}

type Lines = BTreeMap<HostId, f64>;

/// The baselines: what they know, and tables as told.
#[derive(Default)]
pub struct Plain {
    kind: Kind,
    told: BTreeMap<SliceId, Lines>,
    ready: BTreeSet<HostId>,
    out: BTreeSet<HostId>,
    waiting: BTreeMap<HostId, f64>,
    next: f64,
    mark: u16,
}

/// Baselines look at their tables so often.
const PACE: f64 = 1.0;

fn mixed(a: u64, b: u64) -> u64 {
    let mut z = a.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ b.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 30)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

impl Plain {
    fn handle(&mut self, now: f64, inputs: &[Input], truth: &Truth) -> Vec<Order> {
        for input in inputs {
            match input {
                Input::Hosts { scope, entries, .. } if *scope != ListScope::Failed => {
                    if *scope != ListScope::Changes {
                        self.ready.clear();
                    }
                    for entry in entries {
                        _ = match entry.state {
                            HostState::Ready => self.ready.insert(entry.host),
                            _ => self.ready.remove(&entry.host),
                        };
                    }
                }
                Input::Given(slice) => _ = self.told.entry(*slice).or_default(),
                Input::StoredLine { slice, host, weight } => {
                    _ = self.told.entry(*slice).or_default().insert(*host, *weight);
                }
                Input::Tries { host, load, .. } => {
                    let busy = load.waiting.or(load.busy.map(|busy| 10.0 * busy)).unwrap_or(0.0);
                    let old = self.waiting.entry(*host).or_default();
                    *old = 0.5 * *old + 0.5 * busy;
                }
                _ => {}
            }
        }
        let mut orders = Vec::new();
        // All baselines shut out what the list drops, as the third rule is not theirs to break.
        let named: BTreeSet<HostId> = self.told.values().flat_map(|lines| lines.keys().copied()).collect();
        for host in named {
            let out = !self.ready.contains(&host);
            if out != self.out.contains(&host) {
                _ = if out { self.out.insert(host) } else { self.out.remove(&host) };
                orders.push(Order::Withdraw { host, out });
            }
        }
        if now >= self.next && !self.told.is_empty() && !self.ready.is_empty() {
            self.next = now + PACE;
            let wanted = self.wanted(truth);
            for (slice, lines) in wanted {
                let told = self.told.entry(slice).or_default();
                let line = |host: &HostId, weight| Order::Line { slice, host: *host, weight };
                let alike =
                    |old: Option<&f64>, new: f64| old.is_some_and(|old| (0.8..=1.25).contains(&(old / new)));
                orders
                    .extend(lines.iter().filter(|(h, w)| !alike(told.get(h), **w)).map(|(h, w)| line(h, *w)));
                orders
                    .extend(told.keys().filter(|host| !lines.contains_key(host)).map(|host| line(host, 0.0)));
                *told = lines;
            }
        }
        if !orders.is_empty() {
            self.mark = self.mark.wrapping_add(1);
            orders.push(Order::Mark { mark: MarkId(self.mark), all: false });
        }
        orders.push(Order::WakeAt { wake: WakeId(1), at: self.next.max(now + 0.1) });
        orders
    }

    fn wanted(&self, truth: &Truth) -> BTreeMap<SliceId, Lines> {
        let ready: Vec<HostId> = self.ready.iter().copied().collect();
        match self.kind {
            Kind::LeastLoaded => {
                let weight = |host: &HostId| 1.0 / (1.0 + self.waiting.get(host).copied().unwrap_or(0.0));
                let lines: Lines = ready.iter().map(|host| (*host, weight(host))).collect();
                self.told.keys().map(|slice| (*slice, lines.clone())).collect()
            }
            Kind::BoundedHashing => self.hashed(&ready),
            Kind::TrueState => self.knowing(truth),
            _ => {
                let lines: Lines = ready.iter().map(|host| (*host, 1.0)).collect();
                self.told.keys().map(|slice| (*slice, lines.clone())).collect()
            }
        }
    }

    /// Each slice goes to the host that its hash likes best and that has not its fill: 1.25 times the mean count.
    fn hashed(&self, ready: &[HostId]) -> BTreeMap<SliceId, Lines> {
        let most = (1.25 * self.told.len() as f64 / ready.len() as f64).ceil() as usize;
        let mut held: BTreeMap<HostId, usize> = BTreeMap::new();
        let mut tables = BTreeMap::new();
        for slice in self.told.keys() {
            let mut liked: Vec<HostId> = ready.to_vec();
            liked.sort_by_key(|host| mixed(slice.0.into(), host.0.into()));
            let owner =
                liked.iter().find(|host| held.get(host).copied().unwrap_or(0) < most).unwrap_or(&liked[0]);
            *held.entry(*owner).or_default() += 1;
            let standby = liked.iter().find(|host| *host != owner);
            let lines = [Some((*owner, 1.0)), standby.map(|host| (*host, 0.1))];
            tables.insert(*slice, lines.into_iter().flatten().collect());
        }
        tables
    }

    /// Sees who answers, what each host does now and what each slice is asked: the heaviest first, each to whom it fills
    /// least, and where it stands already if that costs little.
    fn knowing(&self, truth: &Truth) -> BTreeMap<SliceId, Lines> {
        let open =
            |host: &&HostId| truth.hosts.get(host.0 as usize).is_some_and(|t| t.answers && t.does > 0.0);
        let open: Vec<HostId> = self.ready.iter().filter(open).copied().collect();
        if open.is_empty() {
            return BTreeMap::new();
        }
        let calls = |slice: &SliceId| truth.slices.get(slice.0 as usize).copied().unwrap_or(0.0) + 1e-3;
        let mut slices: Vec<SliceId> = self.told.keys().copied().collect();
        slices.sort_by(|a, b| calls(b).total_cmp(&calls(a)));
        let mut load: BTreeMap<HostId, f64> = BTreeMap::new();
        // What waits at a host is as good as two seconds of calls.
        open.iter().for_each(|host| _ = load.insert(*host, truth.hosts[host.0 as usize].holds / 2.0));
        let mut tables = BTreeMap::new();
        for slice in slices {
            let full =
                |host: &HostId| (load[host] + calls(&slice)) / truth.hosts[host.0 as usize].does.max(1e-6);
            let now = self.told[&slice].iter().max_by(|a, b| a.1.total_cmp(b.1)).map(|(host, _)| *host);
            let mut by: Vec<HostId> = open.clone();
            by.sort_by(|a, b| full(a).total_cmp(&full(b)));
            let stays = now.filter(|host| open.contains(host) && full(host) <= 1.2 * full(&by[0]));
            let owner = stays.unwrap_or(by[0]);
            let standby = by.iter().find(|host| **host != owner).copied();
            *load.entry(owner).or_default() += calls(&slice);
            let lines = [Some((owner, 1.0)), standby.map(|host| (host, 0.1))];
            tables.insert(slice, lines.into_iter().flatten().collect());
        }
        tables
    }
}
