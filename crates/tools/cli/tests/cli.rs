//! The binary as an operator meets it: files of every fault, and a director of its own on loopback, which needs
//! neither relay nor hosts to take changes.

use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use test_case::test_case;

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("coppersail-cli-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        Folder(folder)
    }

    fn file(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    }
}

impl Drop for Folder {
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
fn said(output: &Output) -> (i32, String, String) {
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
fn files_are_checked(name: &str, text: &str, status: i32, expected: &str) {
    let folder = Folder::new(&format!("check-{}", expected.len() + text.len() * 100));
    let (file, config) = (folder.file(name, text), folder.file("config.json", CONFIG));
    let (code, out, err) = said(&coppersail(&["check", &file, "--config", &config]));
    assert_eq!(code, status, "{out}{err}");
    assert!((out + &err).contains(expected), "{err}");
}

#[test]
fn imports_from_the_same_folder_are_read_and_links_out_of_it_are_not() {
    let folder = Folder::new("imports");
    folder.file("common.libsonnet", "{ w: 2 }");
    let file = folder
        .file("a.jsonnet", "local c = import 'common.libsonnet'; { form: 1, zones: { a: { weight: c.w } } }");
    assert_eq!(said(&coppersail(&["check", &file])).0, 0);
    std::os::unix::fs::symlink("/etc/hostname", folder.0.join("link.libsonnet")).unwrap();
    let file = folder.file("b.jsonnet", "{ form: 1, log: importstr 'link.libsonnet' }");
    let (code, _, err) = said(&coppersail(&["check", &file]));
    assert!(code == 2 && err.contains("from the file's own folder"), "{err}");
}

#[test_case(&["change", "list"], "COPPERSAIL_SOCKET" ; "nobody named to ask")]
#[test_case(&["status", "--socket", "/nowhere/s"], "no director answers there" ; "nobody there")]
#[test_case(&["change", "submit", "--socket", "/nowhere/s", "--why", "x"], "expected at least one" ; "nothing to change")]
#[test_case(&["change", "submit", "--socket", "/nowhere/s", "--why", "x", "--set", "hosts.a.weight=0"], "0.01 to 100" ; "a value out of range")]
#[test_case(&["change", "submit", "--socket", "/nowhere/s", "--why", "x", "--set", "hosts.a=1"], "expected hosts.NAME.weight" ; "no field")]
#[test_case(&["change", "sumbit"], "submit" ; "a word that is close")]
fn what_cannot_be_read_ends_with_status_2(args: &[&str], expected: &str) {
    let (code, _, err) = said(&coppersail(args));
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

/// A director that is ended with this.
struct Director(Child, String);

impl Director {
    fn start(folder: &Folder, file: &str) -> Self {
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
        Director(child, socket)
    }

    fn ask(&self, args: &[&str]) -> (i32, String, String) {
        said(&coppersail(&[&["--socket", &self.1], args].concat()))
    }
}

impl Drop for Director {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

const FILE: &str = "local trial = 5; { form: 1, changes: { trial: trial }, control: { socket: 'SOCKET' } }";

#[test]
fn a_change_from_its_diff_to_its_undoing() {
    let folder = Folder::new("whole");
    let director = Director::start(&folder, FILE);
    let set = ["--set", "hosts.h-1.drained=true"];
    let (code, out, _) = director.ask(&[&["change", "diff"][..], &set].concat());
    assert!(
        code == 0 && out.contains("hosts.h-1.drained: as decided -> true") && out.contains("--base 0"),
        "{out}"
    );
    let submit = ["change", "submit", "--why", "it loses calls", "--trial", "0", "--wait", "--who", "ann"];
    let (code, out, err) = director.ask(&[&submit[..], &set].concat());
    assert!(code == 0 && out.contains("change 1, kept"), "{out}{err}");
    let (code, _, err) =
        director.ask(&[&submit[..], &["--base", "0", "--set", "hosts.h-1.drained=false"]].concat());
    assert!(code == 1 && err.contains("held by change 1 of ann"), "{err}");
    let (code, _, err) = director.ask(&[&submit[..], &["--set", "hosts.h-2.drained=true"]].concat());
    assert!(code == 1 && err.contains("no open, warm host"), "{err}");
    assert_eq!(director.ask(&["change", "undo", "1", "--why", "better now"]).0, 0);
    let (_, out, _) = director.ask(&["change", "list"]);
    assert!(
        out.contains("ann: it loses calls") && out.contains("undone, by") && out.contains("undoes change 1"),
        "{out}"
    );
    let (code, out, _) = director.ask(&["--json", "status"]);
    let status: serde_json::Value = serde_json::from_str(&out).unwrap();
    assert_eq!((code, status["version"].as_u64(), status["hosts"].as_u64()), (0, Some(2), Some(2)));
    assert_eq!(status["in_force"].to_string(), r#"[["changes.trial",5.0]]"#);
}

#[test]
fn drafts_wait_and_frozen_changes_are_refused_with_status_1() {
    let folder = Folder::new("drafts");
    let director = Director::start(&folder, FILE);
    let submit = ["change", "submit", "--why", "x", "--trial", "0", "--set", "hosts.h-1.weight=2"];
    assert_eq!(director.ask(&[&submit[..], &["--draft"]].concat()).0, 0);
    assert!(director.ask(&["change", "show", "1"]).1.contains("change 1, drafted"));
    assert_eq!(director.ask(&["change", "freeze", "--why", "the holiday"]).0, 0);
    let (code, _, err) = director.ask(&["change", "stage", "1"]);
    assert!(code == 1 && err.contains("frozen by") && err.contains("the holiday"), "{err}");
    assert_eq!(director.ask(&["change", "thaw"]).0, 0);
    assert_eq!(director.ask(&["change", "stage", "1"]).0, 0);
    assert_eq!(director.ask(&["change", "confirm", "77"]).0, 1, "none of that number");
    assert_eq!(director.ask(&["change", "show", "77"]).0, 1);
}

#[test]
fn a_template_that_is_wrong_keeps_a_director_from_starting() {
    let folder = Folder::new("wrong");
    let operator = folder.file("operator.jsonnet", "{\n form: 1,\n zones: { q: { weight: 1 } },\n}");
    let binary = PathBuf::from(env!("CARGO_BIN_EXE_coppersail")).with_file_name("coppersail-director");
    let config = folder.file("config.json", CONFIG);
    let output =
        Command::new(binary).env("EDGE_CONFIG", config).env("EDGE_OPERATOR", operator).output().unwrap();
    let (code, _, err) = said(&output);
    assert!(code == 2 && err.contains("operator.jsonnet:3: field zones.q.weight: expected a zone"), "{err}");
}

#[test]
fn shells_are_served() {
    assert!(said(&coppersail(&["completions", "bash"])).1.contains("complete"));
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
fn tables_are_judged_offline(orders: &str, status: i32, expected: &str) {
    let folder = Folder::new(&format!("guard-{}-{}", orders.len(), expected.len()));
    let files = [
        folder.file("pool.json", POOL),
        folder.file("tables.json", TABLES),
        folder.file("orders.json", orders),
    ];
    let output = coppersail(&["guard", "--pool", &files[0], "--tables", &files[1], "--orders", &files[2]]);
    let (code, out, err) = said(&output);
    assert!(code == status && (out.clone() + &err).contains(expected), "{code}: {out}{err}");
}

#[test]
fn a_pending_drain_counts_and_tables_are_judged_as_they_stand() {
    let folder = Folder::new("pending");
    let files = [folder.file("pool.json", POOL), folder.file("tables.json", TABLES)];
    let orders = folder.file("orders.json", r#"[[{"line":{"slice":0,"host":"b-1","weight":0}}]]"#);
    let pending = folder.file("pending.json", r#"[{"at":3,"host":"a-1","what":"leaves"}]"#);
    let judge = ["guard", "--pool", &files[0], "--tables", &files[1]];
    assert_eq!(said(&coppersail(&judge)).0, 0);
    let with = [&judge[..], &["--orders", &orders]].concat();
    assert_eq!(said(&coppersail(&with)).0, 0, "safe now");
    let (code, out, _) = said(&coppersail(&[&with[..], &["--pending", &pending]].concat()));
    assert!(code == 1 && out.contains("slice 0: no open host, at 3.0 s"), "{out}");
}

#[test]
fn a_drain_is_planned_in_steps() {
    let folder = Folder::new("plan");
    let files = [folder.file("pool.json", POOL), folder.file("tables.json", TABLES)];
    let plan = ["plan", "drain", "--pool", &files[0], "--tables", &files[1]];
    let (code, out, err) =
        said(&coppersail(&[&plan[..], &["--hosts", "a-1,b-1", "--back-after", "3"]].concat()));
    assert!(code == 0 && out.contains("a-1") && out.contains("b-1") && out.contains("% full"), "{out}{err}");
    let (code, out, _) = said(&coppersail(&[&plan[..], &["--hosts", "all"]].concat()));
    assert!(code == 1 && out.contains("somebody must serve"), "{out}");
    assert_eq!(said(&coppersail(&[&plan[..], &["--hosts", "q"]].concat())).0, 2);
}
