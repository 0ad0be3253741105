//! Tests of the reducer, with fixtures that several of them use.

mod channel_model;
mod collector_connections;
mod collector_reports;
mod health_checks;
mod mass_joining;
mod relay_calls;
mod relay_lines;
mod relay_subscription;
mod reload;
mod retention;
mod truncated_messages;

use super::outbox::Outbox;
use super::relay_calls::{OrderTarget, RelayCalls, RelayOrder, WriteRequest};
use super::{Effect, Event, LinkId, Reducer};
use crate::framing::FramedLine;
use coppersail::interface::{HostId, SliceId};
use coppersail_protocol::config::Config;
use std::net::SocketAddr;

/// One zone, one route, one slice and two proxies.
const CONFIG: &str = r#"{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1","relay":{"address":"127.0.0.1:3"},
    "settings":{"zones":["a"],"kinds":["m2"],"classes":[{"name":"r","give-up-ns":3000000000}],"specifics":{"slices":1,"proxy-count":2}}}"#;

/// The first update stream: its connection is the second one, after the watch of discovery.
const UPDATES_LINK: LinkId = LinkId(2);

/// A collector joins for zone `a`.
const JOIN_LINE: &[u8] = b"{\"msg\":\"agent\",\"az\":\"a\"}\n";

/// A liveness check of the director.
const PROBE_LINE: &[u8] = b"{\"msg\":\"probe\"}\n";

/// A valid report of four calls.
const DEMAND_LINE: &[u8] =
    b"{\"msg\":\"hot\",\"partition\":0,\"kind\":\"r\",\"n\":4,\"bad\":0,\"window\":1000.0}\n";

/// The relay's snapshot: slice 0 is assigned and has one host.
const SNAPSHOT: [&str; 4] = ["OK", "* lease 0 1", "* line 0 h1 1.0", "*"];

fn relay_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

fn new_relay_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 2))
}

/// The channel has capacity for all orders of a call.
fn unlimited(request: WriteRequest) -> usize {
    request.orders
}

fn weight_order(slice: u16, host: u32, weight: f64) -> RelayOrder {
    let target = OrderTarget::Weight(SliceId(slice), HostId(host));
    RelayOrder { target, weight, text: format!("SET,{slice},h{host},{weight}") }
}

/// A queue with these calls, of which the first has been written on connection 1.
fn queue_with(queued: &[&[RelayOrder]]) -> (RelayCalls, Outbox) {
    let mut calls = RelayCalls::new(relay_address());
    let mut outbox = Outbox::default();
    for call in queued {
        calls.enqueue(call.to_vec());
    }
    calls.poll(0.0, unlimited, &mut outbox);
    calls.connected(0.0, LinkId(1));
    calls.poll(0.0, unlimited, &mut outbox);
    (calls, outbox)
}

/// Everything that was written to the relay, in order.
fn sent_calls(outbox: &Outbox) -> Vec<String> {
    let text = |effect: &Effect| match effect {
        Effect::SendToRelay(_, bytes) => Some(String::from_utf8_lossy(bytes).trim_end().to_string()),
        _ => None,
    };
    outbox.effects.iter().filter_map(text).collect()
}

/// Complete lines with these texts.
fn lines(texts: &[impl AsRef<str>]) -> Vec<FramedLine> {
    texts.iter().map(|text| FramedLine::Line(text.as_ref().as_bytes().to_vec())).collect()
}

fn new_reducer() -> Reducer {
    Reducer::new(&Config::parse(CONFIG.as_bytes()).unwrap(), 0).unwrap()
}

/// A reducer whose first update stream is synchronized, and to which slice 0 is assigned.
fn reducer_with_slice() -> Reducer {
    let mut reducer = new_reducer();
    reducer.reduce(0.0, Event::EndOfBatch);
    reducer.reduce(0.0, Event::RelayConnected(UPDATES_LINK));
    reducer.reduce(0.1, Event::RelayLines(UPDATES_LINK, lines(&SNAPSHOT)));
    reducer
}

/// A reducer as of [`reducer_with_slice`] with a queued call, which sets a weight of the returned host in slice 0 and
/// withdraws the host.
fn reducer_with_slice_and_queued_call() -> (Reducer, HostId) {
    let mut reducer = reducer_with_slice();
    reducer.reduce(0.1, Event::EndOfBatch);
    let host = reducer.names.host_id("h9");
    let withdraw =
        RelayOrder { target: OrderTarget::Withdraw(host), weight: 0.0, text: "OUT,h9".to_string() };
    let set = RelayOrder {
        target: OrderTarget::Weight(SliceId(0), host),
        weight: 1.0,
        text: "SET,0,h9,1".to_string(),
    };
    reducer.calls.enqueue(vec![set, withdraw]);
    (reducer, host)
}

/// A host's entry in a list of discovery.
fn host_entry(name: &str, state: &str, started_ms: u64) -> String {
    format!(
        r#"{{"id":"{name}","addr":"127.0.0.1:9","zone":"a","kind":"m2","cell":0,"state":"{state}","weight":1.0,"started_ms":{started_ms}}}"#
    )
}

/// A list of discovery, complete or incremental.
fn host_list(version: usize, full: bool, entries: &[String]) -> String {
    format!(r#"{{"version":{version},"full":{full},"servers":[{}]}}"#, entries.join(","))
}
