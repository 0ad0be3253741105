//! What becomes of connections and requests once an edge has got SIGTERM.
//!
//! An edge that was told to end left idle connections open for three and a half seconds, as long as it accepted new ones. Clients took
//! them up again, long after the platform had stopped sending new connections: the edge passed such a request on, whatever its
//! deadline, and closed the connection two seconds later without an answer, while the endpoint was still at work. The log lines that
//! settled it, as the edges wrote them:
//!
//!     edge: cut a request that began at 3471 ms, on a connection opened at -3585 ms, idle since -1781 ms (after the signal)
//!     edge: cut a request that began at 3031 ms, on a connection opened at -5576 ms, idle since -5436 ms (after the signal)
//!
//! All such requests came on connections that had been idle since before the signal. A connection that was opened after the signal
//! and sends its request late meets the same end.
use crate::stand_ins::*;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

/// Time in the middle of a shutdown: no new connections come any more, and less is left than a long request takes.
const LATE: Duration = Duration::from_millis(3_200);

/// Bytes of an answer that is buffered at the edge, but does not fit into the buffers of its socket.
const LONG_BODY: usize = 250_000;
/// Bytes that a socket takes while the client does not read.
const SMALL_BUFFER: usize = 4_096;

/// Tells an edge to end, as SIGTERM does.
async fn begin_shutdown(test_edge: &TestEdge) -> JoinHandle<()> {
    let edge = test_edge.edge.clone();
    let shutdown = tokio::task::spawn_local(async move { coppersail_edge_proxy::shut_down(&edge).await });
    tokio::task::yield_now().await;
    shutdown
}

/// A host that never answers the requests from number `from` on.
async fn host_that_stalls(from: usize) -> ScriptedHost {
    scripted_host("i-1", move |number, head| match number < from {
        true => HostAction::Respond(sealed_response(head, "served")),
        false => HostAction::RespondOnRelease(Rc::default()),
    })
    .await
}

/// Whatever an edge sends until it closes the connection.
async fn read_to_close(client: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let _ = client.read_to_end(&mut bytes).await;
    String::from_utf8_lossy(&bytes).into_owned()
}

#[test]
fn an_idle_connection_brings_no_request_into_a_shutdown() {
    run_test_with_manual_clock(|| async {
        let host = host_that_stalls(1).await;
        let test_edge = start_edge(&[&host]).await;
        let mut client = test_edge.connect().await;
        client.write_all(request("/once/", "1", "").as_bytes()).await.unwrap();
        assert!(read_message(&mut client).await.unwrap().ends_with("served"));
        let shutdown = begin_shutdown(&test_edge).await;
        advance(LATE).await;
        // It fails where the edge has closed the connection.
        let _ = client.write_all(request("/once/", "2", "").as_bytes()).await;
        tokio::select! {
            _ = host.wait_for_requests(2) => panic!("a request was passed on that the edge has no time for"),
            answer = read_to_close(&mut client) => assert_eq!(answer, "", "closed without reading the request"),
        }
        shutdown.abort();
    });
}

/// Whatever comes on it later would have less time than one on a connection to another edge.
#[test]
fn an_idle_connection_is_closed_at_the_signal() {
    run_test_with_manual_clock(|| async {
        let host = host_that_stalls(1).await;
        let test_edge = start_edge(&[&host]).await;
        let mut client = test_edge.connect().await;
        client.write_all(request("/once/", "1", "").as_bytes()).await.unwrap();
        assert!(read_message(&mut client).await.unwrap().ends_with("served"));
        let shutdown = begin_shutdown(&test_edge).await;
        test_edge.wait_for_no_connections().await;
        assert_eq!(read_to_close(&mut client).await, "");
        shutdown.abort();
    });
}

