//! Measures the memory of a session, at a node that is its owner and only replica:
//! `cargo run --release -p coppersail-session-affinity --example room -- REQUESTS`.
use coppersail_session_affinity::{
    AffinityNode, AffinitySettings, IdempotentRequest, Outcome, Output, RecordedResponse, SessionId,
};

const SESSIONS: u64 = 40_000;
const DEFAULT_REQUESTS: u64 = 2;
const BODY_BYTES: usize = 300;
const PAGE_BYTES: usize = 4096;
const NOW: u64 = 1_000;
const CREATED_AT: u64 = 500;

/// Resident memory of this process in bytes.
fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}

fn complete_request(node: &mut AffinityNode, request: IdempotentRequest) {
    for output in node.admit(NOW, request) {
        let Output::SendRequest { request_id } = output else { continue };
        let headers = vec![("content-type".into(), "application/json".into())];
        let response = RecordedResponse { status: 201, headers, body: vec![b'x'; BODY_BYTES] };
        node.complete(NOW + 1, request_id, Outcome::Completed(response));
    }
}

fn main() {
    let requests = std::env::args().nth(1).and_then(|requests| requests.parse().ok());
    let requests = requests.unwrap_or(DEFAULT_REQUESTS);
    let settings = AffinitySettings { max_sessions: 100_000, ..AffinitySettings::default() };
    let mut node = AffinityNode::new(1, &settings, 1, 0);
    let before = resident_bytes();
    for n in 0..SESSIONS {
        let id = SessionId([n, n]);
        node.touch(NOW, id, CREATED_AT, &[1]);
        node.set_endpoint(NOW, id, "a-service", "i-0123456789ab");
        for index in 0..requests {
            let request = IdempotentRequest {
                request_id: n * 8 + index,
                session: id,
                created_at: CREATED_AT,
                replicas: vec![1],
                key: format!("{n:032x}-{index}"),
                fingerprint: 1,
                deadline: 2_000,
            };
            complete_request(&mut node, request);
        }
    }
    let each = (resident_bytes() - before) as u64 / SESSIONS;
    println!(
        "{SESSIONS} sessions, {requests} responses of {BODY_BYTES} bytes each: {each} bytes per session, \
         as owner and replica"
    );
}
