//! A rollout's state at the control plane, which stores it on two disks: its phase and step, and the commands that
//! change them. Each change increments the state's number; of several states, the one with the highest number is valid.
use crate::verdict::Verdict;
use crate::Ms;
use coppersail_config::rollout::{PauseAction, RolloutPlan, Step, StepApproval};
use coppersail_config::FieldError;
use serde::{Deserialize, Serialize};

const REASON_SUBMITTED: &str = "submitted";
const REASON_HEALTHY: &str = "sound";
const REASON_EXPIRED: &str = "its time is over";

/// The phase of a rollout. Log lines have the `Debug` names, stored data and the wire the lower-case names.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// The rollout advances through its steps.
    #[default]
    Running,
    /// Paused; the new version keeps its share.
    Frozen,
    /// Rolled back; the new version gets no requests.
    Withdrawn,
    /// The last step is over, and the new version is promoted.
    Done,
    /// The plan is out of force; the configuration alone routes the requests.
    Ended,
}

/// A command of an operator. [`RolloutCommand::from_name`] parses the names on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RolloutCommand {
    /// Pauses as the plan specifies: freezes the share, or rolls back.
    Pause,
    /// Resumes a paused rollout in a new run, which ignores earlier evidence.
    Resume,
    /// Promotes to the next step.
    Promote,
    /// Rolls back, whichever action the plan specifies for pauses.
    RollBack,
    /// Takes the plan out of force.
    End,
}

const COMMAND_NAMES: [(&str, RolloutCommand); 5] = [
    ("pause", RolloutCommand::Pause),
    ("resume", RolloutCommand::Resume),
    ("pass", RolloutCommand::Promote),
    ("undo", RolloutCommand::RollBack),
    ("end", RolloutCommand::End),
];

impl RolloutCommand {
    /// The command with this name on the wire.
    ///
    /// ```
    /// use coppersail_rollout::RolloutCommand;
    /// assert_eq!(RolloutCommand::from_name("undo"), Some(RolloutCommand::RollBack));
    /// ```
    pub fn from_name(name: &str) -> Option<RolloutCommand> {
        COMMAND_NAMES.iter().find(|(known, _)| *known == name).map(|(_, command)| *command)
    }
}

/// Why a submitted plan is rejected.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum SubmitError {
    /// A field of the plan is invalid.
    #[error(transparent)]
    InvalidPlan(#[from] FieldError),
    /// Another plan has this name and hasn't ended.
    #[error("a plan of that name is in force")]
    NameInForce {
        /// The phase of the plan in force; `Ended` was expected.
        found: Phase,
    },
}

/// Why a command is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// The plan has ended. It comes into force again only by a new submission.
    #[error("the plan has ended")]
    Ended,
    /// The rollout is paused; it can be promoted only while it runs.
    #[error("the plan is paused; resume it first")]
    Paused {
        /// The phase of the plan; `Running` or `Done` was expected.
        found: Phase,
    },
}

/// A plan and the state of its rollout. Stored as `plan/NAME` and sent to edges.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RolloutState {
    /// The plan's name.
    pub name: String,
    /// The number of this state, incremented with each change.
    pub number: u64,
    /// The phase of the rollout.
    pub phase: Phase,
    /// Index of the current step.
    pub step: usize,
    /// The number of the state that began the current run; evidence of lower numbers is ignored.
    pub run: u64,
    /// How long the current run had lasted at this change, in milliseconds.
    #[serde(rename = "ran")]
    pub elapsed_ms: Ms,
    /// The reason for the latest change, for operators.
    #[serde(rename = "why")]
    pub reason: String,
    /// The plan as the operator sent it.
    pub body: String,
}

/// When the current leader applied the current state, by the leader's own clock. A new leader restarts the minimum
/// duration of the step, as it can't know how much of it has passed.
#[derive(Debug, Clone, Copy, Default)]
pub struct AppliedAt(pub Ms);

impl AppliedAt {
    fn elapsed(self, now: Ms) -> Ms {
        now.saturating_sub(self.0)
    }
}

impl RolloutState {
    /// The initial state of a submitted plan, whose name must be new or that of an ended plan. If the same plan is in
    /// force already, its current state is returned.
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

    /// The parsed plan, or the default plan if this build can't parse the stored body.
    pub fn plan(&self) -> RolloutPlan {
        coppersail_config::rollout::parse(&self.body).unwrap_or_default()
    }

    /// The new version's share of requests, from 0 to 1; `None` if the plan is out of force.
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

    /// Applies a command `elapsed_ms` milliseconds after the last change. `Ok(None)` if the rollout is already in the
    /// requested state, as when a command is sent twice.
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
                Phase::Running => Ok(Some(self.promoted(elapsed_ms, reason))),
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

    /// Begins a new run. After a rollback it begins at the first step.
    fn resumed(&self, elapsed: Ms, reason: &str) -> Option<RolloutState> {
        if matches!(self.phase, Phase::Running | Phase::Done) {
            return None;
        }
        let step = if self.phase == Phase::Withdrawn { 0 } else { self.step };
        let next = self.next(elapsed, Phase::Running, step, reason);
        Some(RolloutState { run: next.number, elapsed_ms: 0, ..next })
    }

    /// Takes the next step, or promotes the new version after the last one.
    fn promoted(&self, elapsed: Ms, reason: &str) -> RolloutState {
        if self.step + 1 < self.plan().steps.len() {
            self.next(elapsed, Phase::Running, self.step + 1, reason)
        } else {
            self.next(elapsed, Phase::Done, self.step, reason)
        }
    }

    /// The next state, if the elapsed time or the verdict of the analysis causes a change.
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
            // A fault that appears only after the last step still pauses the rollout.
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
        let may_advance = |step: &&Step| {
            elapsed as u128 >= step.min_duration.as_millis() && step.approval == StepApproval::Automatic
        };
        plan.steps.get(self.step).filter(may_advance).map(|_| self.promoted(elapsed, REASON_HEALTHY))
    }

    /// Milliseconds until the minimum duration of the step is over; `None` unless the rollout is running.
    pub fn remaining_ms(&self, plan: &RolloutPlan, now: Ms, since: AppliedAt) -> Option<Ms> {
        let step = plan.steps.get(self.step).filter(|_| self.phase == Phase::Running)?;
        Some((step.min_duration.as_millis() as Ms).saturating_sub(since.elapsed(now)))
    }
}
