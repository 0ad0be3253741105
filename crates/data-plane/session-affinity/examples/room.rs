//! What sessions weigh: `cargo run --release -p coppersail-session-affinity --example room -- CONFIRMATIONS`.
use coppersail_session_affinity::{
    AffinityNode, AffinitySettings, IdempotentRequest, Outcome, Output, RecordedResponse, SessionId,
};

fn resident() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split(' ').nth(1).and_then(|pages| pages.parse::<usize>().ok()).unwrap_or_default() * 4096
}

fn main() {
    let (keys, body) = (std::env::args().nth(1).and_then(|keys| keys.parse().ok()).unwrap_or(2), 300);
    let terms = AffinitySettings { sessions: 100_000, ..AffinitySettings::default() };
    let mut site = AffinityNode::new(1, &terms, 1, 0);
    let (before, count) = (resident(), 40_000);
    for n in 0..count {
        let id = SessionId([n, n]);
        let seats = vec![1];
        site.visit(1_000, id, 500, &seats);
        site.served(1_000, id, "a-service", "i-0123456789ab");
        for key in 0..keys {
            let (key, ticket) = (format!("{n:032x}-{key}"), n * 8 + key);
            let ask = IdempotentRequest {
                ticket,
                id,
                born: 500,
                seats: seats.clone(),
                key,
                print: 1,
                until: 2_000,
            };
            for out in site.ask(1_000, ask) {
                let Output::Run { ticket } = out else { continue };
                let headers = vec![("content-type".into(), "application/json".into())];
                let answer = RecordedResponse { status: 201, headers, body: vec![b'x'; body] };
                site.ran(1_001, ticket, Outcome::Ran(answer));
            }
        }
    }
    let each = (resident() - before) as u64 / count;
    println!("{count} sessions, {keys} confirmations of {body} bytes each: {each} bytes a session, as owner and seat");
}
