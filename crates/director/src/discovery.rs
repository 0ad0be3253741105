//! Discovery's watch: one connection at a time, whose lines go to the reducer.

use crate::framing::{Framed, Framer};
use crate::http;
use crate::net::Task;
use crate::reducer::{Event, LinkId};
use http_body_util::BodyExt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc::Sender;

/// The agent is on this machine; a dial that takes longer has met nobody.
const CONNECT_MOST: Duration = Duration::from_millis(300);
/// A whole list of ten thousand hosts fits.
const LINE_MOST: usize = 4 << 20;

pub struct Discovery {
    address: SocketAddr,
    events: Sender<Event>,
    watch: Option<Task>,
}

impl Discovery {
    pub fn new(address: SocketAddr, events: Sender<Event>) -> Self {
        Discovery { address, events, watch: None }
    }

    /// Opens a watch in place of the one before.
    pub fn watch(&mut self, id: LinkId, path: String) {
        // The old one ends before the new one begins.
        self.watch = None;
        let (address, events) = (self.address, self.events.clone());
        self.watch = Some(Task::spawn(async move {
            let why = follow(id, address, &path, &events).await;
            let _ = events.send(Event::WatchDown(id, why)).await;
        }));
    }
}

async fn follow(id: LinkId, address: SocketAddr, path: &str, events: &Sender<Event>) -> String {
    let (answer, _driver) = match http::get(address, path, CONNECT_MOST).await {
        Ok(answer) => answer,
        Err(failed) => return format!("{failed:?}").to_lowercase(),
    };
    if answer.status().as_u16() != 200 {
        return format!("status {}", answer.status().as_u16());
    }
    let (mut body, mut framer) = (answer.into_body(), Framer::new(LINE_MOST));
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
