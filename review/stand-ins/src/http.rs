//! A small HTTP/1.1 reader and writer, enough for the messages of the gateway's protocol.
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A message: the first line, the headers with names in lower case, and the body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// The status of a response; 0 if the first line is not one of a response.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection with the bytes that were read and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    pending: Vec<u8>,
}

fn invalid(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, pending: Vec::new() }
    }

    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        Ok(Connection::new(stream))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut buffer = [0; 16384];
        let count = self.stream.read(&mut buffer)?;
        self.pending.extend_from_slice(&buffer[..count]);
        Ok(count)
    }

    /// Reads one message; `None` if the peer closed the connection before its first byte. A message whose
    /// end is not told by a length or by chunks has no body.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.pending.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                break at;
            }
            if self.fill()? == 0 {
                return if self.pending.is_empty() { Ok(None) } else { Err(invalid("the head is cut off")) };
            }
        };
        let head = String::from_utf8_lossy(&self.pending[..end]).into_owned();
        self.pending.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let first_line = lines.next().unwrap_or_default().to_string();
        let headers: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_string()))
            .collect();
        let mut message = Message { first_line, headers, body: Vec::new() };
        if message.header("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked")) {
            message.body = self.read_chunks()?;
        } else if let Some(length) = message.header("content-length") {
            let length = length.parse().map_err(|_| invalid("the length is no number"))?;
            message.body = self.take(length)?;
        }
        Ok(Some(message))
    }

    fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.pending.len() < length {
            if self.fill()? == 0 {
                return Err(invalid("the body is cut off"));
            }
        }
        Ok(self.pending.drain(..length).collect())
    }

    fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let end = loop {
                if let Some(at) = self.pending.windows(2).position(|bytes| bytes == b"\r\n") {
                    break at;
                }
                if self.fill()? == 0 {
                    return Err(invalid("the chunks are cut off"));
                }
            };
            let line = String::from_utf8_lossy(&self.pending[..end]).into_owned();
            self.pending.drain(..end + 2);
            let length = usize::from_str_radix(line.split(';').next().unwrap_or_default().trim(), 16)
                .map_err(|_| invalid("the length of a chunk is no number"))?;
            body.extend(self.take(length)?);
            self.take(2)?;
            if length == 0 {
                return Ok(body);
            }
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// Sends one request on a new connection and reads the response.
pub fn call(address: SocketAddr, head: &str, body: &str, timeout: Duration) -> io::Result<Message> {
    let mut connection = Connection::open(address, timeout)?;
    let length = body.len();
    let request = format!(
        "{head} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\
         Connection: close\r\n\r\n{body}"
    );
    connection.write(request.as_bytes())?;
    connection.read()?.ok_or_else(|| invalid("no response"))
}

/// Calls an `admin` address and follows `Location` twice, as hosts and operators do.
pub fn call_admin(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> io::Result<Message> {
    let mut address = address;
    for _ in 0..3 {
        let response = call(address, &format!("{method} {path}"), body, timeout)?;
        if response.status() != 307 {
            return Ok(response);
        }
        let location = response.header("location").unwrap_or_default();
        let target = location.strip_prefix("http://").and_then(|rest| rest.split('/').next());
        address = target.and_then(|text| text.parse().ok()).ok_or_else(|| invalid("no location"))?;
    }
    Err(invalid("more than two redirects"))
}
