//! Plans at a centre: what is queued and in force while it is primary, evidence on its way, and how old its knowledge
//! of plans is. No I/O; decisions are those of `coppersail-rollout`.
use crate::responses::Rejection;
use crate::rollout_views::{RolloutView, VariantView};
use crate::store::KeyValue;
use coppersail_config::Config;
use coppersail_consensus::Ms;
use coppersail_peer_protocol::{EndpointState, EndpointUpdate, RolloutsAsOf};
use coppersail_rollout::analysis::FleetCapacity;
use coppersail_rollout::lifecycle::{Phase, RolloutCommand, RolloutState, Since};
use coppersail_rollout::{EvidenceReport, RolloutAnalysis, RolloutPlan, Verdict, Version};
use std::collections::BTreeMap;

/// Reports that wait to be passed on. A primary that is away for longer asks for all of it again.
const MOST_REPORTS: usize = 4096;

struct Entry {
    /// As last queued: it is in force once it is on both disks.
    stand: RolloutState,
    plan: RolloutPlan,
    since: Since,
    judge: RolloutAnalysis,
    verdict: Verdict,
}

impl Entry {
    fn new(now: Ms, stand: RolloutState) -> Entry {
        let plan = stand.plan();
        let judge = RolloutAnalysis::new(&plan, stand.run);
        let mut entry =
            Entry { stand, plan, since: Since(now), judge, verdict: Verdict::Wait("nothing yet".into()) };
        entry.judge.step(entry.stand.step);
        entry
    }

    fn next(&mut self, now: Ms, next: RolloutState) -> KeyValue {
        if next.run != self.stand.run {
            *self = Entry::new(now, next);
        } else {
            (self.stand, self.since) = (next, Since(now));
            self.judge.step(self.stand.step);
        }
        put(&self.stand)
    }

    fn view(&self, now: Ms, name: &str) -> RolloutView {
        let (state, analysis) = (&self.stand, &self.judge);
        let verdict = match &self.verdict {
            Verdict::Wait(why) => format!("waits: {why}"),
            Verdict::Sound => "sound".into(),
            Verdict::Pause(why) => format!("bad: {why}"),
        };
        RolloutView {
            answers: analysis.counted(state.number),
            late_rows: analysis.late,
            name: name.into(),
            new: VariantView::new(&analysis.sums.new),
            next_in_ms: state.left(&self.plan, now, self.since),
            number: state.number,
            old: VariantView::new(&analysis.sums.old),
            phase: state.phase,
            plan: serde_json::from_str(&state.body).unwrap_or_default(),
            rows: analysis.rows_taken,
            share: state.share(),
            step: state.step + 1,
            steps: self.plan.steps.len(),
            verdict,
            why: state.why.clone(),
        }
    }

    fn live(&self) -> bool {
        self.stand.phase != Phase::Ended
    }
}

fn put(stand: &RolloutState) -> KeyValue {
    (format!("plan/{}", stand.name), serde_json::to_string(stand).unwrap_or_default())
}

/// A plan as it is on the disk.
pub fn read(put: &KeyValue) -> Option<RolloutState> {
    put.0.starts_with("plan/").then(|| serde_json::from_str(&put.1).ok()).flatten()
}

/// What a plan is told about hosts.
pub(crate) struct Hosts<'a> {
    pub(crate) all: &'a dyn Fn() -> Vec<EndpointUpdate>,
    /// Whether a host has died, for a loss that was told at a time.
    pub(crate) dead: &'a dyn Fn(&str, Ms) -> Option<bool>,
}

#[derive(Default)]
pub(crate) struct Rollouts {
    plans: BTreeMap<String, Entry>,
    relay: Vec<EvidenceReport>,
    /// Until when the plans here are known to be a primary's, and its epoch.
    heard: Option<(u64, Ms)>,
}

