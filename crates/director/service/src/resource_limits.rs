//! How many descriptors and bytes each part of the director may hold.
//!
//! The figures follow from the configuration's `limits`. Where these are absent, the least that a director is ever
//! given is assumed.

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

/// Descriptors of a director whose configuration names none.
const DEFAULT_SOCKETS: u64 = 256;
/// Memory in MiB of a director whose configuration names none.
const DEFAULT_MEMORY_MB: u64 = 32;
const BYTES_PER_MB_SHIFT: u32 = 20;
/// The least that accepted connections and probes each get, however few descriptors there are.
const MIN_CONNECTIONS: usize = 8;
/// As many hosts as a fleet of the size that is served has, so that none waits for another that does not answer:
/// such a one occupies its place for 0.7 s, and hosts are probed twice a second.
const MAX_PROBES: usize = 1024;
/// What a probe takes at most while it is in flight: two buffers of its connection and a report.
const PROBE_BYTES: usize = 24 << 10;
/// In bytes; a full list of ten thousand hosts fits.
const MAX_LIST_BYTES: usize = 4 << 20;

impl ResourceLimits {
    /// Divides the limits among the parts.
    ///
    /// Half of the descriptors are for accepted connections and a quarter for probes. The last quarter is for the relay
    /// and discovery (twice while they move to another address), for what the runtime holds, and as reserve. Of the
    /// memory a sixteenth each is for what has begun to come in from collectors and from discovery, and an eighth for
    /// probes.
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
