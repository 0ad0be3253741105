//! What may still go out on a connection that was chosen a moment ago.
use super::*;
use std::future::poll_fn;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// A line that is good for a second, and the host's end of it.
async fn line() -> (Wire, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let line = Line::new(stream, Instant::now() + Duration::from_secs(1));
    (Wire(line), listener.accept().await.unwrap().0)
}

async fn write(wire: &mut Wire) -> io::Result<usize> {
    poll_fn(|cx| Pin::new(&mut *wire).poll_write(cx, b"GET")).await
}

/// Nothing came out at the host's end, and nothing ever will.
async fn nothing(mut wire: Wire, mut host: TcpStream) {
    assert!(write(&mut wire).await.is_err());
    assert!(!wire.0.borrow_mut().begun());
    assert!(write(&mut wire).await.is_err());
    drop(wire);
    let mut all = Vec::new();
    let _ = host.read_to_end(&mut all).await;
    assert_eq!(all, b"");
}

#[tokio::test(start_paused = true)]
async fn nothing_goes_out_once_the_host_may_have_turned_away() {
    // The process stood still for longer than the connection was good for.
    let (wire, host) = line().await;
    tokio::time::advance(Duration::from_secs(1)).await;
    nothing(wire, host).await;
    // The host has closed it, and one answer too many waits on it.
    for last in [&b""[..], b"HTTP/1.1 200 OK\r\n\r\n"] {
        let (wire, mut host) = line().await;
        host.write_all(last).await.unwrap();
        if last.is_empty() {
            host.shutdown().await.unwrap();
        }
        poll_fn(|cx| wire.0.borrow().stream.poll_read_ready(cx)).await.unwrap();
        nothing(wire, host).await;
    }
    // The request was given up before its first byte.
    let (wire, host) = line().await;
    assert!(!wire.0.borrow_mut().begun());
    nothing(wire, host).await;
}

#[tokio::test(start_paused = true)]
async fn what_has_begun_goes_on() {
    let (mut wire, mut host) = line().await;
    assert_eq!(write(&mut wire).await.unwrap(), 3);
    tokio::time::advance(Duration::from_secs(1)).await;
    host.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await.unwrap();
    assert_eq!(write(&mut wire).await.unwrap(), 3);
    assert!(wire.0.borrow_mut().begun());
}

#[tokio::test(start_paused = true)]
async fn an_answer_may_have_waited_for_as_long_as_nobody_looked() {
    let second = Duration::from_secs(1);
    let sent = Instant::now();
    assert_eq!(may_have_come(sent), sent, "nobody tells when input was looked for");
    // The thread looks every second, and stands still for five before it sees the answer.
    for _ in 0..3 {
        look();
        tokio::time::advance(second).await;
    }
    tokio::time::advance(5 * second).await;
    look();
    assert_eq!(may_have_come(sent), sent + 2 * second);
    assert_eq!(may_have_come(sent + 3 * second), sent + 3 * second, "not before it was asked for");
}
