//! Tests of when a request may be written on a connection that was checked out.
use super::*;
use std::future::poll_fn;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// A connection whose request may start within a second, and the endpoint's side of it.
async fn connection() -> (UpstreamIo, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let socket = UpstreamSocket::new(stream, Instant::now() + Duration::from_secs(1));
    (UpstreamIo(socket), listener.accept().await.unwrap().0)
}

async fn write(io: &mut UpstreamIo) -> io::Result<usize> {
    poll_fn(|cx| Pin::new(&mut *io).poll_write(cx, b"GET")).await
}

/// Checks that the endpoint has received nothing and that further writes fail.
async fn assert_blocked(mut io: UpstreamIo, mut endpoint: TcpStream) {
    assert!(write(&mut io).await.is_err());
    assert!(!io.0.borrow_mut().block_unless_started());
    assert!(write(&mut io).await.is_err());
    drop(io);
    let mut received = Vec::new();
    let _ = endpoint.read_to_end(&mut received).await;
    assert_eq!(received, b"");
}

#[tokio::test(start_paused = true)]
async fn a_request_is_not_started_late_or_after_input_or_a_close_or_once_blocked() {
    // The process was suspended for longer than the connection was usable.
    let (io, endpoint) = connection().await;
    tokio::time::advance(Duration::from_secs(1)).await;
    assert_blocked(io, endpoint).await;
    // The endpoint has closed the connection, or an unsolicited response is waiting on it.
    for last in [&b""[..], b"HTTP/1.1 200 OK\r\n\r\n"] {
        let (io, mut endpoint) = connection().await;
        endpoint.write_all(last).await.unwrap();
        if last.is_empty() {
            endpoint.shutdown().await.unwrap();
        }
        poll_fn(|cx| io.0.borrow().stream.poll_read_ready(cx)).await.unwrap();
        assert_blocked(io, endpoint).await;
    }
    // The request was blocked before its first byte.
    let (io, endpoint) = connection().await;
    assert!(!io.0.borrow_mut().block_unless_started());
    assert_blocked(io, endpoint).await;
}

#[tokio::test(start_paused = true)]
async fn a_request_that_has_started_is_written_completely() {
    let (mut io, mut endpoint) = connection().await;
    assert_eq!(write(&mut io).await.unwrap(), 3);
    tokio::time::advance(Duration::from_secs(1)).await;
    endpoint.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await.unwrap();
    assert_eq!(write(&mut io).await.unwrap(), 3);
    assert!(io.0.borrow_mut().block_unless_started());
}
