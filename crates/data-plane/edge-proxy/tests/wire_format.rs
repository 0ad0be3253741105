//! Tests of the wire format between programs of different versions: the messages that edges post to each
//! other at the path `/sojourn`, and the list of sessions that `gatewayctl session` reads. A change of these
//! bytes breaks rolling upgrades or stored data.
use coppersail_config::SessionSettings;
use coppersail_edge_proxy::sessions::{SessionListing, Sessions};
use coppersail_session_affinity::Counters;
use serde::{de::DeserializeOwned, Serialize};
use slog::{o, Discard, Logger};
use std::fmt::Debug;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const NO_COUNTS: &str = concat!(
    r#"{"claims":0,"crossings":0,"let_go":0,"waits":0,"sent":0,"repeats_answered":0,"under_way":0,"#,
    r#""other_body":0,"unknown":0,"refused":0,"forgotten":0,"healed":0,"dropped":0}"#,
);

/// Checks that the value serializes to exactly this text, and that the text deserializes to an equal value.
fn assert_text<T: Serialize + DeserializeOwned + Debug>(value: T, text: &str) {
    assert_eq!(serde_json::to_string(&value).unwrap(), text);
    assert_eq!(format!("{:?}", serde_json::from_str::<T>(text).unwrap()), format!("{value:?}"));
}

#[test]
fn the_list_of_sessions_has_a_stable_wire_format() {
    let (sessions, counts) = (vec!["ab".into()], Counters::default());
    let listed = SessionListing { node_id: 2, sessions, counts, rejected_tokens: 3, messages: 4, bytes: 5 };
    let text = r#"{"site":2,"sessions":["ab"],"counts":COUNTS,"unfit":3,"messages":4,"bytes":5}"#;
    assert_text(listed, &text.replace("COUNTS", NO_COUNTS));
}

#[test]
fn a_list_from_an_older_version_with_missing_fields_parses() {
    let listed: SessionListing = serde_json::from_str(r#"{"site":2}"#).unwrap();
    assert_eq!(
        format!("{listed:?}"),
        format!("{:?}", SessionListing { node_id: 2, ..SessionListing::default() })
    );
}

#[tokio::test(flavor = "local")]
async fn a_post_of_a_peer_edge_and_its_response_have_a_stable_wire_format() {
    let key = std::env::temp_dir().join(format!("wire-format-{}.key", std::process::id()));
    std::fs::write(&key, [7; 32]).unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let settings = format!(
        r#"{{"header":"Session","keys":["{}"],"services":["plain"],
            "sites":{{"1":{{"1":"{address}","2":"127.0.0.1:1"}}}},
            "routes":[{{"domain":"a.example","pathStart":"/once/","confirms":true}}]}}"#,
        key.display(),
    );
    let settings = SessionSettings::from_json(&settings).unwrap();
    let sessions = Sessions::new(settings, &address, true, Logger::root(Discard, o!())).unwrap();
    std::fs::remove_file(&key).unwrap();
    sessions.start(listener);
    let claim = r#"{"Claim":{"id":[1,2],"born":5,"fence":{"n":70,"by":2,"start":9},"round":6}}"#;
    let below = claim.replace("70", "60");
    let body = format!(r#"{{"from":2,"msgs":[{claim},{below}]}}"#);
    let mut stream = TcpStream::connect(&address).await.unwrap();
    let head = "POST /sojourn HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length";
    stream.write_all(format!("{head}: {}\r\n\r\n{body}", body.len()).as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    let (head, replies) = answer.split_once("\r\n\r\n").unwrap();
    assert!(head.starts_with("HTTP/1.1 200 OK\r\n"), "{answer}");
    // The field `life` is the time at which the node started.
    let (before, rest) = replies.split_once(r#""life":"#).unwrap();
    let after = rest.trim_start_matches(|character: char| character.is_ascii_digit());
    assert_eq!(
        format!("{before}\"life\":LIFE{after}"),
        concat!(
            r#"[{"Promised":{"id":[1,2],"fence":{"n":70,"by":2,"start":9},"round":6,"life":LIFE,"former":null,"#,
            r#""record":{"hosts":[],"stamp":[{"n":0,"by":0,"start":0},0],"entries":[]}}},"#,
            r#"{"Outranked":{"id":[1,2],"fence":{"n":60,"by":2,"start":9},"promised":{"n":70,"by":2,"start":9}}}]"#,
        )
    );
}
