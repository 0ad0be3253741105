//! The rollouts of this member: their states while it is the leader, evidence that has to be forwarded to the
//! leader, and how current its knowledge of rollouts is. No I/O; `coppersail-rollout` makes the decisions.
use crate::responses::Rejection;
use crate::rollout_views::{RolloutView, VariantView};
use crate::store::KeyValue;
use coppersail_config::Config;
use coppersail_consensus::Ms;
use coppersail_peer_protocol::{EndpointState, EndpointUpdate, RolloutsAsOf};
use coppersail_rollout::analysis::FleetCapacity;
use coppersail_rollout::lifecycle::{AppliedAt, Phase, RolloutCommand, RolloutState};
use coppersail_rollout::{EvidenceReport, RolloutAnalysis, RolloutPlan, Verdict, Version};
use std::collections::BTreeMap;

/// The prefix of the keys of rollouts in the replicated state; the name follows it.
const ROLLOUT_KEY_PREFIX: &str = "plan/";
/// The number of reports that are kept for the leader. After a longer absence of the leader, all of them are
/// requested again.
const MAX_UNFORWARDED_REPORTS: usize = 4096;
const MAX_NAME_LENGTH: usize = 64;

/// The write that stores this state of a rollout.
fn write_of(state: &RolloutState) -> KeyValue {
    let value = serde_json::to_string(state).unwrap_or_default();
    (format!("{ROLLOUT_KEY_PREFIX}{}", state.name), value)
}

/// The state of a rollout in an entry of the replicated state, if it is one.
pub fn state_of_entry((key, value): &KeyValue) -> Option<RolloutState> {
    if !key.starts_with(ROLLOUT_KEY_PREFIX) {
        return None;
    }
    serde_json::from_str(value).ok()
}

/// Information about endpoints that rollouts need.
pub(crate) struct Endpoints<'a> {
    pub(crate) all: &'a dyn Fn() -> Vec<EndpointUpdate>,
    /// Whether an endpoint has failed since a request to it was lost at that time; `None` while that is not
    /// known.
    pub(crate) has_failed_since: &'a dyn Fn(&str, Ms) -> Option<bool>,
}

/// A change of a rollout's state.
pub(crate) struct RolloutChange {
    pub(crate) write: KeyValue,
    pub(crate) log_line: String,
}

struct Rollout {
    /// The state as last proposed; it is in force once it is committed.
    state: RolloutState,
    plan: RolloutPlan,
    since: AppliedAt,
    analysis: RolloutAnalysis,
    verdict: Verdict,
}

impl Rollout {
    fn new(now: Ms, state: RolloutState) -> Rollout {
        let plan = state.plan();
        let mut analysis = RolloutAnalysis::new(&plan, state.run);
        analysis.set_step(state.step);
        Rollout { state, plan, since: AppliedAt(now), analysis, verdict: Verdict::Wait("nothing yet".into()) }
    }

    fn is_active(&self) -> bool {
        self.state.phase != Phase::Ended
    }

    /// Changes to the next state; returns the write to propose. A new run starts with a new analysis.
    fn change_state(&mut self, now: Ms, next: RolloutState) -> KeyValue {
        if next.run != self.state.run {
            *self = Rollout::new(now, next);
        } else {
            (self.state, self.since) = (next, AppliedAt(now));
            self.analysis.set_step(self.state.step);
        }
        write_of(&self.state)
    }

    /// The next state by time, evidence and configuration, if one is due. A rollout that no longer fits the
    /// configuration is paused, or ended if its service is gone.
    fn next_state(
        &mut self,
        now: Ms,
        config: Option<&Config>,
        endpoints: &Endpoints,
    ) -> Option<RolloutState> {
        let misfit = config.and_then(|config| Some((config, self.plan.fits(config).err()?)));
        if let Some((config, error)) = misfit {
            let service_is_gone = config.service(&self.plan.service).is_none();
            let command = if service_is_gone { RolloutCommand::End } else { RolloutCommand::Pause };
            let elapsed = now.saturating_sub(self.since.0);
            return self.state.apply_command(elapsed, command, &error.to_string()).ok().flatten();
        }
        let capacity = fleet_capacity(&self.plan, &(endpoints.all)());
        self.verdict = self.analysis.evaluate(now, self.state.number, capacity, endpoints.has_failed_since);
        self.state.tick(&self.plan, now, self.since, &self.verdict)
    }

