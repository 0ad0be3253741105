//! Tests of the module `session`.
use super::*;
use assert_matches::assert_matches;

const ID: &str = "0123456789abcdef0123456789abcdef";

fn parse_line(line: &str) -> eyre::Result<(SessionCommand, String)> {
    parse(&line.split(' ').map(str::to_owned).collect::<Vec<_>>())
}

#[test]
fn a_missing_edge_or_an_invalid_id_is_refused() {
    let (command, edge) = parse_line(&format!("show {ID} --edge 10.0.0.4:7541")).unwrap();
    assert_eq!((command.path(), edge.as_str()), (format!("/sessions/{ID}"), "10.0.0.4:7541"));
    assert_matches!(parse_line("list"), Err(error) if error.to_string() == "--edge is missing");
    assert_matches!(parse_line("show ../x --edge a"), Err(error) if error.to_string().contains("32"));
    assert_matches!(parse_line("drop --edge a"), Err(error) if error.to_string() == "expected `list` or `show ID`");
}

#[test]
fn answers_of_an_edge_are_shown() {
    let show = SessionCommand::Show { id: ID.into() };
    let body = r#"{"id":"0a","owner":true,"fence":{"n":5,"by":2,"start":9},"hosts":[["ledger","i-1"]],
            "confirmations":[["00ff","ran, 201",40]]}"#;
    let text = show.render(body).unwrap();
    assert_eq!(
        text,
        "0a, owned here, fence 5 of site 2\n  ledger at i-1\n  confirmation 00ff: ran, 201, for 40 ms\n"
    );
    let list = r#"{"site":3,"sessions":["0a"],"counts":{"claims":4}}"#;
    let listed = SessionCommand::List.render(list).unwrap();
    assert!(listed.starts_with("site 3, 1 sessions") && listed.contains("claims 4"), "{listed}");
}
