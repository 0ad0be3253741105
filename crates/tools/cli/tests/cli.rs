//! The binary as an operator runs it: on files with faults, against a director on loopback, which needs neither relay
//! nor hosts to accept changes, and against a stand-in that breaks off connections.

use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixListener;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::thread::JoinHandle;
use test_case::test_case;

struct TempFolder(PathBuf);

impl TempFolder {
    fn new(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("coppersail-cli-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        TempFolder(folder)
    }

    fn file(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn coppersail(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_coppersail"))
        .env_remove("COPPERSAIL_SOCKET")
        .args(args)
        .output()
        .unwrap()
}

/// Exit status, standard output and standard error.
fn status_and_output(output: &Output) -> (i32, String, String) {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code().unwrap(), text(&output.stdout), text(&output.stderr))
}

#[test_case("a.jsonnet", "local w = 0.5;\n{ form: 1, hosts: { a: { weight: w } } }", 0, "sound, 1 fields" ; "a template")]
#[test_case("a.json", r#"{"form":1,"log":"json"}"#, 0, "sound, 0 fields" ; "plain json")]
#[test_case("a.jsonnet", "{\n form: 1,\n hosts: { a: { weight: 0 } },\n zone: 1,\n}", 2, "a.jsonnet:3: field hosts.a.weight: expected" ; "a value out of range")]
#[test_case("a.jsonnet", "{\n form: 1,\n hosts: {\n", 2, "a.jsonnet:3: the file: expected a template" ; "cut off")]
#[test_case("a.jsonnet", "{ form: 1, a: import '/etc/hostname' }", 2, "from the file's own folder" ; "a file from elsewhere")]
#[test_case("a.jsonnet", "local f(x) = f(x) + 1; { form: f(1) }", 2, "stack overflow" ; "without end")]
#[test_case("a.json", r#"{"form":1,"form":1}"#, 2, "stands twice" ; "a name twice")]
#[test_case("a.jsonnet", "{ form: 1, routes: { order: { again: 'twice' } } }", 2, "must not run twice" ; "against the settings")]
fn check_reports_faults_with_file_line_and_field(name: &str, text: &str, status: i32, expected: &str) {
    let folder = TempFolder::new(&format!("check-{}", expected.len() + text.len() * 100));
    let (file, config) = (folder.file(name, text), folder.file("config.json", CONFIG));
    let (code, out, err) = status_and_output(&coppersail(&["check", &file, "--config", &config]));
    assert_eq!(code, status, "{out}{err}");
    assert!((out + &err).contains(expected), "{err}");
}

#[test]
fn imports_outside_the_folder_are_rejected_also_through_symlinks() {
    let folder = TempFolder::new("imports");
    folder.file("common.libsonnet", "{ w: 2 }");
    let file = folder
        .file("a.jsonnet", "local c = import 'common.libsonnet'; { form: 1, zones: { a: { weight: c.w } } }");
    assert_eq!(status_and_output(&coppersail(&["check", &file])).0, 0);
    std::os::unix::fs::symlink("/etc/hostname", folder.0.join("link.libsonnet")).unwrap();
    let file = folder.file("b.jsonnet", "{ form: 1, log: importstr 'link.libsonnet' }");
    let (code, _, err) = status_and_output(&coppersail(&["check", &file]));
    assert!(code == 2 && err.contains("from the file's own folder"), "{err}");
}

#[test_case(&["change", "list"], "COPPERSAIL_SOCKET" ; "nobody named to ask")]
#[test_case(&["status", "--socket", "/nowhere/s"], "no director answers there" ; "nobody there")]
#[test_case(&["change", "submit", "--socket", "/nowhere/s", "--why", "x"], "expected at least one" ; "nothing to change")]
#[test_case(&["change", "submit", "--socket", "/nowhere/s", "--why", "x", "--set", "hosts.a.weight=0"], "0.01 to 100" ; "a value out of range")]
#[test_case(&["change", "submit", "--socket", "/nowhere/s", "--why", "x", "--set", "hosts.a=1"], "expected hosts.NAME.weight" ; "no field")]
#[test_case(&["change", "sumbit"], "submit" ; "a word that is close")]
fn unusable_arguments_exit_with_status_2(args: &[&str], expected: &str) {
    let (code, _, err) = status_and_output(&coppersail(args));
    assert!(code == 2 && err.contains(expected), "{code}: {err}");
}

const CONFIG: &str = r#"{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"8c1f30d27a5be964",
    "relay":{"address":"127.0.0.1:9"},"known":{"version":1,"full":true,"servers":[
    {"id":"h-1","addr":"127.0.0.1:9","zone":"a","kind":"m2","cell":0,"state":"in_service","weight":1.0,"started_ms":0},
    {"id":"h-2","addr":"127.0.0.1:9","zone":"a","kind":"m2","cell":0,"state":"in_service","weight":1.0,"started_ms":0}]},
    "settings":{"zones":["a"],"kinds":["m2"],"classes":[
    {"name":"lookup","aim-ns":1000000000,"give-up-ns":3000000000,"worth":1.0,"semantics":"safe"},
    {"name":"order","aim-ns":1000000000,"give-up-ns":3000000000,"worth":1.0,"semantics":"unsafe"}],
    "specifics":{"slices":2,"proxy-count":3,"lines-per-s":60000.0,"backlog":120000.0,"overhead":12.0,
    "interval-ns":1000000000,"admission":"fraction"}}}"#;

/// A director process, killed on drop.
struct Director {
    process: Child,
    socket: String,
}

impl Director {
    fn start(folder: &TempFolder, file: &str) -> Self {
        let socket = folder.0.join("s").display().to_string();
        let operator = folder.file("operator.jsonnet", &file.replace("SOCKET", &socket));
        let binary = PathBuf::from(env!("CARGO_BIN_EXE_coppersail")).with_file_name("coppersail-director");
        let mut child = Command::new(binary)
            .env("EDGE_CONFIG", folder.file("config.json", CONFIG))
            .env("EDGE_OPERATOR", operator)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok);
        assert!(lines.any(|line| line.ends_with("n0 serves")), "it serves");
        std::thread::spawn(move || lines.for_each(drop));
        Director { process: child, socket }
    }

