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
/// No host is probed twice at a time, so more would only be met by very large lists.
const PROBES_MOST: usize = 256;
/// A whole list of ten thousand hosts fits.
const LIST_MOST: usize = 4 << 20;

impl Bounds {
    /// Half of the descriptors for who connects and a quarter for probes. The last quarter is for the relay and discovery,
    /// twice while they move, for what the runtime holds, and as reserve. A sixteenth of the memory each for what
    /// has begun to come in from collectors and from discovery.
    pub fn of(limits: &Limits) -> Self {
        let sockets = limits.sockets.unwrap_or(SOCKETS_LEAST) as usize;
        let memory = (limits.memory_mb.unwrap_or(MEMORY_MB_LEAST) as usize) << 20;
        Bounds {
            taken: (sockets / 2).max(8),
            probes: (sockets / 4).clamp(8, PROBES_MOST),
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
    #[test_case(Some(1024), Some(192) ; "the most")]
    fn the_parts_leave_a_reserve(sockets: Option<u64>, memory_mb: Option<u64>) {
        let bounds = Bounds::of(&Limits { sockets, memory_mb });
        let (sockets, memory) = (sockets.unwrap_or(256) as usize, (memory_mb.unwrap_or(32) << 20) as usize);
        // Relay: two and one, twice; discovery: two; the rest is the runtime's.
        assert!(bounds.taken + bounds.probes + 8 + 24 <= sockets);
        assert!(bounds.begun + 2 * bounds.list <= memory / 5 && bounds.begun > 1 << 20);
    }
}
