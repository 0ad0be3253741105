//! A rollout's state at the control plane, which keeps it on two disks: its phase, its step, and the commands that
//! change them. Each change has the next number; whoever knows several keeps the highest.
use crate::verdict::Verdict;
use crate::Ms;
use coppersail_config::rollout::{PauseAction, RolloutPlan, Step, StepApproval};
use coppersail_config::FieldError;
use serde::{Deserialize, Serialize};

const REASON_SUBMITTED: &str = "submitted";
const REASON_SOUND: &str = "sound";
const REASON_EXPIRED: &str = "its time is over";

/// How a rollout stands. The `Debug` names stand in log lines, the lower-case ones in stored data and on the wire.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// It advances by its steps.
    #[default]
    Running,
    /// Paused; the share stays as it is.
    Frozen,
    /// Rolled back; nothing goes to the new version.
    Withdrawn,
    /// The last step has passed: the new version is promoted.
    Done,
    /// The plan is out of force; requests go by the configuration.
    Ended,
}

/// A command of an operator. [`RolloutCommand::from_name`] has the words on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RolloutCommand {
    /// Pauses as the plan says: freezes the share, or rolls back.
    Pause,
    /// Continues a paused rollout and counts evidence anew.
    Resume,
    /// Promotes to the next step.
    Promote,
    /// Rolls back, whatever the plan says of pauses.
    RollBack,
    /// Takes the plan out of force.
    End,
}

const COMMAND_WORDS: [(&str, RolloutCommand); 5] = [
    ("pause", RolloutCommand::Pause),
    ("resume", RolloutCommand::Resume),
    ("pass", RolloutCommand::Promote),
    ("undo", RolloutCommand::RollBack),
    ("end", RolloutCommand::End),
];

impl RolloutCommand {
    /// The command of a word on the wire.
    ///
    /// ```
    /// use coppersail_rollout::RolloutCommand;
    /// assert_eq!(RolloutCommand::from_name("undo"), Some(RolloutCommand::RollBack));
    /// ```
    pub fn from_name(name: &str) -> Option<RolloutCommand> {
        COMMAND_WORDS.iter().find(|(word, _)| *word == name).map(|(_, command)| *command)
    }
}

/// Why a submitted plan is refused.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum SubmitError {
    /// A field of the plan has a value that can't be used.
    #[error(transparent)]
    InvalidPlan(#[from] FieldError),
    /// Another plan has this name and hasn't ended.
    #[error("a plan of that name is in force")]
    NameInForce {
        /// The phase of the plan in force; `Ended` was expected.
        found: Phase,
    },
}

/// Why a command is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// Nothing brings an ended plan back but a new submission.
    #[error("the plan has ended")]
    Ended,
    /// A step can be passed only while the rollout runs.
    #[error("the plan is paused; resume it first")]
    Paused {
        /// The phase of the plan; `Running` or `Done` was expected.
        found: Phase,
    },
}

/// A plan and how far its rollout is. Stored as `plan/NAME` and sent to edges.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RolloutState {
    /// The plan's name.
    pub name: String,
    /// Rises by one with each change.
    pub number: u64,
    /// How it stands.
    pub phase: Phase,
    /// Index of the step in force.
    pub step: usize,
    /// The number with which evidence began to count anew; evidence of lower numbers is ignored.
    pub run: u64,
    /// For how long this run had been in force up to this change, in milliseconds.
    #[serde(rename = "ran")]
    pub elapsed_ms: Ms,
    /// Why it is in this phase, for operators.
    #[serde(rename = "why")]
    pub reason: String,
    /// The plan as the operator sent it.
    pub body: String,
}

/// When the present leader took the present state up, in its own time. A new leader begins a step's least time anew: it
/// can't know how much of it has passed.
#[derive(Debug, Clone, Copy, Default)]
pub struct AppliedAt(pub Ms);

impl AppliedAt {
    fn elapsed(self, now: Ms) -> Ms {
        now.saturating_sub(self.0)
    }
}

impl RolloutState {
    /// The state of a new plan, or of the next one under the name of a plan that has ended. The plan in force, sent
    /// again, is returned as it stands.
    pub fn submit(
        name: &str,
        body: &str,
        before: Option<&RolloutState>,
    ) -> Result<RolloutState, SubmitError> {
        coppersail_config::rollout::parse(body)?;
        if let Some(in_force) = before.filter(|known| known.phase != Phase::Ended) {
            if in_force.body == body {
                return Ok(in_force.clone());
            }
            return Err(SubmitError::NameInForce { found: in_force.phase });
        }
        let number = before.map_or(0, |ended| ended.number) + 1;
        Ok(RolloutState {
            name: name.into(),
            number,
            run: number,
            reason: REASON_SUBMITTED.into(),
            body: body.into(),
            ..RolloutState::default()
        })
    }

    /// The parsed plan; the default one if a stored body can't be parsed by this build.
    pub fn plan(&self) -> RolloutPlan {
        coppersail_config::rollout::parse(&self.body).unwrap_or_default()
    }

