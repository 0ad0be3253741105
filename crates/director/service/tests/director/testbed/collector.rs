//! A connection to the director's address, such as a collector's.

use crate::stand_ins::WAIT_TIMEOUT;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Instant;

const PROBE: &[u8] = b"{\"msg\":\"probe\"}\n";
const PROBE_ANSWER: &[u8] = b"{\"msg\":\"alive\"}\n";

pub(crate) struct Collector(TcpStream);

impl Collector {
    /// Connects as soon as the director listens.
    pub(crate) fn connect(address: SocketAddr) -> Self {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            match TcpStream::connect(address) {
                Ok(stream) => {
                    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
                    return Collector(stream);
                }
                Err(_) => assert!(Instant::now() < deadline, "the director is not listening"),
            }
            std::thread::yield_now();
        }
    }

    pub(crate) fn send_line(&mut self, line: &[u8]) {
        self.0.write_all(line).unwrap();
        self.0.write_all(b"\n").unwrap();
    }

    /// Sends bytes without an end of line. Returns false if the director has closed the connection.
    pub(crate) fn send_bytes(&mut self, bytes: &[u8]) -> bool {
        self.0.write_all(bytes).is_ok()
    }

    /// Whether a liveness probe is answered.
    pub(crate) fn is_answered(&mut self) -> bool {
        let is_sent = self.0.write_all(PROBE).is_ok();
        let mut answer = [0; PROBE_ANSWER.len()];
        is_sent && self.0.read_exact(&mut answer).is_ok() && answer == PROBE_ANSWER
    }

    /// Whether the director closes the connection within [`WAIT_TIMEOUT`].
    pub(crate) fn is_closed(&mut self) -> bool {
        match self.0.read(&mut [0; 16]) {
            Ok(count) => count == 0,
            // A read timeout does not mean that the connection is closed.
            Err(error) => !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
        }
    }
}
