//! Whether this edge should get clients.
use crate::edge::Edge;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Nobody asks with a longer head.
const MOST_HEAD: usize = 2048;
/// Whoever asks does so every second or so; what stays silent for longer has gone.
const SILENT: Duration = Duration::from_secs(10);

/// Answers as long as the process lives: one that leaves says so.
pub async fn answer(edge: Rc<Edge>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(tokio::task::spawn_local(one(edge.clone(), stream))),
            Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
}

async fn one(edge: Rc<Edge>, mut stream: TcpStream) {
    let (mut head, mut used) = ([0; MOST_HEAD], 0);
    while let Ok(Ok(count @ 1..)) = timeout(SILENT, stream.read(&mut head[used..])).await {
        used += count;
        let Some(end) = head[..used].windows(4).position(|four| four == b"\r\n\r\n") else { continue };
        let found: &[u8] = match (head.starts_with(b"GET /readiness "), edge.ready()) {
            (true, true) => b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
            (true, false) => b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
            (false, _) => b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
        };
        if stream.write_all(found).await.is_err() {
            return;
        }
        head.copy_within(end + 4..used, 0);
        used -= end + 4;
    }
}
