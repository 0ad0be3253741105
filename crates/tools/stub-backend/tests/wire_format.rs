//! The bytes of heartbeats and of their responses.
use coppersail_stub_backend::heartbeat::{ActiveLease, ReleasedRange};
use coppersail_stub_backend::{EndpointState, Heartbeat, HeartbeatResponse, LeaseGrant};

fn heartbeat() -> Heartbeat {
    Heartbeat {
        service: "shelf".into(),
        address: "127.0.0.4:9001".into(),
        zone: "north".into(),
        revision: "v1".into(),
        capacity: 4,
        state: EndpointState::Ready,
        slow_start_left: "0ms".into(),
        sequence: 12,
        leases: None,
        released: None,
    }
}

#[test]
fn a_heartbeat_keeps_its_names_and_rows() {
    let text = r#"{"backend":"shelf","address":"127.0.0.4:9001","area":"north","revision":"v1","capacity":4,"stage":"ready","warmLeft":"0ms","callCount":12}"#;
    assert_eq!(serde_json::to_string(&heartbeat()).unwrap(), text);
    assert_eq!(serde_json::from_str::<Heartbeat>(text).unwrap(), heartbeat());

    let sharded = Heartbeat {
        state: EndpointState::Draining,
        leases: Some(vec![ActiveLease { from: 0, to: 4, fencing_token: 3 }]),
        released: Some(vec![ReleasedRange { from: 5, to: 9, handover: "0000000300000001".into() }]),
        ..heartbeat()
    };
    let text = r#"{"backend":"shelf","address":"127.0.0.4:9001","area":"north","revision":"v1","capacity":4,"stage":"emptying","warmLeft":"0ms","callCount":12,"held":[[0,4,3]],"released":[[5,9,"0000000300000001"]]}"#;
    assert_eq!(serde_json::to_string(&sharded).unwrap(), text);
    assert_eq!(serde_json::from_str::<Heartbeat>(text).unwrap(), sharded);
}

#[test]
fn a_response_keeps_its_names_and_rows() {
    let text = r#"{"reportTo":"10.0.0.9:80","held":[[0,9,3,"h"]],"keep_time":"4000ms"}"#;
    let response = HeartbeatResponse {
        report_to: Some("10.0.0.9:80".into()),
        leases: Some(vec![LeaseGrant { from: 0, to: 9, fencing_token: 3, handover: "h".into() }]),
        lease_duration: Some("4000ms".into()),
    };
    assert_eq!(serde_json::to_string(&response).unwrap(), text);
    assert_eq!(HeartbeatResponse::parse(text.as_bytes()).unwrap(), response);
    assert_eq!(HeartbeatResponse::parse(b"").unwrap(), HeartbeatResponse::default());
    assert_eq!(HeartbeatResponse::parse(b"{").unwrap_err().to_string(), "an answer that can't be read");
}
