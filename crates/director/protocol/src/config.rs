//! The configuration: one JSON object.

use crate::Fault;
use serde_json::Value;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub relay: SocketAddr,
    pub seed: u64,
    /// The list as last had, in discovery's form.
    pub known: Option<Vec<u8>>,
    /// The settings by their paths.
    pub settings: BTreeMap<String, String>,
    pub limits: Limits,
}

/// What the director may use, where that is told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Limits {
    pub sockets: Option<u64>,
    pub memory_mb: Option<u64>,
}

/// Stands before and between the values of a plain list, as no name holds it.
const UNIT: char = '\u{1f}';

fn text<'a>(config: &'a Value, path: &str) -> Result<&'a str, Fault> {
    let value = path.split('.').try_fold(config, |value, name| value.get(name));
    value.ok_or_else(|| Fault::missing(path))?.as_str().ok_or_else(|| Fault::odd(path, "a text"))
}

fn address(config: &Value, path: &str) -> Result<SocketAddr, Fault> {
    text(config, path)?.parse().map_err(|_| Fault::odd(path, "an address and a port, such as 127.0.0.1:8000"))
}

fn limit(config: &Value, name: &str) -> Result<Option<u64>, Fault> {
    match config.get("limits").and_then(|limits| limits.get(name)) {
        None | Some(Value::Null) => Ok(None),
        Some(value) => match value.as_u64() {
            Some(limit @ 1..=0xffff_ffff) => Ok(Some(limit)),
            _ => Err(Fault::odd(&format!("limits.{name}"), "a whole number from 1")),
        },
    }
}

fn plain(value: &Value) -> Option<String> {
    match value {
        Value::String(text) => Some(text.clone()),
        Value::Number(number) => Some(number.to_string()),
        Value::Bool(flag) => Some(flag.to_string()),
        _ => None,
    }
}

/// Nested objects become paths; a list of objects gives its length under `.count`.
fn flatten(path: &str, value: &Value, paths: &mut BTreeMap<String, String>) {
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                let dot = if path.is_empty() { "" } else { "." };
                flatten(&format!("{path}{dot}{name}"), value, paths);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            paths.insert(format!("{path}.count"), items.len().to_string());
            items.iter().enumerate().for_each(|(k, item)| flatten(&format!("{path}.{k}"), item, paths));
        }
        Value::Array(items) => {
            let items = items.iter().filter_map(plain).map(|item| format!("{UNIT}{item}"));
            paths.insert(path.to_string(), items.collect());
        }
        value => _ = plain(value).map(|value| paths.insert(path.to_string(), value)),
    }
}

impl Config {
    pub fn parse(bytes: &[u8]) -> Result<Self, Fault> {
        let config: Value = serde_json::from_slice(bytes)?;
        let settings = config.get("settings").ok_or_else(|| Fault::missing("settings"))?;
        if !settings.is_object() {
            return Err(Fault::odd("settings", "an object"));
        }
        let mut paths = BTreeMap::new();
        flatten("", settings, &mut paths);
        let seed = u64::from_str_radix(text(&config, "seed")?, 16);
        Ok(Config {
            name: text(&config, "name")?.to_string(),
            listen: address(&config, "listen")?,
            discovery: address(&config, "discovery")?,
            relay: address(&config, "relay.address")?,
            seed: seed.map_err(|_| Fault::odd("seed", "16 hex digits"))?,
            known: config
                .get("known")
                .filter(|known| !known.is_null())
                .map(|known| known.to_string().into_bytes()),
            settings: paths,
            limits: Limits { sockets: limit(&config, "sockets")?, memory_mb: limit(&config, "memory_mb")? },
        })
    }

    /// What a running director cannot take over, by field: a digest each, to tell whether it has changed.
    pub fn fixed(&self) -> [(&'static str, u64); 4] {
        fn digest(part: impl Hash) -> u64 {
            let mut hasher = DefaultHasher::new();
            part.hash(&mut hasher);
            hasher.finish()
        }
        [
            ("name", digest(&self.name)),
            ("listen", digest(self.listen)),
            ("limits", digest(self.limits)),
            ("settings", digest(&self.settings)),
        ]
    }
}

#[cfg(test)]
mod tests;
