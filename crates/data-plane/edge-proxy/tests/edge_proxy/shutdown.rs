//! Tests of connections and requests after an edge has received SIGTERM.
//!
//! They guard against aborted requests at the end of a shutdown. If an edge keeps idle connections open after
//! the signal, clients reuse them seconds later, when the platform has already stopped sending new
//! connections. The edge then forwards such a request regardless of its deadline, and closes the connection
//! without a response when the process exits, while the endpoint still processes the request. Such requests
//! began 3.0 to 3.5 s after the signal, on connections that had been idle since before the signal. A late
//! request on a connection that was opened after the signal can fail in the same way.
use crate::stand_ins::*;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

/// Time after the signal at which no new connections arrive and less time is left than a long request takes.
const LATE: Duration = Duration::from_millis(3_200);

/// Size (bytes) of a response that the edge buffers, but that does not fit into the buffers of its socket.
const LONG_BODY: usize = 250_000;
/// Socket buffer size (bytes) that limits what the edge can write while the client does not read.
const SMALL_BUFFER: usize = 4_096;

/// Starts the shutdown of an edge, as SIGTERM does.
async fn begin_shutdown(test_edge: &TestEdge) -> JoinHandle<()> {
    let edge = test_edge.edge.clone();
    let shutdown = tokio::task::spawn_local(async move { coppersail_edge_proxy::shut_down(&edge).await });
    tokio::task::yield_now().await;
    shutdown
}

/// A host that responds to the requests before number `from` and never to later ones.
async fn host_that_stalls(from: usize) -> ScriptedHost {
    scripted_host("i-1", move |number, head| match number < from {
        true => HostAction::Respond(sealed_response(head, "served")),
        false => HostAction::RespondOnRelease(Rc::default()),
    })
    .await
}

/// Returns everything that an edge sends until it closes the connection.
async fn read_to_close(client: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let _ = client.read_to_end(&mut bytes).await;
    String::from_utf8_lossy(&bytes).into_owned()
}

#[test]
fn no_request_on_an_idle_connection_is_forwarded_late_in_a_shutdown() {
    run_test_with_manual_clock(|| async {
        let host = host_that_stalls(1).await;
        let test_edge = start_edge(&[&host]).await;
        let mut client = test_edge.connect().await;
        client.write_all(request("/once/", "1", "").as_bytes()).await.unwrap();
        assert!(read_message(&mut client).await.unwrap().ends_with("served"));
        let shutdown = begin_shutdown(&test_edge).await;
        advance(LATE).await;
        // The write fails if the edge has already closed the connection.
        let _ = client.write_all(request("/once/", "2", "").as_bytes()).await;
        tokio::select! {
            _ = host.wait_for_requests(2) => panic!("a request was forwarded that may not complete in time"),
            answer = read_to_close(&mut client) => assert_eq!(answer, "", "closed without reading the request"),
        }
        shutdown.abort();
    });
}

/// A later request on the connection would have less time than on a connection to another edge.
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
fn a_late_request_on_a_new_connection_is_rejected_unless_its_deadline_is_before_the_exit() {
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
            _ = host.wait_for_requests(1) => panic!("a request was forwarded that may not complete in time"),
            answer = read_to_close(&mut client) => {
                let connection = header(&answer, "connection");
                assert_eq!((status(&answer), connection.as_deref()), (503, Some("close")), "{answer}");
                let retry_after = header(&answer, "retry-after");
                assert_eq!(retry_after.as_deref(), Some("0.000"), "another edge can take it at once");
            }
        }
        // The timeout of this request is 150 ms, so it ends before the process exits.
        short.write_all(request("/short/", "2", "").as_bytes()).await.unwrap();
        host.wait_for_requests(1).await;
        advance(Duration::from_millis(200)).await;
        assert_eq!(status(&read_to_close(&mut short).await), 504);
        shutdown.abort();
    });
}

/// The edge hands a complete response to hyper while the client still reads its beginning. The connection
/// must not count as idle before the client has read everything.
#[test]
fn a_response_that_is_read_slowly_is_not_truncated() {
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
        let rest = read_message(&mut client).await.expect("the complete response");
        assert!(rest.ends_with(&long), "received {} bytes", rest.len());
        advance(Duration::from_millis(200)).await;
        assert_eq!(read_to_close(&mut client).await, "", "closed after the complete response was read");
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
