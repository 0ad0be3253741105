//! Departures of endpoints: what an acknowledgement of a drain or a sign-off rests on.
mod memory_cluster;

use coppersail_control_plane::node::{AdminRequest, Event};
use coppersail_peer_protocol::EndpointState;
use memory_cluster::Cluster;
use serde_json::json;

const ENDPOINT: &str = "i-1";

fn heartbeat(state: &str, sequence: u64) -> AdminRequest {
    let body = json!({"backend": "s", "address": "10.9.0.1:80", "stage": state, "callCount": sequence});
    AdminRequest::Heartbeat { endpoint_id: ENDPOINT.into(), body: body.to_string() }
}

fn sign_off() -> AdminRequest {
    AdminRequest::SignOff { endpoint_id: ENDPOINT.into() }
}

/// The state of the endpoint in the snapshot of each member.
fn states(cluster: &mut Cluster) -> Vec<Option<EndpointState>> {
    let state = |at| {
        let update = cluster.snapshot(at);
        update.endpoints.iter().find(|endpoint| endpoint.id == ENDPOINT).map(|endpoint| endpoint.state)
    };
    (0..3).map(state).collect()
}

#[test]
fn members_that_do_not_lead_pass_departures_on_to_the_leader() {
    let mut cluster = Cluster::start();
    let leader = "http://10.1.0.1:8544/servers/i-1";
    cluster.assert_answer(1, heartbeat("emptying", 1), 307, &format!("{leader}/pulse"));
    cluster.assert_answer(2, sign_off(), 307, &format!("{leader}/sign-off"));
    cluster.run(500);
    assert_eq!(states(&mut cluster), [Some(EndpointState::Removed); 3], "their followers know at once");
}

/// Guards against an endpoint that signs off at a member which has never heard of it.
#[test]
fn an_unknown_endpoint_that_signs_off_is_removed_at_all_members_and_stays_so() {
    let mut cluster = Cluster::start();
    assert_eq!(cluster.request(0, sign_off()).0, 200);
    cluster.run(500);
    assert_eq!(states(&mut cluster), [Some(EndpointState::Removed); 3]);
    // A heartbeat from before the sign-off, and ones of an endpoint that goes on.
    for (at, sequence) in [(1, 1), (2, 40), (0, 41)] {
        assert_eq!(cluster.request(at, heartbeat("ready", sequence)).0, 200);
    }
    cluster.run(500);
    assert_eq!(states(&mut cluster), [Some(EndpointState::Removed); 3]);
}

#[test]
fn a_departure_that_is_on_one_disk_only_is_not_acknowledged() {
    for departure in [|| heartbeat("emptying", 1), sign_off] {
        let mut cluster = Cluster::start();
        cluster.disk_hangs = true;
        assert_eq!(cluster.request(0, departure()).0, 503);
    }
}

/// Guards against an acknowledgement that rests on a later heartbeat, which is not acknowledged itself yet.
#[test]
fn a_late_heartbeat_of_a_draining_endpoint_is_acknowledged_no_sooner_than_the_latest() {
    let mut cluster = Cluster::start();
    cluster.disk_hangs = true;
    let request = heartbeat("emptying", 5);
    cluster.step(0, Event::Admin { request_id: u64::MAX, request });
    assert_eq!(cluster.request(0, heartbeat("emptying", 4)).0, 503);
    cluster.run(1_000);
    assert!(cluster.answers.iter().all(|(status, _)| *status == 503), "{:?}", cluster.answers);
}

/// Guards against a departure that only the last leader knew of, and against edges that count a drain from the
/// moment at which they hear of it again.
#[test]
fn a_new_leader_publishes_the_departures_that_the_last_one_acknowledged() {
    let mut cluster = Cluster::start();
    assert_eq!(cluster.request(0, heartbeat("emptying", 1)).0, 200);
    cluster.stopped.insert(0);
    cluster.run(10_000);
    let leader = (1..3).find(|at| cluster.nodes[*at].is_leader()).expect("one of two others leads");
    let update = cluster.snapshot(leader);
    let endpoint = update.endpoints.iter().find(|endpoint| endpoint.id == ENDPOINT).unwrap();
    assert_eq!((endpoint.state, endpoint.drain_acknowledged), (EndpointState::Draining, true));
    // The endpoint goes on to report that it drains.
    assert_eq!(cluster.request(leader, heartbeat("emptying", 2)).0, 200);
    assert!(cluster.snapshot(leader).endpoints[0].drain_acknowledged, "that was acknowledged before");
}

/// Guards against an edge that hears of a drain late, from a node that did not answer for a while, and counts the
/// time in which it may still use the endpoint from then.
#[test]
fn an_edge_that_learns_of_a_drain_after_its_acknowledgement_is_told_so_by_every_member() {
    let mut cluster = Cluster::start();
    cluster.disk_hangs = true;
    cluster.step(0, Event::Admin { request_id: u64::MAX, request: heartbeat("emptying", 1) });
    let is_marked = |cluster: &mut Cluster, at| cluster.snapshot(at).endpoints[0].drain_acknowledged;
    cluster.run(300);
    assert!(cluster.answers.is_empty() && (0..3).all(|at| !is_marked(&mut cluster, at)));
    let mut cluster = Cluster::start();
    assert_eq!(cluster.request(0, heartbeat("emptying", 1)).0, 200);
    cluster.run(500);
    assert!((0..3).all(|at| is_marked(&mut cluster, at)));
}

#[test]
fn without_quorum_contact_no_departure_is_acknowledged() {
    let mut cluster = Cluster::start();
    cluster.partitioned = true;
    cluster.run(5_000);
    for at in 0..3 {
        assert_eq!(cluster.request(at, heartbeat("emptying", 1)).0, 503);
        assert_eq!(cluster.request(at, sign_off()).0, 503);
    }
}
