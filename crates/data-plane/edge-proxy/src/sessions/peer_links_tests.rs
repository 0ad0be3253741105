//! Tests of the responses of a peer edge to a post: only a well-formed, complete success has messages.
use super::*;
use coppersail_response_samples::{ending_with_connection, malformed, well_formed, RawResponse};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, LocalSet};

const PEER: NodeId = 2;
/// Far longer than any post takes.
const POST_TIMEOUT: Duration = Duration::from_secs(20);
/// Lengths of a short and of a long response body.
const BODY_LENGTHS: [usize; 2] = [26, 300_000];

/// A list without messages, followed by whitespace.
fn body_of(length: usize) -> String {
    "[]".to_string() + &" ".repeat(length - 2)
}

/// A peer that answers one post with these bytes, and then closes the connection or waits until the caller has
/// closed it. The task ends with the connection.
async fn peer(response: Vec<u8>, closes: bool) -> (String, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let connection = spawn_local(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut received = Vec::new();
        while !received.ends_with(b"\"msgs\":[]}") {
            assert!(stream.read_buf(&mut received).await.unwrap() > 0, "the post is complete");
        }
        let _ = stream.write_all(&response).await;
        while !closes && matches!(stream.read_buf(&mut received).await, Ok(1..)) {}
    });
    (address, connection)
}

fn run<F: std::future::Future>(test: impl FnOnce() -> F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async { test().await })
}

/// Posts to a peer that responds with this, and returns the number of messages. Without a response, the connection
/// must end.
fn messages_in(response: &RawResponse, closes: bool) -> Option<usize> {
    run(|| async {
        let (address, connection) = peer(response.to_bytes(""), closes).await;
        let links = PeerLinks::new(1, POST_TIMEOUT, 10, 400_000);
        let messages =
            timeout(POST_TIMEOUT, links.send(PEER, &address, vec![])).await.expect("the post ends");
        if messages.is_none() {
            timeout(POST_TIMEOUT, connection).await.expect("the connection ends").unwrap();
        }
        messages.map(|messages| messages.len())
    })
}

#[test]
fn a_malformed_or_unsuccessful_response_has_no_messages_and_its_connection_ends() {
    let mut accepted = Vec::new();
    for length in BODY_LENGTHS {
        let body = body_of(length);
        let mut responses = [malformed(&body), ending_with_connection(&body)].concat();
        responses.push(RawResponse::plain("HTTP/1.1 400 Bad Request", "Content-Length: {length}\r\n", &body));
        for (response, closes) in responses.iter().flat_map(|response| [(response, true), (response, false)])
        {
            accepted.extend(messages_in(response, closes).map(|_| response.to_string()));
        }
    }
    assert!(accepted.is_empty(), "{} accepted:\n{}", accepted.len(), accepted.join("\n"));
}

#[test]
fn a_well_formed_response_has_messages() {
    for response in BODY_LENGTHS.into_iter().flat_map(|length| well_formed(&body_of(length))) {
        assert_eq!(messages_in(&response, false), Some(0), "{response}");
        assert_eq!(messages_in(&response, true), Some(0), "{response}");
    }
}
