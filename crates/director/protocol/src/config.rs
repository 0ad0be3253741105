//! The configuration file of a director: one JSON object.

mod paths;

use crate::ParseError;
use serde_json::Value;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

/// The configuration of a director.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Name of this director.
    pub name: String,
    /// Address on which the director listens for collectors and health checks.
    pub listen: SocketAddr,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Address of the relay.
    pub relay: SocketAddr,
    /// Seed of the director's random numbers; 16 hex digits in the file.
    pub seed: u64,
    /// The last known endpoint list, as JSON in the format of the discovery service.
    pub known_endpoints: Option<Vec<u8>>,
    /// The settings by path. A path joins the names of the nested fields by dots, the outermost first. See
    /// `coppersail_settings::DirectorSettings`.
    pub settings: BTreeMap<String, String>,
    /// Resource limits of the process.
    pub limits: Limits,
}

/// Resources that the director may use; `None` where the configuration sets no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Limits {
    /// Maximum number of open sockets.
    pub sockets: Option<u64>,
    /// Maximum memory, in mebibytes.
    pub memory_mb: Option<u64>,
}

impl Config {
    /// Parses the file.
    ///
    /// # Errors
    /// The file is not JSON, or a field is missing or invalid; the error names the field's path.
    pub fn parse(bytes: &[u8]) -> Result<Self, ParseError> {
        let config: Value = serde_json::from_slice(bytes)?;
        let settings = config.get("settings").ok_or_else(|| ParseError::missing("settings"))?;
        if !settings.is_object() {
            return Err(ParseError::invalid("settings", settings, "an object"));
        }
        let seed = string(&config, "seed")?;
        Ok(Config {
            name: string(&config, "name")?.to_string(),
            listen: address(&config, "listen")?,
            discovery: address(&config, "discovery")?,
            relay: address(&config, "relay.address")?,
            seed: parse_seed(seed)?,
            known_endpoints: known_endpoints(&config),
            settings: paths::flatten(settings),
            limits: Limits { sockets: limit(&config, "sockets")?, memory_mb: limit(&config, "memory_mb")? },
        })
    }

    /// The fields whose changes only a restart applies, each with a digest by which a change is detected. Digests can
    /// only be compared within one process.
    pub fn restart_only_fields(&self) -> [(&'static str, u64); 4] {
        [
            ("name", digest(&self.name)),
            ("listen", digest(self.listen)),
            ("limits", digest(self.limits)),
            ("settings", digest(&self.settings)),
        ]
    }
}

fn digest(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

fn string<'a>(config: &'a Value, path: &str) -> Result<&'a str, ParseError> {
    let value = path.split('.').try_fold(config, |value, name| value.get(name));
    let value = value.ok_or_else(|| ParseError::missing(path))?;
    value.as_str().ok_or_else(|| ParseError::invalid(path, value, "a text"))
}

fn address(config: &Value, path: &str) -> Result<SocketAddr, ParseError> {
    let text = string(config, path)?;
    let expected = "an address and a port, such as 127.0.0.1:8000";
    text.parse().map_err(|_| ParseError::invalid(path, text, expected))
}

fn parse_seed(text: &str) -> Result<u64, ParseError> {
    u64::from_str_radix(text, 16).map_err(|_| ParseError::invalid("seed", text, "16 hex digits"))
}

fn known_endpoints(config: &Value) -> Option<Vec<u8>> {
    let list = config.get("known").filter(|list| !list.is_null())?;
    Some(list.to_string().into_bytes())
}

fn limit(config: &Value, name: &str) -> Result<Option<u64>, ParseError> {
    let value = match config.get("limits").and_then(|limits| limits.get(name)) {
        None | Some(Value::Null) => return Ok(None),
        Some(value) => value,
    };
    match value.as_u64() {
        Some(limit @ 1..=0xffff_ffff) => Ok(Some(limit)),
        _ => Err(ParseError::invalid(&format!("limits.{name}"), value, "a whole number from 1")),
    }
}

#[cfg(test)]
mod tests;
