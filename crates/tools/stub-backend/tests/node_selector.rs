//! Which node is called next, and when.
use coppersail_stub_backend::{NodeSelector, RedirectTarget};
use std::time::Duration;

#[test]
fn a_failed_call_gives_up_the_assigned_node_then_the_configured_ones_in_turn() {
    let mut nodes = NodeSelector::new(vec!["10.0.0.1:80".into(), "10.0.0.2:80".into()], 0);
    nodes.record_success(Some("10.0.0.9:80"));
    assert_eq!(nodes.target(), "10.0.0.9:80");
    nodes.record_failure();
    assert_eq!(nodes.target(), "10.0.0.1:80");
    nodes.record_failure();
    assert_eq!(nodes.target(), "10.0.0.2:80");
}

#[test]
fn backoff_doubles_up_to_a_second_and_ends_with_a_success() {
    let mut nodes = NodeSelector::new(vec!["10.0.0.1:80".into()], 7);
    assert_eq!(nodes.backoff(), None);
    for ms in [50, 100, 200, 400, 800, 1000, 1000] {
        nodes.record_failure();
        assert_eq!(nodes.backoff(), Some(Duration::from_millis(ms)));
    }
    nodes.record_success(None);
    assert_eq!(nodes.backoff(), None);
}

#[test]
fn a_redirect_needs_a_plain_http_url() {
    let target = RedirectTarget::parse("http://10.0.0.2:80/servers/i-1/pulse");
    assert_eq!(target, Some(RedirectTarget { address: "10.0.0.2:80", path: "/servers/i-1/pulse" }));
    assert_eq!(RedirectTarget::parse("http://a"), Some(RedirectTarget { address: "a", path: "" }));
    assert_eq!(RedirectTarget::parse("/servers/i-1/pulse"), None);
}