    fn run(&self, args: &[&str]) -> (i32, String, String) {
        status_and_output(&coppersail(&[&["--socket", &self.socket], args].concat()))
    }
}

impl Drop for Director {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

const OPERATOR_FILE: &str =
    "local trial = 5; { form: 1, changes: { trial: trial }, control: { socket: 'SOCKET' } }";

#[test]
fn a_change_is_diffed_submitted_protected_from_conflicts_and_undone() {
    let folder = TempFolder::new("whole");
    let director = Director::start(&folder, OPERATOR_FILE);
    let set = ["--set", "hosts.h-1.drained=true"];
    let (code, out, _) = director.run(&[&["change", "diff"][..], &set].concat());
    assert!(
        code == 0 && out.contains("hosts.h-1.drained: as decided -> true") && out.contains("--base 0"),
        "{out}"
    );
    let submit = ["change", "submit", "--why", "it loses calls", "--trial", "0", "--wait", "--who", "ann"];
    let (code, out, err) = director.run(&[&submit[..], &set].concat());
    assert!(code == 0 && out.contains("change 1, kept"), "{out}{err}");
    let (code, _, err) =
        director.run(&[&submit[..], &["--base", "0", "--set", "hosts.h-1.drained=false"]].concat());
    assert!(code == 1 && err.contains("held by change 1 of ann"), "{err}");
    let (code, _, err) = director.run(&[&submit[..], &["--set", "hosts.h-2.drained=true"]].concat());
    assert!(code == 1 && err.contains("no open, warm host"), "{err}");
    assert_eq!(director.run(&["change", "undo", "1", "--why", "better now"]).0, 0);
    let (_, out, _) = director.run(&["change", "list"]);
    assert!(
        out.contains("ann: it loses calls") && out.contains("undone, by") && out.contains("undoes change 1"),
        "{out}"
    );
    let (code, out, _) = director.run(&["--json", "status"]);
    let status: serde_json::Value = serde_json::from_str(&out).unwrap();
    assert_eq!((code, status["version"].as_u64(), status["hosts"].as_u64()), (0, Some(2), Some(2)));
    assert_eq!(status["in_force"].to_string(), r#"[["changes.trial",5.0]]"#);
}

#[test]
fn a_draft_is_staged_only_after_a_thaw() {
    let folder = TempFolder::new("drafts");
    let director = Director::start(&folder, OPERATOR_FILE);
    let submit = ["change", "submit", "--why", "x", "--trial", "0", "--set", "hosts.h-1.weight=2"];
    assert_eq!(director.run(&[&submit[..], &["--draft"]].concat()).0, 0);
    assert!(director.run(&["change", "show", "1"]).1.contains("change 1, drafted"));
    assert_eq!(director.run(&["change", "freeze", "--why", "the holiday"]).0, 0);
    let (code, _, err) = director.run(&["change", "stage", "1"]);
    assert!(code == 1 && err.contains("frozen by") && err.contains("the holiday"), "{err}");
    assert_eq!(director.run(&["change", "thaw"]).0, 0);
    assert_eq!(director.run(&["change", "stage", "1"]).0, 0);
    assert_eq!(director.run(&["change", "confirm", "77"]).0, 1, "none of that number");
    assert_eq!(director.run(&["change", "show", "77"]).0, 1);
}

#[test]
fn a_director_does_not_start_with_an_invalid_template() {
    let folder = TempFolder::new("wrong");
    let operator = folder.file("operator.jsonnet", "{\n form: 1,\n zones: { q: { weight: 1 } },\n}");
    let binary = PathBuf::from(env!("CARGO_BIN_EXE_coppersail")).with_file_name("coppersail-director");
    let config = folder.file("config.json", CONFIG);
    let output =
        Command::new(binary).env("EDGE_CONFIG", config).env("EDGE_OPERATOR", operator).output().unwrap();
    let (code, _, err) = status_and_output(&output);
    assert!(code == 2 && err.contains("operator.jsonnet:3: field zones.q.weight: expected a zone"), "{err}");
}

#[test]
fn completions_are_generated_for_bash() {
    assert!(status_and_output(&coppersail(&["completions", "bash"])).1.contains("complete"));
}

const POOL: &str = r#"{"bounds":{"cold_from":0.2,"ramp_time":10,"fall_multiple":2.5,"carries":{"low":8,"middle":10}},
    "hosts":{"a-1":{"zone":"a"},"a-2":{"zone":"a"},"b-1":{"zone":"b"},"b-2":{"zone":"b","age":0.5}}}"#;
const TABLES: &str = r#"{"0":{"demand":{"confirm":4},"lines":{"a-1":1,"b-1":0.1}},
    "1":{"demand":{"confirm":4},"lines":{"a-2":1,"b-1":0.1}}}"#;

