//! Discovery's endpoint lists: the complete list on request, and the changes after a version as a stream of JSON
//! objects, one a line.

use crate::number::non_negative;
use crate::ParseError;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::net::SocketAddr;

/// Characters that separate the orders and the words of the relay's lines, in which host ids stand.
const RELAY_SEPARATORS: [char; 5] = [',', ';', ' ', '\r', '\n'];

/// Whether a host takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// In service.
    Ready,
    /// Finishes what it has and takes nothing new.
    Draining,
    /// Terminated.
    Gone,
}

/// One host of the list. Names borrow from the list's text wherever nothing in them is escaped.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint<'a> {
    /// Id of the host, safe to be written in an order to the relay.
    pub id: Cow<'a, str>,
    /// Where it serves.
    pub address: SocketAddr,
    /// Name of its zone.
    pub zone: Cow<'a, str>,
    /// Name of its machine kind.
    pub kind: Cow<'a, str>,
    /// The small group of hosts in its zone that it belongs to.
    pub cell: u64,
    /// Whether it takes requests.
    pub state: EndpointState,
    /// Capacity in relation to the others, not negative.
    pub weight: f64,
    /// When its process started: Unix time, milliseconds; 0: unknown, long ago.
    pub started_ms: u64,
}

/// An entry that could not be used. Its text is that of `fault`.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{error}")]
pub struct InvalidEntry {
    /// Id of its host, if that can be told.
    pub id: Option<String>,
    /// What is wrong with it.
    pub error: ParseError,
}

/// An endpoint list, or changes of it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointList<'a> {
    /// Version of the list after this message; it only rises.
    pub version: u64,
    /// The list is complete: hosts that are not in it are gone.
    pub is_complete: bool,
    /// The entries. An invalid one does not spoil the others.
    pub entries: Vec<Result<Endpoint<'a>, InvalidEntry>>,
}

// Error texts quote the names of the following types.

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
    Endpoint::parse(text).map_err(|fault| {
        let id = serde_json::from_str::<RawId>(text).ok().map(|raw| raw.id);
        InvalidEntry { id, error: fault }
    })
}

impl<'a> EndpointList<'a> {
    /// Parses one object.
    ///
    /// # Errors
    /// The object is no endpoint list. Errors of single entries stand in [`EndpointList::entries`].
    pub fn parse(object: &'a [u8]) -> Result<Self, ParseError> {
        let raw: RawList<'a> = serde_json::from_slice(object)?;
        let servers = raw.servers.into_iter().map(parse_entry).collect();
        Ok(EndpointList { version: raw.version, is_complete: raw.full, entries: servers })
    }
}

/// Path of the complete list.
pub const ENDPOINTS_PATH: &str = "/v1/endpoints";

/// Path and query of the stream of changes after version `since`; without a version it begins with the complete list.
pub fn watch_path(since: Option<u64>) -> String {
    match since {
        Some(version) => format!("{ENDPOINTS_PATH}?follow=1&since={version}"),
        None => format!("{ENDPOINTS_PATH}?follow=1"),
    }
}

#[cfg(test)]
mod tests;
