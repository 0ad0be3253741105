//! Connects operators' changes with the reducer: turns the configuration in force into overrides for the decisions,
//! passes the decisions' inputs to the analysis of trials as well, and carries out the effects of the change log. The
//! logic of changes and of their analysis is in `coppersail-changes` and `coppersail-change-analysis`.

mod commands;
mod effects;
mod overrides;
mod scope;
mod shutdowns;
mod submissions;
mod trials;

use super::effect::Effect;
use super::event::Event;
use super::ids::AdminRequestId;
use super::outbox::Outbox;
use super::relay_subscription::RelayState;
use coppersail::interface::{
    HostId, HostListEntry, HostState, Input, ListScope, OperatorOverrides, Settings, SliceId, ZoneId,
};
use coppersail_capacity_guard::{GuardedDirector, Mode};
use coppersail_change_analysis::ChangeAnalysis;
use coppersail_changes::{ChangeLog, HostPool, PoolHost, Record, RecordError, Version};
use coppersail_operator_config::{Field, GuardMode, OperatorFile, SettingsNames, Value};
use coppersail_settings::Names;
use std::collections::{BTreeMap, BTreeSet};

/// Interval between ticks of the change log, in seconds.
const TICK_S: f64 = 0.25;
const NANOSECONDS_PER_SECOND: f64 = 1e9;

/// A host in the list of discovery.
#[derive(Clone, Copy)]
struct ListedHost {
    is_ready: bool,
    /// When it was started, if that is known.
    started_at: Option<f64>,
    zone: ZoneId,
}

/// A change that was given to the decisions and whose orders are not complete and acknowledged yet.
struct ApplyingChange {
    version: Version,
    since: f64,
    /// When a weight was last ordered.
    last_order_at: f64,
    /// Slices in which the decisions have ordered weights since.
    slices: BTreeSet<SliceId>,
}

/// The state of other parts of the reducer that operators' changes need.
pub(super) struct OperatorContext<'a> {
    pub(super) names: &'a Names,
    pub(super) relay_state: &'a RelayState,
    /// No call to the relay is in flight or queued.
    pub(super) calls_idle: bool,
    pub(super) director: &'a GuardedDirector,
}

/// The change log, the analysis of trials, and their connection with the decisions.
pub(super) struct Operators {
    director_name: String,
    change_log: ChangeLog,
    analysis: ChangeAnalysis,
    known: SettingsNames,
    slow_start_s: f64,
    zone_count: usize,
    /// A history is kept on disk.
    is_durable: bool,
    /// The wall clock's time from which all times of the reducer count, in seconds since the Unix epoch.
    wall_start_s: f64,
    hosts: BTreeMap<HostId, ListedHost>,
    /// The overrides that the decisions were last given.
    sent_overrides: OperatorOverrides,
    /// The configuration in force has changed, or a host that it may name was listed.
    overrides_outdated: bool,
    /// Hosts that give up their slices because of an announced shutdown.
    shutting_down: BTreeSet<HostId>,
    /// When `shutting_down` next changes without a further event.
    next_shutdown_phase_at: f64,
    applying: Option<ApplyingChange>,
    /// Commands that are answered once their change is in the history.
    pending_answers: BTreeMap<Version, AdminRequestId>,
    next_tick_at: f64,
}

impl Operators {
    pub(super) fn new(name: &str, settings: &Settings, known: SettingsNames, wall_ns: u64) -> Self {
        let importance = settings.routes.iter().map(|route| route.value).collect();
        let slo = settings.routes.iter().map(|route| route.latency_target).fold(f64::INFINITY, f64::min);
        Operators {
            director_name: name.to_string(),
            change_log: ChangeLog::default(),
            analysis: ChangeAnalysis::new(settings.report_interval, importance, slo),
            known,
            slow_start_s: settings.slow_start_duration,
            zone_count: settings.zone_names.len(),
            is_durable: false,
            wall_start_s: wall_ns as f64 / NANOSECONDS_PER_SECOND,
            hosts: BTreeMap::new(),
            sent_overrides: OperatorOverrides::default(),
            overrides_outdated: true,
            shutting_down: BTreeSet::new(),
            next_shutdown_phase_at: f64::INFINITY,
            applying: None,
            pending_answers: BTreeMap::new(),
            next_tick_at: 0.0,
        }
    }

    /// Starts from the history, if there is one, or else from the file alone. Differences between the file and its
    /// last accepted content are submitted as a change.
    pub(super) fn start(
        &mut self,
        operator_file: &OperatorFile,
        history: Option<Vec<Record>>,
        context: &OperatorContext,
        outbox: &mut Outbox,
    ) -> Result<(), RecordError> {
        self.is_durable = history.is_some();
        if !self.is_durable {
            outbox.info(
                "operators: changes are kept in memory only and are lost when the director exits".to_string(),
            );
        }
        let records = history.unwrap_or_default();
        if records.is_empty() {
            let (change_log, record) = ChangeLog::create(operator_file.document.clone(), self.wall_start_s);
            self.change_log = change_log;
            outbox.effects.push(Effect::AppendToChangeLog(record));
            return Ok(());
        }
        outbox.info(format!("operators: {} records in the history", records.len()));
        self.change_log = ChangeLog::recover(records)?;
        let pool = self.host_pool(0.0, context);
        let effects = self.change_log.resume(0.0, self.wall_start_s, &pool);
        self.carry_out(0.0, effects, context, outbox);
        self.submit_file(0.0, Ok(operator_file.clone()), context, outbox);
        Ok(())
    }