    fn view(&self, now: Ms, name: &str) -> RolloutView {
        let (state, analysis) = (&self.state, &self.analysis);
        let verdict = match &self.verdict {
            Verdict::Wait(why) => format!("waits: {why}"),
            Verdict::Healthy => "sound".into(),
            Verdict::Pause(why) => format!("bad: {why}"),
        };
        RolloutView {
            answers: analysis.answers(state.number),
            late_rows: analysis.late_rows,
            name: name.into(),
            new: VariantView::new(&analysis.sums.new),
            next_in_ms: state.remaining_ms(&self.plan, now, self.since),
            number: state.number,
            old: VariantView::new(&analysis.sums.control),
            phase: state.phase,
            plan: serde_json::from_str(&state.body).unwrap_or_default(),
            rows: analysis.rows_received,
            share: state.share(),
            step: state.step + 1,
            steps: self.plan.steps.len(),
            verdict,
            why: state.reason.clone(),
        }
    }
}

#[derive(Default)]
pub(crate) struct Rollouts {
    /// Known only to the leader.
    rollouts: BTreeMap<String, Rollout>,
    unforwarded_reports: Vec<EvidenceReport>,
    /// The term of the leader whose rollouts the change feed has, and the time at which they were current.
    known_as_of: Option<(u64, Ms)>,
}

impl Rollouts {
    /// Loads the rollouts of a new leader from the replicated state; returns their states.
    pub(crate) fn recover<'a>(
        &mut self,
        now: Ms,
        state: impl Iterator<Item = (&'a String, &'a String)>,
    ) -> Vec<RolloutState> {
        let states: Vec<RolloutState> =
            state.filter_map(|(key, value)| state_of_entry(&(key.clone(), value.clone()))).collect();
        self.rollouts = states.iter().map(|s| (s.name.clone(), Rollout::new(now, s.clone()))).collect();
        states
    }

    pub(crate) fn step_down(&mut self) {
        self.rollouts.clear();
    }

    /// Records how current another member's rollouts are, from its answer to a request that was sent at
    /// `requested_at`.
    pub(crate) fn record_as_of(&mut self, requested_at: Ms, theirs: &Option<RolloutsAsOf>) {
        if let Some(theirs) = theirs {
            let as_of = requested_at.saturating_sub(theirs.age_ms);
            self.known_as_of = self.known_as_of.max(Some((theirs.term, as_of)));
        }
    }

    /// How current the rollouts of the change feed are. `term` is the term of this member, if it holds the
    /// leader lease.
    pub(crate) fn as_of(&self, now: Ms, term: Option<u64>) -> Option<RolloutsAsOf> {
        if let Some(term) = term {
            return Some(RolloutsAsOf { term, age_ms: 0 });
        }
        let (term, as_of) = self.known_as_of?;
        Some(RolloutsAsOf { term, age_ms: now.saturating_sub(as_of) })
    }

    /// Records evidence of edges: the leader analyses it, other members keep it for the leader.
    pub(crate) fn record_reports(&mut self, now: Ms, is_leader: bool, reports: &[EvidenceReport]) {
        if !is_leader {
            return self.keep_for_leader(reports);
        }
        for report in reports {
            for (name, rollout) in self.rollouts.iter_mut().filter(|(_, r)| r.is_active()) {
                rollout.analysis.ingest(now, name, report);
            }
        }
    }

    /// Keeps reports for the leader, up to [`MAX_UNFORWARDED_REPORTS`].
    pub(crate) fn keep_for_leader(&mut self, reports: &[EvidenceReport]) {
        let room = MAX_UNFORWARDED_REPORTS.saturating_sub(self.unforwarded_reports.len());
        self.unforwarded_reports.extend(reports.iter().take(room).cloned());
    }

    pub(crate) fn take_unforwarded_reports(&mut self) -> Vec<EvidenceReport> {
        std::mem::take(&mut self.unforwarded_reports)
    }

    /// Submits a plan of an operator; returns the writes to propose. The same plan again changes nothing.
    pub(crate) fn submit(
        &mut self,
        now: Ms,
        name: &str,
        body: &str,
        config: Option<&Config>,
    ) -> Result<Vec<KeyValue>, Rejection> {
        check_name(name)?;
        let plan = coppersail_config::rollout::parse(body).map_err(Rejection::bad_request)?;
        if let Some(config) = config {
            plan.fits(config).map_err(Rejection::bad_request)?;
        }
        self.check_services_are_free(name, &plan)?;
        let previous = self.rollouts.get(name).map(|rollout| &rollout.state);
        let state = RolloutState::submit(name, body, previous).map_err(Rejection::conflict)?;
        if previous.is_some_and(|previous| *previous == state) {
            return Ok(Vec::new());
        }
        let write = write_of(&state);
        self.rollouts.insert(name.into(), Rollout::new(now, state));
        Ok(vec![write])
    }

    /// Two rollouts must not shift the traffic of one service.
    fn check_services_are_free(&self, name: &str, plan: &RolloutPlan) -> Result<(), Rejection> {
        let mine = services(plan);
        let overlaps =
            |other: &RolloutPlan| services(other).any(|service| mine.clone().any(|m| m == service));
        let others = self.rollouts.iter().filter(|(other, _)| *other != name);
        match others.filter(|(_, rollout)| rollout.is_active()).find(|(_, r)| overlaps(&r.plan)) {
            Some((other, _)) => {
                Err(Rejection::conflict(format!("plan {other} moves the same service; end it first")))
            }
            None => Ok(()),
        }
    }

    /// Applies a command of an operator; returns the writes to propose.
    pub(crate) fn apply_command(
        &mut self,
        now: Ms,
        name: &str,
        command: RolloutCommand,
    ) -> Result<Vec<KeyValue>, Rejection> {
        let unknown = || Rejection::not_found(format!("no plan {name}"));
        let rollout = self.rollouts.get_mut(name).ok_or_else(unknown)?;
        let elapsed = now.saturating_sub(rollout.since.0);
        let next = rollout.state.apply_command(elapsed, command, "an operator's order");
        let next = next.map_err(Rejection::conflict)?;
        Ok(next.map(|next| rollout.change_state(now, next)).into_iter().collect())
    }

    /// Advances all rollouts by time, evidence and configuration; returns their changes.
    pub(crate) fn advance(
        &mut self,
        now: Ms,
        config: Option<&Config>,
        endpoints: &Endpoints,
    ) -> Vec<RolloutChange> {
        let mut changes = Vec::new();
        for (name, rollout) in self.rollouts.iter_mut().filter(|(_, r)| r.is_active()) {
            let Some(next) = rollout.next_state(now, config, endpoints) else { continue };
            let percent = next.share().unwrap_or(0.0) * 100.0;
            let log_line = format!("Plan {name} is {:?} at {percent}%: {}.", next.phase, next.reason);
            changes.push(RolloutChange { write: rollout.change_state(now, next), log_line });
        }
        changes
    }

    /// A rollout as operators see it.
    pub(crate) fn view(&self, now: Ms, name: &str) -> Option<RolloutView> {
        self.rollouts.get(name).map(|rollout| rollout.view(now, name))
    }

    pub(crate) fn views(&self, now: Ms) -> Vec<RolloutView> {
        self.rollouts.iter().map(|(name, rollout)| rollout.view(now, name)).collect()
    }
}

