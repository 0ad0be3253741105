//! The director's listening socket: accepts collectors' connections and reads from them.
//!
//! An accepted connection is kept until the reducer closes it, even if the peer has closed its side.

use super::sockets::ACCEPT_RETRY_DELAY;
use super::task::AbortOnDropTask;
use coppersail_director::reducer::{ConnectionId, Event};
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpListener;
use tokio::sync::mpsc::Sender;

/// Maximum number of bytes per read. A buffer is allocated only once a connection is readable, so that hundreds of
/// idle connections hold no buffers.
const READ_BUFFER_BYTES: usize = 1 << 13;

struct Connection {
    writer: OwnedWriteHalf,
    _reader: AbortOnDropTask,
}

/// The listening socket and the connections that it has accepted.
pub(crate) struct CollectorListener {
    socket: TcpListener,
    events: Sender<Event>,
    connections: BTreeMap<ConnectionId, Connection>,
    next_id: u64,
}

impl CollectorListener {
    /// Listens at `address`; bytes received on connections are sent to `events`.
    pub(crate) async fn bind(address: SocketAddr, events: Sender<Event>) -> std::io::Result<Self> {
        let socket = TcpListener::bind(address).await?;
        Ok(CollectorListener { socket, events, connections: BTreeMap::new(), next_id: 0 })
    }

    /// Accepts one connection. The reducer then decides which connections to close to make room for the next one, or
    /// to stop accepting.
    pub(crate) async fn accept(&mut self) -> Event {
        loop {
            match self.socket.accept().await {
                Ok((stream, _)) => {
                    let id = ConnectionId(self.next_id);
                    self.next_id += 1;
                    let (reader, writer) = stream.into_split();
                    let reader = AbortOnDropTask::spawn(read(id, reader, self.events.clone()));
                    self.connections.insert(id, Connection { writer, _reader: reader });
                    return Event::Accepted(id);
                }
                // The peer has closed the connection already, or no file descriptors are left until others are
                // closed.
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    }

    /// Writes a few bytes without blocking; if the socket's buffer does not take them, the connection is closed.
    pub(crate) fn send(&mut self, id: ConnectionId, bytes: &[u8]) {
        let Some(connection) = self.connections.get(&id) else { return };
        let is_written = connection.writer.try_write(bytes).is_ok_and(|count| count == bytes.len());
        if !is_written {
            self.close(id);
        }
    }

    /// Closes a connection.
    pub(crate) fn close(&mut self, id: ConnectionId) {
        self.connections.remove(&id);
    }
}

async fn read(id: ConnectionId, reader: OwnedReadHalf, events: Sender<Event>) {
    while reader.readable().await.is_ok() {
        let mut buffer = Vec::with_capacity(READ_BUFFER_BYTES);
        match reader.try_read_buf(&mut buffer) {
            Ok(1..) => {
                if events.send(Event::Received(id, buffer)).await.is_err() {
                    return;
                }
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Ok(0) | Err(_) => break,
        }
    }
    let _ = events.send(Event::ConnectionClosed(id)).await;
}