    /// The new version's share of requests, from 0 to 1; none once the plan is out of force.
    pub fn share(&self) -> Option<f64> {
        match self.phase {
            Phase::Running | Phase::Frozen | Phase::Done => {
                Some(self.plan().steps.get(self.step).map_or(0.0, |step| step.share))
            }
            Phase::Withdrawn => Some(0.0),
            Phase::Ended => None,
        }
    }

    fn next(&self, elapsed: Ms, phase: Phase, step: usize, reason: &str) -> RolloutState {
        RolloutState {
            number: self.number + 1,
            phase,
            step,
            elapsed_ms: self.elapsed_ms + elapsed,
            reason: reason.into(),
            ..self.clone()
        }
    }

    /// Applies a command `elapsed_ms` milliseconds after the last change. None: the rollout is in the commanded state
    /// already, as after a command that was sent twice.
    pub fn apply_command(
        &self,
        elapsed_ms: Ms,
        command: RolloutCommand,
        reason: &str,
    ) -> Result<Option<RolloutState>, CommandError> {
        if self.phase == Phase::Ended {
            return if command == RolloutCommand::End { Ok(None) } else { Err(CommandError::Ended) };
        }
        match command {
            RolloutCommand::End => Ok(Some(self.next(elapsed_ms, Phase::Ended, self.step, reason))),
            RolloutCommand::RollBack => Ok(self.rolled_back(elapsed_ms, reason)),
            RolloutCommand::Pause => Ok(self.paused(elapsed_ms, reason)),
            RolloutCommand::Resume => Ok(self.resumed(elapsed_ms, reason)),
            RolloutCommand::Promote => match self.phase {
                Phase::Running => Ok(Some(self.passed(elapsed_ms, reason))),
                Phase::Done => Ok(None),
                found => Err(CommandError::Paused { found }),
            },
        }
    }

    fn rolled_back(&self, elapsed: Ms, reason: &str) -> Option<RolloutState> {
        let is_in_force = self.phase != Phase::Withdrawn;
        is_in_force.then(|| self.next(elapsed, Phase::Withdrawn, self.step, reason))
    }

    fn paused(&self, elapsed: Ms, reason: &str) -> Option<RolloutState> {
        if matches!(self.phase, Phase::Frozen | Phase::Withdrawn) {
            return None;
        }
        let phase = match self.plan().pause_action {
            PauseAction::Freeze => Phase::Frozen,
            PauseAction::Withdraw => Phase::Withdrawn,
        };
        Some(self.next(elapsed, phase, self.step, reason))
    }

    /// Begins another run. A rollout that was rolled back begins with the smallest share again.
    fn resumed(&self, elapsed: Ms, reason: &str) -> Option<RolloutState> {
        if matches!(self.phase, Phase::Running | Phase::Done) {
            return None;
        }
        let step = if self.phase == Phase::Withdrawn { 0 } else { self.step };
        let next = self.next(elapsed, Phase::Running, step, reason);
        Some(RolloutState { run: next.number, elapsed_ms: 0, ..next })
    }

    fn passed(&self, elapsed: Ms, reason: &str) -> RolloutState {
        if self.step + 1 < self.plan().steps.len() {
            self.next(elapsed, Phase::Running, self.step + 1, reason)
        } else {
            self.next(elapsed, Phase::Done, self.step, reason)
        }
    }

    /// The change that time and the analysis' verdict bring about, if any.
    pub fn tick(
        &self,
        plan: &RolloutPlan,
        now: Ms,
        since: AppliedAt,
        verdict: &Verdict,
    ) -> Option<RolloutState> {
        let elapsed = since.elapsed(now);
        match (self.phase, verdict) {
            (Phase::Frozen | Phase::Withdrawn | Phase::Ended, _) => None,
            // A fault that shows only after the last step still pauses.
            (Phase::Running | Phase::Done, Verdict::Pause(reason)) => self.paused(elapsed, reason),
            (Phase::Done, _) => None,
            (Phase::Running, _) if self.is_expired(plan, elapsed) => self.paused(elapsed, REASON_EXPIRED),
            (Phase::Running, Verdict::Healthy) => self.advanced(plan, elapsed),
            (Phase::Running, Verdict::Wait(_)) => None,
        }
    }

    fn is_expired(&self, plan: &RolloutPlan, elapsed: Ms) -> bool {
        (self.elapsed_ms + elapsed) as u128 >= plan.max_duration.as_millis()
    }

    fn advanced(&self, plan: &RolloutPlan, elapsed: Ms) -> Option<RolloutState> {
        let may_pass = |step: &&Step| {
            elapsed as u128 >= step.min_duration.as_millis() && step.approval == StepApproval::Itself
        };
        plan.steps.get(self.step).filter(may_pass).map(|_| self.passed(elapsed, REASON_SOUND))
    }

    /// Milliseconds until the step's least time is over; none unless the rollout runs.
    pub fn remaining_ms(&self, plan: &RolloutPlan, now: Ms, since: AppliedAt) -> Option<Ms> {
        let step = plan.steps.get(self.step).filter(|_| self.phase == Phase::Running)?;
        Some((step.min_duration.as_millis() as Ms).saturating_sub(since.elapsed(now)))
    }
}
