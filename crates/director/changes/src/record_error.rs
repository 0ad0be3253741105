//! Records that contradict each other.

use crate::change::Version;

/// A record that contradicts earlier records: the log is damaged, or was written by a version with other
/// rules.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// A change number that is not higher than all earlier ones.
    #[error("change {0} accepted twice")]
    AcceptedTwice(Version),
    /// A new stage of a change that is not in the log.
    #[error("change {0} that was never accepted")]
    UnknownChange(Version),
    /// An undo of a change that is not in the log.
    #[error("undoing of change {0} that was never accepted")]
    UnknownUndone(Version),
    /// An invalid transition, see [`crate::Stage::leads_to`].
    #[error("change {number} {to} that was {from}")]
    InvalidTransition {
        /// The change.
        number: Version,
        /// Its stage before.
        from: &'static str,
        /// The stage that the record gives it.
        to: &'static str,
    },
}
