//! Tests of the module `admin-socket`.
use super::*;

#[test]
fn what_is_said_is_understood() {
    let edits = [("hosts.h-1.weight".parse().unwrap(), Some(Value::Number(0.5)))].into();
    let submission = Submission { base: Version(3), who: "a".into(), edits, ..Submission::default() };
    let said = Request::Submit { submission };
    let bytes = line(&said);
    assert_eq!(
        (request(&bytes[..bytes.len() - 1]), bytes.iter().filter(|b| **b == b'\n').count()),
        (Ok(said), 1)
    );
    assert!(request(b"{\"do\":\"all\"}").is_err() && request(b"{").is_err());
}