#[test]
fn a_late_request_on_a_new_connection_is_refused_unless_its_deadline_comes_before_the_end() {
    run_test_with_manual_clock(|| async {
        let host = host_that_stalls(0).await;
        let test_edge = start_edge(&[&host]).await;
        let shutdown = begin_shutdown(&test_edge).await;
        advance(Duration::from_secs(1)).await;
        let mut client = test_edge.connect().await;
        let mut short = test_edge.connect().await;
        test_edge.wait_for_connections(2).await;
        advance(LATE - Duration::from_secs(1)).await;
        client.write_all(request("/once/", "1", "").as_bytes()).await.unwrap();
        tokio::select! {
            _ = host.wait_for_requests(1) => panic!("a request was passed on that the edge has no time for"),
            answer = read_to_close(&mut client) => {
                assert_eq!((status(&answer), header(&answer, "connection").as_deref()), (503, Some("close")), "{answer}");
                assert_eq!(header(&answer, "retry-after").as_deref(), Some("0.000"), "another edge takes it at once");
            }
        }
        // Its timeout is 150 ms, so that it gets its answer in time.
        short.write_all(request("/short/", "2", "").as_bytes()).await.unwrap();
        host.wait_for_requests(1).await;
        advance(Duration::from_millis(200)).await;
        assert_eq!(status(&read_to_close(&mut short).await), 504);
        shutdown.abort();
    });
}

/// An answer is handed to the connection whole while the client still reads its beginning: that connection is not idle yet.
#[test]
fn an_answer_that_is_read_slowly_is_not_truncated() {
    run_test_with_manual_clock(|| async {
        let long = "z".repeat(LONG_BODY);
        let answer = long.clone();
        let host =
            scripted_host("i-1", move |_, head| HostAction::Respond(sealed_response(head, &answer))).await;
        let options = EdgeOptions { send_buffer: Some(SMALL_BUFFER), ..EdgeOptions::default() };
        let test_edge = start_edge_with(&[&host], options).await;
        let mut client = test_edge.connect_with_receive_buffer(SMALL_BUFFER).await;
        client.write_all(request("/once/", "1", "").as_bytes()).await.unwrap();
        let mut start = [0; 1];
        client.read_exact(&mut start).await.unwrap();
        let shutdown = begin_shutdown(&test_edge).await;
        advance(Duration::from_secs(4)).await;
        let rest = read_message(&mut client).await.expect("all of it comes");
        assert!(rest.ends_with(&long), "{} bytes of it came", rest.len());
        advance(Duration::from_millis(200)).await;
        assert_eq!(read_to_close(&mut client).await, "", "closed once all of it was taken");
        shutdown.abort();
    });
}

#[test]
fn a_shutdown_lets_requests_in_flight_complete() {
    run_test(|| async {
        let release: Rc<Notify> = Rc::default();
        let released = release.clone();
        let host = scripted_host("i-1", move |number, head| match number {
            0 => HostAction::RespondOnRelease(released.clone()),
            _ => HostAction::Respond(sealed_response(head, "late")),
        })
        .await;
        let test_edge = start_edge(&[&host]).await;
        let mut client = test_edge.connect().await;
        client.write_all(request("/once/", "1", "").as_bytes()).await.unwrap();
        host.wait_for_requests(1).await;
        let shutdown = begin_shutdown(&test_edge).await;
        let mut probe = tokio::net::TcpStream::connect(test_edge.readiness_address).await.unwrap();
        probe.write_all(b"GET /readiness HTTP/1.1\r\nHost: a\r\n\r\n").await.unwrap();
        assert_eq!(status(&read_message(&mut probe).await.unwrap()), 503);
        // Clients still connect for a while.
        let late = test_edge.send_raw(request("/once/", "2", "").as_bytes()).await;
        assert!(late.ends_with("late") && header(&late, "connection").as_deref() == Some("close"));
        release.notify_one();
        let mut answer = String::new();
        client.read_to_string(&mut answer).await.unwrap();
        assert!(answer.ends_with("held") && header(&answer, "connection").as_deref() == Some("close"));
        shutdown.abort();
    });
}
