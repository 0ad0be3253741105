//! How many descriptors and bytes each part may hold, from the configuration's `limits`. Where these are absent, the
//! least that a director is ever given.

use coppersail_protocol::config::Limits;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Connections taken at a time.
    pub taken: usize,
    /// Probes under way at a time.
    pub probes: usize,
    /// Bytes that all taken connections together may have begun a line with.
    pub begun: usize,
    /// Bytes in a line of discovery.
    pub list: usize,
}

const SOCKETS_LEAST: u64 = 256;
const MEMORY_MB_LEAST: u64 = 32;
/// As many hosts as a fleet of the size that is served has, so that none waits for another that is silent: a silent
/// one holds its place for 0.7 s, and hosts are probed twice a second.
const PROBES_MOST: usize = 1024;
/// What a probe takes at most while it is under way: two buffers of its connection and a report.
const PROBE_BYTES: usize = 24 << 10;
/// A whole list of ten thousand hosts fits.
const LIST_MOST: usize = 4 << 20;

impl Bounds {
    /// Half of the descriptors for who connects and a quarter for probes. The last quarter is for the relay and discovery,
    /// twice while they move, for what the runtime holds, and as reserve. A sixteenth of the memory each for what
    /// has begun to come in from collectors and from discovery, and an eighth for probes.
    pub fn of(limits: &Limits) -> Self {
        let sockets = limits.sockets.unwrap_or(SOCKETS_LEAST) as usize;
        let memory = (limits.memory_mb.unwrap_or(MEMORY_MB_LEAST) as usize) << 20;
        Bounds {
            taken: (sockets / 2).max(8),
            probes: (sockets / 4).min(memory / 8 / PROBE_BYTES).clamp(8, PROBES_MOST),
            begun: memory / 16,
            list: (memory / 16).min(LIST_MOST),
        }
    }
}

#[cfg(test)]
mod tests;
