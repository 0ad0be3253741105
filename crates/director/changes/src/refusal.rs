//! Why a command was refused.

use crate::change::Version;
use coppersail_operator_config::Field;

/// Why an operator's command was refused. Nothing has changed then. Each text is one line, as operators see it.
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
    /// A newer change, or one that has not ended, sets the same field.
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
    /// The base does not exist yet.
    #[error("base {base}: expected a version up to {head}")]
    BaseAhead {
        /// The base that was found.
        base: Version,
        /// The newest version.
        head: Version,
    },
    /// Fields or parameters are out of their bounds; one text a fault.
    #[error("{}", .0.join("; "))]
    Invalid(Vec<String>),
    /// Every edit is in force already.
    #[error("it changes nothing")]
    NoEffect,
    /// Too few hosts would be left.
    #[error("{0}")]
    TooFewHosts(String),
    /// The limit of changes under way, or of drafts, is reached.
    #[error("{0} changes are under way already; wait for one to end")]
    TooMany(usize),
    /// There is no change with this number, or it ended too long ago.
    #[error("change {0}: there is none of that number")]
    UnknownChange(Version),
    /// The command does not apply to a change in this stage.
    #[error("change {number}: it is {stage}; expected one that is {wanted}")]
    WrongStage {
        /// The change.
        number: Version,
        /// Its stage.
        stage: &'static str,
        /// The stage, or property, that the command needs.
        wanted: &'static str,
    },
    /// The change log's file has failed.
    #[error("the history cannot be written: {0}")]
    WriteFailed(String),
}
