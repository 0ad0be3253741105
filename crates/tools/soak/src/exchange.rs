//! HTTP messages of clients and endpoints: requests of several methods with bodies in either framing, and the register by
//! which an endpoint finds out whether a request is as its client sent it.
use std::collections::HashMap;
use std::io::BufRead;
use std::sync::{Arc, Mutex, PoisonError};

const METHODS: [&str; 6] = ["GET", "HEAD", "POST", "PUT", "DELETE", "OPTIONS"];
/// An edge buffers bodies up to this length (bytes) and passes longer ones on as they come.
const MAX_BUFFERED: usize = 256 * 1024;
const MAX_BODY: usize = 2 * MAX_BUFFERED;
/// The largest chunk, in bytes.
const MAX_CHUNK: usize = 100_000;

/// How the end of a body is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    Length,
    Chunks,
}

/// A request without its header fields.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Request {
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) body: Vec<u8>,
}

impl Request {
    /// A request of any method; its body is empty, short, about as long as the limit of buffering, or longer.
    pub(crate) fn random(path: &str, random: &mut fastrand::Rng) -> Request {
        let length = match random.u8(0..8) {
            0..=2 => 0,
            3..=4 => random.usize(1..1_000),
            5 => random.usize(MAX_BUFFERED - 2..MAX_BUFFERED + 3),
            _ => random.usize(MAX_BUFFERED..MAX_BODY),
        };
        let first = random.usize(..);
        let body = (0..length).map(|index| first.wrapping_add(index.wrapping_mul(index)) as u8).collect();
        Request { method: METHODS[random.usize(0..METHODS.len())].into(), path: path.into(), body }
    }
}

/// The header field for the framing of a body, and the framed body.
pub(crate) fn frame(framing: Framing, body: &[u8]) -> (String, Vec<u8>) {
    if framing == Framing::Length {
        return (format!("Content-Length: {}\r\n", body.len()), body.to_vec());
    }
    let mut framed = Vec::with_capacity(body.len() + MAX_CHUNK / 1_000);
    for chunk in body.chunks(MAX_CHUNK) {
        framed.extend(format!("{:x}\r\n", chunk.len()).into_bytes());
        framed.extend(chunk);
        framed.extend(b"\r\n");
    }
    framed.extend(b"0\r\n\r\n");
    ("Transfer-Encoding: chunked\r\n".into(), framed)
}

/// The lines of the next head. `None`: the connection has ended.
pub(crate) fn read_head(reader: &mut impl BufRead) -> Option<Vec<String>> {
    let mut lines = Vec::new();
    loop {
        match read_line(reader)?.as_str() {
            "" => return Some(lines),
            line => lines.push(line.to_owned()),
        }
    }
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    let count = reader.read_line(&mut line).ok()?;
    (count > 0).then(|| line.trim_end().to_owned())
}

/// The value of a header.
pub(crate) fn header<'a>(head: &'a [String], name: &str) -> Option<&'a str> {
    let fields = head.iter().filter_map(|line| line.split_once(':'));
    fields.filter(|(field, _)| field.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim()).next()
}

/// The body that follows a head. `None`: the connection ended first.
pub(crate) fn read_body(reader: &mut impl BufRead, head: &[String]) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    if header(head, "Transfer-Encoding").is_none() {
        body.resize(header(head, "Content-Length").and_then(|value| value.parse().ok()).unwrap_or(0), 0);
        reader.read_exact(&mut body).ok()?;
        return Some(body);
    }
    loop {
        let size = usize::from_str_radix(&read_line(reader)?, 16).ok()?;
        let start = body.len();
        body.resize(start + size, 0);
        reader.read_exact(&mut body[start..]).ok()?;
        read_line(reader)?;
        if size == 0 {
            return Some(body);
        }
    }
}

/// The requests that clients have sent, by id, until an endpoint has run them.
#[derive(Clone, Default)]
pub(crate) struct SentRequests(Arc<Mutex<HashMap<String, Request>>>);

impl SentRequests {
    pub(crate) fn insert(&self, id: &str, request: Request) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).insert(id.to_owned(), request);
    }

    /// The request is answered or given up.
    pub(crate) fn remove(&self, id: &str) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).remove(id);
    }

    /// How a request that an endpoint runs differs from the one that was sent, if it does. A request that its client has given
    /// up meanwhile is not looked at.
    pub(crate) fn difference(&self, id: &str, run: &Request) -> Option<String> {
        let all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let sent = all.get(id).filter(|sent| *sent != run)?;
        let describe = |r: &Request| format!("{} {} with {} bytes", r.method, r.path, r.body.len());
        Some(format!("{} runs as {}", describe(sent), describe(run)))
    }
}

#[cfg(test)]
mod tests;
