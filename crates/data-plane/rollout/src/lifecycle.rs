//! A plan's state, as the centre keeps it on two disks. Every change has the next number; edges take the highest.
use crate::analysis::Verdict;
use crate::Ms;
use coppersail_config::rollout::{Pass, Pause, RolloutPlan};
use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    #[default]
    Running,
    /// The share stays as it is.
    Frozen,
    /// Nothing goes to the new version.
    Withdrawn,
    /// The last step has held.
    Done,
    /// The plan steers nothing any more.
    Ended,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RolloutCommand {
    Pause,
    Resume,
    Pass,
    Undo,
    End,
}

impl RolloutCommand {
    /// ```
    /// use coppersail_rollout::lifecycle::Order;
    /// assert_eq!(Order::named("undo"), Some(Order::Undo));
    /// ```
    pub fn named(name: &str) -> Option<RolloutCommand> {
        let all = [
            ("pause", RolloutCommand::Pause),
            ("resume", RolloutCommand::Resume),
            ("pass", RolloutCommand::Pass),
            ("undo", RolloutCommand::Undo),
            ("end", RolloutCommand::End),
        ];
        all.iter().find(|(n, _)| *n == name).map(|(_, o)| *o)
    }
}

/// A plan and how far it is.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RolloutState {
    pub name: String,
    pub number: u64,
    pub phase: Phase,
    pub step: usize,
    /// The number with which counting began anew: evidence of before says nothing.
    pub run: u64,
    /// For how long it has been in force, up to this change.
    pub ran: Ms,
    pub why: String,
    /// As the operator sent it.
    pub body: String,
}

/// When the present primary took the present state up. A new primary begins a step's least time anew: it can't know
/// how much of it has passed.
#[derive(Debug, Clone, Copy, Default)]
pub struct Since(pub Ms);

impl RolloutState {
    /// A new plan, or the next under the name of one that has ended.
    pub fn submit(name: &str, body: &str, before: Option<&RolloutState>) -> Result<RolloutState, String> {
        coppersail_config::rollout::parse(body).map_err(|fault| fault.to_string())?;
        match before {
            Some(old) if old.phase != Phase::Ended && old.body == body => Ok(old.clone()),
            Some(old) if old.phase != Phase::Ended => Err("a plan of that name is in force".into()),
            _ => {
                let number = before.map_or(0, |old| old.number) + 1;
                let why = "submitted".into();
                Ok(RolloutState {
                    name: name.into(),
                    number,
                    run: number,
                    why,
                    body: body.into(),
                    ..RolloutState::default()
                })
            }
        }
    }

    pub fn plan(&self) -> RolloutPlan {
        coppersail_config::rollout::parse(&self.body).unwrap_or_default()
    }

    /// The share of the new version; nothing where the plan does not steer.
    pub fn share(&self) -> Option<f64> {
        let at = |plan: RolloutPlan| plan.steps.get(self.step).map_or(0.0, |s| s.share);
        match self.phase {
            Phase::Running | Phase::Frozen | Phase::Done => Some(at(self.plan())),
            Phase::Withdrawn => Some(0.0),
            Phase::Ended => None,
        }
    }

    fn next(&self, ran: Ms, phase: Phase, step: usize, why: &str) -> RolloutState {
        let number = self.number + 1;
        RolloutState { number, phase, step, ran: self.ran + ran, why: why.into(), ..self.clone() }
    }

    /// An operator's order, `ran` after the last change. None: it stands like that already, as after an order that
    /// was sent twice.
    pub fn order(
        &self,
        ran: Ms,
        order: RolloutCommand,
        why: &str,
    ) -> Result<Option<RolloutState>, &'static str> {
        let stopped = match self.plan().pause {
            Pause::Freeze => Phase::Frozen,
            Pause::Withdraw => Phase::Withdrawn,
        };
        Ok(match (order, self.phase) {
            (RolloutCommand::End, Phase::Ended) => None,
            (_, Phase::Ended) => return Err("the plan has ended"),
            (RolloutCommand::End, _) => Some(self.next(ran, Phase::Ended, self.step, why)),
            (RolloutCommand::Undo, Phase::Withdrawn) => None,
            (RolloutCommand::Undo, _) => Some(self.next(ran, Phase::Withdrawn, self.step, why)),
            (RolloutCommand::Pause, Phase::Frozen | Phase::Withdrawn) => None,
            (RolloutCommand::Pause, _) => Some(self.next(ran, stopped, self.step, why)),
            (RolloutCommand::Resume, Phase::Running | Phase::Done) => None,
            // Whoever was withdrawn begins small again.
            (RolloutCommand::Resume, phase) => {
                let step = if phase == Phase::Withdrawn { 0 } else { self.step };
                let next = self.next(ran, Phase::Running, step, why);
                Some(RolloutState { run: next.number, ran: 0, ..next })
            }
            (RolloutCommand::Pass, Phase::Running) => Some(self.passed(ran, why)),
            (RolloutCommand::Pass, Phase::Done) => None,
            (RolloutCommand::Pass, _) => return Err("the plan is paused; resume it first"),
        })
    }

    fn passed(&self, ran: Ms, why: &str) -> RolloutState {
        match self.step + 1 < self.plan().steps.len() {
            true => self.next(ran, Phase::Running, self.step + 1, why),
            false => self.next(ran, Phase::Done, self.step, why),
        }
    }

    /// What time and the verdict make of it.
    pub fn tick(&self, plan: &RolloutPlan, now: Ms, since: Since, verdict: &Verdict) -> Option<RolloutState> {
        let ran = now.saturating_sub(since.0);
        let stop = |why: &str| self.order(ran, RolloutCommand::Pause, why).ok().flatten();
        match self.phase {
            Phase::Running | Phase::Frozen => {}
            // What comes out only after the last step still counts.
            Phase::Done => return if let Verdict::Pause(why) = verdict { stop(why) } else { None },
            _ => return None,
        }
        if let Verdict::Pause(why) = verdict {
            return stop(why);
        }
        if self.phase == Phase::Frozen {
            return None;
        }
        if (self.ran + ran) as u128 >= plan.ends.as_millis() {
            return stop("its time is over");
        }
        let step = plan.steps.get(self.step)?;
        let long = ran as u128 >= step.least.as_millis();
        match verdict {
            Verdict::Sound if long && step.pass == Pass::Itself => Some(self.passed(ran, "sound")),
            _ => None,
        }
    }

    /// Until the next step may be taken, as far as time decides.
    pub fn left(&self, plan: &RolloutPlan, now: Ms, since: Since) -> Option<Ms> {
        let step = plan.steps.get(self.step).filter(|_| self.phase == Phase::Running)?;
        Some((step.least.as_millis() as Ms).saturating_sub(now.saturating_sub(since.0)))
    }
}
