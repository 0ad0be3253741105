//! What all requests of this process share.
use crate::conns::Pools;
use crate::steer::Steer;
use coppersail_config::config::Routes;
use coppersail_config::{Config, ProcessSettings};
use coppersail_load_balancing::budget::{self, RetryBudget};
use coppersail_load_balancing::{EndpointRegistry, Ms};
use coppersail_peer_protocol::{RequestCounts, Update};
use rustc_hash::FxHashMap;
use slog::{info, warn, Logger};
use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use tokio::sync::{watch, Notify};
use tokio::time::Instant;

/// The configuration in force.
pub struct Told {
    pub config: Config,
    pub routes: Routes,
}

/// How far the process is on its way out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd)]
pub enum Stay {
    Open,
    /// Connections are taken and closed after their answer.
    Leaving,
    /// Connections without a request are closed.
    Closing,
}

/// Requests by slice since the last poll, for the follower's thread to take.
#[derive(Debug, Default)]
pub struct Tallies(Mutex<FxHashMap<String, FxHashMap<u32, u32>>>);

impl Tallies {
    /// Slices that are counted between two polls; more tell nothing new within so short a time.
    const MOST: usize = 4096;

    pub fn count(&self, service: &str, slice: u32) {
        let mut counts = self.0.lock().expect("tallies");
        if !counts.contains_key(service) {
            counts.insert(service.into(), FxHashMap::default());
        }
        let counts = counts.get_mut(service).expect("just put in");
        if counts.len() < Self::MOST || counts.contains_key(&slice) {
            *counts.entry(slice).or_default() += 1;
        }
    }

    pub fn take(&self) -> Vec<RequestCounts> {
        let counts = std::mem::take(&mut *self.0.lock().expect("tallies"));
        let asked = counts.into_iter().map(|(backend, counts)| {
            let mut counts: Vec<(u32, u32)> = counts.into_iter().collect();
            counts.sort_unstable();
            RequestCounts { service: backend, counts }
        });
        asked.collect()
    }

    /// Back with what a failed poll had taken.
    pub fn put_back(&self, asked: Vec<RequestCounts>) {
        let mut counts = self.0.lock().expect("tallies");
        for RequestCounts { service: backend, counts: back } in asked {
            let counts = counts.entry(backend).or_default();
            for (slice, count) in back {
                if counts.len() < Self::MOST || counts.contains_key(&slice) {
                    *counts.entry(slice).or_default() += count;
                }
            }
        }
    }
}

pub struct Edge {
    pub log: Logger,
    start: Instant,
    pub boot: RefCell<Rc<ProcessSettings>>,
    pub told: RefCell<Option<Rc<Told>>>,
    pub book: RefCell<EndpointRegistry>,
    pub pools: RefCell<Pools>,
    budgets: RefCell<FxHashMap<String, RetryBudget>>,
    pub chance: RefCell<fastrand::Rng>,
    /// Wakes requests that wait for a key's holder.
    pub news: Notify,
    pub stay: watch::Sender<Stay>,
    pub tallies: Arc<Tallies>,
    /// Set at the start where the operators have a file for them.
    pub sessions: OnceCell<Rc<crate::sessions::Sessions>>,
    /// Connections of clients.
    pub open: Cell<usize>,
    pub steer: Steer,
    heard_at: Cell<Option<Ms>>,
    ready: Cell<bool>,
}

impl Edge {
    pub fn new(boot: ProcessSettings, log: Logger) -> Rc<Edge> {
        let seed = boot.ip.bytes().fold(7, |seed: u64, byte| seed.wrapping_mul(257) ^ u64::from(byte));
        Rc::new(Edge {
            log,
            start: Instant::now(),
            book: RefCell::new(EndpointRegistry::new(&boot.area)),
            steer: Steer::new(&boot.ip, &boot.area),
            boot: RefCell::new(Rc::new(boot)),
            told: RefCell::default(),
            pools: RefCell::default(),
            budgets: RefCell::default(),
            chance: RefCell::new(fastrand::Rng::with_seed(seed)),
            news: Notify::new(),
            stay: watch::Sender::new(Stay::Open),
            tallies: Arc::default(),
            sessions: OnceCell::new(),
            open: Cell::new(0),
            heard_at: Cell::new(None),
            ready: Cell::new(false),
        })
    }

    pub fn now(&self) -> Ms {
        self.start.elapsed().as_millis() as Ms
    }