#[test_case(r#"[[{"line":{"slice":0,"host":"a-2","weight":0.1}}]]"#, 0, "accepted" ; "a line more")]
#[test_case(r#"[[{"clear":{"slice":0}}]]"#, 1, "slice 0: no open host, once told" ; "a slice emptied")]
#[test_case(r#"[[{"clear":{"slice":0}}]]"#, 1, "safe with:\n  slice 0 host" ; "and what would mend it")]
#[test_case(r#"[[{"line":{"slice":0,"host":"b-2","weight":90}},{"line":{"slice":1,"host":"b-2","weight":90}}]]"#, 1, "cold host b-2" ; "a cold host pushed")]
#[test_case(r#"[[{"line":{"slice":0,"host":"z","weight":1}}]]"#, 2, "host z: expected one of the pool" ; "a host that is not")]
#[test_case(r#"[[{"lines":{}}]]"#, 2, "orders.json:1: unknown variant" ; "no order")]
fn guard_judges_orders_from_files(orders: &str, status: i32, expected: &str) {
    let folder = TempFolder::new(&format!("guard-{}-{}", orders.len(), expected.len()));
    let files = [
        folder.file("pool.json", POOL),
        folder.file("tables.json", TABLES),
        folder.file("orders.json", orders),
    ];
    let output = coppersail(&["guard", "--pool", &files[0], "--tables", &files[1], "--orders", &files[2]]);
    let (code, out, err) = status_and_output(&output);
    assert!(code == status && (out.clone() + &err).contains(expected), "{code}: {out}{err}");
}

