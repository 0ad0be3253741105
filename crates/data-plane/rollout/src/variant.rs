//! What an edge makes of plans.
use crate::lifecycle::{Phase, RolloutState};
use crate::{share, Ms};
use coppersail_config::rollout::{RolloutPlan, Version};

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Variant {
    New,
    Old,
}

/// One plan in force.
#[derive(Debug, Clone)]
pub struct ActiveRollout {
    pub name: String,
    pub number: u64,
    pub run: u64,
    pub plan: RolloutPlan,
    share: f64,
    phase: Phase,
    /// This edge has seen enough, before the fleet has.
    stopped: bool,
}

/// The version of a request, as one plan has it.
#[derive(Debug, Clone, PartialEq)]
pub struct VariantChoice {
    /// Which of the plans, by `Sides::get`.
    pub plan: usize,
    pub number: u64,
    pub side: Variant,
}

/// ```
/// use coppersail_rollout::{pace::Stand, Side, Sides};
/// let body = r#"{"service": "a", "from": {"revision": "1"}, "to": {"revision": "2"}, "steps": [{"share": 1}]}"#;
/// let mut sides = Sides::default();
/// sides.take(&Stand::submit("p", body, None).unwrap());
/// let side = |sides: &Sides, now| sides.choose(now, "a", "r", b"who").unwrap().side;
/// assert_eq!(side(&sides, 1000), Side::Old, "nothing shows yet that it is the newest");
/// sides.fresh(1000);
/// assert_eq!(side(&sides, 3400), Side::New);
/// assert_eq!(side(&sides, 3600), Side::Old, "the lease is over");
/// assert!(sides.choose(0, "b", "r", b"who").is_none());
/// ```
#[derive(Debug, Default)]
pub struct VariantSelector {
    all: Vec<ActiveRollout>,
    /// The latest time of which it is known that all plans here were the newest.
    fresh_at: Option<Ms>,
    /// Numbers of plans that have ended: late news must not bring them back.
    ended: Vec<(String, u64)>,
}

impl VariantSelector {
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    pub fn get(&self, at: usize) -> &ActiveRollout {
        &self.all[at]
    }

    pub fn all(&self) -> impl Iterator<Item = &ActiveRollout> {
        self.all.iter()
    }

    /// Takes a plan's state; an older one changes nothing.
    pub fn take(&mut self, stand: &RolloutState) -> bool {
        let known = self.all.iter().find(|l| l.name == stand.name).map(|l| l.number);
        let ended = self.ended.iter().find(|(name, _)| *name == stand.name).map(|(_, n)| *n);
        if known.max(ended).is_some_and(|n| n >= stand.number) {
            return false;
        }
        let before = self.all.iter().find(|l| l.name == stand.name && l.run == stand.run);
        let stopped = before.is_some_and(|l| l.stopped);
        self.all.retain(|l| l.name != stand.name);
        self.ended.retain(|(name, _)| *name != stand.name);
        match stand.share() {
            Some(share) => self.all.push(ActiveRollout {
                name: stand.name.clone(),
                number: stand.number,
                run: stand.run,
                plan: stand.plan(),
                share,
                phase: stand.phase,
                stopped,
            }),
            None => self.ended.push((stand.name.clone(), stand.number)),
        }
        true
    }

    /// The plans here are those that a primary in office had at this time.
    pub fn fresh(&mut self, at: Ms) {
        self.fresh_at = self.fresh_at.max(Some(at));
    }

    /// Hard evidence seen here: nothing more goes from this edge to the version, whatever the fleet makes of it.
    pub fn stop(&mut self, plan: &str, number: u64) {
        self.all.iter_mut().filter(|l| l.name == plan && l.run <= number).for_each(|l| l.stopped = true);
    }

    /// The version of a request; none where no plan speaks about it.
    pub fn choose(&self, now: Ms, service: &str, route: &str, member: &[u8]) -> Option<VariantChoice> {
        let about = |l: &ActiveRollout| {
            let to = matches!(&l.plan.to, Version::Backend(name) if name == service);
            (l.plan.service == service || to) && l.plan.covers(route)
        };
        let plan = self.all.iter().position(about)?;
        let live = &self.all[plan];
        // What is done has no sound version to fall back to.
        let done = live.phase == Phase::Done;
        let held = done || self.fresh_at.is_some_and(|at| now < at + live.plan.lease.as_millis() as Ms);
        let place = || share::place(&live.plan.service, &live.name, member);
        let new = held && !live.stopped && live.share > 0.0 && place() < live.share;
        Some(VariantChoice { plan, number: live.number, side: if new { Variant::New } else { Variant::Old } })
    }

    /// Whether the plan's versions are to be counted.
    pub fn counts(&self, at: usize) -> bool {
        self.all[at].share > 0.0 && self.all[at].phase != Phase::Withdrawn
    }
}
