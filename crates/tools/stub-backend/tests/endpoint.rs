//! The lifecycle of an endpoint: admission, leases, draining.
use assert_matches::assert_matches;
use coppersail_stub_backend::heartbeat::{ActiveLease, ReleasedRange};
use coppersail_stub_backend::{
    Endpoint, EndpointConfig, EndpointState, HeartbeatResponse, LeaseGrant, QueuedRequest, RequestHead,
    RequestOutcome,
};
use std::time::Duration;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn endpoint(sharded: bool) -> Endpoint {
    Endpoint::new(EndpointConfig {
        id: "i-1".to_string(),
        capacity: 2,
        sharded,
        service_time: at(100),
        slow_start: at(5000),
        heartbeat_interval: at(1000),
        drain_time: at(2000),
        ..EndpointConfig::default()
    })
}

const HEAD: RequestHead = RequestHead {
    attempt_id: Some("9c41"),
    wanted_endpoint: None,
    key: Some("7"),
    time_left_ms: Some("10000"),
    is_health_check: false,
};

fn queued(endpoint: &mut Endpoint, now: u64, head: &RequestHead) -> QueuedRequest {
    assert_matches!(endpoint.admit(at(now), head), RequestOutcome::Queued(request) => request)
}

fn running(id: usize, until: u64) -> RequestOutcome {
    RequestOutcome::Running { id, until: at(until) }
}

fn grant(from: u32, to: u32, fencing_token: u64) -> LeaseGrant {
    LeaseGrant { from, to, fencing_token, handover: String::new() }
}

fn leased(ranges: &[(u32, u32, u64)]) -> Option<Vec<ActiveLease>> {
    Some(ranges.iter().map(|&range| range.into()).collect())
}

fn response(grants: &[LeaseGrant], lease_duration: &str) -> HeartbeatResponse {
    HeartbeatResponse {
        leases: Some(grants.to_vec()),
        lease_duration: Some(lease_duration.into()),
        ..HeartbeatResponse::default()
    }
}

#[test]
fn requests_that_have_not_run_are_rejected() {
    let mut endpoint = endpoint(false);
    assert_eq!(
        endpoint.admit(at(0), &RequestHead { attempt_id: None, ..HEAD }),
        RequestOutcome::Rejected(400)
    );
    assert_eq!(
        endpoint.admit(at(0), &RequestHead { wanted_endpoint: Some("i-2"), ..HEAD }),
        RequestOutcome::Rejected(421)
    );
    let late = queued(&mut endpoint, 0, &RequestHead { time_left_ms: Some("50"), ..HEAD });
    let other = queued(&mut endpoint, 0, &RequestHead { wanted_endpoint: Some("i-1"), ..HEAD });
    assert_eq!(endpoint.admit(at(0), &HEAD), RequestOutcome::Rejected(503), "the queue is full");
    assert_eq!(
        endpoint.start(at(60), late),
        RequestOutcome::Rejected(503),
        "its deadline passed in the queue"
    );
    // Slow at first; later as planned, and cut at the deadline.
    assert_eq!(endpoint.start(at(60), other), running(0, 260));
    assert_eq!(endpoint.load(), "1,0,2");
    assert_eq!(endpoint.finish(at(260), 0), RequestOutcome::Completed(200));
    let short = queued(&mut endpoint, 6000, &RequestHead { time_left_ms: Some("30"), ..HEAD });
    assert_eq!(endpoint.start(at(6000), short), running(0, 6030));
    assert_eq!(endpoint.finish(at(6030), 0), RequestOutcome::Completed(504));
}

