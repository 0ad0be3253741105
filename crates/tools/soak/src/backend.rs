//! An endpoint's server inside the soak: it serves each request for as long as the request asks for, until its process would be
//! gone, and tells the history what it has begun.
use crate::exchange::{frame, header, read_body, read_head, Framing, Request, SentRequests};
use crate::observers::Shared;
use crate::request_id::RequestId;
use std::collections::HashSet;
use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{sleep, spawn};
use std::time::Duration;

/// The header by which a client says how many milliseconds its request takes.
pub(crate) const WORK_HEADER: &str = "Work-Ms";
/// The header with the id of a request.
pub(crate) const ID_HEADER: &str = "Try-Id";
/// The service of short requests, whose endpoints leave.
pub(crate) const SERVICE: &str = "s";
/// The service of long requests, whose endpoints stay: a leaving endpoint with a long request would get no others meanwhile.
pub(crate) const LONG_SERVICE: &str = "long";
/// How long a connection may take that only wakes the listener of a server that ends.
const WAKE_TIMEOUT: Duration = Duration::from_millis(500);

/// The requests that clients have sent, and the ids of those that any endpoint has begun.
#[derive(Clone, Default)]
pub(crate) struct Requests {
    pub(crate) sent: SentRequests,
    begun: Arc<Mutex<HashSet<String>>>,
}

impl Requests {
    fn ids(&self) -> MutexGuard<'_, HashSet<String>> {
        self.begun.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn has_begun(&self, id: &str) -> bool {
        self.ids().contains(id)
    }

    fn begin(&self, id: &str) {
        self.ids().insert(id.to_owned());
    }
}

/// What the threads of a server share.
struct ServerState {
    /// The id of the endpoint.
    endpoint: String,
    shared: Shared,
    requests: Requests,
    has_ended: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

/// A server that accepts connections until it is dropped; then all its connections end, as with their process.
pub(crate) struct Server {
    address: SocketAddr,
    state: Arc<ServerState>,
}

impl Server {
    /// Serves as an endpoint at an address.
    pub(crate) fn start(
        endpoint: &str,
        address: SocketAddr,
        shared: Shared,
        requests: Requests,
    ) -> io::Result<Server> {
        let listener = TcpListener::bind(address)?;
        let (has_ended, connections) = (AtomicBool::new(false), Mutex::default());
        let state = ServerState { endpoint: endpoint.into(), shared, requests, has_ended, connections };
        let state = Arc::new(state);
        let accepting = state.clone();
        spawn(move || accept(&listener, &accepting));
        Ok(Server { address, state })
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.state.has_ended.store(true, Ordering::SeqCst);
        let connections = self.state.connections.lock();
        for connection in connections.unwrap_or_else(PoisonError::into_inner).iter() {
            let _ = connection.shutdown(Shutdown::Both);
        }
        // The listener ends with its next connection.
        let _ = TcpStream::connect_timeout(&self.address, WAKE_TIMEOUT);
    }
}

fn accept(listener: &TcpListener, state: &Arc<ServerState>) {
    for stream in listener.incoming().flatten() {
        if state.has_ended.load(Ordering::SeqCst) {
            return;
        }
        let Ok(copy) = stream.try_clone() else { continue };
        state.connections.lock().unwrap_or_else(PoisonError::into_inner).push(copy);
        let state = state.clone();
        spawn(move || {
            serve(&stream, &state);
            let _ = stream.shutdown(Shutdown::Both);
        });
    }
}

/// Serves the requests of one connection. A sealed answer has the body of its request, in one framing after the other.
fn serve(stream: &TcpStream, state: &ServerState) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream);
    let mut framing = Framing::Length;
    while !state.has_ended.load(Ordering::SeqCst) {
        let head = read_head(&mut reader)?;
        let id = header(&head, ID_HEADER)?;
        let mut start = head.first()?.split(' ');
        let (method, path) = (start.next()?.to_owned(), start.next()?.to_owned());
        let request = Request { method, path, body: read_body(&mut reader, &head)? };
        state.requests.begin(id);
        if let Some(difference) = state.requests.sent.difference(id, &request) {
            state.shared.history().run_changed_request(id, difference);
        }
        if let Ok(request) = id.parse::<RequestId>() {
            let arrived = state.shared.elapsed();
            state.shared.history().departures.arrive(&state.endpoint, request, arrived);
        }
        let work = header(&head, WORK_HEADER).and_then(|value| value.parse().ok()).unwrap_or(0);
        sleep(Duration::from_millis(work));
        let (field, body) = frame(framing, &request.body);
        framing = if framing == Framing::Length { Framing::Chunks } else { Framing::Length };
        let head = format!("HTTP/1.1 200 OK\r\n{ID_HEADER}: {id}\r\nServer-Seal: soak\r\n{field}\r\n");
        let body = if request.method == "HEAD" { Vec::new() } else { body };
        (&*stream).write_all(&[head.into_bytes(), body].concat()).ok()?;
    }
    None
}