    pub fn at(&self, ms: Ms) -> Instant {
        self.start + std::time::Duration::from_millis(ms)
    }

    pub fn told(&self) -> Option<Rc<Told>> {
        self.told.borrow().clone()
    }

    pub fn caps(&self) -> coppersail_config::config::Caps {
        self.told.borrow().as_ref().map(|told| told.config.caps.clone()).unwrap_or_default()
    }

    pub fn leaving(&self) -> bool {
        *self.stay.borrow() > Stay::Open
    }

    /// Takes what a centre told; that it may, `follow::Round::heed` has decided.
    pub fn take(&self, news: Update) {
        debug_assert!(!news.isolated, "a centre without a majority is not heeded");
        let now = self.now();
        if let Some(settings) = &news.config {
            let held = self.told.borrow().as_ref().map_or(0, |told| told.config.revision);
            if settings.revision > held || self.told.borrow().is_none() {
                match coppersail_config::config::parse(settings.body.as_bytes()) {
                    Ok(config) => {
                        info!(self.log, "edge: configuration r{} in force", config.revision);
                        let routes = Routes::new(&config);
                        *self.told.borrow_mut() = Some(Rc::new(Told { config, routes }));
                    }
                    Err(fault) => {
                        warn!(self.log, "edge: configuration r{} left out: {fault}", settings.revision)
                    }
                }
            }
        }
        let changed = self.book.borrow_mut().merge(&news, now);
        self.heard_at.set(self.heard_at.get().or(Some(now)));
        for ident in &changed.unusable {
            self.pools.borrow_mut().drop_idle(ident);
        }
        if self.steer.on() || !news.rollouts.is_empty() {
            self.take_plans(&news);
        }
        self.news.notify_waiters();
    }

    /// Once a second: what only time changes.
    pub fn tick(&self) {
        self.report();
        let mut changed = coppersail_load_balancing::RegistryChanges::default();
        self.book.borrow_mut().remove_expired(self.now(), &mut changed);
        let mut pools = self.pools.borrow_mut();
        changed.unusable.iter().for_each(|ident| pools.drop_idle(ident));
        pools.sweep(Instant::now());
    }

    /// Whether what this edge would do with a request is right.
    pub fn ready(&self) -> bool {
        if self.leaving() {
            return false;
        }
        if !self.ready.get() {
            let Some(told) = self.told() else { return false };
            let heard_for = self.heard_at.get().map(|at| self.now().saturating_sub(at));
            let services =
                told.config.services.iter().map(|service| (service.name.as_str(), service.split_up));
            let routed = |(name, _): &(&str, bool)| {
                let open = |(service, share): &(String, f64)| service == name && *share > 0.0;
                told.config.routes.iter().any(|route| route.shares.iter().any(open))
            };
            if self.book.borrow().is_ready(services.filter(routed), heard_for) {
                info!(self.log, "edge: ready");
                self.ready.set(true);
            }
        }
        // Once it is, silence of the centres is no reason to send clients away: the last that was good is served.
        self.ready.get()
    }

    /// For how long (ms) a draining endpoint gets requests for keys that only it owns.
    pub fn stays(&self) -> Ms {
        coppersail_load_balancing::endpoint::drain_grace(self.boot.borrow().limits.empty)
    }

    pub fn budget_terms(&self) -> budget::BudgetSettings {
        let boot = self.boot.borrow();
        let limits = &boot.limits;
        let window = limits.retry_window.as_millis() as Ms;
        budget::BudgetSettings {
            ratio: limits.retry_ratio,
            window_ms: window,
            extra_retries: limits.extra_tries,
        }
    }

    pub fn with_budget<T>(&self, service: &str, use_it: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = self.budgets.borrow_mut();
        if !budgets.contains_key(service) {
            budgets.insert(service.into(), RetryBudget::default());
        }
        use_it(budgets.get_mut(service).expect("just put in"))
    }

    /// Reads the settings again; bad ones leave the old in force.
    pub fn reload(&self) {
        match ProcessSettings::read() {
            Ok(boot) => self.retell(boot),
            Err(fault) => warn!(self.log, "edge: settings left as they were: {fault}"),
        }
    }

    pub fn retell(&self, boot: ProcessSettings) {
        if **self.boot.borrow() != boot {
            info!(self.log, "edge: settings read again");
            *self.boot.borrow_mut() = Rc::new(boot);
        }
    }
}
