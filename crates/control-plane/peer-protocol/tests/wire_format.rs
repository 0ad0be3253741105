//! The bytes of polls and answers between members, and to edges. These bytes are read by builds of other versions; a
//! change here breaks rolling upgrades or stored data.
use coppersail_consensus::{Ballot, Record, Witness};
use coppersail_peer_protocol::{
    Asked, Detail, Follow, HostNews, News, Seen, Settings, SliceNews, Stage, Standing,
};
use coppersail_rollout::ledger::{Counts, Row};
use coppersail_rollout::pace::{Phase, Stand};
use coppersail_rollout::Report;
use serde::{de::DeserializeOwned, Serialize};
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

/// `DETAIL`, `REPORT`, `STAND`, `HOST` and so on stand for the texts of those.
fn with_parts(text: &str) -> String {
    let parts = [
        ("STANDING", STANDING),
        ("DETAIL", DETAIL),
        ("REPORT", REPORT),
        ("STAND", STAND),
        ("HOST", HOST),
        ("SLICES", SLICES),
    ];
    parts.iter().fold(text.to_string(), |text, (name, part)| text.replace(name, part))
}

fn detail() -> Detail {
    let record = Record {
        epoch: Ballot::new(7, "a:1"),
        primary: "a:1".into(),
        backups: vec!["b:1".into()],
        witnesses: vec![Witness::new("a:1", 0), Witness::new("b:1", 3)],
        before: vec![],
    };
    Detail {
        life: 5,
        floor: Ballot::new(7, "a:1"),
        record,
        members: vec!["a:1".into(), "b:1".into()],
        edges: vec!["10.1.0.34".into()],
        area: "east".into(),
    }
}

const DETAIL: &str = r#"{"life":5,"floor":{"n":7,"by":"a:1"},"record":{"epoch":{"n":7,"by":"a:1"},"primary":"a:1","backups":["b:1"],"witnesses":[{"id":"a:1","life":0},{"id":"b:1","life":3}]},"members":["a:1","b:1"],"edges":["10.1.0.34"],"area":"east"}"#;

fn standing() -> Standing {
    let detail = Some(detail());
    Standing { id: "a:1".into(), acting: true, fit: true, leaving: true, sum: 9, seen: 8, detail }
}

const STANDING: &str =
    r#"{"id":"a:1","acting":true,"fit":true,"leaving":true,"sum":9,"seen":8,"detail":DETAIL}"#;

fn report() -> Report {
    let new = Counts {
        all: [1, 2, 3, 4, 5, 6, 7, 8],
        lost_at: vec![("i-1".into(), 1)],
        slow_at: vec![("i-2".into(), 2)],
        times: vec![(10, 3)],
    };
    let row = Row {
        plan: "p".into(),
        number: 2,
        span: 3,
        route: "r".into(),
        count: 4,
        new,
        old: Counts::default(),
    };
    Report { edge: "10.1.0.34".into(), life: 6, area: "east".into(), rows: vec![row] }
}

const REPORT: &str = r#"{"edge":"10.1.0.34","life":6,"area":"east","rows":[{"p":"p","v":2,"b":3,"r":"r","c":4,"new":{"n":[1,2,3,4,5,6,7,8],"l":[["i-1",1]],"s":[["i-2",2]],"t":[[10,3]]},"old":{"n":[0,0,0,0,0,0,0,0]}}]}"#;

fn stand() -> Stand {
    Stand {
        name: "p".into(),
        number: 4,
        phase: Phase::Frozen,
        step: 1,
        run: 2,
        ran: 5000,
        why: "late".into(),
        body: "{}".into(),
    }
}

const STAND: &str =
    r#"{"name":"p","number":4,"phase":"frozen","step":1,"run":2,"ran":5000,"why":"late","body":"{}"}"#;

fn host() -> HostNews {
    HostNews {
        ident: "i-1".into(),
        backend: "s".into(),
        address: "10.9.0.1:80".into(),
        area: "east".into(),
        capacity: 10,
        revision: "v2".into(),
        stage: Stage::Ready,
        silent: true,
        cold_ms: 1500,
        calls: 4,
        via: "a:1".into(),
    }
}

const HOST: &str = r#"{"ident":"i-1","backend":"s","address":"10.9.0.1:80","area":"east","capacity":10,"revision":"v2","stage":"ready","silent":true,"cold_ms":1500,"calls":4,"via":"a:1"}"#;

fn slices() -> SliceNews {
    let rows = vec![(0, 2, "i-1".into(), 4294967297), (3, 3, String::new(), 4294967298)];
    SliceNews { backend: "s".into(), slices: 4, rows }
}

const SLICES: &str = r#"{"backend":"s","slices":4,"rows":[[0,2,"i-1",4294967297],[3,3,"",4294967298]]}"#;

