//! Watches of the discovery service: each is a streaming HTTP response on a separate connection, whose lines are sent
//! to the reducer.

use super::http_client;
use super::task::AbortOnDropTask;
use coppersail_director::framing::LineFramer;
use coppersail_director::reducer::{Event, LinkId};
use http_body_util::BodyExt;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc::Sender;

/// Discovery's agent runs on the same machine; if connecting takes longer, the agent does not respond.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
const STATUS_OK: u16 = 200;

/// The open watches, by the ids that the reducer has assigned.
pub(crate) struct DiscoveryClient {
    events: Sender<Event>,
    max_line_bytes: usize,
    watches: BTreeMap<LinkId, AbortOnDropTask>,
}

impl DiscoveryClient {
    /// Creates a client without watches. The lines of later ones, of at most `max_line_bytes`, are sent to `events`.
    pub(crate) fn new(events: Sender<Event>, max_line_bytes: usize) -> Self {
        DiscoveryClient { events, max_line_bytes, watches: BTreeMap::new() }
    }

    /// Opens a watch. [`Event::WatchLines`] follow, and [`Event::WatchEnded`] unless the reducer closes it.
    pub(crate) fn watch(&mut self, id: LinkId, address: SocketAddr, path: String) {
        let events = self.events.clone();
        let max_line_bytes = self.max_line_bytes;
        let task = AbortOnDropTask::spawn(async move {
            let cause = follow(id, address, &path, max_line_bytes, &events).await;
            let _ = events.send(Event::WatchEnded(id, cause)).await;
        });
        self.watches.insert(id, task);
    }

    /// Closes a watch without a further event.
    pub(crate) fn unwatch(&mut self, id: LinkId) {
        self.watches.remove(&id);
    }
}

/// Reads a watch to its end; returns why it ended, for the log.
async fn follow(
    id: LinkId,
    address: SocketAddr,
    path: &str,
    max_line_bytes: usize,
    events: &Sender<Event>,
) -> String {
    let (response, _driver) = match http_client::get(address, path, CONNECT_TIMEOUT).await {
        Ok(response) => response,
        Err(error) => return error.to_string(),
    };
    let status = response.status().as_u16();
    if status != STATUS_OK {
        return format!("status {status}");
    }
    let mut body = response.into_body();
    let mut framer = LineFramer::new(max_line_bytes);
    loop {
        let data = match body.frame().await {
            None => return "ended by discovery".to_string(),
            Some(Err(error)) => return error.to_string(),
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        let lines = framer.push(&data);
        if !lines.is_empty() && events.send(Event::WatchLines(id, lines)).await.is_err() {
            return "the event loop has ended".to_string();
        }
    }
}
