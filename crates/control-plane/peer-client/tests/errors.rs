//! Each cause of a failed call has its own error variant, whose text callers log.
use coppersail_peer_client::{PeerClient, PeerError};
use std::io::{Read, Write};
use std::net::TcpListener;
use std::time::Duration;

/// A timeout that no test reaches.
const LONG_TIMEOUT: Duration = Duration::from_secs(60);

/// Calls a peer that reads the request and responds with these bytes.
fn error_of_call_with_response(response: &'static str) -> PeerError {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = Vec::new();
        // The body of the request is "7"; these five bytes do not occur before its end.
        while !request.ends_with(b"\r\n\r\n7") {
            let mut byte = [0];
            stream.read_exact(&mut byte).unwrap();
            request.push(byte[0]);
        }
        stream.write_all(response.as_bytes()).unwrap();
    });
    PeerClient::new(LONG_TIMEOUT, LONG_TIMEOUT).post::<_, u32>(&address, "/follow", &7).unwrap_err()
}

#[test]
fn a_status_other_than_200_is_an_error_with_its_number() {
    let error =
        error_of_call_with_response("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\n{}");
    assert!(matches!(&error, PeerError::Status(status) if status.as_u16() == 503), "{error:?}");
    assert_eq!(error.to_string(), "status 503 Service Unavailable");
}

#[test]
fn a_response_that_is_not_json_is_a_decode_error() {
    let error = error_of_call_with_response("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnone");
    assert!(matches!(error, PeerError::Decode(_)), "{error:?}");
    assert_eq!(error.to_string(), "expected ident at line 1 column 2");
}

#[test]
fn a_response_that_ends_early_is_a_transport_error() {
    let error = error_of_call_with_response("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n1");
    assert!(matches!(error, PeerError::Transport(_)), "{error:?}");
}

#[test]
fn a_refused_connection_is_a_connect_error() {
    // The port is free again once the listener is dropped.
    let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string();
    let error =
        PeerClient::new(LONG_TIMEOUT, LONG_TIMEOUT).post::<_, u32>(&address, "/follow", &7).unwrap_err();
    assert!(matches!(error, PeerError::Connect(_)), "{error:?}");
    assert_eq!(error.to_string(), "io: Connection refused (os error 111)");
    assert!(std::error::Error::source(&error).is_some());
}

#[test]
fn a_host_name_instead_of_a_numeric_address_is_an_address_error() {
    let error =
        PeerClient::new(LONG_TIMEOUT, LONG_TIMEOUT).post::<_, u32>("peer:7540", "/follow", &7).unwrap_err();
    assert!(matches!(error, PeerError::Address(_)), "{error:?}");
    assert_eq!(error.to_string(), "host not found");
}
