//! The state of an edge proxy, shared by all requests of the process.
use crate::clock::Clock;
use crate::connection_pool::ConnectionPool;
pub use crate::request_counter::RequestCounter;
use crate::rollout::variants::RolloutVariants;
use crate::shutdown::{Lifecycle, Shutdown};
use coppersail_config::config::{ClientLimits, Routes};
use coppersail_config::{Config, ProcessSettings};
use coppersail_load_balancing::budget::{BudgetSettings, RetryBudget};
use coppersail_load_balancing::endpoint::drain_grace;
use coppersail_load_balancing::{EndpointRegistry, Ms, RegistryChanges, UnusableEndpoint};
use coppersail_peer_protocol::{ConfigDocument, Update};
use rustc_hash::FxHashMap;
use slog::{info, warn, Logger};
use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{watch, Notify};
use tokio::time::Instant;

/// The current configuration, with its route index.
pub(crate) struct ConfigSnapshot {
    pub(crate) config: Config,
    pub(crate) routes: Routes,
}

/// The state of an edge proxy.
pub struct Edge {
    /// The logger of the process.
    pub log: Logger,
    clock: Clock,
    /// The settings of the process.
    pub settings: RefCell<Rc<ProcessSettings>>,
    config: RefCell<Option<Rc<ConfigSnapshot>>>,
    /// All known endpoints.
    pub registry: Rc<RefCell<EndpointRegistry>>,
    pub(crate) pool: Rc<ConnectionPool>,
    retry_budgets: RefCell<FxHashMap<String, RetryBudget>>,
    pub(crate) random: RefCell<fastrand::Rng>,
    /// Notified after each update; wakes requests that wait for the owner of their key.
    pub(crate) updated: Notify,
    pub(crate) lifecycle: watch::Sender<Lifecycle>,
    pub(crate) shutdown: Shutdown,
    /// Request counts by slice, which are reported to the control plane.
    pub request_counter: Arc<RequestCounter>,
    /// Session affinity; set at startup if a settings file for sessions is given.
    pub sessions: OnceCell<Rc<crate::sessions::Sessions>>,
    /// Number of open client connections.
    pub(crate) open_connections: Cell<usize>,
    /// Rollout state.
    pub rollouts: RolloutVariants,
    /// When the first complete update of a control-plane node arrived.
    first_update_at: Cell<Option<Ms>>,
    ready: Cell<bool>,
}

