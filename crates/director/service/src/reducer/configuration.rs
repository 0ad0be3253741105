//! Checks that a configuration can be used.

use super::event::FileError;
use coppersail_protocol::config::Config;
use coppersail_protocol::discovery;
use coppersail_protocol::ParseError;
use coppersail_settings::DirectorSettings;

/// Slice numbers have two bytes, and the largest number stands for all slices.
const MAX_SLICES: u64 = 65_535;
/// Proxy numbers have two bytes.
const MAX_PROXIES: u64 = 65_536;

/// Why a configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file could not be read or parsed.
    #[error(transparent)]
    Unreadable(#[from] FileError),
    /// A setting has a value that cannot be used.
    #[error("field settings.{field}: expected {expected}")]
    Setting {
        /// Path of the field below `settings`.
        field: String,
        /// What was expected there.
        expected: &'static str,
    },
    /// There are more slices or proxies than can be numbered.
    #[error("field settings.specifics.{field}: {found}, expected {max} at most")]
    TooMany {
        /// Name of the field below `settings.specifics`.
        field: &'static str,
        /// The value that was found.
        found: u64,
        /// The largest value that can be used.
        max: u64,
    },
    /// The host list that is cached in the configuration cannot be parsed.
    #[error("field known: {0}")]
    KnownHosts(#[source] ParseError),
}

/// A configuration whose fields are all valid.
pub(super) struct CheckedConfig<'a> {
    pub(super) director_settings: DirectorSettings,
    /// The host list that is cached in the configuration, possibly outdated.
    pub(super) known_hosts: Option<discovery::EndpointList<'a>>,
}

impl<'a> CheckedConfig<'a> {
    pub(super) fn new(config: &'a Config) -> Result<Self, ConfigError> {
        let settings = config.settings.iter().map(|(path, value)| (path.as_str(), value.as_str())).collect();
        let director_settings = DirectorSettings::read(&settings)
            .map_err(|invalid| ConfigError::Setting { field: invalid.field, expected: invalid.expected })?;
        check_maximum("slices", director_settings.specifics.slices, MAX_SLICES)?;
        check_maximum("proxy-count", director_settings.specifics.proxy_count, MAX_PROXIES)?;
        let known_hosts = config.known_endpoints.as_deref().map(discovery::EndpointList::parse).transpose();
        Ok(CheckedConfig { director_settings, known_hosts: known_hosts.map_err(ConfigError::KnownHosts)? })
    }
}

fn check_maximum(field: &'static str, found: Option<u64>, max: u64) -> Result<(), ConfigError> {
    match found {
        Some(found) if found > max => Err(ConfigError::TooMany { field, found, max }),
        _ => Ok(()),
    }
}
