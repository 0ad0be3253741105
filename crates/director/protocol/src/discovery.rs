//! Discovery's lists: the whole one, and objects of changes, one a line.

use crate::{sound, Fault};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::net::SocketAddr;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Server<'a> {
    pub id: Cow<'a, str>,
    pub address: SocketAddr,
    pub zone: Cow<'a, str>,
    pub kind: Cow<'a, str>,
    pub cell: u64,
    pub state: State,
    pub weight: f64,
    /// Wall time in milliseconds; 0: long ago.
    pub started_ms: u64,
}

/// An entry that could not be used, and whose it is if that can be told.
#[derive(Clone, Debug, PartialEq)]
pub struct Unsound {
    pub id: Option<String>,
    pub fault: Fault,
}

#[derive(Clone, Debug, PartialEq)]
pub struct List<'a> {
    pub version: u64,
    /// What is not in it is gone.
    pub full: bool,
    /// Each entry by itself: an unsound one costs only itself.
    pub servers: Vec<Result<Server<'a>, Unsound>>,
}

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
    #[serde(borrow)]
    addr: Cow<'a, str>,
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

fn server(text: &str) -> Result<Server<'_>, Fault> {
    let raw: RawServer<'_> = serde_json::from_str(text)?;
    if raw.id.is_empty() || raw.id.contains([',', ';', ' ', '\r', '\n']) {
        return Err(Fault::odd("id", "a name that can stand in an order"));
    }
    Ok(Server {
        address: raw.addr.parse().map_err(|_| Fault::odd("addr", "an address and a port"))?,
        state: match raw.state.as_ref() {
            "in_service" => State::Ready,
            "terminating" => State::Draining,
            "terminated" => State::Gone,
            _ => return Err(Fault::odd("state", "in_service, terminating or terminated")),
        },
        weight: sound(raw.weight, "weight")?,
        id: raw.id,
        zone: raw.zone,
        kind: raw.kind,
        cell: raw.cell,
        started_ms: raw.started_ms,
    })
}

impl<'a> List<'a> {
    pub fn parse(object: &'a [u8]) -> Result<Self, Fault> {
        let raw: RawList<'a> = serde_json::from_slice(object)?;
        let entry = |value: &'a RawValue| {
            server(value.get()).map_err(|fault| {
                let id = serde_json::from_str::<RawId>(value.get()).ok().map(|raw| raw.id);
                Unsound { id, fault }
            })
        };
        let servers = raw.servers.into_iter().map(entry).collect();
        Ok(List { version: raw.version, full: raw.full, servers })
    }
}

/// Where the whole list is.
pub const LIST: &str = "/v1/endpoints";

/// Where changes after a version are.
pub fn watch(since: Option<u64>) -> String {
    let since = since.map_or(String::new(), |since| format!("&since={since}"));
    format!("{LIST}?follow=1{since}")
}

#[cfg(test)]
mod tests;
