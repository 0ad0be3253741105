//! The line of an outage.
use super::*;

#[test]
fn the_line_tells_a_silent_node_from_one_that_is_down() {
    let began = Instant::now();
    let mut outage = Outage::default();
    outage.record_failure(began, &PeerError::Timeout(ureq::Error::Timeout(ureq::Timeout::RecvResponse)));
    outage.record_failure(began, &PeerError::Connect(ureq::Error::ConnectionFailed));
    outage.record_isolated(began);
    let ended = outage.end(began + Duration::from_millis(900));
    let line = ", after 900 ms, polls: 1 silent, 1 unreachable, 1 isolated, 0 broken";
    assert_eq!(ended.to_string(), line);
    assert_eq!(outage.end(began).to_string(), "", "the next outage begins anew");
}
