//! Tests of which requests a draining endpoint still accepts.
use super::*;

#[test]
fn a_draining_endpoint_accepts_only_keys_that_it_owns_and_only_within_the_grace_period() {
    let update = |state| EndpointUpdate { state, ..EndpointUpdate::default() };
    let address = SocketAddr::from(([10, 0, 0, 1], 80));
    let mut endpoint = Endpoint::new(&update(EndpointState::Ready), address, "north", 0);
    let grace = drain_grace(Duration::from_secs(5));
    assert_eq!(grace, 2_000);
    assert!(endpoint.merge(&update(EndpointState::Draining), address, 1_000));
    assert!(!endpoint.usable(1_000) && endpoint.accepts_owned_keys(2_999, grace));
    assert!(endpoint.still_accepts(2_999, Some(7), grace) && !endpoint.still_accepts(2_999, None, grace));
    assert!(!endpoint.accepts_owned_keys(3_000, grace), "it may exit");
    // So may one whose drain a new leader has read from the replicated state.
    let mut acknowledged = Endpoint::new(&update(EndpointState::Ready), address, "north", 0);
    let drain = EndpointUpdate { drain_acknowledged: true, ..update(EndpointState::Draining) };
    assert!(acknowledged.merge(&drain, address, 2_500));
    assert!(!acknowledged.accepts_owned_keys(2_500, grace));
    // An endpoint that was already draining when it became known may exit at any time.
    let known_late = Endpoint::new(&update(EndpointState::Draining), address, "north", 2_500);
    assert!(!known_late.accepts_owned_keys(2_500, grace));
}
