//! The exact bytes of polls and responses between control-plane nodes, and between them and edges. Builds of
//! other versions read these bytes; a change here breaks rolling upgrades or stored data.
use coppersail_consensus::{LeadershipRecord, Term, Voter};
use coppersail_peer_protocol::{
    AssignmentRow, AssignmentUpdate, ConfigDocument, EndpointState, EndpointUpdate, MemberDetail,
    MemberStatus, RequestCounts, RolloutsAsOf, Update, WatchRequest,
};
use coppersail_rollout::evidence::{Counts, EvidenceRow};
use coppersail_rollout::lifecycle::{Phase, RolloutState};
use coppersail_rollout::EvidenceReport;
use serde::{de::DeserializeOwned, Serialize};
use std::fmt::Debug;

/// Checks both directions: the value is written as this text, and the text is read as this value.
#[track_caller]
fn assert_text<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: T, text: &str) {
    assert_eq!(serde_json::to_string(&value).unwrap(), text);
    assert_eq!(serde_json::from_str::<T>(text).unwrap(), value);
}

/// Checks one direction: a text that another version may send is read as this value.
#[track_caller]
fn assert_read<T: DeserializeOwned + PartialEq + Debug>(text: &str, value: T) {
    assert_eq!(serde_json::from_str::<T>(text).unwrap(), value);
}

/// Replaces each placeholder (`DETAIL`, `REPORT` and so on) by the text of the constant of the same name.
fn with_parts(text: &str) -> String {
    let parts = [
        ("STATUS", STATUS),
        ("DETAIL", DETAIL),
        ("REPORT", REPORT),
        ("ROLLOUT", ROLLOUT),
        ("ENDPOINT", ENDPOINT),
        ("ASSIGNMENT", ASSIGNMENT),
    ];
    parts.iter().fold(text.to_string(), |text, (name, part)| text.replace(name, part))
}

fn detail() -> MemberDetail {
    let record = LeadershipRecord {
        term: Term::new(7, "a:1"),
        leader: "a:1".into(),
        backups: vec!["b:1".into()],
        voters: vec![Voter::new("a:1", 0), Voter::new("b:1", 3)],
        outgoing_voters: vec![],
    };
    MemberDetail {
        incarnation: 5,
        last_durable_term: Term::new(7, "a:1"),
        record,
        members: vec!["a:1".into(), "b:1".into()],
        edges: vec!["10.1.0.34".into()],
        zone: "east".into(),
    }
}

const DETAIL: &str = r#"{"life":5,"floor":{"n":7,"by":"a:1"},"record":{"epoch":{"n":7,"by":"a:1"},"primary":"a:1","backups":["b:1"],"witnesses":[{"id":"a:1","life":0},{"id":"b:1","life":3}]},"members":["a:1","b:1"],"edges":["10.1.0.34"],"area":"east"}"#;

fn status() -> MemberStatus {
    let detail = Some(detail());
    MemberStatus {
        id: "a:1".into(),
        holds_lease: true,
        disk_healthy: true,
        draining: true,
        detail_checksum: 9,
        acknowledged_checksum: 8,
        detail,
    }
}

const STATUS: &str =
    r#"{"id":"a:1","acting":true,"fit":true,"leaving":true,"sum":9,"seen":8,"detail":DETAIL}"#;

fn report() -> EvidenceReport {
    let new = Counts {
        all: [1, 2, 3, 4, 5, 6, 7, 8],
        lost_at: vec![("i-1".into(), 1)],
        slow_at: vec![("i-2".into(), 2)],
        times: vec![(10, 3)],
    };
    let row = EvidenceRow {
        plan: "p".into(),
        number: 2,
        window: 3,
        route: "r".into(),
        revision: 4,
        new,
        control: Counts::default(),
    };
    EvidenceReport { edge: "10.1.0.34".into(), incarnation: 6, zone: "east".into(), rows: vec![row] }
}

const REPORT: &str = r#"{"edge":"10.1.0.34","life":6,"area":"east","rows":[{"p":"p","v":2,"b":3,"r":"r","c":4,"new":{"n":[1,2,3,4,5,6,7,8],"l":[["i-1",1]],"s":[["i-2",2]],"t":[[10,3]]},"old":{"n":[0,0,0,0,0,0,0,0]}}]}"#;

