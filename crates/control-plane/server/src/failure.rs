//! Failures that end the program: one line on standard error, and an exit status.
use std::path::PathBuf;
use std::process::ExitCode;

/// The exit status for invalid arguments or settings, with which a restart would fail again.
const USAGE_STATUS: u8 = 2;
/// The exit status for failures that may not recur at the next start.
const RUNTIME_STATUS: u8 = 1;

/// Wrong command line arguments. The texts are part of the interface.
#[derive(Debug, thiserror::Error)]
pub(crate) enum UsageError {
    /// `--inspect` without its argument.
    #[error("--inspect: nothing, expected a folder")]
    MissingFolder,
    /// `--inspect` with a path that is not a folder.
    #[error("--inspect: {}, expected the data folder of a stopped centre", .0.display())]
    NotADataFolder(PathBuf),
    /// More arguments than one folder.
    #[error("word: {found}, expected none after the folder")]
    UnexpectedAfterFolder {
        /// The argument, as the parser shows it.
        found: String,
    },
    /// An unknown argument.
    #[error("word: {found}, expected none, --inspect FOLDER or --help")]
    UnknownArgument {
        /// The argument, as the parser shows it.
        found: String,
    },
}

/// Why the program ends, and with which exit status.
#[derive(Debug)]
pub(crate) struct Failure {
    status: u8,
    report: eyre::Report,
}

impl Failure {
    /// A failure because of invalid arguments or settings.
    pub(crate) fn usage(error: impl Into<eyre::Report>) -> Failure {
        Failure { status: USAGE_STATUS, report: error.into() }
    }

    /// A failure because of the machine or its state.
    pub(crate) fn runtime(error: impl Into<eyre::Report>) -> Failure {
        Failure { status: RUNTIME_STATUS, report: error.into() }
    }

    /// Prints the error with its sources, in one line.
    pub(crate) fn print(&self) -> ExitCode {
        eprintln!("control-plane! {:#}", self.report);
        ExitCode::from(self.status)
    }
}
