//! How the program ends when it can't do what it was started for: one line on standard error, and an exit status.
use std::path::PathBuf;
use std::process::ExitCode;

/// The arguments or the settings are wrong: starting it again changes nothing.
const USAGE_STATUS: u8 = 2;
/// Something that may be different at the next start.
const RUNTIME_STATUS: u8 = 1;

/// Wrong command line arguments. The texts are part of the interface.
#[derive(Debug, thiserror::Error)]
pub(crate) enum UsageError {
    /// `--inspect` without its argument.
    #[error("--inspect: nothing, expected a folder")]
    MissingFolder,
    /// `--inspect` with something that is no folder.
    #[error("--inspect: {}, expected the data folder of a stopped centre", .0.display())]
    NotADataFolder(PathBuf),
    /// More arguments than one folder.
    #[error("word: {found}, expected none after the folder")]
    UnexpectedAfterFolder {
        /// The argument, as the parser shows it.
        found: String,
    },
    /// An argument that the program does not have.
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
    /// Arguments or settings are wrong.
    pub(crate) fn usage(error: impl Into<eyre::Report>) -> Failure {
        Failure { status: USAGE_STATUS, report: error.into() }
    }

    /// The machine or its state is at fault.
    pub(crate) fn runtime(error: impl Into<eyre::Report>) -> Failure {
        Failure { status: RUNTIME_STATUS, report: error.into() }
    }

    /// Prints the error with its sources, in one line.
    pub(crate) fn print(&self) -> ExitCode {
        eprintln!("control-plane! {:#}", self.report);
        ExitCode::from(self.status)
    }
}
