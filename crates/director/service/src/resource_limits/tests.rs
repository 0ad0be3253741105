//! Tests of the module `resource_limits`.
use super::*;
use test_case::test_case;

#[test_case(None, None ; "no limits given")]
#[test_case(Some(256), Some(32) ; "the least")]
#[test_case(Some(1024), Some(192) ; "the most on sockets")]
#[test_case(Some(4096), Some(192) ; "a whole fleet")]
fn all_parts_together_leave_a_reserve(sockets: Option<u64>, memory_mb: Option<u64>) {
    let bounds = ResourceLimits::from_config_limits(&Limits { sockets, memory_mb });
    let (sockets, memory) = (sockets.unwrap_or(256) as usize, (memory_mb.unwrap_or(32) << 20) as usize);
    // Eight are the relay's (three, twice while it moves) and discovery's (two); the others are the runtime's.
    assert!(bounds.max_connections + bounds.max_probes + 8 + 24 <= sockets);
    assert!(
        bounds.max_buffered_bytes + 2 * bounds.max_list_bytes <= memory / 5
            && bounds.max_buffered_bytes > 1 << 20
    );
    assert!(bounds.max_probes * PROBE_BYTES <= memory / 8);
}

/// With 256 probes at a time, a thousand hosts that had fallen silent took 2.8 s, more than the time in which a dead
/// one is to be noticed.
#[test]
fn a_thousand_hosts_are_probed_at_a_time() {
    assert_eq!(
        ResourceLimits::from_config_limits(&Limits { sockets: Some(4096), memory_mb: Some(192) }).max_probes,
        1024
    );
}
