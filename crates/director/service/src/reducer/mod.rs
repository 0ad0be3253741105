//! All state of the director, and all changes to it: `(now, event) -> effects`. The reducer reads no clock and does
//! no I/O; effects request it. The events up to an [`Event::EndOfBatch`] form one batch, which the decision logic
//! (called "the decisions" here) gets as a whole. Its orders are sent to the relay as one call.
//!
//! Times are seconds since the start of the director unless a name says otherwise.

mod collector_connections;
mod collector_reports;
mod configuration;
mod decision_timers;
mod decisions;
mod discovery_watch;
mod effect;
mod event;
mod forgotten_hosts;
mod health_checks;
mod ids;
mod message_fields;
mod operators;
mod outbox;
mod plausible_figures;
mod rate_limited_log;
mod relay_calls;
mod relay_lines;
mod relay_orders;
mod relay_subscription;
mod reload;
#[cfg(test)]
mod tests;

pub use configuration::ConfigError;
pub use effect::Effect;
pub use event::{Event, FileError, ProbeOutcome};
pub use ids::{AdminRequestId, ConnectionId, LinkId};

use crate::resource_limits::ResourceLimits;
use collector_connections::CollectorConnections;
use configuration::CheckedConfig;
use coppersail_capacity_guard::{GuardedDirector, Mode};
use coppersail_changes::{Record, RecordError};
use coppersail_operator_config::{OperatorFile, SettingsNames};
use coppersail_protocol::config::Config;
use coppersail_protocol::load::{HEALTH_PATH, LOAD_PATH};
use coppersail_settings::{decision_settings, known_names, Clock, Names};
use decision_timers::DecisionTimers;
use discovery_watch::DiscoveryWatch;
use forgotten_hosts::ForgottenHosts;
use message_fields::IdRanges;
use operators::{OperatorContext, Operators};
use outbox::Outbox;
use plausible_figures::PlausibleFigures;
use rate_limited_log::RateLimitedLog;
use relay_calls::RelayCalls;
use relay_subscription::RelaySubscription;

