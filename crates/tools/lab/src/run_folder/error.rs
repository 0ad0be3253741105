//! Why results cannot be kept.

use plotters::drawing::DrawingAreaErrorKind;
use std::io;
use std::path::PathBuf;

/// Results that cannot be kept.
#[derive(Debug, thiserror::Error)]
#[error("{}: results cannot be kept: {source}", folder.display())]
pub struct KeepError {
    /// The folder in which they should have been.
    pub folder: PathBuf,
    /// What could not be written or drawn.
    pub source: WriteError,
}

/// A file of a run's folder that cannot be made.
#[derive(Debug, thiserror::Error)]
pub enum WriteError {
    /// A file or folder cannot be written or read.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The outcome or the scenario has no JSON form.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A chart cannot be drawn.
    #[error(transparent)]
    Chart(#[from] DrawingAreaErrorKind<io::Error>),
}
