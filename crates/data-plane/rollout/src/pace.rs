//! A plan's state, as the centre keeps it on two disks. Every change has the next number; edges take the highest.
use crate::judge::Verdict;
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
pub enum Order {
    Pause,
    Resume,
    Pass,
    Undo,
    End,
}

impl Order {
    /// ```
    /// use coppersail_rollout::pace::Order;
    /// assert_eq!(Order::named("undo"), Some(Order::Undo));
    /// ```
    pub fn named(name: &str) -> Option<Order> {
        let all = [
            ("pause", Order::Pause),
            ("resume", Order::Resume),
            ("pass", Order::Pass),
            ("undo", Order::Undo),
            ("end", Order::End),
        ];
        all.iter().find(|(n, _)| *n == name).map(|(_, o)| *o)
    }
}

/// A plan and how far it is.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Stand {
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

impl Stand {
    /// A new plan, or the next under the name of one that has ended.
    pub fn submit(name: &str, body: &str, before: Option<&Stand>) -> Result<Stand, String> {
        coppersail_config::rollout::parse(body).map_err(|fault| fault.to_string())?;
        match before {
            Some(old) if old.phase != Phase::Ended && old.body == body => Ok(old.clone()),
            Some(old) if old.phase != Phase::Ended => Err("a plan of that name is in force".into()),
            _ => {
                let number = before.map_or(0, |old| old.number) + 1;
                let why = "submitted".into();
                Ok(Stand {
                    name: name.into(),
                    number,
                    run: number,
                    why,
                    body: body.into(),
                    ..Stand::default()
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

    fn next(&self, ran: Ms, phase: Phase, step: usize, why: &str) -> Stand {
        let number = self.number + 1;
        Stand { number, phase, step, ran: self.ran + ran, why: why.into(), ..self.clone() }
    }

    /// An operator's order, `ran` after the last change. None: it stands like that already, as after an order that
    /// was sent twice.
    pub fn order(&self, ran: Ms, order: Order, why: &str) -> Result<Option<Stand>, &'static str> {
        let stopped = match self.plan().pause {
            Pause::Freeze => Phase::Frozen,
            Pause::Withdraw => Phase::Withdrawn,
        };
        Ok(match (order, self.phase) {
            (Order::End, Phase::Ended) => None,
            (_, Phase::Ended) => return Err("the plan has ended"),
            (Order::End, _) => Some(self.next(ran, Phase::Ended, self.step, why)),
            (Order::Undo, Phase::Withdrawn) => None,
            (Order::Undo, _) => Some(self.next(ran, Phase::Withdrawn, self.step, why)),
            (Order::Pause, Phase::Frozen | Phase::Withdrawn) => None,
            (Order::Pause, _) => Some(self.next(ran, stopped, self.step, why)),
            (Order::Resume, Phase::Running | Phase::Done) => None,
            // Whoever was withdrawn begins small again.
            (Order::Resume, phase) => {
                let step = if phase == Phase::Withdrawn { 0 } else { self.step };
                let next = self.next(ran, Phase::Running, step, why);
                Some(Stand { run: next.number, ran: 0, ..next })
            }
            (Order::Pass, Phase::Running) => Some(self.passed(ran, why)),
            (Order::Pass, Phase::Done) => None,
            (Order::Pass, _) => return Err("the plan is paused; resume it first"),
        })
    }

    fn passed(&self, ran: Ms, why: &str) -> Stand {
        match self.step + 1 < self.plan().steps.len() {
            true => self.next(ran, Phase::Running, self.step + 1, why),
            false => self.next(ran, Phase::Done, self.step, why),
        }
    }

    /// What time and the verdict make of it.
    pub fn tick(&self, plan: &RolloutPlan, now: Ms, since: Since, verdict: &Verdict) -> Option<Stand> {
        let ran = now.saturating_sub(since.0);
        let stop = |why: &str| self.order(ran, Order::Pause, why).ok().flatten();
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
