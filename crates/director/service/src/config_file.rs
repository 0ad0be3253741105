//! Reads the director's configuration file.

use coppersail_protocol::config::Config;
use coppersail_protocol::ParseError;
use std::env::VarError;
use std::io;

/// Names the file.
const CONFIG_VARIABLE: &str = "EDGE_CONFIG";

/// Why there is no usable configuration.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConfigFileError {
    /// The environment does not name the file.
    #[error("EDGE_CONFIG is not set")]
    NotSet(#[source] VarError),
    /// The file cannot be read.
    #[error("EDGE_CONFIG: {0}")]
    Unreadable(#[source] io::Error),
    /// The file's content cannot be used.
    #[error("{0}")]
    Invalid(#[source] ParseError),
}

/// The configuration as the file has it now, all of it checked before any of it is used.
pub(crate) fn read() -> Result<Config, ConfigFileError> {
    let path = std::env::var(CONFIG_VARIABLE).map_err(ConfigFileError::NotSet)?;
    let bytes = std::fs::read(&path).map_err(ConfigFileError::Unreadable)?;
    Config::parse(&bytes).map_err(ConfigFileError::Invalid)
}
