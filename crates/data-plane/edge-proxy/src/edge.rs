//! The state that all requests of this process share.
use crate::clock::Clock;
use crate::connection_pool::ConnectionPool;
pub use crate::request_counter::RequestCounter;
use crate::rollout::variants::RolloutVariants;
use crate::shutdown::{Lifecycle, Shutdown};
use coppersail_config::config::{ClientLimits, Routes};
use coppersail_config::{Config, ProcessSettings};
use coppersail_load_balancing::budget::{BudgetSettings, RetryBudget};
use coppersail_load_balancing::endpoint::drain_grace;
use coppersail_load_balancing::{EndpointRegistry, Ms, RegistryChanges};
use coppersail_peer_protocol::{ConfigDocument, Update};
use rustc_hash::FxHashMap;
use slog::{info, warn, Logger};
use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{watch, Notify};
use tokio::time::Instant;

/// The configuration in force, with its index of routes.
pub(crate) struct ConfigSnapshot {
    pub(crate) config: Config,
    pub(crate) routes: Routes,
}

/// The state of an edge proxy.
pub struct Edge {
    /// Where it logs to.
    pub log: Logger,
    clock: Clock,
    /// The settings of the process.
    pub settings: RefCell<Rc<ProcessSettings>>,
    config: RefCell<Option<Rc<ConfigSnapshot>>>,
    /// All endpoints that it knows.
    pub registry: Rc<RefCell<EndpointRegistry>>,
    pub(crate) pool: Rc<ConnectionPool>,
    retry_budgets: RefCell<FxHashMap<String, RetryBudget>>,
    pub(crate) random: RefCell<fastrand::Rng>,
    /// Wakes requests that wait for the owner of their key.
    pub(crate) updated: Notify,
    pub(crate) lifecycle: watch::Sender<Lifecycle>,
    pub(crate) shutdown: Shutdown,
    /// Requests by slice, for the control plane.
    pub request_counter: Arc<RequestCounter>,
    /// Session affinity; set at the start where the operators have a file for it.
    pub sessions: OnceCell<Rc<crate::sessions::Sessions>>,
    /// Open connections of clients.
    pub(crate) open_connections: Cell<usize>,
    /// Rollouts.
    pub rollouts: RolloutVariants,
    /// When all that a control-plane node has came for the first time.
    first_update_at: Cell<Option<Ms>>,
    ready: Cell<bool>,
}

impl Edge {
    /// An edge that knows no configuration and no endpoint yet.
    pub fn new(boot: ProcessSettings, log: Logger) -> Rc<Edge> {
        let seed =
            boot.ip_address.bytes().fold(7, |seed: u64, byte| seed.wrapping_mul(257) ^ u64::from(byte));
        let clock = Clock::start();
        let registry = Rc::new(RefCell::new(EndpointRegistry::new(&boot.zone)));
        Rc::new(Edge {
            log,
            clock,
            pool: ConnectionPool::new(clock, registry.clone()),
            registry,
            rollouts: RolloutVariants::new(&boot.ip_address, &boot.zone),
            settings: RefCell::new(Rc::new(boot)),
            config: RefCell::default(),
            retry_budgets: RefCell::default(),
            random: RefCell::new(fastrand::Rng::with_seed(seed)),
            updated: Notify::new(),
            lifecycle: watch::Sender::new(Lifecycle::Serving),
            shutdown: Shutdown::default(),
            request_counter: Arc::default(),
            sessions: OnceCell::new(),
            open_connections: Cell::new(0),
            first_update_at: Cell::new(None),
            ready: Cell::new(false),
        })
    }

    /// Milliseconds since the process started.
    pub fn now(&self) -> Ms {
        self.clock.now()
    }

    /// The instant of a time of [`Edge::now`].
    pub(crate) fn instant(&self, time: Ms) -> Instant {
        self.clock.instant(time)
    }

    /// The configuration in force, once there is one.
    pub(crate) fn config(&self) -> Option<Rc<ConfigSnapshot>> {
        self.config.borrow().clone()
    }

    /// How many connections of clients are open.
    pub fn open_connections(&self) -> usize {
        self.open_connections.get()
    }

    /// Limits on what clients send.
    pub(crate) fn caps(&self) -> ClientLimits {
        self.config
            .borrow()
            .as_ref()
            .map(|snapshot| snapshot.config.client_limits.clone())
            .unwrap_or_default()
    }

    /// Whether a shutdown has begun.
    pub(crate) fn is_shutting_down(&self) -> bool {
        *self.lifecycle.borrow() > Lifecycle::Serving
    }

