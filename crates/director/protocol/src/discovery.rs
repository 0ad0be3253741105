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
mod tests {
    use super::*;
    use test_case::test_case;

    const ENTRY: &str = r#"{"id":"s-5","addr":"127.0.0.1:8000","zone":"a","kind":"m2","cell":3,"state":"terminating","weight":1.0,"started_ms":7}"#;

    fn list(entries: &str) -> String {
        format!(r#"{{"version":43,"full":false,"servers":[{entries}]}}"#)
    }

    #[test]
    fn entries_are_read() {
        let text = list(ENTRY);
        let list = List::parse(text.as_bytes()).unwrap();
        let server = list.servers[0].as_ref().unwrap();
        assert_eq!((list.version, list.full, server.state), (43, false, State::Draining));
        assert_eq!((server.cell, server.started_ms, server.address.port()), (3, 7, 8000));
        assert!(matches!(server.id, Cow::Borrowed("s-5")));
    }

    #[test_case(r#""started_ms":7"#, r#""started_ms":"x""#, Some("s-5") ; "a wrong type")]
    #[test_case("terminating", "asleep", Some("s-5") ; "an unknown state")]
    #[test_case("127.0.0.1:8000", "nowhere", Some("s-5") ; "no address")]
    #[test_case(r#""id":"s-5","#, "", None ; "no id")]
    #[test_case(r#""id":"s-5""#, r#""id":"s;DEL,4""#, Some("s;DEL,4") ; "an id that would be an order")]
    fn an_unsound_entry_costs_only_itself(sound: &str, unsound: &str, id: Option<&str>) {
        let text = list(&format!("{},{ENTRY}", ENTRY.replace(sound, unsound)));
        let list = List::parse(text.as_bytes()).unwrap();
        assert_eq!(list.servers[0].as_ref().unwrap_err().id.as_deref(), id);
        assert!(list.servers[1].is_ok());
    }

    #[test_case(b"{\"version\":43" ; "cut off")]
    #[test_case(b"{\"version\":-1,\"full\":true,\"servers\":[]}" ; "a negative version")]
    #[test_case(b"<html>" ; "no object")]
    fn no_list(text: &[u8]) {
        assert!(List::parse(text).is_err());
    }

    #[test]
    fn paths() {
        assert_eq!(watch(Some(41)), "/v1/endpoints?follow=1&since=41");
        assert_eq!(watch(None), "/v1/endpoints?follow=1");
    }
}
