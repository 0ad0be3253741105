//! An endpoint inside the soak: it serves each request for as long as the request asks for, and remembers which it has begun.
use crate::observers::{call, Shared};
use serde_json::json;
use std::collections::HashSet;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{sleep, spawn, JoinHandle};
use std::time::Duration;

/// The header by which a client says how many milliseconds its request takes.
pub(crate) const WORK_HEADER: &str = "Work-Ms";
/// The header with the id of a request.
pub(crate) const ID_HEADER: &str = "Try-Id";
/// The service that all routes lead to.
pub(crate) const SERVICE: &str = "s";
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// More than all clients send at once.
const CAPACITY: u32 = 1_000;

/// The ids of the requests that an endpoint has begun.
#[derive(Clone, Default)]
pub(crate) struct BegunRequests(Arc<Mutex<HashSet<String>>>);

impl BegunRequests {
    pub(crate) fn contains(&self, id: &str) -> bool {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).contains(id)
    }

    fn insert(&self, id: &str) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).insert(id.to_owned());
    }
}

/// Serves at `address` until the process ends.
pub(crate) fn start(address: &str) -> io::Result<BegunRequests> {
    let listener = TcpListener::bind(address)?;
    let begun = BegunRequests::default();
    let shared = begun.clone();
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let begun = shared.clone();
            spawn(move || serve(&stream, &begun));
        }
    });
    Ok(begun)
}

/// Serves the requests of one connection, which have no bodies.
fn serve(stream: &TcpStream, begun: &BegunRequests) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream);
    loop {
        let head = read_head(&mut reader)?;
        let id = header(&head, ID_HEADER)?;
        begun.insert(id);
        let work = header(&head, WORK_HEADER).and_then(|value| value.parse().ok()).unwrap_or(0);
        sleep(Duration::from_millis(work));
        let response = format!(
            "HTTP/1.1 200 OK\r\n{ID_HEADER}: {id}\r\nServer-Seal: soak\r\nContent-Length: 2\r\n\r\nok"
        );
        (&*stream).write_all(response.as_bytes()).ok()?;
    }
}

/// The lines of the next head. `None`: the connection has ended.
pub(crate) fn read_head(reader: &mut impl BufRead) -> Option<Vec<String>> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        match line.trim_end() {
            "" => return Some(lines),
            line => lines.push(line.to_owned()),
        }
    }
}

/// The value of a header.
pub(crate) fn header<'a>(head: &'a [String], name: &str) -> Option<&'a str> {
    let fields = head.iter().filter_map(|line| line.split_once(':'));
    fields.filter(|(field, _)| field.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim()).next()
}

/// Sends the heartbeats of the endpoint to one node after the other.
pub(crate) fn start_heartbeats(shared: Shared, nodes: Vec<String>, address: String) -> JoinHandle<()> {
    spawn(move || {
        let agent = crate::observers::agent();
        let mut sequence: usize = 0;
        while !shared.is_over() {
            sequence += 1;
            let body = json!({
                "backend": SERVICE, "address": address, "area": "north", "revision": "v1", "capacity": CAPACITY,
                "stage": "ready", "warmLeft": "0ms", "callCount": sequence
            });
            let _ =
                call(&agent, &nodes[sequence % nodes.len()], "/servers/i-1/pulse", Some(&body.to_string()));
            sleep(HEARTBEAT_INTERVAL);
        }
    })
}
