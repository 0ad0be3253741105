//! Tests of the module `http_client`.
use super::*;
use coppersail_response_samples::{ending_with_connection, malformed, well_formed, RawResponse};
use http_body_util::BodyExt;
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// Far longer than any request takes.
const LONG_TIMEOUT: Duration = Duration::from_secs(20);
/// Lengths of a short and of a long response body.
const BODY_LENGTHS: [usize; 2] = [26, 300_000];

/// A peer that answers one request with these bytes, and then closes the connection or waits until the client has
/// closed it. The task ends with the connection.
async fn peer(response: Vec<u8>, closes: bool) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let connection = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut received = Vec::new();
        while !received.ends_with(b"\r\n\r\n") {
            assert!(stream.read_buf(&mut received).await.unwrap() > 0, "the request is complete");
        }
        let _ = stream.write_all(&response).await;
        while !closes && matches!(stream.read_buf(&mut received).await, Ok(1..)) {}
    });
    (address, connection)
}

/// The error of a request with this response, after which the connection must end.
async fn error_with(response: &RawResponse, closes: bool) -> Option<RequestError> {
    let (address, connection) = peer(response.to_bytes(""), closes).await;
    let result = tokio::time::timeout(LONG_TIMEOUT, get(address, "/load", LONG_TIMEOUT)).await;
    let error = result.expect("the request ends").err()?;
    tokio::time::timeout(LONG_TIMEOUT, connection).await.expect("the connection ends").unwrap();
    Some(error)
}

#[tokio::test]
async fn a_malformed_response_is_unreadable_and_its_connection_ends() {
    let responses: Vec<RawResponse> =
        BODY_LENGTHS.into_iter().flat_map(|length| malformed(&"x".repeat(length))).collect();
    let mut accepted = Vec::new();
    for (response, closes) in responses.iter().flat_map(|response| [(response, true), (response, false)]) {
        match error_with(response, closes).await {
            Some(error) => assert_eq!(error, RequestError::Unreadable, "{response}"),
            None => accepted.push(response.to_string()),
        }
    }
    assert!(accepted.is_empty(), "{} accepted:\n{}", accepted.len(), accepted.join("\n"));
}

async fn body_length(response: &RawResponse, closes: bool) -> usize {
    let (address, _connection) = peer(response.to_bytes(""), closes).await;
    let whole = async {
        let (response, _driver) = get(address, "/load", LONG_TIMEOUT).await.expect("a response");
        response.into_body().collect().await.expect("a complete body").to_bytes().len()
    };
    tokio::time::timeout(LONG_TIMEOUT, whole).await.expect("the response ends")
}

/// Also bodies that end with the connection: a watch has no other end, and a load report is one line.
#[tokio::test]
async fn a_well_formed_response_is_read_whole() {
    for length in BODY_LENGTHS {
        let body = "x".repeat(length);
        for response in [well_formed(&body), ending_with_connection(&body)].concat() {
            assert_eq!(body_length(&response, true).await, length, "{response}");
        }
        for response in well_formed(&body) {
            assert_eq!(body_length(&response, false).await, length, "{response}");
        }
    }
}

#[test_case(ErrorKind::ConnectionReset, RequestError::Broken ; "a reset that the network may cause")]
#[test_case(ErrorKind::ConnectionRefused, RequestError::Unreachable ; "no listener")]
#[test_case(ErrorKind::TimedOut, RequestError::Unreachable ; "no answer")]
fn a_failed_connect_is_classified(kind: ErrorKind, expected: RequestError) {
    assert_eq!(connect_error(kind), expected);
}

/// These texts appear in the log.
#[test_case(RequestError::Unreachable, "unreachable")]
#[test_case(RequestError::Broken, "broken")]
#[test_case(RequestError::Unreadable, "unreadable")]
fn a_failed_request_is_named_in_the_log(error: RequestError, expected: &str) {
    assert_eq!(error.to_string(), expected);
}