    /// Handles an event that is about operators' changes; all others are ignored.
    pub(super) fn handle_event(
        &mut self,
        now: f64,
        event: Event,
        context: &OperatorContext,
        outbox: &mut Outbox,
    ) {
        match event {
            Event::AdminRequest(command, request) => {
                self.handle_command(now, command, *request, context, outbox)
            }
            Event::ChangeLogged(version) => self.record_written(now, version, context, outbox),
            Event::ChangeLogFailed(version, reason) => {
                self.record_failed(now, version, &reason, context, outbox);
            }
            Event::OperatorFile(operator_file) => self.submit_file(now, *operator_file, context, outbox),
            _ => {}
        }
    }

    /// Observes the inputs of the decisions.
    pub(super) fn observe(&mut self, inputs: &[Input]) {
        for input in inputs {
            match input {
                Input::SliceDemand { slice, route, requests: calls, dropped, .. } => {
                    self.analysis.report_calls(*slice, *route, *calls, *dropped);
                }
                Input::AttemptStats { host, attempts, dropped, mean_response_time, .. } => {
                    self.analysis.report_attempts(*host, *attempts, *dropped, *mean_response_time);
                }
                Input::HostListUpdate { scope, entries, .. } if *scope != ListScope::Failed => {
                    self.hosts_listed(*scope, entries);
                }
                Input::StoredWeight { .. } => self.overrides_outdated = true,
                _ => {}
            }
        }
    }

    fn hosts_listed(&mut self, scope: ListScope, entries: &[HostListEntry]) {
        if scope != ListScope::Delta {
            self.hosts.clear();
        }
        for entry in entries {
            if entry.state == HostState::Removed {
                self.hosts.remove(&entry.host);
                continue;
            }
            let is_ready = entry.state == HostState::Ready;
            let listed = ListedHost { is_ready, started_at: entry.started_at, zone: entry.zone };
            self.hosts.insert(entry.host, listed);
        }
        self.overrides_outdated = true;
    }

    /// The decisions have ordered a weight in this slice.
    pub(super) fn weight_ordered(&mut self, now: f64, slice: SliceId) {
        if let Some(applying) = &mut self.applying {
            applying.last_order_at = now;
            applying.slices.insert(slice);
        }
    }

    /// The mode that operators have set for the capacity guard.
    pub(super) fn guard_mode(&self) -> Mode {
        match self.change_log.document().get(&Field::Guard) {
            Some(Value::Guard(GuardMode::Watch)) => Mode::Watch,
            Some(Value::Guard(GuardMode::On)) => Mode::On,
            _ => Mode::Off,
        }
    }

    /// The wall clock's time in seconds since the Unix epoch.
    fn wall_time(&self, now: f64) -> f64 {
        self.wall_start_s + now
    }

    fn started_at(&self, host: HostId) -> Option<f64> {
        self.hosts.get(&host).and_then(|listed| listed.started_at)
    }

    /// The hosts, which the change log uses to check that enough of them stay in service.
    fn host_pool(&self, now: f64, context: &OperatorContext) -> HostPool {
        let guard_pool = (self.guard_mode() == Mode::On).then_some(context.director.guard().pool());
        let capacity = |host: &HostId| {
            let pool = guard_pool?;
            Some(
                pool.hosts.get(host)?.relative_capacity(now, &pool.capacity_model)
                    * pool.capacity_model.capacity?.low,
            )
        };
        let mut hosts = Vec::new();
        for (host, listed) in &self.hosts {
            let is_warm = listed.started_at.is_none_or(|started_at| now - started_at >= self.slow_start_s);
            let capacity_per_s = capacity(host).unwrap_or(f64::INFINITY);
            let name = context.names.host_name(*host).to_string();
            hosts.push((name, PoolHost { ready: listed.is_ready, warm: is_warm, capacity_per_s }));
        }
        HostPool { hosts: hosts.into_iter().collect(), calls: context.director.total_demand() }
    }

    /// Does what has become due, and returns the overrides for the decisions if they have changed.
    pub(super) fn poll(
        &mut self,
        now: f64,
        context: &OperatorContext,
        outbox: &mut Outbox,
    ) -> Option<OperatorOverrides> {
        self.poll_analysis(now, context, outbox);
        if !self.change_log.idle() && now >= self.next_tick_at {
            self.next_tick_at = now + TICK_S;
            self.tick(now, context, outbox);
        }
        self.update_announced_shutdowns(now, context, outbox);
        if !std::mem::take(&mut self.overrides_outdated) {
            return None;
        }
        let overrides = self.overrides(context.names);
        if overrides == self.sent_overrides {
            return None;
        }
        self.sent_overrides = overrides.clone();
        Some(overrides)
    }

    /// When `poll` next has something to do without a further event; infinity if never.
    pub(super) fn next_timeout(&self) -> f64 {
        let tick = if self.change_log.idle() { f64::INFINITY } else { self.next_tick_at };
        self.analysis.period_ends_at().min(tick).min(self.next_shutdown_phase_at)
    }
}
