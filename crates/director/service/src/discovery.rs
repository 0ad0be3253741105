//! Discovery's watches: each a connection of its own, whose lines go to the reducer.

use crate::framing::{Framed, Framer};
use crate::http;
use crate::net::Task;
use crate::reducer::{Event, LinkId};
use http_body_util::BodyExt;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc::Sender;

/// The agent is on this machine; a dial that takes longer has met nobody.
const CONNECT_MOST: Duration = Duration::from_millis(300);

pub struct Discovery {
    events: Sender<Event>,
    line_most: usize,
    watches: BTreeMap<LinkId, Task>,
}

impl Discovery {
    pub fn new(events: Sender<Event>, line_most: usize) -> Self {
        Discovery { events, line_most, watches: BTreeMap::new() }
    }

    pub fn watch(&mut self, id: LinkId, address: SocketAddr, path: String) {
        let (events, line_most) = (self.events.clone(), self.line_most);
        let task = Task::spawn(async move {
            let why = follow(id, address, &path, line_most, &events).await;
            let _ = events.send(Event::WatchDown(id, why)).await;
        });
        self.watches.insert(id, task);
    }

    pub fn unwatch(&mut self, id: LinkId) {
        self.watches.remove(&id);
    }
}

async fn follow(
    id: LinkId,
    address: SocketAddr,
    path: &str,
    line_most: usize,
    events: &Sender<Event>,
) -> String {
    let (answer, _driver) = match http::get(address, path, CONNECT_MOST).await {
        Ok(answer) => answer,
        Err(failed) => return format!("{failed:?}").to_lowercase(),
    };
    if answer.status().as_u16() != 200 {
        return format!("status {}", answer.status().as_u16());
    }
    let (mut body, mut framer) = (answer.into_body(), Framer::new(line_most));
    loop {
        let data = match body.frame().await {
            None => return "ended by discovery".to_string(),
            Some(Err(wrong)) => return wrong.to_string(),
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        let lines: Vec<Framed> = framer.take(&data);
        if !lines.is_empty() && events.send(Event::WatchLines(id, lines)).await.is_err() {
            return "the director has ended".to_string();
        }
    }
}
