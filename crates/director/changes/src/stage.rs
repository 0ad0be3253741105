//! The stages of a change, and why it ended.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Why a change was kept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Keep {
    /// Its trial showed no harm.
    #[serde(rename = "judged")]
    TrialPassed,
    /// An operator ended the trial early.
    Confirmed {
        /// The operator.
        who: String,
    },
    /// It was submitted without a trial.
    #[serde(rename = "untried")]
    WithoutTrial,
    /// It undoes another change; such changes have no trial.
    #[serde(rename = "undoing")]
    IsUndo,
}

/// Why a change was undone or dropped.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndReason {
    /// The analysis found that it made service worse.
    Harm {
        /// What was found.
        found: String,
    },
    /// An operator undid it.
    #[serde(rename = "asked")]
    ByOperator {
        /// The operator.
        who: String,
        /// The reason that was given; may be empty.
        why: String,
    },
    /// The trial ended without enough reports to analyse it.
    #[serde(rename = "unjudged")]
    TooFewReports,
    /// The proxies did not apply its assignments in time.
    #[serde(rename = "unsettled")]
    ApplyTimeout,
    /// The director was restarted during its trial.
    Restarted,
    /// It could not be written to the change log.
    #[serde(rename = "unwritten")]
    WriteFailed {
        /// The error.
        why: String,
    },
    /// The state on which it was based changed while it was suspended.
    Stale {
        /// What applying it now would cause.
        why: String,
    },
    /// It was suspended, and service did not recover in time for a second trial.
    #[serde(rename = "never-calm")]
    NotRecovered,
}

impl fmt::Display for EndReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EndReason::Harm { found } => write!(formatter, "service dropped: {found}"),
            EndReason::ByOperator { who, why } if why.is_empty() => write!(formatter, "by {who}"),
            EndReason::ByOperator { who, why } => write!(formatter, "by {who}: {why}"),
            EndReason::TooFewReports => {
                formatter.write_str("its trial ended without sums enough to judge it")
            }
            EndReason::ApplyTimeout => formatter.write_str("its orders were not settled in time"),
            EndReason::Restarted => formatter.write_str("the director ended during its trial"),
            EndReason::WriteFailed { why } => write!(formatter, "the history could not be written: {why}"),
            EndReason::Stale { why } => write!(formatter, "stale: {why}"),
            EndReason::NotRecovered => formatter
                .write_str("it was set aside, and the fleet did not become calm enough to try it again"),
        }
    }
}

/// The stage of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// A draft that waits until its author stages it.
    Drafted,
    /// Valid and without conflict, but not yet durable.
    Checked,
    /// Durable; waits until no other change is being applied.
    Staged,
    /// In force in the director; the proxies are being updated.
    Applied,
    /// The proxies have applied it; its effect on service is analysed.
    Trial,
    /// Temporarily out of force: service got worse, and no unaffected traffic showed whether the change or a
    /// fault of the fleet is the cause. It gets a second trial when service has recovered.
    #[serde(rename = "aside")]
    Suspended {
        /// What was found.
        found: String,
    },
    /// In force permanently, until another change replaces it or it is undone.
    Kept(Keep),
    /// Out of force; the values of earlier changes are in force instead.
    Undone(EndReason),
    /// Ended before it was applied.
    Dropped(EndReason),
}

impl Stage {
    /// Whether the values that the change sets are in force.
    pub fn in_force(&self) -> bool {
        matches!(self, Stage::Applied | Stage::Trial | Stage::Kept(_))
    }

    /// Whether the change leaves this stage only on a command.
    pub fn ended(&self) -> bool {
        matches!(self, Stage::Kept(_) | Stage::Undone(_) | Stage::Dropped(_))
    }

    /// Whether a change may move from this stage to `to`. Other transitions are refused, also during
    /// recovery.
    pub fn leads_to(&self, to: &Stage) -> bool {
        use Stage::*;
        matches!(
            (self, to),
            (Drafted, Checked | Dropped(_))
                | (Checked, Staged | Dropped(_))
                | (Staged, Applied | Dropped(_))
                | (Applied, Trial | Kept(_) | Undone(_) | Suspended { .. })
                | (Trial, Kept(_) | Undone(_) | Suspended { .. })
                | (Suspended { .. }, Applied | Undone(_))
                | (Kept(_), Undone(_))
        )
    }

    /// The name of the stage in texts for operators.
    pub fn name(&self) -> &'static str {
        match self {
            Stage::Drafted => "drafted",
            Stage::Checked => "checked",
            Stage::Staged => "staged",
            Stage::Applied => "applied",
            Stage::Trial => "on trial",
            Stage::Suspended { .. } => "set aside",
            Stage::Kept(_) => "kept",
            Stage::Undone(_) => "undone",
            Stage::Dropped(_) => "dropped",
        }
    }
}