/// Why operators' changes cannot be enabled.
#[derive(Debug, thiserror::Error)]
pub enum OperatorChangesError {
    /// The configuration cannot be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The records of the history contradict each other.
    #[error(transparent)]
    History(#[from] RecordError),
}

/// The director without its I/O.
pub struct Reducer {
    director: GuardedDirector,
    names: Names,
    id_ranges: IdRanges,
    /// The decisions request the host list themselves, and are told when a watch fails.
    fetches_list: bool,
    health_check_path: &'static str,
    collectors: CollectorConnections,
    bad_lines_log: RateLimitedLog,
    plausible: PlausibleFigures,
    calls: RelayCalls,
    subscription: RelaySubscription,
    discovery: DiscoveryWatch,
    /// `None` while operators' changes are disabled.
    operators: Option<Operators>,
    settings_names: SettingsNames,
    forgotten: ForgottenHosts,
    timers: DecisionTimers,
    /// The decisions have been run once for a batch without inputs.
    decided_without_input: bool,
    /// Whether the relay's state was known at the end of the last batch.
    relay_state_known: bool,
    /// Names and digests of the configuration fields that take effect only at the start.
    fixed_at_start: [(&'static str, u64); 4],
    outbox: Outbox,
}

impl Reducer {
    /// Creates a director before its first event. `wall_ns` is the wall clock's time, in nanoseconds since the Unix
    /// epoch, at the moment from which all further times count.
    ///
    /// # Errors
    ///
    /// A field of the configuration cannot be used.
    pub fn new(config: &Config, wall_ns: u64) -> Result<Self, ConfigError> {
        let CheckedConfig { director_settings, known_hosts } = CheckedConfig::new(config)?;
        let settings = decision_settings(&director_settings);
        let has_load_reports =
            director_settings.general.report_columns.as_ref().is_some_and(|columns| !columns.0.is_empty());
        let bounds = ResourceLimits::from_config_limits(&config.limits);
        let mut reducer = Reducer {
            id_ranges: IdRanges { slices: settings.slice_count, proxies: settings.proxy_count },
            plausible: PlausibleFigures::new(&settings),
            fetches_list: !settings.host_list_is_pushed,
            director: GuardedDirector::plain(settings, config.seed),
            names: Names::new(&director_settings),
            health_check_path: if has_load_reports { LOAD_PATH } else { HEALTH_PATH },
            collectors: CollectorConnections::new(bounds.max_connections, bounds.max_buffered_bytes),
            bad_lines_log: RateLimitedLog::default(),
            calls: RelayCalls::new(config.relay),
            subscription: RelaySubscription::new(config.relay),
            discovery: DiscoveryWatch::new(Clock::starting_at(wall_ns), config.discovery),
            operators: None,
            settings_names: known_names(&director_settings),
            forgotten: ForgottenHosts::default(),
            timers: DecisionTimers::default(),
            decided_without_input: false,
            relay_state_known: false,
            fixed_at_start: config.restart_only_fields(),
            outbox: Outbox::default(),
        };
        if let Some(list) = known_hosts {
            let input = reducer.discovery.cached_list(&list, &mut reducer.names, &mut reducer.outbox);
            reducer.outbox.inputs.push(input);
        }
        Ok(reducer)
    }

    /// Returns the names in the settings, against which an operators' file is checked.
    pub fn settings_names(&self) -> &SettingsNames {
        &self.settings_names
    }

    /// Enables operators' changes, beginning with the records of the history, if there is one, and the operators'
    /// file. Must be called before the first event, with the `config` and `wall_ns` that were given to
    /// [`Reducer::new`].
    ///
    /// # Errors
    ///
    /// The configuration cannot be used, or the records of the history contradict each other.
    pub fn enable_operator_changes(
        &mut self,
        config: &Config,
        wall_ns: u64,
        operator_file: &OperatorFile,
        history: Option<Vec<Record>>,
    ) -> Result<Vec<Effect>, OperatorChangesError> {
        let settings = decision_settings(&CheckedConfig::new(config)?.director_settings);
        let mut operators = Operators::new(&config.name, &settings, self.settings_names.clone(), wall_ns);
        // The decisions have no state yet, so they can be replaced by ones with a capacity guard.
        self.director = GuardedDirector::new(settings, config.seed, Mode::Off);
        // So far the only known hosts are those of the list that is cached in the configuration.
        operators.observe(&self.outbox.inputs);
        self.operators = Some(operators);
        let mut started = Ok(());
        self.with_operators(|operators, context, outbox| {
            started = operators.start(operator_file, history, context, outbox);
        });
        started?;
        Ok(std::mem::take(&mut self.outbox.effects))
    }

    /// Calls `action` with the state that operators' changes need of the other parts, unless these changes are
    /// disabled.
    fn with_operators(&mut self, action: impl FnOnce(&mut Operators, &OperatorContext, &mut Outbox)) {
        if let Some(operators) = &mut self.operators {
            let context = OperatorContext {
                names: &self.names,
                relay_state: &self.subscription.reported,
                calls_idle: self.calls.is_idle(),
                director: &self.director,
            };
            action(operators, &context, &mut self.outbox);
        }
    }

    /// Handles one event at the time `now`, in seconds since the start, and returns the effects in the order in which
    /// they are to be performed.
    pub fn reduce(&mut self, now: f64, event: Event) -> Vec<Effect> {
        match event {
            Event::Accepted(conn) => self.collectors.accepted(now, conn, &mut self.outbox),
            Event::Received(conn, bytes) => self.bytes_received(now, conn, &bytes),
            Event::ConnectionClosed(conn) => self.collectors.ended(conn, &mut self.outbox),
            Event::RelayConnected(link) => self.relay_connected(now, link),
            Event::RelayLines(link, lines) => {
                for line in lines {
                    self.handle_relay_line(now, link, line);
                }
            }
            Event::RelayDisconnected(link, reason) if self.calls.owns(link) => {
                self.calls.connection_down(now, link, &reason, &mut self.outbox);
            }
            Event::RelayDisconnected(link, reason) => {
                self.subscription.connection_down(now, link, &reason, &mut self.outbox);
            }
            Event::WatchLines(link, lines) => {
                for line in lines {
                    let input =
                        self.discovery.handle_line(now, link, line, &mut self.names, &mut self.outbox);
                    self.outbox.inputs.extend(input);
                }
            }
            Event::WatchEnded(link, reason) => self.watch_down(now, link, &reason),
            Event::ProbeFinished { host, outcome, duration, body } => {
                self.health_check_ended(now, host, outcome, duration, &body)
            }
            Event::Reload(config) => self.reload(now, *config),
            Event::AdminRequest(..)
            | Event::ChangeLogged(_)
            | Event::ChangeLogFailed(..)
            | Event::OperatorFile(_) => {
                self.with_operators(|operators, context, outbox| {
                    operators.handle_event(now, event, context, outbox);
                });
            }
            Event::TimerFired => {}
            Event::EndOfBatch => self.finish_batch(now),
            Event::LogCounters => self.log_counters(),
            Event::Shutdown => {
                self.log_counters();
                self.outbox.effects.push(Effect::Exit);
            }
        }
        std::mem::take(&mut self.outbox.effects)
    }

    fn relay_connected(&mut self, now: f64, link: LinkId) {
        if self.calls.owns(link) {
            self.calls.connected(now, link);
        } else if self.subscription.owns(link) {
            self.subscription.connected(now, link, &mut self.outbox);
        } else {
            self.outbox.effects.push(Effect::CloseRelay(link));
        }
    }

    fn watch_down(&mut self, now: f64, link: LinkId, reason: &str) {
        if !self.discovery.owns(link) {
            return;
        }
        self.discovery.connection_down(now, link, reason, &mut self.outbox);
        if self.fetches_list {
            self.outbox.inputs.push(discovery_watch::list_failed());
        }
    }

    fn log_counters(&mut self) {
        self.outbox.counters.lines_may_wait = self.director.max_pending_lines() as u64;
        let counters = self.outbox.counters.log_line();
        self.outbox.info(counters);
    }
}
