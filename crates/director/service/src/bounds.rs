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
mod tests {
    use super::*;
    use test_case::test_case;

    #[test_case(None, None ; "no limits given")]
    #[test_case(Some(256), Some(32) ; "the least")]
    #[test_case(Some(1024), Some(192) ; "the most on sockets")]
    #[test_case(Some(4096), Some(192) ; "a whole fleet")]
    fn the_parts_leave_a_reserve(sockets: Option<u64>, memory_mb: Option<u64>) {
        let bounds = Bounds::of(&Limits { sockets, memory_mb });
        let (sockets, memory) = (sockets.unwrap_or(256) as usize, (memory_mb.unwrap_or(32) << 20) as usize);
        // Relay: two and one, twice; discovery: two; the rest is the runtime's.
        assert!(bounds.taken + bounds.probes + 8 + 24 <= sockets);
        assert!(bounds.begun + 2 * bounds.list <= memory / 5 && bounds.begun > 1 << 20);
        assert!(bounds.probes * PROBE_BYTES <= memory / 8);
    }

    // With 256 places a thousand hosts that fell silent took 2.8 s, past the time in which a dead one is to be noticed.
    #[test]
    fn a_thousand_hosts_are_probed_at_a_time() {
        assert_eq!(Bounds::of(&Limits { sockets: Some(4096), memory_mb: Some(192) }).probes, 1024);
    }
}
