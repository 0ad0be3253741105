//! Tests of the module `discovery`.
use super::*;
use test_case::test_case;

const ENTRY: &str = r#"{"id":"s-5","addr":"127.0.0.1:8000","zone":"a","kind":"m2","cell":3,"state":"terminating","weight":1.0,"started_ms":7}"#;

fn list(entries: &str) -> String {
    format!(r#"{{"version":43,"full":false,"servers":[{entries}]}}"#)
}

#[test]
fn each_field_of_an_entry_is_parsed() {
    let text = list(ENTRY);
    let list = EndpointList::parse(text.as_bytes()).unwrap();
    let server = list.entries[0].as_ref().unwrap();
    assert_eq!((list.version, list.is_complete, server.state), (43, false, EndpointState::Draining));
    assert_eq!((server.cell, server.started_ms, server.address.port()), (3, 7, 8000));
    assert!(matches!(server.id, Cow::Borrowed("s-5")));
}

#[test_case(r#""started_ms":7"#, r#""started_ms":"x""#, Some("s-5") ; "a wrong type")]
#[test_case("terminating", "asleep", Some("s-5") ; "an unknown state")]
#[test_case("127.0.0.1:8000", "nowhere", Some("s-5") ; "no address")]
#[test_case(r#""id":"s-5","#, "", None ; "no id")]
#[test_case(r#""id":"s-5""#, r#""id":"s;DEL,4""#, Some("s;DEL,4") ; "an id that contains an order")]
fn an_invalid_entry_does_not_affect_the_others(valid: &str, invalid: &str, id: Option<&str>) {
    let text = list(&format!("{},{ENTRY}", ENTRY.replace(valid, invalid)));
    let list = EndpointList::parse(text.as_bytes()).unwrap();
    assert_eq!(list.entries[0].as_ref().unwrap_err().id.as_deref(), id);
    assert!(list.entries[1].is_ok());
}

#[test_case(b"{\"version\":43" ; "truncated")]
#[test_case(b"{\"version\":-1,\"full\":true,\"servers\":[]}" ; "a negative version")]
#[test_case(b"<html>" ; "not an object")]
fn a_malformed_list_is_rejected(text: &[u8]) {
    assert!(EndpointList::parse(text).is_err());
}

#[test]
fn a_watch_path_holds_the_version_if_there_is_one() {
    assert_eq!(watch_path(Some(41)), "/v1/endpoints?follow=1&since=41");
    assert_eq!(watch_path(None), "/v1/endpoints?follow=1");
}