#[test]
fn leases_follow_the_heartbeat_responses() {
    let mut endpoint = endpoint(true);
    assert_eq!(endpoint.admit(at(0), &RequestHead { key: None, ..HEAD }), RequestOutcome::Rejected(400));
    let request = queued(&mut endpoint, 0, &HEAD);
    assert_eq!(endpoint.start(at(0), request), RequestOutcome::Rejected(421), "it has no lease yet");
    assert_eq!(endpoint.next_heartbeat(at(0)).leases, leased(&[]));
    endpoint.acknowledge_heartbeat(at(10), &response(&[grant(0, 9, 3)], "4000ms"));
    let request = queued(&mut endpoint, 10, &HEAD);
    assert_eq!(endpoint.start(at(10), request), running(0, 210));

    // Keys 5 to 9 are missing: they drain, and are released once the request on key 7 has ended.
    assert_eq!(endpoint.heartbeat_due_at(), at(1000));
    endpoint.next_heartbeat(at(100));
    endpoint.acknowledge_heartbeat(at(110), &response(&[grant(0, 4, 3)], "4000ms"));
    let request = queued(&mut endpoint, 110, &HEAD);
    assert_eq!(endpoint.start(at(110), request), RequestOutcome::Rejected(421));
    assert!(endpoint.heartbeat_due_at() <= at(200), "heartbeats come soon until they are released");
    let heartbeat = endpoint.next_heartbeat(at(150));
    assert_eq!(heartbeat.leases, leased(&[(0, 4, 3), (5, 9, 3)]));
    assert_eq!(endpoint.finish(at(210), 0), RequestOutcome::Completed(200));
    // That heartbeat is lost; the next ones report the release until one is acknowledged.
    let released = endpoint.next_heartbeat(at(220)).released.unwrap();
    assert_matches!(&released[..], [ReleasedRange { from: 5, to: 9, handover }] if !handover.is_empty());
    assert_eq!(endpoint.next_heartbeat(at(300)).released, Some(released));
    endpoint.acknowledge_heartbeat(at(310), &HeartbeatResponse::default());
    assert_eq!(
        (endpoint.heartbeat_due_at(), endpoint.next_heartbeat(at(1300)).released),
        (at(1300), Some(vec![]))
    );

    // The last response granted nothing, so the lease from 100 ms expires at 4,100, under a request, and is not
    // reported as released.
    let head = RequestHead { key: Some("4"), ..HEAD };
    let request = queued(&mut endpoint, 4050, &head);
    assert_matches!(endpoint.start(at(4050), request), RequestOutcome::Running { id: 0, .. });
    let heartbeat = endpoint.next_heartbeat(at(4100));
    assert_eq!((heartbeat.leases, heartbeat.released), (leased(&[]), Some(vec![])));
    endpoint.acknowledge_heartbeat(at(4110), &response(&[grant(0, 9, 4)], "4000ms"));
    assert_eq!(
        endpoint.finish(at(4250), 0),
        RequestOutcome::Completed(500),
        "it ran past the end of its lease"
    );
    // A grant with a stale fencing token is not applied; the lease with the higher token stays.
    endpoint.next_heartbeat(at(4300));
    endpoint.acknowledge_heartbeat(at(4310), &response(&[grant(0, 20, 3)], "9s"));
    assert_eq!(endpoint.next_heartbeat(at(4400)).leases, leased(&[(0, 9, 4)]));
}

#[test]
fn draining_ends_after_its_acknowledgement_or_a_timeout() {
    let mut endpoint = endpoint(false);
    assert_eq!(endpoint.next_heartbeat(at(0)).state, EndpointState::Ready);
    endpoint.drain(at(300));
    endpoint.acknowledge_heartbeat(at(400), &HeartbeatResponse::default());
    assert_eq!(
        (endpoint.heartbeat_due_at(), endpoint.may_stop(at(5299))),
        (at(300), false),
        "a heartbeat from before does not count"
    );
    assert!(endpoint.may_stop(at(5300)), "not acknowledged for seconds");
    assert_eq!(endpoint.next_heartbeat(at(400)).state, EndpointState::Draining);
    endpoint.acknowledge_heartbeat(at(500), &HeartbeatResponse::default());
    assert_eq!((endpoint.may_stop(at(2999)), endpoint.may_stop(at(3000))), (false, true));
    let check = queued(&mut endpoint, 600, &RequestHead { is_health_check: true, ..RequestHead::default() });
    assert_eq!(endpoint.start(at(600), check), running(0, 600));
    assert_eq!(endpoint.finish(at(600), 0), RequestOutcome::Completed(503));
}
