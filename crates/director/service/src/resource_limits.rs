//! How many file descriptors and bytes each part of the director may hold.
//!
//! They are derived from the configuration's `limits`. A limit that is absent is taken to be the least that any
//! director is given.

use coppersail_protocol::config::Limits;

/// The share of the process' descriptors and memory that each part may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceLimits {
    /// Accepted connections at a time.
    pub max_connections: usize,
    /// Health probes in flight at a time.
    pub max_probes: usize,
    /// Bytes of incomplete lines that all accepted connections together may buffer.
    pub max_buffered_bytes: usize,
    /// Bytes in a line of discovery.
    pub max_list_bytes: usize,
}

/// File descriptors of a director whose configuration does not limit them.
const DEFAULT_SOCKETS: u64 = 256;
/// Memory in MiB of a director whose configuration does not limit it.
const DEFAULT_MEMORY_MB: u64 = 32;
const BYTES_PER_MB_SHIFT: u32 = 20;
/// The least that accepted connections and probes each get, however few descriptors there are.
const MIN_CONNECTIONS: usize = 8;
/// The number of hosts in the largest supported fleet, so that no probe waits for a host that does not answer: such a
/// host keeps its probe in flight for 0.7 s, and hosts are probed twice a second.
const MAX_PROBES: usize = 1024;
/// Maximum memory of a probe in flight, in bytes: two buffers of its connection and a load report.
const PROBE_BYTES: usize = 24 << 10;
/// Maximum length of a line of discovery, in bytes: enough for a complete list of ten thousand hosts.
const MAX_LIST_BYTES: usize = 4 << 20;

impl ResourceLimits {
    /// Divides the limits among the parts.
    ///
    /// Half of the descriptors are for accepted connections and a quarter for probes. The last quarter is for the
    /// connections to the relay and discovery (which double while these move to another address), for the runtime,
    /// and as reserve. Of the memory, a sixteenth is for incomplete lines of collectors, another for incomplete lines
    /// of discovery, and an eighth for probes.
    pub fn from_config_limits(limits: &Limits) -> Self {
        let sockets = limits.sockets.unwrap_or(DEFAULT_SOCKETS) as usize;
        let memory = (limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MB) as usize) << BYTES_PER_MB_SHIFT;
        let probes_by_memory = memory / 8 / PROBE_BYTES;
        ResourceLimits {
            max_connections: (sockets / 2).max(MIN_CONNECTIONS),
            max_probes: (sockets / 4).min(probes_by_memory).clamp(MIN_CONNECTIONS, MAX_PROBES),
            max_buffered_bytes: memory / 16,
            max_list_bytes: (memory / 16).min(MAX_LIST_BYTES),
        }
    }
}

#[cfg(test)]
mod tests;
