//! Formats that builds of other versions read: edge proxies post messages to each other on `/sojourn`, clients hold
//! tokens, and operators' commands read the views. A change of these bytes breaks rolling upgrades or stored data.
use coppersail_session_affinity::token::{fingerprint, SessionToken, SigningKeys};
use coppersail_session_affinity::{
    AttemptId, Counters, EntryState, FencingToken, IdempotencyEntry, Message, RecordedResponse, RequestView,
    SessionId, SessionRecord, SessionView,
};
use serde::{de::DeserializeOwned, Serialize};
use std::fmt::Debug;

/// Asserts that the value is serialised as exactly this text, and that the text is parsed as an equal value.
fn assert_text<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: T, text: &str) {
    assert_eq!(serde_json::to_string(&value).unwrap(), text);
    assert_eq!(serde_json::from_str::<T>(text).unwrap(), value);
}

const ID: SessionId = SessionId([1, 0xabc]);
const FENCE: FencingToken = FencingToken { number: 70_000, node: 2, incarnation: 9 };
const ATTEMPT: AttemptId = AttemptId { fencing_token: FENCE, number: 3 };
const FENCE_TEXT: &str = r#"{"n":70000,"by":2,"start":9}"#;
const ANSWER_TEXT: &str = r#"{"status":201,"headers":[["content-type","text/plain"]],"body":"dGFrZW4/"}"#;

fn answer() -> RecordedResponse {
    let headers = vec![("content-type".into(), "text/plain".into())];
    RecordedResponse { status: 201, headers, body: b"taken?".to_vec() }
}

fn entry(state: EntryState) -> IdempotencyEntry {
    IdempotencyEntry { key: "k".into(), fingerprint: 5, attempt: ATTEMPT, state, changed_at: 71_000 }
}

