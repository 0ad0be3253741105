//! The exact bytes of messages between nodes and of the data on a node's disk. Builds of other versions read
//! these bytes; a change here breaks rolling upgrades or stored data.
use coppersail_consensus::{
    Change, KeyValue, LeadershipRecord, Output, PeerStatus, Rejection, ReplicaWrite, ReplicaWriteKind,
    ReplicaWriteResponse, Request, Response, Role, Term, Voter, VoterRequest, VoterResponse, VoterState,
};
use serde::{de::DeserializeOwned, Serialize};
use std::fmt::Debug;

#[path = "wire_format/recorded_cluster.rs"]
mod recorded_cluster;
use recorded_cluster::{start_core, RecordedCluster};

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

fn entry(name: &str, value: &str) -> (String, String) {
    (name.into(), value.into())
}

fn record() -> LeadershipRecord {
    LeadershipRecord {
        term: Term::new(7, "a:1"),
        leader: "a:1".into(),
        backups: vec!["b:1".into()],
        voters: vec![Voter::new("a:1", 0), Voter::new("b:1", 9007199254740991)],
        outgoing_voters: vec![],
    }
}

/// The text of `record()`.
const RECORD: &str = r#"{"epoch":{"n":7,"by":"a:1"},"primary":"a:1","backups":["b:1"],"witnesses":[{"id":"a:1","life":0},{"id":"b:1","life":9007199254740991}]}"#;

/// `RECORD` takes the place of `@` in the text.
fn with_record(text: &str) -> String {
    text.replace('@', RECORD)
}

