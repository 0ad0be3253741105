//! Connections to the relay, for calls and for news alike: dialled, written and given back here.

use crate::framing::Framer;
use crate::net::{dial, late, Task};
use crate::reducer::{Event, LinkId};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::mpsc::{channel, Receiver, Sender};

/// Many times what a connection takes on the way there, and short against the time limits.
const CONNECT_MOST: Duration = Duration::from_millis(300);
/// A call fits the buffers on the way; one that does not leave in this time is stuck.
const WRITE_MOST: Duration = Duration::from_millis(200);
/// Lines of the relay are short; one beyond this is none of its.
const LINE_MOST: usize = 1 << 16;

struct Link {
    writes: Sender<Vec<u8>>,
    _task: Task,
}

pub struct Relay {
    events: Sender<Event>,
    links: BTreeMap<LinkId, Link>,
}

impl Relay {
    pub fn new(events: Sender<Event>) -> Self {
        Relay { events, links: BTreeMap::new() }
    }

    pub fn dial(&mut self, id: LinkId, address: SocketAddr) {
        let (writes, queue) = channel(2);
        let task = Task::spawn(run(id, address, queue, self.events.clone()));
        self.links.insert(id, Link { writes, _task: task });
    }

    /// One call is out at a time, so the queue of two is never full on a live connection.
    pub fn send(&mut self, id: LinkId, bytes: Vec<u8>) {
        let sent = self.links.get(&id).is_some_and(|link| link.writes.try_send(bytes).is_ok());
        if !sent {
            self.hang_up(id);
        }
    }

    pub fn hang_up(&mut self, id: LinkId) {
        self.links.remove(&id);
    }
}

async fn run(id: LinkId, address: SocketAddr, queue: Receiver<Vec<u8>>, events: Sender<Event>) {
    let why = match talk(id, address, queue, &events).await {
        Ok(()) => "closed by the relay".to_string(),
        Err(wrong) => wrong.to_string(),
    };
    let _ = events.send(Event::RelayDown(id, why)).await;
}

async fn talk(
    id: LinkId,
    address: SocketAddr,
    mut queue: Receiver<Vec<u8>>,
    events: &Sender<Event>,
) -> io::Result<()> {
    let mut stream = dial(address, CONNECT_MOST).await?;
    stream.set_nodelay(true)?;
    let gone = || io::Error::other("the director has ended");
    events.send(Event::RelayUp(id)).await.map_err(|_| gone())?;
    let (mut reader, mut writer) = stream.split();
    let (mut framer, mut bytes) = (Framer::new(LINE_MOST), vec![0; 1 << 14]);
    loop {
        tokio::select! {
            many = reader.read(&mut bytes) => {
                let many = many?;
                if many == 0 {
                    return Ok(());
                }
                let lines = framer.take(&bytes[..many]);
                if !lines.is_empty() {
                    events.send(Event::RelayLines(id, lines)).await.map_err(|_| gone())?;
                }
            }
            Some(line) = queue.recv() => {
                tokio::time::timeout(WRITE_MOST, writer.write_all(&line)).await.map_err(|_| late())??;
            }
        }
    }
}
