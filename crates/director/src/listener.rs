//! Collectors' connections: taken here, kept in one table, given back by `drop_connection` or when they end.

use crate::framing::Framer;
use crate::net::Task;
use crate::reducer::{ConnId, Event};
use coppersail_protocol::collector::MOST;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpListener;
use tokio::sync::mpsc::Sender;

struct Connection {
    writer: OwnedWriteHalf,
    _reader: Task,
}

pub struct Listener {
    socket: TcpListener,
    events: Sender<Event>,
    connections: BTreeMap<ConnId, Connection>,
    next: u64,
}

impl Listener {
    pub async fn bind(address: SocketAddr, events: Sender<Event>) -> std::io::Result<Self> {
        let socket = TcpListener::bind(address).await?;
        Ok(Listener { socket, events, connections: BTreeMap::new(), next: 0 })
    }

    /// Takes one connection; the reducer says at once whom to drop for it.
    pub async fn accept(&mut self) -> Event {
        loop {
            match self.socket.accept().await {
                Ok((stream, _)) => {
                    let conn = ConnId(self.next);
                    self.next += 1;
                    let (reader, writer) = stream.into_split();
                    let reader = Task::spawn(read(conn, reader, self.events.clone()));
                    self.connections.insert(conn, Connection { writer, _reader: reader });
                    return Event::Accepted(conn);
                }
                // It was gone again, or descriptors are short: others will be given back meanwhile.
                Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
            }
        }
    }

    /// A few bytes into an empty buffer; who does not read even these is dropped.
    pub fn say(&mut self, conn: ConnId, bytes: &[u8]) {
        let written = self.connections.get(&conn).map(|connection| connection.writer.try_write(bytes));
        if written.is_some_and(|written| written.ok() != Some(bytes.len())) {
            self.drop_connection(conn);
        }
    }

    pub fn drop_connection(&mut self, conn: ConnId) {
        self.connections.remove(&conn);
    }
}

async fn read(conn: ConnId, mut reader: OwnedReadHalf, events: Sender<Event>) {
    let (mut framer, mut bytes) = (Framer::new(MOST), vec![0; 1 << 16]);
    while let Ok(many @ 1..) = reader.read(&mut bytes).await {
        let lines = framer.take(&bytes[..many]);
        if !lines.is_empty() && events.send(Event::Lines(conn, lines)).await.is_err() {
            return;
        }
    }
    let _ = events.send(Event::Ended(conn)).await;
}
