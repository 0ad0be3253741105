//! The bytes of the replicated state on disk, of the generation file (`mark`) beside it, and of responses to
//! endpoints and operators. Other versions read these bytes; a change here breaks rolling upgrades or stored
//! data.
mod memory_cluster;

use coppersail_control_plane::node::AdminRequest;
use coppersail_control_plane::orders::{digest, OrderDecision, Orders};
use coppersail_control_plane::rollouts;
use coppersail_control_plane::store::{DiskWriter, FolderCondition, KeyValue, WriteBatch};
use coppersail_rollout::lifecycle::{Phase, RolloutState};
use coppersail_shard_leases::LeaseTable;
use memory_cluster::Cluster;
use std::collections::BTreeMap;
use std::path::Path;

fn put(name: &str, value: &str) -> KeyValue {
    (name.into(), value.into())
}

/// A configuration of an operator: `@` stands for the revision, `#` for whether the service is sharded.
const CONFIGURATION: &str = r#"{"revision":"r@","routes":{"columns":["name","domain","pathStart","sort","giveUp","target_time","backend"],"rows":[["r","d.example","/","repeatable","1000ms","400ms","s"]]},"backends":{"columns":["name","checkPath","maxConnections","splitUp"],"rows":[["s","/w",10,#]]},"caps":{"headSizeBytes":16384,"bodySizeBytes":1000,"headWait":"3000ms","quiet":"15000ms"}}"#;

fn configuration(number: u64, sharded: &str) -> String {
    CONFIGURATION.replace('@', &number.to_string()).replace('#', sharded)
}

fn replace(number: u64, sharded: &str) -> AdminRequest {
    AdminRequest::ReplaceConfig { body: configuration(number, sharded) }
}

fn heartbeat(body: &str) -> AdminRequest {
    AdminRequest::Heartbeat { endpoint_id: "i-1".into(), body: body.into() }
}

fn plan(rest: &str, body: &str) -> AdminRequest {
    AdminRequest::Rollouts { post: true, path: rest.into(), body: body.into() }
}

/// The heartbeat of an endpoint without the fields of later versions.
const SHORT_HEARTBEAT: &str = r#"{"backend":"s","address":"10.9.0.1:80"}"#;

