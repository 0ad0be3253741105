//! Serves the readiness probe of the platform, which decides whether this edge gets new client connections.
use crate::edge::Edge;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Maximum size (bytes) of a probe's request head; larger than any prober sends.
const MAX_HEAD: usize = 2048;
/// Idle timeout of a prober's connection. Probes arrive about every second.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay after a failed accept.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);
const END_OF_HEAD: &[u8] = b"\r\n\r\n";

/// Responds until the process exits, so that probes during a shutdown get the response "not ready".
pub(crate) async fn serve(edge: Rc<Edge>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(tokio::task::spawn_local(serve_connection(edge.clone(), stream))),
            Err(_) => tokio::time::sleep(ACCEPT_RETRY).await,
        }
    }
}

async fn serve_connection(edge: Rc<Edge>, mut stream: TcpStream) {
    let (mut head, mut used) = ([0; MAX_HEAD], 0);
    while let Ok(Ok(count @ 1..)) = timeout(IDLE_TIMEOUT, stream.read(&mut head[used..])).await {
        used += count;
        let end = head[..used].windows(END_OF_HEAD.len()).position(|bytes| bytes == END_OF_HEAD);
        let Some(end) = end else { continue };
        let response: &[u8] = match (head.starts_with(b"GET /readiness "), edge.ready()) {
            (true, true) => b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
            (true, false) => b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
            (false, _) => b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
        };
        if stream.write_all(response).await.is_err() {
            return;
        }
        let next = end + END_OF_HEAD.len();
        head.copy_within(next..used, 0);
        used -= next;
    }
}
