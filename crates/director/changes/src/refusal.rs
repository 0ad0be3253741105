//! Why a command was refused.

use crate::change::Version;
use coppersail_operator_config::Field;

/// Why an operator's command was refused. A refused command changes nothing. Each text is one line that is
/// shown to the operator.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// An operator has frozen all changes.
    #[error("frozen by {who}: {why}")]
    Frozen {
        /// Who froze them.
        who: String,
        /// The reason that was given.
        why: String,
    },
    /// A change that is newer than the base, or has not ended, sets the same field.
    #[error("field {field}: held by change {holder} of {who}, {stage}, which its base does not know")]
    Conflict {
        /// The first field that conflicts.
        field: Field,
        /// The other change.
        holder: Version,
        /// Its author.
        who: String,
        /// Its stage, see [`crate::Stage::name`].
        stage: &'static str,
    },
    /// The base is higher than the newest version.
    #[error("base {base}: expected a version up to {head}")]
    BaseAhead {
        /// The base of the submission.
        base: Version,
        /// The newest version.
        head: Version,
    },
    /// Fields or parameters are invalid; one text for each error.
    #[error("{}", .0.join("; "))]
    Invalid(Vec<String>),
    /// All edits are in force already.
    #[error("it changes nothing")]
    NoEffect,
    /// The change would leave too few hosts or too little capacity.
    #[error("{0}")]
    TooFewHosts(String),
    /// The limit of changes in progress, or of drafts, is reached.
    #[error("{0} changes are under way already; wait for one to end")]
    TooMany(usize),
    /// There is no change with this number, or it ended so long ago that it is no longer kept.
    #[error("change {0}: there is none of that number")]
    UnknownChange(Version),
    /// The command does not apply to a change in this stage.
    #[error("change {number}: it is {stage}; expected one that is {wanted}")]
    WrongStage {
        /// The change.
        number: Version,
        /// Its stage.
        stage: &'static str,
        /// The stage or property that the command requires.
        wanted: &'static str,
    },
    /// Writing to the change log's file has failed.
    #[error("the history cannot be written: {0}")]
    WriteFailed(String),
}
