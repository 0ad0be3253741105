//! Probes of hosts: each on a connection of its own, which ends with it.

use crate::http::{self, Failed};
use crate::reducer::{Event, ProbeEnd};
use coppersail::interface::HostId;
use http_body_util::{BodyExt, Limited};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::Sender;
use tokio::sync::Semaphore;

/// Many times what a connection takes on the way there; a machine that vanished never answers the dial.
const CONNECT_MOST: Duration = Duration::from_millis(400);
/// A live host answers in hundredths of a second; this leaves room for a queue before the answer.
const ANSWER_MOST: Duration = Duration::from_millis(700);
/// A load report is a line.
const BODY_MOST: usize = 4096;

pub struct Probes {
    events: Sender<Event>,
    room: Arc<Semaphore>,
}

impl Probes {
    /// `most` are under way at a time; the others wait.
    pub fn new(events: Sender<Event>, most: usize) -> Self {
        Probes { events, room: Arc::new(Semaphore::new(most)) }
    }

    pub fn start(&mut self, host: HostId, address: SocketAddr, path: &'static str) {
        let (events, room) = (self.events.clone(), self.room.clone());
        tokio::spawn(async move {
            // Given back when the task ends, whatever its end.
            let Ok(_place) = room.acquire_owned().await else { return };
            let started = Instant::now();
            let (end, body) = match tokio::time::timeout(ANSWER_MOST, ask_again(address, path)).await {
                Ok(end) => end,
                Err(_) => (ProbeEnd::TimedOut, Vec::new()),
            };
            let took = started.elapsed().as_secs_f64();
            let _ = events.send(Event::Probed { host, end, took, body }).await;
        });
    }
}

/// A connection that came up and broke tells nothing of the host, as the network resets any: the probe is asked once
/// more. A host that died refuses that. Two resets in a row would have a sound host shut out and taken for young.
async fn ask_again(address: SocketAddr, path: &str) -> (ProbeEnd, Vec<u8>) {
    match ask(address, path).await {
        (ProbeEnd::Broken, _) => ask(address, path).await,
        answer => answer,
    }
}

async fn ask(address: SocketAddr, path: &str) -> (ProbeEnd, Vec<u8>) {
    let (answer, _driver) = match http::get(address, path, CONNECT_MOST).await {
        Ok(answer) => answer,
        Err(Failed::Unreachable) => return (ProbeEnd::Unreachable, Vec::new()),
        Err(Failed::Broken) => return (ProbeEnd::Broken, Vec::new()),
        Err(Failed::Unreadable) => return (ProbeEnd::Unreadable, Vec::new()),
    };
    let status = answer.status().as_u16();
    match Limited::new(answer.into_body(), BODY_MOST).collect().await {
        Ok(body) => (ProbeEnd::Status(status), body.to_bytes().to_vec()),
        // The status has come, and so has the sign of life; only the report is lost.
        Err(_) => (ProbeEnd::Status(status), Vec::new()),
    }
}
