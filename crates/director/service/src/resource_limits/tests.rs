//! Tests of the module `resource_limits`.
use super::*;
use test_case::test_case;

#[test_case(None, None ; "no limits given")]
#[test_case(Some(256), Some(32) ; "minimum")]
#[test_case(Some(1024), Some(192) ; "maximum of a deployment on sockets")]
#[test_case(Some(4096), Some(192) ; "limits of the largest fleet")]
fn all_parts_together_leave_a_reserve(sockets: Option<u64>, memory_mb: Option<u64>) {
    let bounds = ResourceLimits::from_config_limits(&Limits { sockets, memory_mb });
    let (sockets, memory) = (sockets.unwrap_or(256) as usize, (memory_mb.unwrap_or(32) << 20) as usize);
    // Eight descriptors are for the relay (three, doubled while it moves) and discovery (two); 24 are for the
    // runtime.
    assert!(bounds.max_connections + bounds.max_probes + 8 + 24 <= sockets);
    assert!(
        bounds.max_buffered_bytes + 2 * bounds.max_list_bytes <= memory / 5
            && bounds.max_buffered_bytes > 1 << 20
    );
    assert!(bounds.max_probes * PROBE_BYTES <= memory / 8);
}

/// With a limit of 256 probes, probing a thousand unresponsive hosts took 2.8 s, longer than the time within which a
/// dead host must be detected.
#[test]
fn a_thousand_hosts_are_probed_at_a_time() {
    assert_eq!(
        ResourceLimits::from_config_limits(&Limits { sockets: Some(4096), memory_mb: Some(192) }).max_probes,
        1024
    );
}