#[test]
fn term_voter_and_leadership_record_keep_their_bytes() {
    assert_text(Term::new(7, "a:1"), r#"{"n":7,"by":"a:1"}"#);
    assert_text(Term::default(), r#"{"n":0,"by":""}"#);
    assert_text(Voter::new("a:1", 3), r#"{"id":"a:1","life":3}"#);
    assert_text(record(), RECORD);
    assert_text(
        LeadershipRecord::default(),
        r#"{"epoch":{"n":0,"by":""},"primary":"","backups":[],"witnesses":[]}"#,
    );
}

#[test]
fn a_joint_configuration_keeps_its_bytes() {
    let joint = LeadershipRecord {
        voters: vec![Voter::new("c:1", 5)],
        outgoing_voters: vec![Voter::new("a:1", 0)],
        ..record()
    };
    assert_text(
        joint,
        r#"{"epoch":{"n":7,"by":"a:1"},"primary":"a:1","backups":["b:1"],"witnesses":[{"id":"c:1","life":5}],"before":[{"id":"a:1","life":0}]}"#,
    );
}

#[test]
fn voter_requests_keep_their_bytes() {
    let term = || Term::new(8, "b:1");
    let table = [
        (VoterRequest::Prepare(term()), r#"{"Witness":{"Prepare":{"n":8,"by":"b:1"}}}"#),
        (VoterRequest::Accept(record(), 1200), r#"{"Witness":{"Accept":[@,1200]}}"#),
        (VoterRequest::Renew(record(), 1200), r#"{"Witness":{"Renew":[@,1200]}}"#),
        (VoterRequest::Release(term()), r#"{"Witness":{"Release":{"n":8,"by":"b:1"}}}"#),
    ];
    for (request, text) in table {
        assert_text(Request::Voter(request), &with_record(text));
    }
}

#[test]
fn a_replica_write_keeps_its_bytes() {
    let write = |kind, writes| {
        Request::ReplicaWrite(ReplicaWrite {
            version: 1,
            term: Term::new(7, "a:1"),
            sequence: 4,
            kind,
            writes,
        })
    };
    let writes = || vec![entry("config", r#"{"revision":3}"#), entry("order/1", "")];
    assert_text(
        write(ReplicaWriteKind::Snapshot { checksum: 4503599627370495 }, writes()),
        r#"{"Copy":{"version":1,"epoch":{"n":7,"by":"a:1"},"seq":4,"kind":{"Snapshot":{"sum":4503599627370495}},"puts":[["config","{\"revision\":3}"],["order/1",""]]}}"#,
    );
    assert_text(
        write(ReplicaWriteKind::Probe { term: Term::new(6, "b:1"), sequence: 3 }, vec![]),
        r#"{"Copy":{"version":1,"epoch":{"n":7,"by":"a:1"},"seq":4,"kind":{"Join":{"epoch":{"n":6,"by":"b:1"},"seq":3}},"puts":[]}}"#,
    );
    assert_text(
        write(ReplicaWriteKind::Append, writes()),
        r#"{"Copy":{"version":1,"epoch":{"n":7,"by":"a:1"},"seq":4,"kind":"Change","puts":[["config","{\"revision\":3}"],["order/1",""]]}}"#,
    );
}

#[test]
fn responses_keep_their_bytes() {
    let rejection = Rejection { reason: "promised more".into(), promised: Term::new(9, "c:1") };
    let table = [
        (
            Response::Voter(VoterResponse { incarnation: 5, record: None, rejection: None }),
            r#"{"Witness":{"life":5,"record":null,"no":null}}"#,
        ),
        (
            Response::Voter(VoterResponse { incarnation: 5, record: Some(record()), rejection: None }),
            r#"{"Witness":{"life":5,"record":@,"no":null}}"#,
        ),
        (
            Response::Voter(VoterResponse { incarnation: 5, record: None, rejection: Some(rejection) }),
            r#"{"Witness":{"life":5,"record":null,"no":{"why":"promised more","promised":{"n":9,"by":"c:1"}}}}"#,
        ),
        (
            Response::ReplicaWrite(ReplicaWriteResponse {
                accepted: true,
                reason: String::new(),
                incarnation: 5,
            }),
            r#"{"Copy":{"ok":true,"why":"","life":5}}"#,
        ),
        (
            Response::ReplicaWrite(ReplicaWriteResponse {
                accepted: false,
                reason: "join".into(),
                incarnation: 0,
            }),
            r#"{"Copy":{"ok":false,"why":"join","life":0}}"#,
        ),
    ];
    for (response, text) in table {
        assert_text(response, &with_record(text));
    }
}

#[test]
fn a_heartbeat_keeps_its_bytes() {
    let status = PeerStatus {
        id: "a:1".into(),
        holds_lease: true,
        disk_healthy: true,
        draining: true,
        incarnation: 5,
        last_durable_term: Term::new(7, "a:1"),
        zone: "east".into(),
        record: record(),
        members: vec!["a:1".into(), "b:1".into()],
    };
    assert_text(
        status,
        &with_record(
            r#"{"id":"a:1","acting":true,"fit":true,"leaving":true,"life":5,"floor":{"n":7,"by":"a:1"},"area":"east","record":@,"members":["a:1","b:1"]}"#,
        ),
    );
    assert_text(
        PeerStatus::default(),
        r#"{"id":"","acting":false,"fit":false,"leaving":false,"life":0,"floor":{"n":0,"by":""},"area":"","record":{"epoch":{"n":0,"by":""},"primary":"","backups":[],"witnesses":[]},"members":[]}"#,
    );
}

#[test]
fn the_stored_voter_state_keeps_its_bytes() {
    let voter_state =
        VoterState { incarnation: 5, promised: Term::new(8, "b:1"), record: record(), longest_lease: 1200 };
    assert_text(
        voter_state,
        &with_record(r#"{"life":5,"promised":{"n":8,"by":"b:1"},"record":@,"span":1200}"#),
    );
}

#[test]
fn texts_of_other_versions_are_read_without_optional_fields_and_with_unknown_ones() {
    let voter_state =
        VoterState { incarnation: 5, promised: Term::new(8, "b:1"), record: record(), longest_lease: 0 };
    assert_read(&with_record(r#"{"life":5,"promised":{"n":8,"by":"b:1"},"record":@}"#), voter_state);
    assert_read(&RECORD.replacen('{', r#"{"later":1,"#, 1), record());
    assert_read("{}", PeerStatus::default());
    assert_read(r#"{"Copy":{}}"#, Request::ReplicaWrite(ReplicaWrite::default()));
    assert_read(
        r#"{"Copy":{"ok":true}}"#,
        Response::ReplicaWrite(ReplicaWriteResponse { accepted: true, ..ReplicaWriteResponse::default() }),
    );
    assert_read(
        r#"{"Witness":{"life":5}}"#,
        Response::Voter(VoterResponse { incarnation: 5, ..VoterResponse::default() }),
    );
}

#[test]
#[expect(clippy::too_many_lines, reason = "one recorded exchange from its start to its end")]
fn writes_and_messages_of_three_nodes_from_first_start_to_snapshot_keep_their_bytes() {
    let mut cluster = RecordedCluster::start();
    cluster.assert_lines(&[
        r#"a own floor {"n":1,"by":""}"#,
        "a own seq 0",
        "a own record @1",
        r#"a own witness {"life":0,"promised":{"n":1,"by":""},"record":@1,"span":0}"#,
        r#"b own floor {"n":1,"by":""}"#,
        "b own seq 0",
        "b own record @1",
        r#"b own witness {"life":0,"promised":{"n":1,"by":""},"record":@1,"span":0}"#,
        r#"c own floor {"n":0,"by":""}"#,
        "c own seq 0",
        "c own record @1",
        r#"c own witness {"life":0,"promised":{"n":1,"by":""},"record":@1,"span":0}"#,
    ]);
    let is_elected = (0..100).any(|_| {
        cluster.tick();
        matches!(cluster.cores[0].role, Role::Leader(_))
    });
    assert!(is_elected);
    cluster.assert_lines(&[
        r#"a own witness {"life":0,"promised":{"n":2,"by":"a:1"},"record":@1,"span":0}"#,
        r#"a to b {"Witness":{"Prepare":{"n":2,"by":"a:1"}}}"#,
        r#"b own witness {"life":0,"promised":{"n":2,"by":"a:1"},"record":@1,"span":0}"#,
        r#"b says {"Witness":{"life":0,"record":@1,"no":null}}"#,
        r#"a to c {"Witness":{"Prepare":{"n":2,"by":"a:1"}}}"#,
        r#"c own witness {"life":0,"promised":{"n":2,"by":"a:1"},"record":@1,"span":0}"#,
        r#"c says {"Witness":{"life":0,"record":@1,"no":null}}"#,
        r#"a own floor {"n":2,"by":"a:1"}"#,
        "a own seq 0",
        r#"a to b {"Copy":{"version":1,"epoch":{"n":2,"by":"a:1"},"seq":0,"kind":{"Join":{"epoch":{"n":1,"by":""},"seq":0}},"puts":[]}}"#,
        r#"b own floor {"n":2,"by":"a:1"}"#,
        "b own seq 0",
        r#"b says {"Copy":{"ok":true,"why":"","life":0}}"#,
        "a own record @2",
        r#"a own witness {"life":0,"promised":{"n":2,"by":"a:1"},"record":@2,"span":1200}"#,
        r#"a to b {"Witness":{"Accept":[@2,1200]}}"#,
        "b own record @2",
        r#"b own witness {"life":0,"promised":{"n":2,"by":"a:1"},"record":@2,"span":1200}"#,
        r#"b says {"Witness":{"life":0,"record":null,"no":null}}"#,
        r#"a to c {"Witness":{"Accept":[@2,1200]}}"#,
        "c own record @2",
        r#"c own witness {"life":0,"promised":{"n":2,"by":"a:1"},"record":@2,"span":1200}"#,
        r#"c says {"Witness":{"life":0,"record":null,"no":null}}"#,
    ]);
    let mut out = Vec::new();
    cluster.cores[0].propose(cluster.now, Change { ticket: 1, writes: vec![entry("config", "x")] }, &mut out);
    cluster.carry_out(0, out);
    cluster.assert_lines(&[
        "a state config x",
        "a own seq 1",
        r#"a to b {"Copy":{"version":1,"epoch":{"n":2,"by":"a:1"},"seq":1,"kind":"Change","puts":[["config","x"]]}}"#,
        "b state config x",
        "b own seq 1",
        r#"b says {"Copy":{"ok":true,"why":"","life":0}}"#,
    ]);
    // The checksum over names and values is part of the message.
    for (checksum, response) in [
        (1483233912482674u64, r#"{"ok":true,"why":"","life":0}"#),
        (1, r#"{"ok":false,"why":"the sum is wrong","life":0}"#),
    ] {
        let text = format!(
            r#"{{"Copy":{{"version":1,"epoch":{{"n":3,"by":"a:1"}},"seq":0,"kind":{{"Snapshot":{{"sum":{checksum}}}}},"puts":[["config","x"],["plan/p","y"]]}}}}"#
        );
        cluster.call(2, serde_json::from_str(&text).unwrap());
        assert_eq!(cluster.lines.pop().unwrap(), format!(r#"c says {{"Copy":{response}}}"#));
    }
    cluster.assert_lines(&[
        "c all of the state config x",
        "c all of the state plan/p y",
        r#"c own floor {"n":3,"by":"a:1"}"#,
        "c own seq 0",
    ]);
}

fn first_write(out: &[Output]) -> (u64, Vec<KeyValue>) {
    let writes = out.iter().find_map(|output| match output {
        Output::Persist { operation_id, metadata, .. } => Some((*operation_id, metadata.clone())),
        _ => None,
    });
    writes.expect("a write is emitted")
}

#[test]
fn stored_members_and_the_probe_after_a_failed_write_keep_their_keys() {
    let mut out = Vec::new();
    let mut core = start_core("a:1", &[], false, &mut out);
    let (operation_id, metadata) = first_write(&out);
    // This node is not a voter yet, so its incarnation is random (77 in these tests).
    let no_record = r#"{"epoch":{"n":0,"by":""},"primary":"","backups":[],"witnesses":[]}"#;
    let voter_state = r#"{"life":77,"promised":{"n":0,"by":""},"record":@,"span":0}"#.replace('@', no_record);
    let last_durable_term = entry("floor", r#"{"n":0,"by":""}"#);
    assert_eq!(
        metadata,
        [last_durable_term, entry("seq", "0"), entry("record", no_record), entry("witness", &voter_state)]
    );
    core.handle_write_result(1, operation_id, true, &mut out);
    out.clear();
    core.add_members(2, ["d:1".to_string()].iter(), &mut out);
    let (operation_id, metadata) = first_write(&out);
    assert_eq!(metadata, [entry("members", r#"["a:1","b:1","c:1","d:1"]"#)]);
    core.handle_write_result(3, operation_id, false, &mut out);
    out.clear();
    core.tick(1000, &mut out);
    assert_eq!(first_write(&out).1, [entry("probe", "1000")]);
}

#[test]
fn a_disk_written_by_another_version_is_read() {
    let voter_state = r#"{"life":5,"promised":{"n":8,"by":"b:1"},"record":@}"#;
    let metadata = [
        ("floor", r#"{"n":7,"by":"a:1"}"#),
        ("members", r#"["a:1","z:1"]"#),
        ("record", RECORD),
        ("seq", "4"),
        ("witness", &with_record(voter_state)),
    ];
    let mut out = Vec::new();
    let mut core = start_core("b:1", &metadata, false, &mut out);
    assert_eq!(out, [], "nothing is written again");
    let members = ["a:1", "b:1", "c:1", "z:1"].map(String::from).into();
    let status = PeerStatus {
        id: "b:1".into(),
        disk_healthy: true,
        incarnation: 5,
        last_durable_term: Term::new(7, "a:1"),
        members,
        ..PeerStatus::default()
    };
    assert_eq!(core.status(1), PeerStatus { record: record(), ..status });
    // The sequence number of the last change was read as well: only the next number or the same one is
    // accepted.
    for (sequence, is_accepted) in [(6, false), (5, true)] {
        let write =
            ReplicaWrite { version: 1, term: Term::new(7, "a:1"), sequence, ..ReplicaWrite::default() };
        out.clear();
        core.handle_request(2, 1, Request::ReplicaWrite(write), &mut out);
        assert_eq!(
            out.iter().any(|output| matches!(output, Output::Persist { .. })),
            is_accepted,
            "{sequence}"
        );
    }
}
