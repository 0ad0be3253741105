//! Test of the log text about an outage.
use super::*;

#[test]
fn the_text_distinguishes_an_unresponsive_node_from_one_that_is_down() {
    let began = Instant::now();
    let mut outage = Outage::default();
    outage.record_failure(began, &PeerError::Timeout(ureq::Error::Timeout(ureq::Timeout::RecvResponse)));
    outage.record_failure(began, &PeerError::Connect(ureq::Error::ConnectionFailed));
    outage.record_isolated(began);
    let ended = outage.end(began + Duration::from_millis(900));
    let text = " after 900 ms, failed polls: 1 timed out, 1 unreachable, 1 isolated, 0 other";
    assert_eq!(ended.to_string(), text);
    assert_eq!(outage.end(began).to_string(), "", "the counts are reset");
}
