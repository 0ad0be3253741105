//! Small HTTP/1.1 messages over TCP: a call with one answer, and the reading of a message from a connection.
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A message that was read whole: its first line, its header fields and its body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// The value of a header field, by its name in any case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// The status of an answer; 0 if the first line has none.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// The path of a request.
    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection with the bytes that were read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, rest: Vec::new() }
    }

    pub fn open(address: SocketAddr, limit: Duration) -> io::Result<Connection> {
        Ok(Connection::new(TcpStream::connect_timeout(&address, limit.max(Duration::from_millis(1)))?))
    }

    /// Reads one message with a length, or in chunks, or without a body, until `deadline`.
    pub fn read(&mut self, deadline: Instant) -> io::Result<Message> {
        let mut message = self.read_head(deadline)?;
        self.read_body(&mut message, deadline)?;
        Ok(message)
    }

    /// Reads the first line and the header fields of a message.
    pub fn read_head(&mut self, deadline: Instant) -> io::Result<Message> {
        let end = loop {
            if let Some(at) = self.rest.windows(4).position(|window| window == b"\r\n\r\n") {
                break at;
            }
            self.fill(deadline)?;
        };
        let head = String::from_utf8_lossy(&self.rest[..end]).into_owned();
        self.rest.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let first_line = lines.next().unwrap_or("").to_string();
        let headers: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_string(), value.trim().to_string()))
            .collect();
        Ok(Message { first_line, headers, body: Vec::new() })
    }

    /// Reads the body of a message whose head was read. What was read of it stays in `message` if it ends early.
    pub fn read_body(&mut self, message: &mut Message, deadline: Instant) -> io::Result<()> {
        if message.header("Transfer-Encoding").is_some() {
            loop {
                let line_end = loop {
                    if let Some(at) = self.rest.windows(2).position(|window| window == b"\r\n") {
                        break at;
                    }
                    self.fill(deadline)?;
                };
                let line = String::from_utf8_lossy(&self.rest[..line_end]).into_owned();
                let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16);
                let size = size.map_err(|_| io::Error::other("a chunk without a size"))?;
                self.rest.drain(..line_end + 2);
                while self.rest.len() < size + 2 {
                    self.fill(deadline)?;
                }
                message.body.extend_from_slice(&self.rest[..size]);
                self.rest.drain(..size + 2);
                if size == 0 {
                    return Ok(());
                }
            }
        }
        let length: usize = message.header("Content-Length").and_then(|text| text.parse().ok()).unwrap_or(0);
        while self.rest.len() < length {
            if let Err(error) = self.fill(deadline) {
                message.body = std::mem::take(&mut self.rest);
                return Err(error);
            }
        }
        message.body = self.rest.drain(..length).collect();
        Ok(())
    }

    fn fill(&mut self, deadline: Instant) -> io::Result<()> {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        let mut bytes = [0; 16384];
        match self.stream.read(&mut bytes)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            count => {
                self.rest.extend_from_slice(&bytes[..count]);
                Ok(())
            }
        }
    }
}

/// One request on a new connection, and its answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let deadline = Instant::now() + limit;
    let mut connection = Connection::open(address, limit)?;
    connection.stream.write_all(&request(method, path, headers, body))?;
    connection.read(deadline)
}

/// The bytes of a request. A `Host` is added if `headers` has none.
pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("Host")) {
        text += "Host: control\r\n";
    }
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if method == "POST" || !body.is_empty() {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// A call to the control side as its callers make it: follows 307 twice.
pub fn admin_call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let (mut address, mut path) = (address, path.to_string());
    for _ in 0..3 {
        let answer = call(address, method, &path, &[("Content-Type", "application/json")], body, limit)?;
        if answer.status() != 307 {
            return Ok(answer);
        }
        let location = answer.header("Location").unwrap_or("").to_string();
        let rest = location.strip_prefix("http://").ok_or_else(|| io::Error::other("307 to nowhere"))?;
        let (host, tail) = rest.split_once('/').ok_or_else(|| io::Error::other("307 without a path"))?;
        address = host.parse().map_err(io::Error::other)?;
        path = format!("/{tail}");
    }
    Err(io::Error::other("sent on too often"))
}