impl Rollouts {
    pub(crate) fn took_over<'a>(
        &mut self,
        now: Ms,
        held: impl Iterator<Item = (&'a String, &'a String)>,
    ) -> Vec<RolloutState> {
        let found = held.filter_map(|(name, value)| read(&(name.clone(), value.clone())));
        let found: Vec<RolloutState> = found.collect();
        self.plans = found.iter().map(|s| (s.name.clone(), Entry::new(now, s.clone()))).collect();
        found
    }

    pub(crate) fn step_down(&mut self) {
        self.plans.clear();
    }

    /// What another centre says about how new its plans are, asked for at a time.
    pub(crate) fn hear(&mut self, asked: Ms, seen: &Option<RolloutsAsOf>) {
        if let Some(seen) = seen {
            self.heard = self.heard.max(Some((seen.term, asked.saturating_sub(seen.age_ms))));
        }
    }

    /// How new the plans here are: of now where this centre is primary.
    pub(crate) fn seen(&self, now: Ms, epoch: Option<u64>) -> Option<RolloutsAsOf> {
        match (epoch, self.heard) {
            (Some(epoch), _) => Some(RolloutsAsOf { term: epoch, age_ms: 0 }),
            (None, Some((epoch, at))) => Some(RolloutsAsOf { term: epoch, age_ms: now.saturating_sub(at) }),
            (None, None) => None,
        }
    }

    /// Takes reports; where this centre does not act, they are kept to be passed on.
    pub(crate) fn take(&mut self, now: Ms, acts: bool, reports: &[EvidenceReport]) {
        if !acts {
            let room = MOST_REPORTS.saturating_sub(self.relay.len());
            self.relay.extend(reports.iter().take(room).cloned());
            return;
        }
        for report in reports {
            self.plans.iter_mut().filter(|(_, e)| e.live()).for_each(|(name, entry)| {
                entry.judge.take(now, name, report);
            });
        }
    }

    pub(crate) fn relay(&mut self) -> Vec<EvidenceReport> {
        std::mem::take(&mut self.relay)
    }

    pub(crate) fn put_back(&mut self, reports: Vec<EvidenceReport>) {
        self.take(0, false, &reports);
    }

    pub(crate) fn submit(
        &mut self,
        now: Ms,
        name: &str,
        body: &str,
        config: Option<&Config>,
    ) -> Result<Vec<KeyValue>, Rejection> {
        let sound = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if name.is_empty() || name.len() > 64 || !name.chars().all(sound) {
            return Err(Rejection::bad_request(format!(
                "name is \"{name}\", expected letters, digits and -_. of up to 64"
            )));
        }
        let plan = coppersail_config::rollout::parse(body).map_err(Rejection::bad_request)?;
        if let Some(config) = config {
            plan.fits(config).map_err(Rejection::bad_request)?;
        }
        let of = |p: &RolloutPlan| {
            let to = match &p.to {
                Version::Backend(to) => Some(to.clone()),
                Version::Revision(_) => None,
            };
            [Some(p.service.clone()), to]
        };
        let mine = of(&plan);
        let shares = |p: &RolloutPlan| of(p).iter().flatten().any(|s| mine.iter().flatten().any(|m| m == s));
        let other = self.plans.iter().find(|(n, e)| *n != name && e.live() && shares(&e.plan));
        if let Some((other, _)) = other {
            return Err(Rejection::conflict(format!("plan {other} moves the same service; end it first")));
        }
        let before = self.plans.get(name).map(|e| &e.stand);
        let stand = RolloutState::submit(name, body, before).map_err(Rejection::conflict)?;
        if before.is_some_and(|old| *old == stand) {
            return Ok(Vec::new());
        }
        let put = put(&stand);
        self.plans.insert(name.into(), Entry::new(now, stand));
        Ok(vec![put])
    }

    pub(crate) fn order(
        &mut self,
        now: Ms,
        name: &str,
        order: RolloutCommand,
    ) -> Result<Vec<KeyValue>, Rejection> {
        let entry =
            self.plans.get_mut(name).ok_or_else(|| Rejection::not_found(format!("no plan {name}")))?;
        let ran = now.saturating_sub(entry.since.0);
        let next = entry.stand.order(ran, order, "an operator's order").map_err(Rejection::conflict)?;
        Ok(next.map(|next| entry.next(now, next)).into_iter().collect())
    }

    /// What time, evidence and the configuration make of plans: changes to be written, and a line about each.
    pub(crate) fn tick(
        &mut self,
        now: Ms,
        config: Option<&Config>,
        hosts: &Hosts,
    ) -> Vec<(KeyValue, String)> {
        let mut all = Vec::new();
        for (name, entry) in self.plans.iter_mut().filter(|(_, e)| e.live()) {
            let ran = now.saturating_sub(entry.since.0);
            let unfit = config.and_then(|c| entry.plan.fits(c).err().map(|fault| (c, fault)));
            let next = if let Some((config, fault)) = unfit {
                let gone = config.service(&entry.plan.service).is_none();
                let order = if gone { RolloutCommand::End } else { RolloutCommand::Pause };
                entry.stand.order(ran, order, &fault.to_string()).ok().flatten()
            } else {
                let fleet = fleet(&entry.plan, &(hosts.all)());
                entry.verdict = entry.judge.judge(now, entry.stand.number, fleet, hosts.dead);
                entry.stand.tick(&entry.plan, now, entry.since, &entry.verdict)
            };
            if let Some(next) = next {
                let share = next.share().unwrap_or(0.0) * 100.0;
                let line = format!("Plan {name} is {:?} at {share}%: {}.", next.phase, next.why);
                all.push((entry.next(now, next), line));
            }
        }
        all
    }

    /// A rollout as operators see it.
    pub(crate) fn view(&self, now: Ms, name: &str) -> Option<RolloutView> {
        self.plans.get(name).map(|entry| entry.view(now, name))
    }

    pub(crate) fn views(&self, now: Ms) -> Vec<RolloutView> {
        self.plans.iter().map(|(name, entry)| entry.view(now, name)).collect()
    }
}

fn fleet(plan: &RolloutPlan, hosts: &[EndpointUpdate]) -> FleetCapacity {
    let mut fleet = FleetCapacity::default();
    for host in hosts.iter().filter(|h| h.state == EndpointState::Ready && !h.suspect) {
        let of = |version: &Version| match version {
            Version::Backend(name) => host.service == *name,
            Version::Revision(name) => host.service == plan.service && host.version == *name,
        };
        if of(&plan.to) {
            fleet.new_hosts += 1;
            fleet.new_slots += f64::from(host.capacity);
        } else if of(&plan.from) {
            fleet.old_slots += f64::from(host.capacity);
        }
    }
    fleet
}

#[cfg(test)]
mod tests;
