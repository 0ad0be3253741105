//! Taken connections: kept in one table, given back by `drop_connection`.

use crate::net::Task;
use crate::reducer::{ConnId, Event};
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpListener;
use tokio::sync::mpsc::Sender;

/// Bytes read at a time, held only while they are on their way: hundreds of connections cost nothing while silent.
const PIECE: usize = 1 << 13;

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

    /// Takes one connection; the reducer says whom to drop for the next, or that none is to be taken.
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

async fn read(conn: ConnId, reader: OwnedReadHalf, events: Sender<Event>) {
    while reader.readable().await.is_ok() {
        let mut piece = Vec::with_capacity(PIECE);
        match reader.try_read_buf(&mut piece) {
            Ok(1..) => {
                if events.send(Event::Heard(conn, piece)).await.is_err() {
                    return;
                }
            }
            Err(wrong) if wrong.kind() == ErrorKind::WouldBlock => {}
            Ok(0) | Err(_) => break,
        }
    }
    let _ = events.send(Event::Ended(conn)).await;
}
