//! Responses that are not well-formed, or do not state unambiguously where the body ends, are errors, and their
//! connections end; well-formed ones of every framing are read whole.
use coppersail_peer_client::{PeerClient, PeerError};
use coppersail_response_samples::{ending_with_connection, malformed, well_formed, RawResponse};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread::JoinHandle;
use std::time::Duration;

/// Far longer than any call takes.
const LONG_TIMEOUT: Duration = Duration::from_secs(20);
/// Lengths of a short and of a long response body.
const BODY_LENGTHS: [usize; 2] = [26, 300_000];

/// The number 7 as JSON, followed by whitespace.
fn body_of(length: usize) -> String {
    "7".to_string() + &" ".repeat(length - 1)
}

/// Reads a call; its body is "5".
fn read_call(stream: &mut TcpStream) {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n5") {
        let mut byte = [0];
        stream.read_exact(&mut byte).unwrap();
        bytes.push(byte[0]);
    }
}

/// A peer that answers one call with these bytes, and then closes the connection or waits until the caller has
/// closed it. The thread ends with the connection.
fn peer(response: Vec<u8>, closes: bool) -> (String, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let connection = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        read_call(&mut stream);
        let _ = stream.write_all(&response);
        while !closes && matches!(stream.read(&mut [0]), Ok(1..)) {}
    });
    (address, connection)
}

fn call(
    client: &PeerClient,
    response: &RawResponse,
    closes: bool,
) -> (Result<u32, PeerError>, JoinHandle<()>) {
    let (address, connection) = peer(response.to_bytes(""), closes);
    (client.post(&address, "/follow", &5), connection)
}

#[test]
fn a_malformed_response_is_an_error_and_its_connection_ends() {
    let client = PeerClient::new(LONG_TIMEOUT, LONG_TIMEOUT);
    let mut accepted = Vec::new();
    for length in BODY_LENGTHS {
        let body = body_of(length);
        let responses = [malformed(&body), ending_with_connection(&body)].concat();
        for (response, closes) in responses.iter().flat_map(|response| [(response, true), (response, false)])
        {
            match call(&client, response, closes) {
                (Ok(_), _) => accepted.push(response.to_string()),
                (Err(error), connection) => {
                    let is_expected = matches!(error, PeerError::Malformed(_) | PeerError::Transport(_));
                    assert!(is_expected, "{response}: {error:?}");
                    connection.join().unwrap();
                }
            }
        }
    }
    assert!(accepted.is_empty(), "{} accepted:\n{}", accepted.len(), accepted.join("\n"));
}

/// Such a response seems complete before its body is read.
#[test]
fn the_connection_of_a_malformed_response_without_a_body_ends() {
    let client = PeerClient::new(LONG_TIMEOUT, LONG_TIMEOUT);
    let response =
        RawResponse::plain("HTTP/1.1 200 OK", "Content-Length: 0\r\nTransfer-Encoding: identity\r\n", "");
    let (result, connection) = call(&client, &response, false);
    let error = result.unwrap_err();
    assert!(matches!(error, PeerError::Malformed(_)), "{error:?}");
    assert_eq!(error.to_string(), "malformed response: unsupported Transfer-Encoding");
    connection.join().unwrap();
}

#[test]
fn a_well_formed_response_is_read_whole() {
    let client = PeerClient::new(LONG_TIMEOUT, LONG_TIMEOUT);
    for response in BODY_LENGTHS.into_iter().flat_map(|length| well_formed(&body_of(length))) {
        for closes in [true, false] {
            let (result, _) = call(&client, &response, closes);
            assert!(matches!(result, Ok(7)), "{response}: {result:?}");
        }
    }
}