fn rollout() -> RolloutState {
    RolloutState {
        name: "p".into(),
        number: 4,
        phase: Phase::Frozen,
        step: 1,
        run: 2,
        elapsed_ms: 5000,
        reason: "late".into(),
        body: "{}".into(),
    }
}

const ROLLOUT: &str =
    r#"{"name":"p","number":4,"phase":"frozen","step":1,"run":2,"ran":5000,"why":"late","body":"{}"}"#;

fn endpoint() -> EndpointUpdate {
    EndpointUpdate {
        id: "i-1".into(),
        service: "s".into(),
        address: "10.9.0.1:80".into(),
        zone: "east".into(),
        capacity: 10,
        version: "v2".into(),
        state: EndpointState::Ready,
        suspect: true,
        slow_start_ms: 1500,
        heartbeat_sequence: 4,
        reported_by: "a:1".into(),
        drain_acknowledged: false,
    }
}

const ENDPOINT: &str = r#"{"ident":"i-1","backend":"s","address":"10.9.0.1:80","area":"east","capacity":10,"revision":"v2","stage":"ready","silent":true,"cold_ms":1500,"calls":4,"via":"a:1"}"#;

fn assignment() -> AssignmentUpdate {
    let rows = vec![
        AssignmentRow { first: 0, last: 2, owner: "i-1".into(), version: 4294967297 },
        AssignmentRow { first: 3, last: 3, owner: String::new(), version: 4294967298 },
    ];
    AssignmentUpdate { service: "s".into(), slice_count: 4, rows }
}

const ASSIGNMENT: &str = r#"{"backend":"s","slices":4,"rows":[[0,2,"i-1",4294967297],[3,3,"",4294967298]]}"#;

