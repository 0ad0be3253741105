//! A stand-in client: one request on a new connection, with an id of its own, and its answer.
use crate::http::{call, Message};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

static NUMBER: AtomicU64 = AtomicU64::new(1);

pub fn next_try_id() -> String {
    format!("{:08x}{:08x}", std::process::id(), NUMBER.fetch_add(1, Ordering::Relaxed))
}

/// What a client saw of one request.
pub struct Seen {
    pub answer: io::Result<Message>,
}

impl Seen {
    /// The status; 0 without an answer.
    pub fn status(&self) -> u16 {
        self.answer.as_ref().map(Message::status).unwrap_or(0)
    }
}

pub fn get(edge: SocketAddr, host: &str, path: &str, time_left: Duration) -> Seen {
    get_key(edge, host, path, time_left, None)
}

/// A request with a `Shard-Key`, if one is given.
pub fn get_key(edge: SocketAddr, host: &str, path: &str, time_left: Duration, key: Option<u16>) -> Seen {
    let try_id = next_try_id();
    let left = time_left.as_millis().to_string();
    let key = key.map(|key| key.to_string());
    let mut headers = vec![("Host", host), ("Try-Id", try_id.as_str()), ("Time-Left-Ms", left.as_str())];
    headers.extend(key.as_deref().map(|key| ("Shard-Key", key)));
    let answer = call(edge, "GET", path, &headers, b"", time_left);
    Seen { answer }
}

pub fn is_ready(readiness: SocketAddr) -> bool {
    let answer = call(readiness, "GET", "/readiness", &[], b"", Duration::from_millis(500));
    answer.is_ok_and(|answer| answer.status() == 200)
}