fn check_name(name: &str) -> Result<(), Rejection> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if name.is_empty() || name.len() > MAX_NAME_LENGTH || !name.chars().all(is_allowed) {
        let expected = format!("expected letters, digits and -_. of up to {MAX_NAME_LENGTH}");
        return Err(Rejection::bad_request(format!("name is \"{name}\", {expected}")));
    }
    Ok(())
}

/// The services whose traffic a plan shifts.
fn services(plan: &RolloutPlan) -> impl Iterator<Item = &String> + Clone {
    let to = match &plan.to {
        Version::Backend(to) => Some(to),
        Version::Revision(_) => None,
    };
    std::iter::once(&plan.service).chain(to)
}

/// The capacity of each version in endpoints that accept requests.
fn fleet_capacity(plan: &RolloutPlan, endpoints: &[EndpointUpdate]) -> FleetCapacity {
    let mut capacity = FleetCapacity::default();
    for endpoint in endpoints.iter().filter(|e| e.state == EndpointState::Ready && !e.suspect) {
        let is_of = |version: &Version| match version {
            Version::Backend(name) => endpoint.service == *name,
            Version::Revision(name) => endpoint.service == plan.service && endpoint.version == *name,
        };
        if is_of(&plan.to) {
            capacity.new_hosts += 1;
            capacity.new_slots += f64::from(endpoint.capacity);
        } else if is_of(&plan.from) {
            capacity.control_slots += f64::from(endpoint.capacity);
        }
    }
    capacity
}

#[cfg(test)]
mod tests;