#[test]
fn guard_judges_standing_tables_and_pending_departures() {
    let folder = TempFolder::new("pending");
    let files = [folder.file("pool.json", POOL), folder.file("tables.json", TABLES)];
    let orders = folder.file("orders.json", r#"[[{"line":{"slice":0,"host":"b-1","weight":0}}]]"#);
    let pending = folder.file("pending.json", r#"[{"at":3,"host":"a-1","what":"leaves"}]"#);
    let judge = ["guard", "--pool", &files[0], "--tables", &files[1]];
    assert_eq!(status_and_output(&coppersail(&judge)).0, 0);
    let with = [&judge[..], &["--orders", &orders]].concat();
    assert_eq!(status_and_output(&coppersail(&with)).0, 0, "safe now");
    let (code, out, _) = status_and_output(&coppersail(&[&with[..], &["--pending", &pending]].concat()));
    assert!(code == 1 && out.contains("slice 0: no open host, at 3.0 s"), "{out}");
}

#[test_case("pool", r#"{"bounds":{},"hosts":{}}"#, "pool.json:1: missing field `cold_from`" ; "a bound is missing")]
#[test_case("pool", r#"{"bounds":5}"#, "invalid type: integer `5`, expected struct BoundsFile" ; "bounds of another type")]
#[test_case("tables", r#"{"0":true}"#, "invalid type: boolean `true`, expected struct TableFile" ; "a table of another type")]
#[test_case("pending", "[5]", "invalid type: integer `5`, expected struct PendingFile" ; "an event of another type")]
#[test_case("pending", r#"[{"at":3,"host":"a-1"}]"#, "pending.json:1: missing field `what`" ; "an event without its kind")]
fn invalid_fleet_files_are_reported_by_line(name: &str, text: &str, expected: &str) {
    let folder = TempFolder::new(&format!("form-{name}-{}", text.len()));
    let file = |form: &str, valid: &str| {
        folder.file(&format!("{form}.json"), if form == name { text } else { valid })
    };
    let (pool, tables, pending) = (file("pool", POOL), file("tables", TABLES), file("pending", "[]"));
    let guard = ["guard", "--pool", &pool, "--tables", &tables, "--pending", &pending];
    let (code, out, err) = status_and_output(&coppersail(&guard));
    assert!(code == 2 && out.is_empty() && err.contains(expected), "{code}: {out}{err}");
}

#[test]
fn a_drain_is_planned_in_steps_and_rejected_if_nobody_would_serve() {
    let folder = TempFolder::new("plan");
    let files = [folder.file("pool.json", POOL), folder.file("tables.json", TABLES)];
    let plan = ["plan", "drain", "--pool", &files[0], "--tables", &files[1]];
    let (code, out, err) =
        status_and_output(&coppersail(&[&plan[..], &["--hosts", "a-1,b-1", "--back-after", "3"]].concat()));
    assert!(code == 0 && out.contains("a-1") && out.contains("b-1") && out.contains("% full"), "{out}{err}");
    let (code, out, _) = status_and_output(&coppersail(&[&plan[..], &["--hosts", "all"]].concat()));
    assert!(code == 1 && out.contains("somebody must serve"), "{out}");
    assert_eq!(status_and_output(&coppersail(&[&plan[..], &["--hosts", "q"]].concat())).0, 2);
}

/// Answers one connection with each of these lines, an empty one by closing it; gives the requests that came.
fn stand_in_director(folder: &TempFolder, answers: Vec<String>) -> (String, JoinHandle<Vec<String>>) {
    let socket = folder.0.join("stand-in");
    let listener = UnixListener::bind(&socket).unwrap();
    let serve = move |answer: String| {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = String::new();
        BufReader::new(&stream).read_line(&mut request).unwrap();
        stream.write_all(answer.as_bytes()).unwrap();
        request
    };
    let requests = std::thread::spawn(move || answers.into_iter().map(serve).collect());
    (socket.display().to_string(), requests)
}

#[test_case("", 2, "closed the connection without an answer" ; "closed")]
#[test_case("{\"is\":\"do", 2, "an answer: EOF while parsing a string" ; "cut off")]
#[test_case("{\"is\":\"unreadable\",\"why\":\"what?\"}\n", 2, "coppersail: what?" ; "the request was not read")]
#[test_case("{\"is\":\"refused\",\"why\":\"no\"}\n", 1, "coppersail: no" ; "the request was rejected")]
fn failed_answers_choose_the_exit_status(answer: &str, status: i32, expected: &str) {
    let folder = TempFolder::new(&format!("answer-{}", expected.len()));
    let (socket, requests) = stand_in_director(&folder, vec![answer.to_string()]);
    let (code, out, err) = status_and_output(&coppersail(&["--socket", &socket, "status"]));
    assert!(code == status && out.is_empty() && err.contains(expected), "{code}: {out}{err}");
    assert_eq!(requests.join().unwrap(), ["{\"do\":\"status\"}\n"]);
}

const SUBMIT: [&str; 8] = ["change", "submit", "--why", "x", "--base", "3", "--set", "hosts.h-1.weight=2"];

#[test]
fn a_submission_whose_answer_is_lost_is_sent_again_with_the_same_token() {
    let folder = TempFolder::new("resubmit");
    let accepted = "{\"is\":\"accepted\",\"number\":4,\"durable\":true}\n";
    let (socket, requests) = stand_in_director(&folder, vec![String::new(), accepted.to_string()]);
    let (code, out, err) = status_and_output(&coppersail(&[&["--socket", &socket], &SUBMIT[..]].concat()));
    assert_eq!((code, out.as_str()), (0, "change 4 is in the history\n"), "{err}");
    let requests = requests.join().unwrap();
    assert!(requests[0] == requests[1] && requests[0].contains("\"token\":\""), "{requests:?}");
}

#[test]
fn waiting_for_a_change_that_is_undone_exits_with_status_1() {
    let folder = TempFolder::new("undone");
    let accepted = "{\"is\":\"accepted\",\"number\":4,\"durable\":true}\n".to_string();
    let undone = r#"{"is":"change","number":4,"wall":0,"submission":{"base":3,"who":"ann","why":"x",
        "edits":{"hosts.h-1.weight":2},"trial":null},"stage":{"undone":{"harm":{"found":"route r"}}},"undoes":null,
        "before":{}}"#;
    let undone = undone.replace('\n', " ") + "\n";
    let (socket, _) = stand_in_director(&folder, vec![accepted, undone]);
    let wait = [&["--socket", &socket], &SUBMIT[..], &["--wait"]].concat();
    let (code, out, err) = status_and_output(&coppersail(&wait));
    assert!(code == 1 && out.contains("change 4, undone, service dropped: route r"), "{out}{err}");
    assert_eq!(err, "coppersail: change 4: service dropped: route r\n");
}
