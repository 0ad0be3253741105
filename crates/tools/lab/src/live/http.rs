//! The little HTTP that discovery and the hosts speak: reading a request's head and framing an answer.

use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;

/// Longest head of a request that is read, in bytes.
const MAX_HEAD_BYTES: u64 = 4096;
/// The head of a chunked answer.
pub(super) const CHUNKED_HEAD: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n";

/// Reads the head of a request; whether its empty line came.
pub(super) fn read_head(stream: &TcpStream) -> bool {
    let Ok(reader) = stream.try_clone() else { return false };
    let mut lines = BufReader::new(reader.take(MAX_HEAD_BYTES)).lines().map_while(Result::ok);
    lines.any(|line| line.is_empty())
}

/// A chunk of a chunked body.
pub(super) fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// A whole answer, after which the connection is closed.
pub(super) fn response(status: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}")
}