#[test]
fn a_configuration_order_keeps_its_keys_values_and_answers() {
    let mut cluster = Cluster::start();
    let read = || AdminRequest::ReadConfig;
    cluster.assert_answer(0, read(), 404, r#"{"why":"no configuration yet"}"#);
    cluster.assert_answer(0, replace(5, "null"), 200, "{}");
    let escaped = configuration(5, "null").replace('"', "\\\"");
    let document = format!(r#"{{"revision":5,"body":"{escaped}"}}"#);
    cluster.assert_writes(&[(
        "1",
        &[put("order/00000000000000000005", "9abdb47792cf710a67981acfe875bded"), put("config", &document)],
    )]);
    cluster.assert_answer(0, read(), 200, &configuration(5, "null"));
    cluster.assert_answer(0, replace(5, "null"), 200, "{}");
    let conflict = r#"{"why":"revision: its number has another content already, expected a higher one"}"#;
    cluster.assert_answer(0, replace(5, "true"), 409, conflict);
    cluster.assert_writes(&[]);
    cluster.assert_answer(0, replace(4, "null"), 200, "{}");
    cluster.assert_writes(&[("2", &[put("order/00000000000000000004", "7cd2994012b0076934c1b3cc5cf95ce4")])]);
}

const PLAN: &str =
    r#"{"service":"s","from":{"revision":"v1"},"to":{"revision":"v2"},"steps":[{"share":0.5}]}"#;

#[test]
fn rollout_commands_keep_their_keys_values_and_responses() {
    let mut cluster = Cluster::start();
    cluster.assert_answer(0, replace(5, "null"), 200, "{}");
    cluster.writes.clear();
    cluster.assert_answer(0, plan("/p", PLAN), 200, "{}");
    let entry = |head: &str, why: &str| {
        let body = PLAN.replace('"', "\\\"");
        put("plan/p", &format!(r#"{{"name":"p",{head},"why":"{why}","body":"{body}"}}"#))
    };
    let first = entry(r#""number":1,"phase":"running","step":0,"run":1,"ran":0"#, "submitted");
    cluster.assert_writes(&[("2", &[first])]);
    cluster.run(1000);
    cluster.assert_answer(0, plan("/p/undo", ""), 200, "{}");
    let second =
        entry(r#""number":2,"phase":"withdrawn","step":0,"run":1,"ran":1150"#, "an operator's order");
    cluster.assert_writes(&[("3", &[second])]);
    let table = [
        ("/p/undo", "", 200, "{}"),
        ("/p", "{}", 400, r#"{"why":"service is left out, expected it to be given"}"#),
        ("/p/later", "", 404, r#"{"why":"no order later"}"#),
        ("/q/undo", "", 404, r#"{"why":"no plan q"}"#),
        ("/q", PLAN, 409, r#"{"why":"plan p moves the same service; end it first"}"#),
        ("/p/pass", "", 409, r#"{"why":"the plan is paused; resume it first"}"#),
        ("", "", 404, r#"{"why":"nothing here"}"#),
    ];
    for (rest, body, status, text) in table {
        cluster.assert_answer(0, plan(rest, body), status, text);
    }
    let show = AdminRequest::Rollouts { post: false, path: String::new(), body: String::new() };
    let shown = r#"{"rollouts":[{"answers":0,"late_rows":0,"name":"p","new":{"aside":0,"doubled":0,"failed":0,"good":0,"late":0,"lost":0,"median_ms":null,"offered":0,"p99_ms":null,"wrong":0},"next_in_ms":null,"number":2,"old":{"aside":0,"doubled":0,"failed":0,"good":0,"late":0,"lost":0,"median_ms":null,"offered":0,"p99_ms":null,"wrong":0},"phase":"withdrawn","plan":{"from":{"revision":"v1"},"service":"s","steps":[{"share":0.5}],"to":{"revision":"v2"}},"rows":0,"share":0.0,"step":1,"steps":1,"verdict":"waits: 0 of 200 answers","why":"an operator's order"}]}"#;
    cluster.assert_answer(0, show, 200, shown);
}

#[test]
fn a_departure_keeps_its_key_and_value() {
    let mut cluster = Cluster::start();
    let reply = r#"{"reportTo":"10.1.0.1:8544"}"#;
    let draining = r#"{"backend":"s","address":"10.9.0.1:80","area":"a","revision":"v1","capacity":4,"stage":"emptying","warmLeft":"2s","callCount":3}"#;
    cluster.assert_answer(0, heartbeat(draining), 200, reply);
    let value = |state: &str, sequence: u64| {
        let value = r#"{"ident":"i-1","backend":"s","address":"10.9.0.1:80","area":"a","capacity":4,"revision":"v1","stage":"@","silent":false,"cold_ms":0,"calls":#,"via":"10.1.0.1:8544"}"#;
        put("departure/i-1", &value.replace('@', state).replace('#', &sequence.to_string()))
    };
    cluster.assert_writes(&[("1", &[value("emptying", 3)])]);
    cluster.assert_answer(0, heartbeat(&draining.replace(":3}", ":4}")), 200, reply);
    cluster.assert_writes(&[]);
    cluster.assert_answer(0, AdminRequest::SignOff { endpoint_id: "i-1".into() }, 200, reply);
    cluster.assert_writes(&[("2", &[value("gone", 5)])]);
}

/// Edges of earlier builds ignore an endpoint whose address they cannot parse.
#[test]
fn the_departure_of_an_unknown_endpoint_has_an_address() {
    let mut cluster = Cluster::start();
    let reply = r#"{"reportTo":"10.1.0.1:8544"}"#;
    cluster.assert_answer(0, AdminRequest::SignOff { endpoint_id: "i-9".into() }, 200, reply);
    let value = r#"{"ident":"i-9","backend":"","address":"0.0.0.0:0","area":"","capacity":0,"revision":"","stage":"gone","silent":false,"cold_ms":0,"calls":1,"via":"10.1.0.1:8544"}"#;
    cluster.assert_writes(&[("1", &[put("departure/i-9", value)])]);
    let update = cluster.snapshot(1);
    assert!(update.endpoints[0].address.parse::<std::net::SocketAddr>().is_ok());
}

#[test]
fn heartbeat_responses_keep_their_bytes() {
    let mut cluster = Cluster::start();
    cluster.assert_answer(0, heartbeat(SHORT_HEARTBEAT), 200, r#"{"reportTo":"10.1.0.1:8544"}"#);
    cluster.assert_answer(1, heartbeat(SHORT_HEARTBEAT), 200, r#"{"reportTo":"10.2.0.1:8544"}"#);
    cluster.assert_answer(
        0,
        AdminRequest::SignOff { endpoint_id: "i-1".into() },
        200,
        r#"{"reportTo":"10.1.0.1:8544"}"#,
    );
    let missing = r#"{"why":"beat: missing field `backend` at line 1 column 2"}"#;
    cluster.assert_answer(0, heartbeat("{}"), 400, missing);
    cluster.partitioned = true;
    cluster.run(5_000);
    cluster.assert_answer(
        0,
        heartbeat(SHORT_HEARTBEAT),
        503,
        r#"{"why":"out of touch with most witnesses"}"#,
    );
    let nobody = r#"{"why":"no primary is known"}"#;
    cluster.assert_answer(0, replace(5, "null"), 503, nobody);
    cluster.assert_answer(0, AdminRequest::ReadConfig, 503, nobody);
}

#[test]
fn an_order_that_is_not_committed_in_time_keeps_its_response() {
    let mut cluster = Cluster::start();
    cluster.partitioned = true;
    cluster.assert_answer(0, replace(5, "null"), 503, r#"{"why":"not on two disks"}"#);
}

#[test]
fn leases_of_a_sharded_service_and_heartbeat_responses_keep_their_bytes() {
    let mut cluster = Cluster::start();
    cluster.assert_answer(0, replace(5, "true"), 200, "{}");
    cluster.writes.clear();
    let full = r#"{"backend":"s","address":"10.9.0.1:80","area":"a","revision":"v1","capacity":10.0,"stage":"ready","warmLeft":"10ms","callCount":@,"released":[]}"#;
    let mut calls = 0;
    let send_heartbeat = |cluster: &mut Cluster, calls: &mut u64| {
        *calls += 1;
        let answer = cluster.request(0, heartbeat(&full.replace('@', &calls.to_string())));
        cluster.run(900);
        answer
    };
    let nothing = (200, r#"{"held":[],"keep_time":"5000ms","reportTo":"10.1.0.1:8544"}"#.to_string());
    assert_eq!(send_heartbeat(&mut cluster, &mut calls), nothing);
    let last = (0..5).map(|_| send_heartbeat(&mut cluster, &mut calls)).last().unwrap();
    let held = r#"{"held":[[0,65535,1,""]],"keep_time":"5000ms","reportTo":"10.1.0.1:8544"}"#;
    assert_eq!(last, (200, held.to_string()));
    let rows: Vec<KeyValue> = (0..512).map(|n| put(&format!("row/s/{n:05}"), "1 i-1 ")).collect();
    assert_eq!(rows[511].0, "row/s/00511");
    cluster.assert_writes(&[("2", &rows)]);
    cluster.assert_answer(1, heartbeat(SHORT_HEARTBEAT), 307, "http://10.1.0.1:8544/servers/i-1/pulse");
    cluster.assert_answer(1, replace(6, "true"), 307, "http://10.1.0.1:8544/settings/replace");
    cluster.assert_answer(1, plan("/p", PLAN), 307, "http://10.1.0.1:8544/rollouts/p");
}

#[test]
fn a_state_of_another_version_is_read() {
    // A state of a version that remembered no orders has only the newest configuration.
    let body = configuration(5, "null");
    let document = format!(r#"{{"body":"{}","later":1,"revision":5}}"#, body.replace('"', "\\\""));
    let state = [("config", document.as_str()), ("order/00000000000000000003", "d3"), ("order/2", "")];
    let orders = Orders::recover(state.into_iter());
    assert_eq!(
        orders.decide(5, "9abdb47792cf710a67981acfe875bded", Some(5)),
        OrderDecision::AlreadyCommitted
    );
    assert_eq!(orders.decide(3, "d3", Some(5)), OrderDecision::AlreadyCommitted);
    assert_eq!(orders.decide(2, "d2", Some(5)), OrderDecision::ProposeWithoutEffect);
    assert_eq!(digest(r#"{"b": 1, "a": 2}"#), "d3626ac30a87e6f7a6428233b3c68299");
    assert_eq!(digest("no json"), "5ad3040044b6d872316bf4312926c3b9");
    let rows = [("row/s/t/00001", "7 i-1 h 1"), ("row/s/t/00000", "6 i-2")];
    let mut leases = LeaseTable::recover(1000, 0, rows.into_iter());
    assert_eq!((leases.slice_count("s/t"), leases.all_owners()[0].owner.as_str()), (2, "i-2"));
    let grant = &leases.renew(0, "s/t", "i-1", &[], 0)[0];
    assert_eq!(
        (grant.from, grant.to, grant.fencing_token, grant.handover.as_str()),
        (32768, 65535, 7, "h 1")
    );
    let text =
        r#"{"name":"p","number":4,"phase":"done","step":1,"run":2,"ran":5,"why":"w","body":"b","later":1}"#;
    let (name, why, body) = ("p".into(), "w".into(), "b".into());
    let entry = RolloutState {
        name,
        number: 4,
        phase: Phase::Done,
        step: 1,
        run: 2,
        elapsed_ms: 5,
        reason: why,
        body,
    };
    assert_eq!(rollouts::state_of_entry(&put("plan/p", text)), Some(entry));
}

fn open(folder: &Path) -> (DiskWriter, coppersail_control_plane::store::RecoveredState) {
    DiskWriter::start(folder, |line| panic!("{line}")).unwrap()
}

#[test]
fn the_generation_file_keeps_its_bytes_and_a_folder_opens_again_with_all_that_was_written() {
    let folder = std::env::temp_dir().join(format!("stored-format-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    let generation_slots = || {
        let file = std::fs::read(folder.join("mark")).unwrap();
        let slots = [0, 4096, 8192, 12288].map(|at| file[at..at + 12].to_vec());
        let rest = file.iter().enumerate().filter(|(at, byte)| at % 4096 >= 12 && **byte != 0).count();
        assert_eq!((file.len(), rest), (16384, 0));
        slots.map(|slot| slot.iter().map(|byte| format!("{byte:02x}")).collect::<String>())
    };
    // A number of eight bytes and its CRC-32, both little-endian.
    let (none, zero) = ("000000000000000000000000", "000000000000000069df2265");
    let (one, two, three) =
        ("0100000000000000f7df88a9", "020000000000000014d80727", "03000000000000008ad8adeb");
    let (writer, found) = open(&folder);
    assert_eq!((found.condition, found.batch_number), (FolderCondition::Fresh, 0));
    assert_eq!(generation_slots(), [zero, none, none, none]);
    let batches = [
        WriteBatch {
            state: vec![],
            replace_state: false,
            metadata: vec![put("floor", "f"), put("seq", "0")],
        },
        WriteBatch {
            state: vec![put("config", "c"), put("order/1", "")],
            replace_state: false,
            metadata: vec![put("seq", "1")],
        },
        WriteBatch {
            state: vec![put("plan/p", "p")],
            replace_state: true,
            metadata: vec![put("floor", "g"), put("seq", "2")],
        },
    ];
    // The first batch and changes of votes and terms go to the first two slots in turn, other changes of the
    // state to the last two.
    let slots_after_batch = [[zero, one, none, none], [zero, one, two, none], [three, one, two, none]];
    for (batch, expected) in batches.into_iter().zip(slots_after_batch) {
        let (sender, receiver) = std::sync::mpsc::channel();
        writer.write(batch, Box::new(move |ok| sender.send(ok).unwrap()));
        assert!(receiver.recv().unwrap());
        assert_eq!(generation_slots(), expected);
    }
    drop(writer);
    let (writer, found) = open(&folder);
    assert_eq!((found.condition, found.batch_number), (FolderCondition::Intact, 3));
    assert_eq!(found.state, BTreeMap::from([put("plan/p", "p")]));
    assert_eq!(found.metadata, BTreeMap::from([put("floor", "g"), put("seq", "2")]));
    drop(writer);
    std::fs::remove_dir_all(&folder).unwrap();
}
