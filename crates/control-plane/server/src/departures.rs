//! Departures of endpoints in the replicated state: that one drains, or has signed off.
//!
//! An endpoint that leaves stops serving some time after its departure was acknowledged, whatever becomes of the
//! member that acknowledged it. The change feeds are in memory, and an endpoint that has signed off sends no
//! heartbeats that would fill them again. A departure is therefore acknowledged only once it is committed, and a
//! newly elected leader publishes all of them. One is removed when the leader forgets the endpoint.
use crate::store::KeyValue;
use coppersail_peer_protocol::{EndpointState, EndpointUpdate};
use std::collections::BTreeMap;

/// The prefix of the keys of departures; the id of the endpoint follows it.
const KEY_PREFIX: &str = "departure/";

fn key(endpoint: &str) -> String {
    format!("{KEY_PREFIX}{endpoint}")
}

/// The write that makes a departure durable.
pub(crate) fn write(departure: &EndpointUpdate) -> KeyValue {
    let stored =
        EndpointUpdate { suspect: false, slow_start_ms: 0, drain_acknowledged: false, ..departure.clone() };
    // A struct whose keys are strings: this does not fail.
    (key(&departure.id), serde_json::to_string(&stored).unwrap_or_default())
}

/// The writes that remove the departures of forgotten endpoints. An empty value removes a key.
pub(crate) fn removals(state: &BTreeMap<String, String>, forgotten: &[String]) -> Vec<KeyValue> {
    let keys = forgotten.iter().map(|endpoint| key(endpoint));
    keys.filter(|key| state.contains_key(key)).map(|key| (key, String::new())).collect()
}

fn parse(value: &str) -> Option<EndpointUpdate> {
    serde_json::from_str(value).ok()
}

/// The state that an endpoint has announced, as it is committed; ready if it has announced none.
pub(crate) fn committed_state(state: &BTreeMap<String, String>, endpoint: &str) -> EndpointState {
    let departure = state.get(&key(endpoint)).and_then(|value| parse(value));
    departure.map_or(EndpointState::Ready, |departure| departure.state)
}

/// All committed departures.
pub(crate) fn recover(state: &BTreeMap<String, String>) -> Vec<EndpointUpdate> {
    let departures = state.range(KEY_PREFIX.to_string()..).take_while(|(key, _)| key.starts_with(KEY_PREFIX));
    departures.filter_map(|(_, value)| parse(value)).collect()
}