    /// Applies an update of a control-plane node; `watch::candidates::Candidates::accept` has decided that the node may be believed.
    pub fn apply_update(&self, update: Update) {
        debug_assert!(!update.isolated, "a node without a majority is not believed");
        let now = self.now();
        if let Some(document) = &update.config {
            self.apply_config(document);
        }
        let changes = self.registry.borrow_mut().merge(&update, now);
        if !update.incomplete {
            self.first_update_at.set(self.first_update_at.get().or(Some(now)));
        }
        for endpoint in &changes.unusable {
            self.pool.close_idle(endpoint);
        }
        if self.rollouts.is_active() || !update.rollouts.is_empty() {
            self.apply_rollouts(&update);
        }
        self.updated.notify_waiters();
    }

    /// Puts a configuration in force if it is newer. One that cannot be parsed leaves the old one in force.
    fn apply_config(&self, document: &ConfigDocument) {
        let known = self.config.borrow().as_ref().map(|snapshot| snapshot.config.revision);
        if known.is_some_and(|known| document.revision <= known) {
            return;
        }
        match coppersail_config::config::parse(document.body.as_bytes()) {
            Ok(config) => {
                info!(self.log, "edge: configuration r{} in force", config.revision);
                let routes = Routes::new(&config);
                *self.config.borrow_mut() = Some(Rc::new(ConfigSnapshot { config, routes }));
            }
            Err(error) => warn!(self.log, "edge: configuration r{} left out: {error}", document.revision),
        }
    }

    /// Once a second: what only time changes.
    pub(crate) fn tick(&self) {
        self.queue_evidence();
        let mut changes = RegistryChanges::default();
        self.registry.borrow_mut().remove_expired(self.now(), &mut changes);
        changes.unusable.iter().for_each(|endpoint| self.pool.close_idle(endpoint));
        self.pool.close_expired(Instant::now());
    }

    /// Whether this edge can serve what clients may send. Once it can, silence of the control plane is no reason to send
    /// clients away: it serves by the last state that it knows.
    pub fn ready(&self) -> bool {
        if self.is_shutting_down() {
            return false;
        }
        if !self.ready.get() && self.can_serve_all_routes() {
            info!(self.log, "edge: ready");
            self.ready.set(true);
        }
        self.ready.get()
    }

    fn can_serve_all_routes(&self) -> bool {
        let Some(snapshot) = self.config() else { return false };
        let config = &snapshot.config;
        let is_routed = |name: &str| {
            let has_share = |(service, share): &(String, f64)| service == name && *share > 0.0;
            config.routes.iter().any(|route| route.weighted_services.iter().any(has_share))
        };
        let services = config.services.iter().map(|service| (service.name.as_str(), service.sharded));
        let known_for = self.first_update_at.get().map(|at| self.now().saturating_sub(at));
        self.registry.borrow().is_ready(services.filter(|(name, _)| is_routed(name)), known_for)
    }

    /// For how long (ms) a draining endpoint gets requests for keys that only it owns.
    pub(crate) fn drain_grace(&self) -> Ms {
        drain_grace(self.settings.borrow().limits.drain_time)
    }

    /// Counts a request in its service's retry budget.
    pub(crate) fn record_request(&self, service: &str, now: Ms) {
        self.with_retry_budget(service, |budget, settings| budget.deposit(settings, now));
    }

    /// Takes a retry from a service's budget, if there is one.
    pub(crate) fn withdraw_retry(&self, service: &str, now: Ms) -> bool {
        let edge_count = self.registry.borrow().edge_count;
        self.with_retry_budget(service, |budget, settings| budget.withdraw(settings, edge_count, now))
    }

    fn with_retry_budget<T>(
        &self,
        service: &str,
        act: impl FnOnce(&mut RetryBudget, &BudgetSettings) -> T,
    ) -> T {
        let settings = self.retry_budget_settings();
        let mut budgets = self.retry_budgets.borrow_mut();
        if !budgets.contains_key(service) {
            budgets.insert(service.into(), RetryBudget::default());
        }
        act(budgets.get_mut(service).expect("just inserted"), &settings)
    }

    fn retry_budget_settings(&self) -> BudgetSettings {
        let boot = self.settings.borrow();
        let limits = &boot.limits;
        let window_ms = limits.retry_window.as_millis() as Ms;
        BudgetSettings { ratio: limits.retry_ratio, window_ms, extra_retries: limits.extra_attempts }
    }

    /// Reads the settings again; bad ones leave the old in force.
    pub(crate) fn reload_settings(&self) {
        match ProcessSettings::read() {
            Ok(boot) => self.apply_settings(boot),
            Err(error) => warn!(self.log, "edge: settings left as they were: {error}"),
        }
    }

    fn apply_settings(&self, boot: ProcessSettings) {
        if **self.settings.borrow() != boot {
            info!(self.log, "edge: settings read again");
            *self.settings.borrow_mut() = Rc::new(boot);
        }
    }
}
