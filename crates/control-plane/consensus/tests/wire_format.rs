//! The bytes of messages between members, and of what a member keeps on its own disk. These bytes are read by builds of
//! other versions; a change here breaks rolling upgrades or stored data.
use coppersail_consensus::{
    Change, Core, InitialState, KeyValue, LeadershipRecord, Output, PeerStatus, Rejection, ReplicaWrite,
    ReplicaWriteKind, ReplicaWriteResponse, Request, Response, Role, Term, Timeouts, Voter, VoterRequest,
    VoterResponse, VoterState,
};
use serde::{de::DeserializeOwned, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::fmt::Debug;

/// Both directions: the value is written as this text, and the text is read as this value.
#[track_caller]
fn assert_text<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: T, text: &str) {
    assert_eq!(serde_json::to_string(&value).unwrap(), text);
    assert_eq!(serde_json::from_str::<T>(text).unwrap(), value);
}

/// One direction: what another version may send.
#[track_caller]
fn assert_read<T: DeserializeOwned + PartialEq + Debug>(text: &str, value: T) {
    assert_eq!(serde_json::from_str::<T>(text).unwrap(), value);
}

fn put(name: &str, value: &str) -> (String, String) {
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
fn a_ballot_a_witness_and_a_record_keep_their_bytes() {
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
fn a_record_of_a_group_that_changes_keeps_its_bytes() {
    let changes = LeadershipRecord {
        voters: vec![Voter::new("c:1", 5)],
        outgoing_voters: vec![Voter::new("a:1", 0)],
        ..record()
    };
    assert_text(
        changes,
        r#"{"epoch":{"n":7,"by":"a:1"},"primary":"a:1","backups":["b:1"],"witnesses":[{"id":"c:1","life":5}],"before":[{"id":"a:1","life":0}]}"#,
    );
}

#[test]
fn calls_of_a_witness_keep_their_bytes() {
    let ballot = || Term::new(8, "b:1");
    let table = [
        (VoterRequest::Prepare(ballot()), r#"{"Witness":{"Prepare":{"n":8,"by":"b:1"}}}"#),
        (VoterRequest::Accept(record(), 1200), r#"{"Witness":{"Accept":[@,1200]}}"#),
        (VoterRequest::Renew(record(), 1200), r#"{"Witness":{"Renew":[@,1200]}}"#),
        (VoterRequest::Release(ballot()), r#"{"Witness":{"Release":{"n":8,"by":"b:1"}}}"#),
    ];
    for (call, text) in table {
        assert_text(Request::Voter(call), &with_record(text));
    }
}

#[test]
fn a_replica_write_keeps_its_bytes() {
    let copy = |kind, puts| {
        Request::ReplicaWrite(ReplicaWrite {
            version: 1,
            term: Term::new(7, "a:1"),
            sequence: 4,
            kind,
            writes: puts,
        })
    };
    let puts = || vec![put("config", r#"{"revision":3}"#), put("order/1", "")];
    assert_text(
        copy(ReplicaWriteKind::Snapshot { checksum: 4503599627370495 }, puts()),
        r#"{"Copy":{"version":1,"epoch":{"n":7,"by":"a:1"},"seq":4,"kind":{"Snapshot":{"sum":4503599627370495}},"puts":[["config","{\"revision\":3}"],["order/1",""]]}}"#,
    );
    assert_text(
        copy(ReplicaWriteKind::Probe { term: Term::new(6, "b:1"), sequence: 3 }, vec![]),
        r#"{"Copy":{"version":1,"epoch":{"n":7,"by":"a:1"},"seq":4,"kind":{"Join":{"epoch":{"n":6,"by":"b:1"},"seq":3}},"puts":[]}}"#,
    );
    assert_text(
        copy(ReplicaWriteKind::Append, puts()),
        r#"{"Copy":{"version":1,"epoch":{"n":7,"by":"a:1"},"seq":4,"kind":"Change","puts":[["config","{\"revision\":3}"],["order/1",""]]}}"#,
    );
}

#[test]
fn answers_keep_their_bytes() {
    let no = Rejection { reason: "promised more".into(), promised: Term::new(9, "c:1") };
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
            Response::Voter(VoterResponse { incarnation: 5, record: None, rejection: Some(no) }),
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
    for (say, text) in table {
        assert_text(say, &with_record(text));
    }
}

#[test]
fn a_heartbeat_keeps_its_bytes() {
    let told = PeerStatus {
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
        told,
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
fn what_a_witness_keeps_on_its_disk_keeps_its_bytes() {
    let held =
        VoterState { incarnation: 5, promised: Term::new(8, "b:1"), record: record(), longest_lease: 1200 };
    assert_text(held, &with_record(r#"{"life":5,"promised":{"n":8,"by":"b:1"},"record":@,"span":1200}"#));
}

#[test]
fn texts_of_other_versions_are_read_without_optional_fields_and_with_unknown_ones() {
    let held =
        VoterState { incarnation: 5, promised: Term::new(8, "b:1"), record: record(), longest_lease: 0 };
    assert_read(&with_record(r#"{"life":5,"promised":{"n":8,"by":"b:1"},"record":@}"#), held);
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

const SPANS: Timeouts = Timeouts {
    lease: 1200,
    heartbeat_interval: 400,
    rpc_timeout: 600,
    replace_after: 2000,
    shutdown_grace: 3000,
    max_failures: 1,
};

fn member(me: &str, own: &[(&str, &str)], first: bool, out: &mut Vec<Output>) -> Core {
    let own: BTreeMap<String, String> = own.iter().map(|(name, value)| put(name, value)).collect();
    let peers = ["a:1", "b:1", "c:1"].map(String::from).into();
    let start = InitialState {
        id: me.into(),
        timeouts: SPANS,
        peers,
        bootstrap: first,
        metadata: own,
        new_incarnation: 77,
        ..InitialState::default()
    };
    Core::start(1, start, out)
}

/// A line for each name and value that is written.
fn puts(lines: &mut Vec<String>, who: &str, (state, whole, own): (Vec<KeyValue>, bool, Vec<KeyValue>)) {
    let part = if whole { "all of the state" } else { "state" };
    lines.extend(state.iter().map(|(name, value)| format!("{who} {part} {name} {value}")));
    lines.extend(own.iter().map(|(name, value)| format!("{who} own {name} {value}")));
}

/// Three members, played on one clock: what they send and write, as lines of text, until nothing is under way.
struct Three {
    cores: Vec<Core>,
    now: u64,
    lines: Vec<String>,
}

impl Three {
    fn start() -> Three {
        let mut three = Three { cores: Vec::new(), now: 1, lines: Vec::new() };
        for (n, me) in ["a:1", "b:1", "c:1"].into_iter().enumerate() {
            let mut out = Vec::new();
            three.cores.push(member(me, &[], true, &mut out));
            three.carry(n, out);
        }
        three
    }

    /// Carries out what a member says; its answers to another are handed back.
    fn carry(&mut self, at: usize, out: Vec<Output>) -> Option<Response> {
        let (mut todo, mut reply) = (VecDeque::from(out), None);
        while let Some(one) = todo.pop_front() {
            let mut next = Vec::new();
            match one {
                Output::Persist { operation_id: token, state, replace: whole, metadata: own } => {
                    puts(&mut self.lines, NAMES[at], (state, whole, own));
                    self.cores[at].handle_write_result(self.now, token, true, &mut next);
                }
                Output::Send { operation_id: token, to, request: call, .. } => {
                    let other = self.cores.iter().position(|core| core.id == to).unwrap();
                    let text = serde_json::to_string(&call).unwrap();
                    self.lines.push(format!("{} to {} {text}", NAMES[at], NAMES[other]));
                    let say = self.call(other, call);
                    self.cores[at].handle_response(self.now, token, say, &mut next);
                }
                Output::Respond { response: say, .. } => reply = Some(say),
                _ => {}
            }
            todo.extend(next);
        }
        reply
    }

    fn call(&mut self, at: usize, call: Request) -> Option<Response> {
        let mut out = Vec::new();
        self.cores[at].handle_request(self.now, 1, call, &mut out);
        let say = self.carry(at, out);
        self.lines.push(format!("{} says {}", NAMES[at], serde_json::to_string(&say).unwrap()));
        say
    }

    /// All have heard of each other; then the first of them has a tick.
    fn tick(&mut self) {
        self.now += 50;
        for n in 0..3 {
            let mut out = Vec::new();
            for other in (0..3).filter(|other| *other != n) {
                let told = self.cores[other].status(self.now);
                self.cores[n].handle_peer_status(self.now, &told, Some(self.now), &mut out);
            }
            self.carry(n, out);
        }
        let mut out = Vec::new();
        self.cores[0].tick(self.now, &mut out);
        self.carry(0, out);
    }

    /// What was written and sent since, with the two records of this play in short.
    #[track_caller]
    fn assert_lines(&mut self, expected: &[&str]) {
        let lines = std::mem::take(&mut self.lines);
        let expected: Vec<String> =
            expected.iter().map(|line| line.replace("@1", FIRST).replace("@2", SECOND)).collect();
        assert_eq!(lines, expected);
    }
}

const NAMES: [&str; 3] = ["a", "b", "c"];
const FIRST: &str = r#"{"epoch":{"n":1,"by":""},"primary":"a:1","backups":["b:1"],"witnesses":[{"id":"a:1","life":0},{"id":"b:1","life":0},{"id":"c:1","life":0}]}"#;
const SECOND: &str = r#"{"epoch":{"n":2,"by":"a:1"},"primary":"a:1","backups":["b:1"],"witnesses":[{"id":"a:1","life":0},{"id":"b:1","life":0},{"id":"c:1","life":0}]}"#;

#[test]
#[expect(clippy::too_many_lines, reason = "one recorded exchange from its start to its end")]
fn what_three_members_write_and_send_from_their_first_start_to_a_snapshot_keeps_its_bytes() {
    let mut three = Three::start();
    three.assert_lines(&[
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
    let acts = (0..100).any(|_| {
        three.tick();
        matches!(three.cores[0].role, Role::Leader(_))
    });
    assert!(acts);
    three.assert_lines(&[
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
    three.cores[0].propose(three.now, Change { ticket: 1, writes: vec![put("config", "x")] }, &mut out);
    three.carry(0, out);
    three.assert_lines(&[
        "a state config x",
        "a own seq 1",
        r#"a to b {"Copy":{"version":1,"epoch":{"n":2,"by":"a:1"},"seq":1,"kind":"Change","puts":[["config","x"]]}}"#,
        "b state config x",
        "b own seq 1",
        r#"b says {"Copy":{"ok":true,"why":"","life":0}}"#,
    ]);
    // The sum over names and values is part of what is sent.
    for (sum, say) in [
        (1483233912482674u64, r#"{"ok":true,"why":"","life":0}"#),
        (1, r#"{"ok":false,"why":"the sum is wrong","life":0}"#),
    ] {
        let text = format!(
            r#"{{"Copy":{{"version":1,"epoch":{{"n":3,"by":"a:1"}},"seq":0,"kind":{{"Snapshot":{{"sum":{sum}}}}},"puts":[["config","x"],["plan/p","y"]]}}}}"#
        );
        three.call(2, serde_json::from_str(&text).unwrap());
        assert_eq!(three.lines.pop().unwrap(), format!(r#"c says {{"Copy":{say}}}"#));
    }
    three.assert_lines(&[
        "c all of the state config x",
        "c all of the state plan/p y",
        r#"c own floor {"n":3,"by":"a:1"}"#,
        "c own seq 0",
    ]);
}

fn first_write(out: &[Output]) -> (u64, Vec<KeyValue>) {
    let writes = out.iter().find_map(|one| match one {
        Output::Persist { operation_id: token, metadata: own, .. } => Some((*token, own.clone())),
        _ => None,
    });
    writes.expect("something is written")
}

#[test]
fn names_of_members_and_the_try_after_a_refused_write_keep_their_keys() {
    let mut out = Vec::new();
    let mut core = member("a:1", &[], false, &mut out);
    let (token, own) = first_write(&out);
    // It belongs to no group yet: the life was drawn by lot.
    let nobody = r#"{"epoch":{"n":0,"by":""},"primary":"","backups":[],"witnesses":[]}"#;
    let held = r#"{"life":77,"promised":{"n":0,"by":""},"record":@,"span":0}"#.replace('@', nobody);
    let floor = put("floor", r#"{"n":0,"by":""}"#);
    assert_eq!(own, [floor, put("seq", "0"), put("record", nobody), put("witness", &held)]);
    core.handle_write_result(1, token, true, &mut out);
    out.clear();
    core.add_members(2, ["d:1".to_string()].iter(), &mut out);
    let (token, own) = first_write(&out);
    assert_eq!(own, [put("members", r#"["a:1","b:1","c:1","d:1"]"#)]);
    core.handle_write_result(3, token, false, &mut out);
    out.clear();
    core.tick(1000, &mut out);
    assert_eq!(first_write(&out).1, [put("probe", "1000")]);
}

#[test]
fn a_disk_that_another_version_has_written_is_taken_up() {
    let held = r#"{"life":5,"promised":{"n":8,"by":"b:1"},"record":@}"#;
    let own = [
        ("floor", r#"{"n":7,"by":"a:1"}"#),
        ("members", r#"["a:1","z:1"]"#),
        ("record", RECORD),
        ("seq", "4"),
        ("witness", &with_record(held)),
    ];
    let mut out = Vec::new();
    let mut core = member("b:1", &own, false, &mut out);
    assert_eq!(out, [], "nothing is written anew");
    let members = ["a:1", "b:1", "c:1", "z:1"].map(String::from).into();
    let told = PeerStatus {
        id: "b:1".into(),
        disk_healthy: true,
        incarnation: 5,
        last_durable_term: Term::new(7, "a:1"),
        members,
        ..PeerStatus::default()
    };
    assert_eq!(core.status(1), PeerStatus { record: record(), ..told });
    // The number of its last change, too: only the next one, or the same again, is taken.
    for (seq, writes) in [(6, false), (5, true)] {
        let copy =
            ReplicaWrite { version: 1, term: Term::new(7, "a:1"), sequence: seq, ..ReplicaWrite::default() };
        out.clear();
        core.handle_request(2, 1, Request::ReplicaWrite(copy), &mut out);
        assert_eq!(out.iter().any(|one| matches!(one, Output::Persist { .. })), writes, "{seq}");
    }
}
