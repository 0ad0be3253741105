//! The endpoint lists of the discovery service: the complete list on request, and the changes after a version as a
//! stream of JSON objects, one per line.

use crate::number::non_negative;
use crate::ParseError;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::net::SocketAddr;

/// Separators of the relay's line protocol. Host ids are written into its lines and must not contain them.
const RELAY_SEPARATORS: [char; 5] = [',', ';', ' ', '\r', '\n'];

/// Whether a host accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// The host accepts requests.
    Ready,
    /// The host finishes its current requests and accepts no new ones.
    Draining,
    /// The host has terminated.
    Gone,
}

/// One host of the list. Names borrow from the list's text unless they hold JSON escapes.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint<'a> {
    /// Id of the host, free of the separators of the relay's protocol.
    pub id: Cow<'a, str>,
    /// Address at which it serves requests.
    pub address: SocketAddr,
    /// Name of its zone.
    pub zone: Cow<'a, str>,
    /// Name of its machine kind.
    pub kind: Cow<'a, str>,
    /// The small group of hosts in its zone that it belongs to.
    pub cell: u64,
    /// Whether it accepts requests.
    pub state: EndpointState,
    /// Capacity relative to the other hosts, not negative.
    pub weight: f64,
    /// Unix time at which its process started, in milliseconds; 0 means an unknown time long ago.
    pub started_ms: u64,
}

/// An entry that could not be parsed. Its text is that of `error`.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{error}")]
pub struct InvalidEntry {
    /// Id of its host, if the entry has a readable one.
    pub id: Option<String>,
    /// What is wrong with it.
    pub error: ParseError,
}

/// An endpoint list, or changes of it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointList<'a> {
    /// Version of the list after this message; it only increases.
    pub version: u64,
    /// Whether this is the complete list, so that hosts missing from it are gone.
    pub is_complete: bool,
    /// The entries. An invalid entry does not affect the others.
    pub entries: Vec<Result<Endpoint<'a>, InvalidEntry>>,
}

// Serde's error texts contain the names of the following types, so these must not be renamed.

#[derive(Deserialize)]
struct RawList<'a> {
    version: u64,
    full: bool,
    #[serde(borrow)]
    servers: Vec<&'a RawValue>,
}

#[derive(Deserialize)]
struct RawServer<'a> {
    #[serde(borrow)]
    id: Cow<'a, str>,
    #[serde(borrow, rename = "addr")]
    address: Cow<'a, str>,
    #[serde(borrow)]
    zone: Cow<'a, str>,
    #[serde(borrow)]
    kind: Cow<'a, str>,
    cell: u64,
    #[serde(borrow)]
    state: Cow<'a, str>,
    weight: f64,
    started_ms: u64,
}

#[derive(Deserialize)]
struct RawId {
    id: String,
}

impl EndpointState {
    fn parse(word: &str) -> Result<Self, ParseError> {
        match word {
            "in_service" => Ok(EndpointState::Ready),
            "terminating" => Ok(EndpointState::Draining),
            "terminated" => Ok(EndpointState::Gone),
            unknown => Err(ParseError::invalid("state", unknown, "in_service, terminating or terminated")),
        }
    }
}

impl<'a> Endpoint<'a> {
    fn parse(text: &'a str) -> Result<Self, ParseError> {
        let raw: RawServer<'a> = serde_json::from_str(text)?;
        if raw.id.is_empty() || raw.id.contains(RELAY_SEPARATORS) {
            return Err(ParseError::invalid("id", raw.id, "a name that can stand in an order"));
        }
        let address = raw.address.parse();
        Ok(Endpoint {
            address: address
                .map_err(|_| ParseError::invalid("addr", &raw.address, "an address and a port"))?,
            state: EndpointState::parse(&raw.state)?,
            weight: non_negative(raw.weight, "weight")?,
            id: raw.id,
            zone: raw.zone,
            kind: raw.kind,
            cell: raw.cell,
            started_ms: raw.started_ms,
        })
    }
}

fn parse_entry(entry: &RawValue) -> Result<Endpoint<'_>, InvalidEntry> {
    let text = entry.get();
    Endpoint::parse(text).map_err(|error| {
        let id = serde_json::from_str::<RawId>(text).ok().map(|raw| raw.id);
        InvalidEntry { id, error }
    })
}

impl<'a> EndpointList<'a> {
    /// Parses one object.
    ///
    /// # Errors
    /// The object is not an endpoint list. Errors of single entries are kept in [`EndpointList::entries`].
    pub fn parse(object: &'a [u8]) -> Result<Self, ParseError> {
        let raw: RawList<'a> = serde_json::from_slice(object)?;
        let entries = raw.servers.into_iter().map(parse_entry).collect();
        Ok(EndpointList { version: raw.version, is_complete: raw.full, entries })
    }
}

/// Path of the complete endpoint list.
pub const ENDPOINTS_PATH: &str = "/v1/endpoints";

/// Path and query of the stream of changes after version `since`. Without a version, the stream begins with the
/// complete list.
pub fn watch_path(since: Option<u64>) -> String {
    match since {
        Some(version) => format!("{ENDPOINTS_PATH}?follow=1&since={version}"),
        None => format!("{ENDPOINTS_PATH}?follow=1"),
    }
}

#[cfg(test)]
mod tests;