#[test]
fn an_endpoint_names_an_acknowledged_drain_only_if_there_is_one() {
    assert_text(endpoint(), ENDPOINT);
    let drained = EndpointUpdate { drain_acknowledged: true, ..endpoint() };
    assert_text(drained, &ENDPOINT.replace("}", r#","drain_acknowledged":true}"#));
}

#[test]
fn a_watch_request_keeps_its_bytes() {
    let request = WatchRequest {
        edge: "10.1.0.34".into(),
        zone: "east".into(),
        feed_id: 3,
        sequence: 7,
        wait_ms: 500,
        known_revision: Some(4),
        max_bytes: Some(8192),
        request_counts: vec![RequestCounts { service: "s".into(), counts: vec![(0, 12), (4095, 1)] }],
        rollout_reports: vec![report()],
        status: Some(status()),
    };
    assert_text(
        request,
        &with_parts(
            r#"{"edge":"10.1.0.34","area":"east","feed":3,"seq":7,"wait_ms":500,"revision":4,"max_bytes":8192,"asked":[{"backend":"s","counts":[[0,12],[4095,1]]}],"evidence":[REPORT],"standing":STATUS}"#,
        ),
    );
    assert_text(WatchRequest::default(), r#"{"edge":"","feed":0,"seq":0,"wait_ms":0}"#);
    assert_text(RequestCounts::default(), r#"{"backend":"","counts":[]}"#);
}

#[test]
fn a_status_and_its_detail_keep_their_bytes() {
    assert_text(detail(), DETAIL);
    assert_text(status(), &with_parts("STATUS"));
    assert_text(MemberStatus::default(), r#"{"id":"","acting":false,"fit":false,"sum":0,"seen":0}"#);
    assert_text(
        MemberDetail::default(),
        r#"{"life":0,"floor":{"n":0,"by":""},"record":{"epoch":{"n":0,"by":""},"primary":"","backups":[],"witnesses":[]},"members":[],"edges":[],"area":""}"#,
    );
}

#[test]
fn the_checksum_of_a_detail_stays_the_same() {
    // Members send checksums in place of details, so all versions must compute the same checksum.
    assert_eq!(detail().checksum(), 1297264702309585);
}

#[test]
fn an_update_keeps_its_bytes() {
    let update = Update {
        feed_id: 3,
        sequence: 7,
        is_snapshot: true,
        incomplete: true,
        isolated: true,
        uptime_ms: 60_000,
        control_plane_addresses: vec!["10.1.0.1:7540".into()],
        edge_count: 2,
        status: Some(status()),
        config: Some(ConfigDocument { revision: 5, body: "{}".into() }),
        endpoints: vec![endpoint()],
        assignments: vec![assignment()],
        rollouts: vec![rollout()],
        rollouts_as_of: Some(RolloutsAsOf { term: 7, age_ms: 40 }),
        requested_at: None,
    };
    assert_text(
        update,
        &with_parts(
            r#"{"feed":3,"seq":7,"whole":true,"more":true,"alone":true,"up_ms":60000,"centres":["10.1.0.1:7540"],"edges":2,"standing":STATUS,"settings":{"revision":5,"body":"{}"},"hosts":[ENDPOINT],"slices":[ASSIGNMENT],"plans":[ROLLOUT],"plans_seen":{"epoch":7,"age_ms":40}}"#,
        ),
    );
    assert_text(Update::default(), r#"{"feed":0,"seq":0,"up_ms":0}"#);
    let requested = Update { requested_at: Some(std::time::Instant::now()), ..Update::default() };
    assert_eq!(serde_json::to_string(&requested).unwrap(), r#"{"feed":0,"seq":0,"up_ms":0}"#);
}

#[test]
fn configurations_endpoints_and_assignments_keep_their_bytes() {
    assert_text(
        ConfigDocument { revision: 5, body: r#"{"revision":"r5"}"#.into() },
        r#"{"revision":5,"body":"{\"revision\":\"r5\"}"}"#,
    );
    assert_text(RolloutsAsOf { term: 7, age_ms: 40 }, r#"{"epoch":7,"age_ms":40}"#);
    assert_text(assignment(), ASSIGNMENT);
    assert_text(AssignmentUpdate::default(), r#"{"backend":"","slices":0,"rows":[]}"#);
    let states = [
        (EndpointState::Ready, "ready"),
        (EndpointState::Draining, "emptying"),
        (EndpointState::Removed, "gone"),
    ];
    for (state, name) in states {
        assert_text(EndpointUpdate { state, ..endpoint() }, &ENDPOINT.replace("ready", name));
    }
    assert_text(
        EndpointUpdate::default(),
        r#"{"ident":"","backend":"","address":"","area":"","capacity":0,"revision":"","stage":"ready","silent":false,"cold_ms":0,"calls":0,"via":""}"#,
    );
}

#[test]
fn evidence_and_rollouts_keep_their_bytes() {
    assert_text(report(), REPORT);
    assert_text(EvidenceReport::default(), r#"{"edge":"","life":0,"area":"","rows":[]}"#);
    let phases = [
        (Phase::Running, "running"),
        (Phase::Frozen, "frozen"),
        (Phase::Withdrawn, "withdrawn"),
        (Phase::Done, "done"),
        (Phase::Ended, "ended"),
    ];
    for (phase, name) in phases {
        assert_text(RolloutState { phase, ..rollout() }, &ROLLOUT.replace("frozen", name));
    }
}

#[test]
fn texts_of_other_versions_are_read_without_optional_fields_and_with_unknown_ones() {
    assert_read("{}", WatchRequest::default());
    assert_read("{}", Update::default());
    assert_read("{}", MemberStatus::default());
    assert_read("{}", MemberDetail::default());
    assert_read("{}", EndpointUpdate::default());
    assert_read("{}", AssignmentUpdate::default());
    assert_read("{}", RequestCounts::default());
    assert_read(
        r#"{"edge":"e","feed":3,"seq":7,"wait_ms":500,"later":[1]}"#,
        WatchRequest { edge: "e".into(), feed_id: 3, sequence: 7, wait_ms: 500, ..WatchRequest::default() },
    );
    assert_read(
        r#"{"feed":3,"seq":7,"hosts":[{"ident":"i-1","stage":"gone","later":{}}]}"#,
        Update {
            feed_id: 3,
            sequence: 7,
            endpoints: vec![EndpointUpdate {
                id: "i-1".into(),
                state: EndpointState::Removed,
                ..EndpointUpdate::default()
            }],
            ..Update::default()
        },
    );
    assert_read(r#"{"n":[0,0,0,0,0,0,0,0]}"#, Counts::default());
}
