//! How commands end without success: rejected (exit status 1), or with input that cannot be used (exit status 2).

use super::check::CheckError;
use crate::admin_client::RequestError;
use crate::edits::ArgumentError;
use crate::fleet_files::FleetFileError;
use crate::names::UnknownHost;
use coppersail_changes::Version;
use coppersail_jsonnet::EvaluateError;

/// Why a command was not carried out; its text is what the operator sees, one line a fault.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    #[error(transparent)]
    Argument(#[from] ArgumentError),
    #[error(transparent)]
    Check(#[from] CheckError),
    #[error(transparent)]
    Evaluate(#[from] EvaluateError),
    #[error(transparent)]
    FleetFile(#[from] FleetFileError),
    #[error(transparent)]
    UnknownHost(#[from] UnknownHost),
    #[error(transparent)]
    Request(#[from] RequestError),
    /// A change that was waited for was undone, or dropped before it was applied.
    #[error("change {number}: {reason}")]
    NotKept { number: Version, reason: String },
    /// The guard does not accept the tables.
    #[error("{judgement}, {reasons} reasons")]
    TablesRejected { judgement: &'static str, reasons: usize },
    /// A drain that cannot be carried out safely.
    #[error("{forced} steps by force, {remaining} hosts left")]
    PlanRejected { forced: usize, remaining: usize },
}

impl CommandError {
    /// Whether the input was read and refused, as opposed to input that cannot be used or a director that does not
    /// answer.
    pub(crate) fn is_rejection(&self) -> bool {
        match self {
            CommandError::Request(error) => matches!(error, RequestError::Rejected { .. }),
            CommandError::NotKept { .. }
            | CommandError::TablesRejected { .. }
            | CommandError::PlanRejected { .. } => true,
            CommandError::Argument(_)
            | CommandError::Check(_)
            | CommandError::Evaluate(_)
            | CommandError::FleetFile(_)
            | CommandError::UnknownHost(_) => false,
        }
    }
}
