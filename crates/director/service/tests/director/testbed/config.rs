//! The text of the director's configuration and of discovery's lists.

use std::net::SocketAddr;

/// The values of the configuration that tests vary.
pub(crate) struct DirectorConfig {
    pub(crate) listen: SocketAddr,
    pub(crate) discovery: SocketAddr,
    pub(crate) relay: SocketAddr,
    /// The cached host list, as JSON.
    pub(crate) known_hosts: String,
    pub(crate) director_count: usize,
    pub(crate) proxy_count: u16,
    pub(crate) slice_count: u16,
    /// Table lines per second that pass the channel to the proxies.
    pub(crate) lines_per_s: f64,
    /// Table lines that may be queued in the channel.
    pub(crate) backlog: f64,
    pub(crate) report_interval_ns: u64,
    pub(crate) memory_mb: u64,
    pub(crate) sockets: u64,
}

impl DirectorConfig {
    /// One director with two slices and the smallest limits of descriptors and memory.
    pub(crate) fn new(
        listen: SocketAddr,
        discovery: SocketAddr,
        relay: SocketAddr,
        known_hosts: String,
    ) -> Self {
        DirectorConfig {
            listen,
            discovery,
            relay,
            known_hosts,
            director_count: 1,
            proxy_count: 5,
            slice_count: 2,
            lines_per_s: 60_000.0,
            backlog: 120_000.0,
            report_interval_ns: 1_000_000_000,
            memory_mb: 32,
            sockets: 256,
        }
    }

    pub(crate) fn to_json(&self) -> String {
        let DirectorConfig { listen, discovery, relay, known_hosts, director_count, .. } = self;
        let DirectorConfig { proxy_count, slice_count, lines_per_s, backlog, .. } = self;
        let DirectorConfig { report_interval_ns, memory_mb, sockets, .. } = self;
        format!(
            r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"relay":{{"address":"{relay}"}},"known":{known_hosts},
        "settings":{{"me":0,"balancers":{director_count},"discovery":"pushed","zones":["a"],"kinds":["m2"],
        "classes":[{{"name":"lookup","aim-ns":1000000000,"give-up-ns":3000000000,"worth":1.0,"semantics":"safe"}}],
        "guarantees":{{"cold-from":0.2,"fall-multiple":4.0,"ramp-time-ns":2000000000,"stop-sending-within-ns":2000000000}},
        "limits":{{"may-probe":true}},"report":{{"columns":["q","lat_ms"],"source":"piggyback"}},
        "specifics":{{"slices":{slice_count},"proxy-count":{proxy_count},"lines-per-s":{lines_per_s:?},"backlog":{backlog:?},"overhead":12.0,
        "interval-ns":{report_interval_ns},"admission":"fraction"}}}}}}"#
        )
    }
}

/// A host in a list of discovery.
pub(crate) fn host_entry(id: &str, address: SocketAddr, state: &str) -> String {
    format!(
        r#"{{"id":"{id}","addr":"{address}","zone":"a","kind":"m2","cell":0,"state":"{state}","weight":1.0,"started_ms":0}}"#
    )
}

/// A list of discovery: all hosts (`is_full`), or those that have changed.
pub(crate) fn host_list(version: u64, is_full: bool, entries: &[String]) -> String {
    format!(r#"{{"version":{version},"full":{is_full},"servers":[{}]}}"#, entries.join(","))
}
