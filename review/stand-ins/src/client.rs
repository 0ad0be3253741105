//! Clients that keep their connections.
use crate::http::{Connection, Message};
use crate::record::Record;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// A request of a client: when it was sent, and what came back (0: nothing).
#[derive(Debug, Clone)]
pub struct Sent {
    pub id: String,
    pub at: f64,
    pub status: u16,
}

/// What the clients of one kind send.
#[derive(Debug, Clone, Copy)]
pub struct Traffic {
    pub name: &'static str,
    pub method: &'static str,
    pub domain: &'static str,
    pub path: &'static str,
    /// Each request carries a `Shard-Key`.
    pub keyed: bool,
}

static LAST_ID: AtomicU64 = AtomicU64::new(0);

/// A new id for a request, different in each run.
pub fn new_id() -> String {
    let number = LAST_ID.fetch_add(1, SeqCst) + 1;
    format!("{:08x}{number:08x}", std::process::id().wrapping_mul(0x9e37_79b1))
}

/// The time that a client waits, in ms.
pub const TIME_LEFT: u64 = 2000;

impl Traffic {
    /// The head of a request; `extra` holds further header lines.
    pub fn request(&self, id: &str, extra: &str) -> String {
        let Traffic { method, domain, path, keyed, .. } = self;
        let number = u64::from_str_radix(id, 16).unwrap_or(0);
        // Spreads the keys over the whole space.
        let key = if *keyed {
            format!("Shard-Key: {}\r\n", number.wrapping_mul(40503) % 65536)
        } else {
            String::new()
        };
        let (length, body) = if *method == "POST" { ("Content-Length: 4\r\n", "book") } else { ("", "") };
        format!(
            "{method} {path} HTTP/1.1\r\nHost: {domain}\r\nTry-Id: {id}\r\nTime-Left-Ms: {TIME_LEFT}\r\n{key}{length}{extra}\r\n{body}"
        )
    }
}

/// Opens a connection on which a client may wait for its answer.
pub fn open(address: SocketAddr) -> io::Result<Connection> {
    Connection::open(address, Duration::from_millis(TIME_LEFT + 500))
}

pub fn exchange(connection: &mut Connection, request: &str) -> io::Result<Option<Message>> {
    connection.write(request.as_bytes())?;
    connection.read()
}

/// Clients that send requests of one kind, on connections that they keep.
pub struct Clients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    sent: Arc<Mutex<Vec<Sent>>>,
}

impl Clients {
    /// Starts `count` clients at each edge; each sends a request about every `pause`.
    pub fn start(
        edges: &[SocketAddr],
        count: usize,
        pause: Duration,
        traffic: Traffic,
        record: &Record,
    ) -> Clients {
        let (stop, sent) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
        let mut threads = Vec::new();
        for (edge, address) in edges.iter().copied().enumerate() {
            for _ in 0..count {
                let client = Client { edge, address, traffic, record: record.clone(), sent: sent.clone() };
                let stop = stop.clone();
                threads.push(thread::spawn(move || {
                    let mut connection = None;
                    while !stop.load(SeqCst) {
                        client.send(&mut connection);
                        thread::sleep(pause);
                    }
                }));
            }
        }
        Clients { stop, threads, sent }
    }

    /// Ends the clients, and returns all that they sent.
    pub fn stop(self) -> Vec<Sent> {
        self.stop.store(true, SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        let sent = self.sent.lock().unwrap();
        sent.clone()
    }
}

struct Client {
    edge: usize,
    address: SocketAddr,
    traffic: Traffic,
    record: Record,
    sent: Arc<Mutex<Vec<Sent>>>,
}

impl Client {
    fn send(&self, kept: &mut Option<Connection>) {
        let Some(mut connection) = kept.take().or_else(|| open(self.address).ok()) else { return };
        let id = new_id();
        let name = self.traffic.name;
        let at = self.record.line(&format!("client sends {id} ({name}) to edge {}", self.edge + 1));
        let answer = exchange(&mut connection, &self.traffic.request(&id, ""));
        let status = match &answer {
            Ok(Some(response)) => response.status(),
            _ => 0,
        };
        self.record.line(&format!("client gets {status} for {id} ({name})"));
        self.sent.lock().unwrap().push(Sent { id, at, status });
        if let Ok(Some(response)) = answer {
            if !response.closes() {
                *kept = Some(connection);
            }
        }
    }
}