#[test]
fn a_poll_keeps_its_bytes() {
    let follow = Follow {
        edge: "10.1.0.34".into(),
        area: "east".into(),
        feed: 3,
        seq: 7,
        wait_ms: 500,
        asked: vec![Asked { backend: "s".into(), counts: vec![(0, 12), (4095, 1)] }],
        evidence: vec![report()],
        standing: Some(standing()),
    };
    assert_text(
        follow,
        &with_parts(
            r#"{"edge":"10.1.0.34","area":"east","feed":3,"seq":7,"wait_ms":500,"asked":[{"backend":"s","counts":[[0,12],[4095,1]]}],"evidence":[REPORT],"standing":STANDING}"#,
        ),
    );
    assert_text(Follow::default(), r#"{"edge":"","feed":0,"seq":0,"wait_ms":0}"#);
    assert_text(Asked::default(), r#"{"backend":"","counts":[]}"#);
}

#[test]
fn a_standing_and_its_detail_keep_their_bytes() {
    assert_text(detail(), DETAIL);
    assert_text(standing(), &with_parts("STANDING"));
    assert_text(Standing::default(), r#"{"id":"","acting":false,"fit":false,"sum":0,"seen":0}"#);
    assert_text(
        Detail::default(),
        r#"{"life":0,"floor":{"n":0,"by":""},"record":{"epoch":{"n":0,"by":""},"primary":"","backups":[],"witnesses":[]},"members":[],"edges":[],"area":""}"#,
    );
}

#[test]
fn the_sum_of_a_detail_stays_the_same_number() {
    // Members tell each other sums instead of details: two versions must come to the same one.
    assert_eq!(detail().sum(), 1297264702309585);
}

#[test]
fn an_answer_keeps_its_bytes() {
    let news = News {
        feed: 3,
        seq: 7,
        whole: true,
        alone: true,
        up_ms: 60_000,
        centres: vec!["10.1.0.1:7540".into()],
        edges: 2,
        standing: Some(standing()),
        settings: Some(Settings { revision: 5, body: "{}".into() }),
        hosts: vec![host()],
        slices: vec![slices()],
        plans: vec![stand()],
        plans_seen: Some(Seen { epoch: 7, age_ms: 40 }),
        asked_at: None,
    };
    assert_text(
        news,
        &with_parts(
            r#"{"feed":3,"seq":7,"whole":true,"alone":true,"up_ms":60000,"centres":["10.1.0.1:7540"],"edges":2,"standing":STANDING,"settings":{"revision":5,"body":"{}"},"hosts":[HOST],"slices":[SLICES],"plans":[STAND],"plans_seen":{"epoch":7,"age_ms":40}}"#,
        ),
    );
    assert_text(News::default(), r#"{"feed":0,"seq":0,"up_ms":0}"#);
    let asked = News { asked_at: Some(std::time::Instant::now()), ..News::default() };
    assert_eq!(serde_json::to_string(&asked).unwrap(), r#"{"feed":0,"seq":0,"up_ms":0}"#);
}

#[test]
fn what_is_told_of_settings_hosts_and_slices_keeps_its_bytes() {
    assert_text(
        Settings { revision: 5, body: r#"{"revision":"r5"}"#.into() },
        r#"{"revision":5,"body":"{\"revision\":\"r5\"}"}"#,
    );
    assert_text(Seen { epoch: 7, age_ms: 40 }, r#"{"epoch":7,"age_ms":40}"#);
    assert_text(slices(), SLICES);
    assert_text(SliceNews::default(), r#"{"backend":"","slices":0,"rows":[]}"#);
    let stages = [(Stage::Ready, "ready"), (Stage::Emptying, "emptying"), (Stage::Gone, "gone")];
    for (stage, name) in stages {
        assert_text(HostNews { stage, ..host() }, &HOST.replace("ready", name));
    }
    assert_text(
        HostNews::default(),
        r#"{"ident":"","backend":"","address":"","area":"","capacity":0,"revision":"","stage":"ready","silent":false,"cold_ms":0,"calls":0,"via":""}"#,
    );
}

#[test]
fn evidence_and_plans_keep_their_bytes() {
    assert_text(report(), REPORT);
    assert_text(Report::default(), r#"{"edge":"","life":0,"area":"","rows":[]}"#);
    let phases = [
        (Phase::Running, "running"),
        (Phase::Frozen, "frozen"),
        (Phase::Withdrawn, "withdrawn"),
        (Phase::Done, "done"),
        (Phase::Ended, "ended"),
    ];
    for (phase, name) in phases {
        assert_text(Stand { phase, ..stand() }, &STAND.replace("frozen", name));
    }
}

#[test]
fn texts_of_other_versions_are_read_without_optional_fields_and_with_unknown_ones() {
    assert_read("{}", Follow::default());
    assert_read("{}", News::default());
    assert_read("{}", Standing::default());
    assert_read("{}", Detail::default());
    assert_read("{}", HostNews::default());
    assert_read("{}", SliceNews::default());
    assert_read("{}", Asked::default());
    assert_read(
        r#"{"edge":"e","feed":3,"seq":7,"wait_ms":500,"later":[1]}"#,
        Follow { edge: "e".into(), feed: 3, seq: 7, wait_ms: 500, ..Follow::default() },
    );
    assert_read(
        r#"{"feed":3,"seq":7,"hosts":[{"ident":"i-1","stage":"gone","later":{}}]}"#,
        News {
            feed: 3,
            seq: 7,
            hosts: vec![HostNews { ident: "i-1".into(), stage: Stage::Gone, ..HostNews::default() }],
            ..News::default()
        },
    );
    assert_read(r#"{"n":[0,0,0,0,0,0,0,0]}"#, Counts::default());
}
