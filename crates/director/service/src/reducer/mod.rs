//! All state of the director, and all changes to it: `(now, event) -> effects`. It reads no clock and does no I/O;
//! the effects ask for that. The events up to an [`Event::EndOfBatch`] are one batch: the decisions see it as a
//! whole, and their orders go to the relay as one call.
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
use coppersail_settings::{decision_settings, known_names as known_by, Clock, Names};
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

/// Why operators' changes cannot be taken.
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
    /// The decisions fetch the list of hosts themselves, and are told when a watch fails.
    fetches_list: bool,
    health_check_path: &'static str,
    collectors: CollectorConnections,
    bad_lines_log: RateLimitedLog,
    plausible: PlausibleFigures,
    calls: RelayCalls,
    subscription: RelaySubscription,
    discovery: DiscoveryWatch,
    /// None while operators' changes are off.
    operators: Option<Operators>,
    known: SettingsNames,
    forgotten: ForgottenHosts,
    timers: DecisionTimers,
    /// A batch without inputs has been decided on.
    decided_without_input: bool,
    /// The relay's state was known when last looked.
    relay_state_known: bool,
    /// Digests of the fields that a running director cannot change, by name.
    fixed_at_start: [(&'static str, u64); 4],
    outbox: Outbox,
}

impl Reducer {
    /// A director that has had no event yet. `wall_ns` is what the wall clock showed at the zero of all further
    /// times, in nanoseconds since the Unix epoch.
    ///
    /// # Errors
    ///
    /// A field of the configuration cannot be used.
    pub fn new(config: &Config, wall_ns: u64) -> Result<Self, ConfigError> {
        let CheckedConfig { boot, known_hosts } = CheckedConfig::new(config)?;
        let settings = decision_settings(&boot);
        let has_load_reports =
            boot.general.report_columns.as_ref().is_some_and(|columns| !columns.0.is_empty());
        let bounds = ResourceLimits::from_config_limits(&config.limits);
        let mut reducer = Reducer {
            id_ranges: IdRanges { slices: settings.slice_count, proxies: settings.proxy_count },
            plausible: PlausibleFigures::new(&settings),
            fetches_list: !settings.host_list_is_pushed,
            director: GuardedDirector::plain(settings, config.seed),
            names: Names::new(&boot),
            health_check_path: if has_load_reports { LOAD_PATH } else { HEALTH_PATH },
            collectors: CollectorConnections::new(bounds.max_connections, bounds.max_buffered_bytes),
            bad_lines_log: RateLimitedLog::default(),
            calls: RelayCalls::new(config.relay),
            subscription: RelaySubscription::new(config.relay),
            discovery: DiscoveryWatch::new(Clock::starting_at(wall_ns), config.discovery),
            operators: None,
            known: known_by(&boot),
            forgotten: ForgottenHosts::default(),
            timers: DecisionTimers::default(),
            decided_without_input: false,
            relay_state_known: false,
            fixed_at_start: config.restart_only_fields(),
            outbox: Outbox::default(),
        };
        if let Some(list) = known_hosts {
            let input = reducer.discovery.remembered_list(&list, &mut reducer.names, &mut reducer.outbox);
            reducer.outbox.inputs.push(input);
        }
        Ok(reducer)
    }

    /// The names in the settings, against which an operators' file is checked.
    pub fn settings_names(&self) -> &SettingsNames {
        &self.known
    }

    /// Takes operators' changes from now on, beginning with the records of their history, if one is kept, and their
    /// file. To be called before the first event; `config` and `wall_ns` are those given to [`Reducer::new`].
    ///
    /// # Errors
    ///
    /// The configuration cannot be used, or the records of the history contradict each other.
    pub fn enable_operator_changes(
        &mut self,
        config: &Config,
        wall_ns: u64,
        sheet: &OperatorFile,
        history: Option<Vec<Record>>,
    ) -> Result<Vec<Effect>, OperatorChangesError> {
        let settings = decision_settings(&CheckedConfig::new(config)?.boot);
        let mut operators = Operators::new(&config.name, &settings, self.known.clone(), wall_ns);
        // Nothing has been decided yet, so the decisions can begin anew with the guard.
        self.director = GuardedDirector::new(settings, config.seed, Mode::Off);
        // The list that the configuration remembers is all that is known of hosts yet.
        operators.observe(&self.outbox.inputs);
        self.operators = Some(operators);
        let mut started = Ok(());
        self.with_operators(|operators, context, outbox| {
            started = operators.start(sheet, history, context, outbox);
        });
        started?;
        Ok(std::mem::take(&mut self.outbox.effects))
    }

    /// Calls `act` with what operators' changes need of the other parts, unless these changes are off.
    fn with_operators(&mut self, act: impl FnOnce(&mut Operators, &OperatorContext, &mut Outbox)) {
        if let Some(operators) = &mut self.operators {
            let context = OperatorContext {
                names: &self.names,
                relay_state: &self.subscription.reported,
                calls_idle: self.calls.is_idle(),
                director: &self.director,
            };
            act(operators, &context, &mut self.outbox);
        }
    }

    /// Handles one event at the time `now`, in seconds since the start, and returns what is to be done in order.
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
        self.outbox.counters.lines_may_wait = self.director.may_wait() as u64;
        let counters = self.outbox.counters.log_line();
        self.outbox.info(counters);
    }
}
