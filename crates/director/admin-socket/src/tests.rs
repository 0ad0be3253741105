//! Encoding of requests, and rejection of truncated and unknown ones.
use super::*;

#[test]
fn a_request_is_one_line_and_unknown_ones_are_rejected() {
    let edits = [("hosts.h-1.weight".parse().unwrap(), Some(Value::Number(0.5)))].into();
    let submission = Submission { base: Version(3), who: "a".into(), edits, ..Submission::default() };
    let request = Request::Submit { submission };
    let bytes = encode(&request);
    assert_eq!(parse_request(&bytes[..bytes.len() - 1]).unwrap(), request);
    assert_eq!(bytes.iter().filter(|byte| **byte == b'\n').count(), 1);
    assert!(parse_request(b"{\"do\":\"all\"}").is_err() && parse_request(b"{").is_err());
}
