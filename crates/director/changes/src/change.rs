//! One change: what it sets, who wants it, and how far it has come.

use coppersail_operator_config::{Document, Edits, Field};
use serde::{Deserialize, Serialize};
use std::fmt;

/// A change's number; the newest one in force is the version of the whole. 0: nothing was ever set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Version(pub u64);

impl fmt::Display for Version {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}", self.0)
    }
}

/// What an operator wants.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// The newest version that its author had seen.
    pub base: Version,
    pub who: String,
    pub why: String,
    pub edits: Edits,
    /// Seconds on trial; none: as set for all; 0: kept at once, nobody judges it.
    pub trial: Option<f64>,
    /// Points of service, of 100, that its author knows it to cost what it touches.
    #[serde(default)]
    pub expected_loss: f64,
    /// Two with the same token are one, however often it was sent; empty: none.
    #[serde(default)]
    pub token: String,
    /// It waits to be staged by hand.
    #[serde(default)]
    pub draft: bool,
    /// It comes from the operators' file, which holds all of this.
    #[serde(default)]
    pub file: Option<Vec<(Field, coppersail_operator_config::Value)>>,
}

impl Submission {
    pub fn document(&self) -> Option<Document> {
        self.file.as_ref().map(|fields| fields.iter().cloned().collect())
    }
}

/// Why a change was kept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Keep {
    /// Its trial showed no harm.
    Judged,
    /// An operator said so.
    Confirmed { who: String },
    /// It asked for no trial.
    Untried,
    /// It undoes another one.
    Undoing,
}

/// Why a change is no more.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Why {
    /// Service dropped because of it.
    Harm { found: String },
    /// An operator said so.
    Asked { who: String, why: String },
    /// The trial ended, and what was heard of it was too little to tell.
    Unjudged,
    /// Its orders were not settled in time.
    Unsettled,
    /// The director ended during its trial.
    Restarted,
    /// It could not be written into the history.
    Unwritten { why: String },
    /// What it is based on has changed while it was a draft, or set aside.
    Stale { why: String },
    /// It was set aside, and service did not come back well enough to try it once more.
    NeverCalm,
}

impl fmt::Display for Why {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Why::Harm { found } => write!(out, "service dropped: {found}"),
            Why::Asked { who, why } if why.is_empty() => write!(out, "by {who}"),
            Why::Asked { who, why } => write!(out, "by {who}: {why}"),
            Why::Unjudged => out.write_str("its trial ended without sums enough to judge it"),
            Why::Unsettled => out.write_str("its orders were not settled in time"),
            Why::Restarted => out.write_str("the director ended during its trial"),
            Why::Unwritten { why } => write!(out, "the history could not be written: {why}"),
            Why::Stale { why } => write!(out, "stale: {why}"),
            Why::NeverCalm => {
                out.write_str("it was set aside, and the fleet did not become calm enough to try it again")
            }
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    Drafted,
    /// Sound, and without conflict; not yet in the history for certain.
    Checked,
    /// In the history; waits for its turn.
    Staged,
    /// Given to the decisions; their orders are under way.
    Applied,
    Trial,
    /// Taken back for the time being: service dropped, and nothing untouched told whether it or the fleet is at
    /// fault. When all is well again it is tried once more.
    Aside {
        found: String,
    },
    Kept(Keep),
    Undone(Why),
    /// Given up before it was applied.
    Dropped(Why),
}

impl Stage {
    /// What it sets is in force.
    pub fn in_force(&self) -> bool {
        matches!(self, Stage::Applied | Stage::Trial | Stage::Kept(_))
    }

    pub fn ended(&self) -> bool {
        matches!(self, Stage::Kept(_) | Stage::Undone(_) | Stage::Dropped(_))
    }

    /// Whether a change may go on from here to there. What is not named cannot happen, in a history neither.
    pub fn leads_to(&self, to: &Stage) -> bool {
        use Stage::*;
        matches!(
            (self, to),
            (Drafted, Checked | Dropped(_))
                | (Checked, Staged | Dropped(_))
                | (Staged, Applied | Dropped(_))
                | (Applied, Trial | Kept(_) | Undone(_) | Aside { .. })
                | (Trial, Kept(_) | Undone(_) | Aside { .. })
                | (Aside { .. }, Applied | Undone(_))
                | (Kept(_), Undone(_))
        )
    }

    pub fn name(&self) -> &'static str {
        match self {
            Stage::Drafted => "drafted",
            Stage::Checked => "checked",
            Stage::Staged => "staged",
            Stage::Applied => "applied",
            Stage::Trial => "on trial",
            Stage::Aside { .. } => "set aside",
            Stage::Kept(_) => "kept",
            Stage::Undone(_) => "undone",
            Stage::Dropped(_) => "dropped",
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    pub number: Version,
    /// When it was submitted, seconds since 1970 by the wall clock; only told, never reckoned with.
    pub wall: f64,
    pub submission: Submission,
    pub stage: Stage,
    /// It undoes this one.
    pub undoes: Option<Version>,
    /// What its fields were in force when it was applied: what a reader needs to see what it changed.
    pub before: Edits,
}

/// Why a wish was not taken. Nothing has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    Frozen { who: String, why: String },
    Conflict { field: Field, holder: Version, who: String, stage: &'static str },
    BaseAhead { base: Version, head: Version },
    Unsound(Vec<String>),
    Empty,
    Pool(String),
    Crowded(usize),
    NoSuch(Version),
    NotIn { number: Version, stage: &'static str, wanted: &'static str },
    History(String),
}

impl fmt::Display for Refusal {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::Frozen { who, why } => write!(out, "frozen by {who}: {why}"),
            Refusal::Conflict { field, holder, who, stage } => {
                write!(
                    out,
                    "field {field}: held by change {holder} of {who}, {stage}, which its base does not know"
                )
            }
            Refusal::BaseAhead { base, head } => write!(out, "base {base}: expected a version up to {head}"),
            Refusal::Unsound(faults) => out.write_str(&faults.join("; ")),
            Refusal::Empty => out.write_str("it changes nothing"),
            Refusal::Pool(what) => out.write_str(what),
            Refusal::Crowded(most) => {
                write!(out, "{most} changes are under way already; wait for one to end")
            }
            Refusal::NoSuch(number) => write!(out, "change {number}: there is none of that number"),
            Refusal::NotIn { number, stage, wanted } => {
                write!(out, "change {number}: it is {stage}; expected one that is {wanted}")
            }
            Refusal::History(why) => write!(out, "the history cannot be written: {why}"),
        }
    }
}