fn entry_text(state: &str) -> String {
    format!(r#"{{"key":"k","print":5,"attempt":[{FENCE_TEXT},3],"step":{state},"at":71000}}"#)
}

fn record() -> SessionRecord {
    let endpoints = vec![("ledger".into(), "10.0.0.1:80".into())];
    SessionRecord {
        endpoints,
        endpoints_version: AttemptId { fencing_token: FENCE, number: 4 },
        entries: vec![entry(EntryState::ResponseDropped)],
    }
}

fn record_text() -> String {
    let entry = entry_text(r#""Past""#);
    format!(r#"{{"hosts":[["ledger","10.0.0.1:80"]],"stamp":[{FENCE_TEXT},4],"entries":[{entry}]}}"#)
}

#[test]
fn ids_and_fencing_tokens_keep_their_bytes() {
    assert_text(ID, "[1,2748]");
    assert_eq!(ID.to_string(), "00000000000000010000000000000abc");
    assert_eq!("00000000000000010000000000000abc".parse(), Ok(ID));
    assert_text(FENCE, FENCE_TEXT);
}

#[test]
fn an_entry_keeps_its_bytes_in_each_state() {
    let ran = format!(r#"{{"Ran":{ANSWER_TEXT}}}"#);
    let table = [
        (EntryState::InFlight { deadline: 80_000 }, r#"{"Open":{"until":80000}}"#),
        (EntryState::Unknown, r#""Unknown""#),
        (EntryState::NotExecuted, r#""NotRun""#),
        (EntryState::ResponseDropped, r#""Past""#),
        (EntryState::Completed(answer()), &ran),
    ];
    for (state, text) in table {
        assert_text(state.clone(), text);
        assert_text(entry(state), &entry_text(text));
    }
}

#[test]
fn a_record_keeps_its_bytes() {
    assert_text(record(), &record_text());
    let empty = r#"{"hosts":[],"stamp":[{"n":0,"by":0,"start":0},0],"entries":[]}"#;
    assert_text(SessionRecord::default(), empty);
}

/// Asserts the text of a message, after replacing the placeholders RECORD, ENTRY and FENCE by the texts of their
/// values.
fn assert_message(message: Message, text: &str) {
    let text = text.replace("RECORD", &record_text()).replace("ENTRY", &entry_text(r#""NotRun""#));
    assert_text(message, &text.replace("FENCE", FENCE_TEXT));
}

#[test]
fn each_message_to_a_replica_keeps_its_bytes() {
    let (id, fencing_token) = (ID, FENCE);
    let table = [
        (
            Message::Prepare { id, created_at: 60_000, fencing_token, round: 6 },
            r#"{"Claim":{"id":[1,2748],"born":60000,"fence":FENCE,"round":6}}"#,
        ),
        (
            Message::Restore { id, created_at: 60_000, fencing_token, incarnation: 8, record: record() },
            r#"{"Install":{"id":[1,2748],"born":60000,"fence":FENCE,"life":8,"record":RECORD}}"#,
        ),
        (
            Message::Write { id, fencing_token, incarnation: 8, record: record() },
            r#"{"Write":{"id":[1,2748],"fence":FENCE,"life":8,"record":RECORD}}"#,
        ),
        (
            Message::Completion { id, entry: entry(EntryState::NotExecuted) },
            r#"{"Told":{"id":[1,2748],"entry":ENTRY}}"#,
        ),
    ];
    table.into_iter().for_each(|(message, text)| assert_message(message, text));
}

#[test]
fn each_message_to_an_owner_keeps_its_bytes() {
    let (id, fencing_token, attempt) = (ID, FENCE, ATTEMPT);
    let table = [
        (
            Message::Promise {
                id,
                fencing_token,
                round: 6,
                incarnation: 8,
                previous_owner: Some(3),
                record: record(),
            },
            r#"{"Promised":{"id":[1,2748],"fence":FENCE,"round":6,"life":8,"former":3,"record":RECORD}}"#,
        ),
        (
            Message::Promise {
                id,
                fencing_token,
                round: 6,
                incarnation: 8,
                previous_owner: None,
                record: record(),
            },
            r#"{"Promised":{"id":[1,2748],"fence":FENCE,"round":6,"life":8,"former":null,"record":RECORD}}"#,
        ),
        (
            Message::StateLost { id, fencing_token, incarnation: 8 },
            r#"{"Blank":{"id":[1,2748],"fence":FENCE,"life":8}}"#,
        ),
        (
            Message::Rejected {
                id,
                fencing_token,
                promised: FencingToken { number: 1, node: 2, incarnation: 3 },
            },
            r#"{"Outranked":{"id":[1,2748],"fence":FENCE,"promised":{"n":1,"by":2,"start":3}}}"#,
        ),
        (Message::NoCapacity { id, fencing_token }, r#"{"Full":{"id":[1,2748],"fence":FENCE}}"#),
        (
            Message::WriteAck { id, fencing_token, attempt },
            r#"{"Kept":{"id":[1,2748],"fence":FENCE,"attempt":[FENCE,3]}}"#,
        ),
        (Message::CompletionAck { id, attempt }, r#"{"Noted":{"id":[1,2748],"attempt":[FENCE,3]}}"#),
        (
            Message::CompletionNotice { id, entry: entry(EntryState::NotExecuted) },
            r#"{"News":{"id":[1,2748],"entry":ENTRY}}"#,
        ),
        (Message::Superseded { id, fencing_token }, r#"{"LetGo":{"id":[1,2748],"fence":FENCE}}"#),
    ];
    table.into_iter().for_each(|(message, text)| assert_message(message, text));
}

#[test]
fn operators_views_keep_their_bytes() {
    let counters = Counters {
        claims: 1,
        takeovers: 2,
        sessions_superseded: 3,
        requests_pending: 4,
        sent: 5,
        repeats_answered: 6,
        in_flight: 7,
        fingerprint_mismatches: 8,
        unknown: 9,
        refused: 10,
        session_lost: 11,
        replicas_restored: 12,
        sessions_evicted: 13,
    };
    let text = concat!(
        r#"{"claims":1,"crossings":2,"let_go":3,"waits":4,"sent":5,"repeats_answered":6,"under_way":7,"#,
        r#""other_body":8,"unknown":9,"refused":10,"forgotten":11,"healed":12,"dropped":13}"#,
    );
    assert_text(counters, text);
    let view = SessionView {
        id: "ab".into(),
        owner: true,
        fencing_token: FENCE,
        endpoints: vec![("ledger".into(), "h".into())],
        requests: vec![RequestView { key_fingerprint: "c".into(), state: "under way".into(), age_ms: 9 }],
    };
    let text = concat!(
        r#"{"id":"ab","owner":true,"fence":FENCE,"hosts":[["ledger","h"]],"#,
        r#""confirmations":[["c","under way",9]]}"#,
    );
    assert_text(view, &text.replace("FENCE", FENCE_TEXT));
}

#[test]
fn a_token_keeps_its_signed_text() {
    let keys = SigningKeys::new(vec![b"a literal key of 32 bytes, no less".to_vec()]).unwrap();
    let token = SessionToken { id: ID, peer_set: 4, created_at: 60_000, signed_at: 65_000 };
    let text = "AAAAAAAAAAEAAAAAAAAKvAAEAAAAAAAA6mAAAAAAAAD96BG7ySSVCBN75Wjx1BmaOmzow9I8Qem6asMQc633eSj_";
    assert_eq!(keys.sign(&token), text);
    assert_eq!(keys.read(text, 66_000, 60_000, 100), Ok((token, true)));
}

#[test]
fn the_fingerprint_of_a_request_keeps_its_number() {
    assert_eq!(fingerprint(&[b"POST", b"/book", b"body"]), 13912192665841633907);
}

#[test]
fn counters_without_fields_of_later_versions_still_parse() {
    let counters: Counters = serde_json::from_str(r#"{"claims":3}"#).unwrap();
    assert_eq!(counters, Counters { claims: 3, ..Counters::default() });
}
