//! Tests of the module `session`.
use super::*;
use assert_matches::assert_matches;

#[test]
fn words_are_read_and_answers_told() {
    let read = |line: &str| asked(&line.split(' ').map(str::to_owned).collect::<Vec<_>>());
    let id = "0123456789abcdef0123456789abcdef";
    let (path, edge) = read(&format!("show {id} --edge 10.0.0.4:7541")).unwrap();
    assert_eq!((path.as_str(), edge.as_str()), (&*format!("/sessions/{id}"), "10.0.0.4:7541"));
    assert_matches!(read("list"), Err(fault) if fault.to_string() == "--edge is missing");
    assert_matches!(read("show ../x --edge a"), Err(fault) if fault.to_string().contains("32"));
    let body = r#"{"id":"0a","owner":true,"fence":{"n":5,"by":2,"start":9},"hosts":[["ledger","i-1"]],
            "confirmations":[["00ff","ran, 201",40]]}"#;
    let text = told(&path, body).unwrap();
    assert_eq!(
        text,
        "0a, owned here, fence 5 of site 2\n  ledger at i-1\n  confirmation 00ff: ran, 201, for 40 ms\n"
    );
    let listed = told("/sessions", r#"{"site":3,"sessions":["0a"],"counts":{"claims":4}}"#).unwrap();
    assert!(listed.starts_with("site 3, 1 sessions") && listed.contains("claims 4"), "{listed}");
}
