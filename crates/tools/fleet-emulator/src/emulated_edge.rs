//! The watch requests of one emulated edge.
use coppersail_peer_protocol::{RequestCounts, Update, WatchRequest};

/// An edge that watches and keeps of each update only the position that the next watch request acknowledges.
#[derive(Debug, Clone)]
pub struct EmulatedEdge {
    next_watch: WatchRequest,
}

impl EmulatedEdge {
    /// Edge `number` of a zone. Its watch requests may wait `wait_ms` milliseconds for an update. Its address is one
    /// of the loopback net, so that it is never that of a real edge.
    pub fn new(number: u32, zone: String, wait_ms: u64) -> EmulatedEdge {
        let edge = format!("127.{}.{}.{}", 64 + (number >> 16 & 63), number >> 8 & 255, number & 255);
        EmulatedEdge { next_watch: WatchRequest { edge, zone, wait_ms, ..WatchRequest::default() } }
    }

    /// The next watch request, with counts of requests as an edge under traffic sends them.
    pub fn watch_request(&self, request_counts: &[RequestCounts]) -> WatchRequest {
        WatchRequest { request_counts: request_counts.to_vec(), ..self.next_watch.clone() }
    }

    /// Applies a response; whether it contained anything new.
    pub fn apply_update(&mut self, update: &Update) -> bool {
        let next = &mut self.next_watch;
        let is_new = (update.feed_id, update.sequence) != (next.feed_id, next.sequence);
        (next.feed_id, next.sequence) = (update.feed_id, update.sequence);
        is_new
    }
}
