//! Test support: an edge on loopback, hosts with scripted behaviour, and clients that write raw bytes.
use coppersail_config::ProcessSettings;
use coppersail_edge_proxy::edge::Edge;
use coppersail_peer_protocol::{AssignmentUpdate, ConfigDocument, EndpointState, EndpointUpdate, Update};
use slog::{o, Discard, Logger};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc::UnboundedSender, Notify};
use tokio::task::{spawn_local, LocalSet};

/// Timeout of a test, far longer than any test takes unless it hangs.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// How often a test yields to the runtime until a connection on loopback was accepted or closed.
const CONNECTION_POLLS: u32 = 100_000;

pub(crate) fn run_test<F: Future<Output = ()>>(test: impl FnOnce() -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new()
        .block_on(&runtime, async { tokio::time::timeout(TEST_TIMEOUT, test()).await.expect("test hangs") });
}

/// Runs a test whose clock advances only by [`advance`].
pub(crate) fn run_test_with_manual_clock<F: Future<Output = ()>>(test: impl FnOnce() -> F) {
    run_test(|| async {
        tokio::time::pause();
        // tokio advances a paused clock automatically when all tasks wait, even if socket input is about to
        // wake one. It does not do so while a blocking task runs.
        let (finish, finished) = std::sync::mpsc::channel::<()>();
        let blocking = tokio::task::spawn_blocking(move || finished.recv_timeout(TEST_TIMEOUT).is_err());
        test().await;
        drop(finish);
        blocking.await.expect("the blocking task only waits");
    });
}

/// Advances the clock and lets the other tasks run.
pub(crate) async fn advance(time: Duration) {
    tokio::time::advance(time).await;
    tokio::task::yield_now().await;
}

/// What a host does when a request's head has been read.
pub(crate) enum HostAction {
    Respond(Vec<u8>),
    /// Sends the bytes, then closes the connection.
    RespondAndClose(Vec<u8>),
    ResetConnection,
    /// Responds when the test notifies it.
    RespondOnRelease(Rc<Notify>),
}

#[derive(Clone)]
pub(crate) struct ScriptedHost {
    pub(crate) id: String,
    pub(crate) address: SocketAddr,
    /// The received requests, heads and bodies, in the order of arrival.
    pub(crate) requests: Rc<RefCell<Vec<String>>>,
    pub(crate) connections: Rc<Cell<usize>>,
    /// Notified at each request and at the end of each connection.
    pub(crate) event: Rc<Notify>,
    pub(crate) closed_connections: Rc<Cell<usize>>,
}

pub(crate) fn header(head: &str, name: &str) -> Option<String> {
    let line = head
        .lines()
        .find(|line| line.split_once(':').is_some_and(|(key, _)| key.eq_ignore_ascii_case(name)))?;
    Some(line.split_once(':')?.1.trim().into())
}

/// A sealed response with the id of the request.
pub(crate) fn sealed_response(head: &str, body: &str) -> Vec<u8> {
    response(head, "200 OK", "Server-Seal: 1a.2b\r\n", body)
}

pub(crate) fn response(head: &str, status: &str, headers: &str, body: &str) -> Vec<u8> {
    let (id, length) = (header(head, "try-id").unwrap_or_default(), body.len());
    format!("HTTP/1.1 {status}\r\nTry-Id: {id}\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
        .into_bytes()
}

/// A host that acts on each request as `script` decides, by the request's number over all connections, from
/// 0, and its head.
pub(crate) async fn scripted_host(
    id: &str,
    script: impl Fn(usize, &str) -> HostAction + 'static,
) -> ScriptedHost {
    let script = Rc::new(script);
    connection_host(id, move |_, stream, host| {
        let script = script.clone();
        async move { serve_connection(stream, &host, &*script).await }
    })
    .await
}

/// A host that handles each connection by `serve`, which gets the connection's number, from 0.
pub(crate) async fn connection_host<F: Future<Output = ()> + 'static>(
    id: &str,
    serve: impl Fn(usize, TcpStream, ScriptedHost) -> F + 'static,
) -> ScriptedHost {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (requests, event) = Default::default();
    let (connections, closed_connections): (Rc<Cell<usize>>, Rc<Cell<usize>>) = Default::default();
    let host = ScriptedHost { id: id.into(), address, requests, event, connections, closed_connections };
    let listening = host.clone();
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let connection = listening.connections.get();
            let (host, serving) = (listening.clone(), serve(connection, stream, listening.clone()));
            listening.connections.set(listening.connections.get() + 1);
            spawn_local(async move {
                serving.await;
                host.closed_connections.set(host.closed_connections.get() + 1);
                host.event.notify_waiters();
            });
        }
    });
    host
}

