//! Errors that prevent the director's start.

use crate::config_file::ConfigFileError;
use crate::operator_file_reader::OperatorFileError;
use coppersail_append_log::OpenError;
use std::error::Error;
use std::io;

/// The cause of an exit with status 2. The program prints its text, which contains the source's text.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StartError {
    /// The asynchronous runtime cannot be created.
    #[error("{0}")]
    Runtime(#[source] io::Error),
    /// A signal's handler cannot be installed.
    #[error("signals cannot be taken")]
    Signals(#[source] io::Error),
    /// The configuration file cannot be used.
    #[error("configuration: {0}")]
    Config(#[source] ConfigFileError),
    /// A field of the configuration has a value that the director cannot work with.
    #[error("configuration: {0}")]
    Settings(#[source] Box<dyn Error + Send + Sync>),
    /// The configured address cannot be bound.
    #[error("configuration: field listen: {0}")]
    Listen(#[source] io::Error),
    /// The operators' file cannot be used.
    #[error(transparent)]
    OperatorFile(#[from] OperatorFileError),
    /// The log of operators' changes cannot be opened.
    #[error("history: {0}")]
    ChangeLog(#[source] OpenError),
    /// The records of the log contradict each other.
    #[error("history: {0}")]
    ChangeRecords(#[source] Box<dyn Error + Send + Sync>),
    /// The operators' socket cannot be bound.
    #[error("operators' file: field control.socket: {0}")]
    AdminSocket(#[source] io::Error),
}

#[cfg(test)]
mod tests;
