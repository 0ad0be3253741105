//! Reads the director's configuration file.

use coppersail_protocol::config::Config;
use coppersail_protocol::ParseError;
use std::env::VarError;
use std::io;

/// The environment variable that holds the path of the file.
const CONFIG_VARIABLE: &str = "EDGE_CONFIG";

/// Why the configuration file cannot be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConfigFileError {
    /// The environment variable is not set.
    #[error("EDGE_CONFIG is not set")]
    NotSet(#[source] VarError),
    /// The file cannot be read.
    #[error("EDGE_CONFIG: {0}")]
    Unreadable(#[source] io::Error),
    /// The file's content cannot be used.
    #[error("{0}")]
    Invalid(#[source] ParseError),
}

/// Reads and parses the file as it is now.
pub(crate) fn read() -> Result<Config, ConfigFileError> {
    let path = std::env::var(CONFIG_VARIABLE).map_err(ConfigFileError::NotSet)?;
    let bytes = std::fs::read(&path).map_err(ConfigFileError::Unreadable)?;
    Config::parse(&bytes).map_err(ConfigFileError::Invalid)
}