async fn serve_connection(
    mut stream: TcpStream,
    host: &ScriptedHost,
    script: &dyn Fn(usize, &str) -> HostAction,
) {
    while let Some(head) = read_message(&mut stream).await {
        match script(host.record_request(&head), &head) {
            HostAction::Respond(bytes) => stream.write_all(&bytes).await.unwrap_or_default(),
            HostAction::RespondAndClose(bytes) => {
                let _ = stream.write_all(&bytes).await;
                return;
            }
            HostAction::ResetConnection => {
                let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                return;
            }
            HostAction::RespondOnRelease(release) => {
                let (mut byte, response) = ([0], sealed_response(&head, "held"));
                tokio::select! {
                    _ = release.notified() => stream.write_all(&response).await.unwrap_or_default(),
                    _ = stream.read(&mut byte) => return,
                }
            }
        }
    }
}

/// Reads a head, and a body framed by `Content-Length` or by chunks, which are not decoded.
pub(crate) async fn read_message(stream: &mut TcpStream) -> Option<String> {
    let (mut bytes, mut more) = (Vec::new(), [0; 4096]);
    loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end + 4]).into_owned();
            let chunked = header(&head, "transfer-encoding").is_some();
            let length = header(&head, "content-length").map_or(0, |length| length.parse().unwrap());
            let complete =
                if chunked { bytes.ends_with(b"0\r\n\r\n") } else { bytes.len() >= end + 4 + length };
            if complete {
                return Some(String::from_utf8_lossy(&bytes).into_owned());
            }
        }
        match stream.read(&mut more).await {
            Ok(count @ 1..) => bytes.extend_from_slice(&more[..count]),
            _ => return None,
        }
    }
}

impl ScriptedHost {
    /// Records a request that has been read and returns its number.
    pub(crate) fn record_request(&self, head: &str) -> usize {
        self.requests.borrow_mut().push(head.into());
        self.event.notify_waiters();
        self.request_count() - 1
    }

    pub(crate) fn request_count(&self) -> usize {
        self.requests.borrow().len()
    }

    /// Waits until `count` requests have been read.
    pub(crate) async fn wait_for_requests(&self, count: usize) {
        loop {
            let event = self.event.notified();
            if self.request_count() >= count {
                return;
            }
            event.await;
        }
    }

    pub(crate) async fn wait_for_closed_connections(&self, count: usize) {
        loop {
            let event = self.event.notified();
            if self.closed_connections.get() >= count {
                return;
            }
            event.await;
        }
    }

    pub(crate) fn endpoint_update(&self, state: EndpointState, heartbeat_sequence: u64) -> EndpointUpdate {
        EndpointUpdate {
            id: self.id.clone(),
            service: "plain".into(),
            address: self.address.to_string(),
            zone: "north".into(),
            capacity: 4,
            state,
            heartbeat_sequence,
            ..EndpointUpdate::default()
        }
    }
}

pub(crate) struct TestEdge {
    pub(crate) edge: Rc<Edge>,
    pub(crate) updates: UnboundedSender<Update>,
    pub(crate) client_address: SocketAddr,
    pub(crate) readiness_address: SocketAddr,
}

const SETTINGS: &str = r#"{"revision":"r4","routes":{"columns":["name","domain","pathStart","sort","giveUp","target_time","rank","shares","tries","backend"],"rows":[
["again","a.example","/again/","repeatable","9000ms","1000ms",0,null,3,"plain"],
["once","a.example","/once/","single_shot","9000ms","1000ms",0,null,3,"plain"],
["short","a.example","/short/","single_shot","150ms","100ms",0,null,3,"plain"],
["key","a.example","/key/","repeatable","9000ms","1000ms",0,null,3,"parted"],
["seat","a.example","/seat/","single_shot","9000ms","1000ms",0,null,3,"parted"]]},
"backends":{"columns":["name","checkPath","maxConnections","protocol","encrypted","splitUp"],"rows":[["plain","/well",100,"h1",false,null],["parted","/well",100,"h1",false,true]]},
"caps":{"headSizeBytes":9000,"bodySizeBytes":400000,"headWait":"HEADWAIT","quiet":"15000ms"}}"#;