impl Edge {
    /// Creates an edge without a configuration and without endpoints.
    pub fn new(settings: ProcessSettings, log: Logger) -> Rc<Edge> {
        let seed =
            settings.ip_address.bytes().fold(7, |seed: u64, byte| seed.wrapping_mul(257) ^ u64::from(byte));
        let clock = Clock::start();
        let registry = Rc::new(RefCell::new(EndpointRegistry::new(&settings.zone)));
        Rc::new(Edge {
            log,
            clock,
            pool: ConnectionPool::new(clock, registry.clone()),
            registry,
            rollouts: RolloutVariants::new(&settings.ip_address, &settings.zone),
            settings: RefCell::new(Rc::new(settings)),
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

    /// Converts a time (ms) of [`Edge::now`] to an instant.
    pub(crate) fn instant(&self, time: Ms) -> Instant {
        self.clock.instant(time)
    }

    /// The current configuration, or `None` before the first one.
    pub(crate) fn config(&self) -> Option<Rc<ConfigSnapshot>> {
        self.config.borrow().clone()
    }

    /// The number of open client connections.
    pub fn open_connections(&self) -> usize {
        self.open_connections.get()
    }

    /// The limits on client requests and connections.
    pub(crate) fn client_limits(&self) -> ClientLimits {
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

    /// Applies an update of a control-plane node. `watch::candidates::Candidates::accept` has checked before
    /// that the node has a quorum.
    pub fn apply_update(&self, update: Update) {
        debug_assert!(!update.isolated, "an update from a node without a quorum must not be applied");
        let now = self.now();
        if let Some(document) = &update.config {
            self.apply_config(document);
        }
        let changes = self.registry.borrow_mut().merge(&update, now);
        if !update.incomplete {
            self.first_update_at.set(self.first_update_at.get().or(Some(now)));
        }
        self.release_unusable(&changes);
        if self.rollouts.is_active() || !update.rollouts.is_empty() {
            self.apply_rollouts(&update);
        }
        self.updated.notify_waiters();
    }

    /// Closes the idle connections to endpoints that became unusable, and logs why they did.
    fn release_unusable(&self, changes: &RegistryChanges) {
        for UnusableEndpoint { id, cause } in &changes.unusable {
            info!(self.log, "edge: endpoint {id} is unusable: {cause}");
            self.pool.close_idle(id);
        }
    }

    /// Applies a configuration if it is newer than the current one. If it cannot be parsed, the current one
    /// is kept.
    fn apply_config(&self, document: &ConfigDocument) {
        let known = self.config.borrow().as_ref().map(|snapshot| snapshot.config.revision);
        if known.is_some_and(|known| document.revision <= known) {
            return;
        }
        match coppersail_config::config::parse(document.body.as_bytes()) {
            Ok(config) => {
                info!(self.log, "edge: applied configuration r{}", config.revision);
                let routes = Routes::new(&config);
                *self.config.borrow_mut() = Some(Rc::new(ConfigSnapshot { config, routes }));
            }
            Err(error) => warn!(self.log, "edge: rejected configuration r{}: {error}", document.revision),
        }
    }

    /// Called once a second: queues rollout evidence and drops expired endpoints and idle connections.
    pub(crate) fn tick(&self) {
        self.queue_evidence();
        let mut changes = RegistryChanges::default();
        self.registry.borrow_mut().remove_expired(self.now(), &mut changes);
        self.release_unusable(&changes);
        self.pool.close_expired(Instant::now());
    }

    /// Whether this edge can serve client requests. Once it is ready, it stays ready until it shuts down: if
    /// the control plane becomes unavailable, it continues with the last known state.
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

    /// How long (ms) a draining endpoint still gets requests for the keys that it owns.
    pub(crate) fn drain_grace(&self) -> Ms {
        drain_grace(self.settings.borrow().limits.drain_time)
    }

    /// Counts a request in its service's retry budget.
    pub(crate) fn record_request(&self, service: &str, now: Ms) {
        self.with_retry_budget(service, |budget, settings| budget.deposit(settings, now));
    }

    /// Withdraws a retry from a service's budget and returns whether the budget allowed it.
    pub(crate) fn withdraw_retry(&self, service: &str, now: Ms) -> bool {
        let edge_count = self.registry.borrow().edge_count;
        self.with_retry_budget(service, |budget, settings| budget.withdraw(settings, edge_count, now))
    }

    fn with_retry_budget<T>(
        &self,
        service: &str,
        operation: impl FnOnce(&mut RetryBudget, &BudgetSettings) -> T,
    ) -> T {
        let settings = self.retry_budget_settings();
        let mut budgets = self.retry_budgets.borrow_mut();
        if !budgets.contains_key(service) {
            budgets.insert(service.into(), RetryBudget::default());
        }
        operation(budgets.get_mut(service).expect("just inserted"), &settings)
    }

    fn retry_budget_settings(&self) -> BudgetSettings {
        let settings = self.settings.borrow();
        let limits = &settings.limits;
        let window_ms = limits.retry_window.as_millis() as Ms;
        BudgetSettings { ratio: limits.retry_ratio, window_ms, extra_retries: limits.extra_attempts }
    }

    /// Reloads the settings file. If it is invalid, the current settings are kept.
    pub(crate) fn reload_settings(&self) {
        match ProcessSettings::read() {
            Ok(settings) => self.apply_settings(settings),
            Err(error) => {
                warn!(self.log, "edge: cannot reload the settings, keeping the current ones: {error}")
            }
        }
    }

    fn apply_settings(&self, settings: ProcessSettings) {
        if **self.settings.borrow() != settings {
            info!(self.log, "edge: settings reloaded");
            *self.settings.borrow_mut() = Rc::new(settings);
        }
    }
}
