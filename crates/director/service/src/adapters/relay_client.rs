//! Connections to the relay, for calls and for subscriptions to its updates.

use super::sockets;
use super::task::AbortOnDropTask;
use coppersail_director::framing::LineFramer;
use coppersail_director::reducer::{Event, LinkId};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::mpsc::{channel, Receiver, Sender};

/// Many times the usual time for connecting to the relay, and short compared with the callers' time limits.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// A call fits into the socket buffers, so a write that takes longer means that the connection is stalled.
const WRITE_TIMEOUT: Duration = Duration::from_millis(200);
/// The relay's lines are far shorter; a longer one is corrupt.
const MAX_LINE_BYTES: usize = 1 << 16;
const READ_BUFFER_BYTES: usize = 1 << 14;
/// Only one call is outstanding at a time, so a queue of two is never full on a working connection.
const WRITE_QUEUE_LENGTH: usize = 2;

struct Connection {
    writes: Sender<Vec<u8>>,
    _task: AbortOnDropTask,
}

/// The connections to the relay, by the ids that the reducer has assigned.
pub(crate) struct RelayClient {
    events: Sender<Event>,
    connections: BTreeMap<LinkId, Connection>,
}

impl RelayClient {
    /// Creates a client without connections; events of later ones are sent to `events`.
    pub(crate) fn new(events: Sender<Event>) -> Self {
        RelayClient { events, connections: BTreeMap::new() }
    }

    /// Starts to connect; [`Event::RelayConnected`] or [`Event::RelayDisconnected`] follows.
    pub(crate) fn connect(&mut self, id: LinkId, address: SocketAddr) {
        let (writes, queue) = channel(WRITE_QUEUE_LENGTH);
        let task = AbortOnDropTask::spawn(run(id, address, queue, self.events.clone()));
        self.connections.insert(id, Connection { writes, _task: task });
    }

    /// Queues bytes to be written; if the queue is full, the connection is closed.
    pub(crate) fn send(&mut self, id: LinkId, bytes: Vec<u8>) {
        let Some(connection) = self.connections.get(&id) else { return };
        if connection.writes.try_send(bytes).is_err() {
            self.close(id);
        }
    }

    /// Closes a connection without a further event.
    pub(crate) fn close(&mut self, id: LinkId) {
        self.connections.remove(&id);
    }
}

/// Runs a connection to its end and reports the cause, for the log.
async fn run(id: LinkId, address: SocketAddr, queue: Receiver<Vec<u8>>, events: Sender<Event>) {
    let cause = match exchange(id, address, queue, &events).await {
        Ok(()) => "closed by the relay".to_string(),
        Err(error) => error.to_string(),
    };
    let _ = events.send(Event::RelayDisconnected(id, cause)).await;
}

fn event_loop_ended() -> io::Error {
    io::Error::other("the event loop has ended")
}

async fn exchange(
    id: LinkId,
    address: SocketAddr,
    mut queue: Receiver<Vec<u8>>,
    events: &Sender<Event>,
) -> io::Result<()> {
    let mut stream = sockets::connect(address, CONNECT_TIMEOUT).await?;
    stream.set_nodelay(true)?;
    events.send(Event::RelayConnected(id)).await.map_err(|_| event_loop_ended())?;
    let (mut reader, mut writer) = stream.split();
    let mut framer = LineFramer::new(MAX_LINE_BYTES);
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    loop {
        tokio::select! {
            read = reader.read(&mut buffer) => {
                let count = read?;
                if count == 0 {
                    return Ok(());
                }
                let lines = framer.push(&buffer[..count]);
                if !lines.is_empty() {
                    events.send(Event::RelayLines(id, lines)).await.map_err(|_| event_loop_ended())?;
                }
            }
            Some(bytes) = queue.recv() => {
                let written = tokio::time::timeout(WRITE_TIMEOUT, writer.write_all(&bytes)).await;
                written.map_err(|_| sockets::timeout_error())??;
            }
        }
    }
}