/// The options of a test's edge.
pub(crate) struct EdgeOptions {
    pub(crate) header_timeout: &'static str,
    /// Size (bytes) of the send buffer of client connections, which limits what is written while the client
    /// does not read.
    pub(crate) send_buffer: Option<usize>,
}

impl Default for EdgeOptions {
    fn default() -> EdgeOptions {
        EdgeOptions { header_timeout: "3000ms", send_buffer: None }
    }
}

pub(crate) async fn start_edge(hosts: &[&ScriptedHost]) -> TestEdge {
    start_edge_with(hosts, EdgeOptions::default()).await
}

pub(crate) async fn start_edge_with(hosts: &[&ScriptedHost], options: EdgeOptions) -> TestEdge {
    let mut settings = ProcessSettings {
        zone: "north".into(),
        ip_address: "127.0.0.1".into(),
        open_files: 4000,
        ..ProcessSettings::default()
    };
    // A large ratio, so that the retry budget is never exhausted here; it has separate tests.
    settings.limits.retry_ratio = 100.0;
    settings.limits.retry_window = Duration::from_secs(10);
    settings.limits.shutdown_grace = Duration::from_secs(6);
    let edge = Edge::new(settings, Logger::root(Discard, o!()));
    let clients = TcpListener::bind("127.0.0.1:0").await.unwrap();
    if let Some(bytes) = options.send_buffer {
        // Accepted sockets inherit the buffer size of the listener.
        socket2::SockRef::from(&clients).set_send_buffer_size(bytes).unwrap();
    }
    let readiness = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (client_address, readiness_address) =
        (clients.local_addr().unwrap(), readiness.local_addr().unwrap());
    let (updates, received_updates) = tokio::sync::mpsc::unbounded_channel();
    coppersail_edge_proxy::start(&edge, clients, readiness, received_updates);
    let body = SETTINGS.replace("HEADWAIT", options.header_timeout);
    edge.apply_update(Update {
        config: Some(ConfigDocument { revision: 4, body }),
        endpoints: hosts.iter().map(|host| host.endpoint_update(EndpointState::Ready, 1)).collect(),
        ..Update::default()
    });
    TestEdge { edge, updates, client_address, readiness_address }
}

impl TestEdge {
    /// Sends an update with the owners of slices: slice, id of the owner, fencing token.
    pub(crate) fn send_assignments(&self, rows: Vec<(u32, String, u64)>) {
        let rows =
            rows.into_iter().map(|(slice, owner, token)| (slice, slice, owner, token).into()).collect();
        let assignments = vec![AssignmentUpdate { service: "parted".into(), slice_count: 4, rows }];
        self.updates.send(Update { assignments, ..Update::default() }).unwrap();
    }

    pub(crate) async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.client_address).await.unwrap()
    }

    /// Connects a client with a small receive buffer (bytes).
    pub(crate) async fn connect_with_receive_buffer(&self, bytes: usize) -> TcpStream {
        let socket = tokio::net::TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(bytes as u32).unwrap();
        socket.connect(self.client_address).await.unwrap()
    }

    /// Waits until at least `count` connections are open at the edge.
    pub(crate) async fn wait_for_connections(&self, count: usize) {
        self.wait_for_open_connections(|open| open >= count).await;
    }

    /// Waits until the edge has closed all connections.
    pub(crate) async fn wait_for_no_connections(&self) {
        self.wait_for_open_connections(|open| open == 0).await;
    }

    async fn wait_for_open_connections(&self, is_awaited: impl Fn(usize) -> bool) {
        for _ in 0..CONNECTION_POLLS {
            if is_awaited(self.edge.open_connections()) {
                return;
            }
            tokio::task::yield_now().await;
        }
        panic!("{} connections are open", self.edge.open_connections());
    }

    /// Sends bytes on a new connection and returns everything that the edge sends until it closes the
    /// connection.
    pub(crate) async fn send_raw(&self, bytes: &[u8]) -> String {
        let mut stream = self.connect().await;
        let _ = stream.write_all(bytes).await;
        let mut received = Vec::new();
        let _ = stream.read_to_end(&mut received).await;
        String::from_utf8_lossy(&received).into_owned()
    }

    pub(crate) async fn get(&self, path: &str, id: &str) -> String {
        self.send_raw(request(path, id, "Connection: close\r\n").as_bytes()).await
    }
}

pub(crate) fn request(path: &str, id: &str, headers: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: A.example:80\r\nTry-Id: {id}\r\nTime-Left-Ms: 5000\r\n{headers}\r\n"
    )
}

pub(crate) fn status(answer: &str) -> u16 {
    answer.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
}
