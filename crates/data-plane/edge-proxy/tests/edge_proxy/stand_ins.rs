//! An edge on loopback, hosts that do as a script says, and clients that write raw bytes.
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

/// Far longer than anything here takes; only a test that hangs meets it.
const HANGS: Duration = Duration::from_secs(20);
/// How often the runtime may go round until a connection on loopback has been accepted or closed.
const CONNECTION_POLLS: u32 = 100_000;

pub(crate) fn run_test<F: Future<Output = ()>>(test: impl FnOnce() -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new()
        .block_on(&runtime, async { tokio::time::timeout(HANGS, test()).await.expect("it hangs") });
}

/// Runs a test whose clock stands still but for [`advance`].
pub(crate) fn run_test_with_manual_clock<F: Future<Output = ()>>(test: impl FnOnce() -> F) {
    run_test(|| async {
        tokio::time::pause();
        // A paused clock goes on by itself when all tasks wait, though sockets may be about to wake one; not while a
        // blocking task runs.
        let (finish, finished) = std::sync::mpsc::channel::<()>();
        let blocking = tokio::task::spawn_blocking(move || finished.recv_timeout(HANGS).is_err());
        test().await;
        drop(finish);
        blocking.await.expect("it only waits");
    });
}

/// Lets time pass for all tasks.
pub(crate) async fn advance(time: Duration) {
    tokio::time::advance(time).await;
    tokio::task::yield_now().await;
}

/// What a host does when a request's head has been read.
pub(crate) enum HostAction {
    Respond(Vec<u8>),
    /// Sends, then closes.
    RespondAndClose(Vec<u8>),
    ResetConnection,
    /// Answers nothing until the test says so.
    RespondOnRelease(Rc<Notify>),
}

#[derive(Clone)]
pub(crate) struct ScriptedHost {
    pub(crate) id: String,
    pub(crate) address: SocketAddr,
    /// Heads of the requests read, with their bodies as they came.
    pub(crate) requests: Rc<RefCell<Vec<String>>>,
    pub(crate) connections: Rc<Cell<usize>>,
    /// Told at each request and at each connection's end.
    pub(crate) event: Rc<Notify>,
    pub(crate) closed_connections: Rc<Cell<usize>>,
}

pub(crate) fn header(head: &str, name: &str) -> Option<String> {
    let line = head
        .lines()
        .find(|line| line.split_once(':').is_some_and(|(one, _)| one.eq_ignore_ascii_case(name)))?;
    Some(line.split_once(':')?.1.trim().into())
}

/// A sealed answer with the request's own id.
pub(crate) fn sealed_response(head: &str, body: &str) -> Vec<u8> {
    response(head, "200 OK", "Server-Seal: 1a.2b\r\n", body)
}

pub(crate) fn response(head: &str, status: &str, more: &str, body: &str) -> Vec<u8> {
    let (id, length) = (header(head, "try-id").unwrap_or_default(), body.len());
    format!("HTTP/1.1 {status}\r\nTry-Id: {id}\r\n{more}Content-Length: {length}\r\n\r\n{body}").into_bytes()
}

/// The number of a request counts from 0 over all connections.
pub(crate) async fn scripted_host(
    ident: &str,
    script: impl Fn(usize, &str) -> HostAction + 'static,
) -> ScriptedHost {
    let script = Rc::new(script);
    connection_host(ident, move |_, stream, host| {
        let script = script.clone();
        async move { serve_connection(stream, &host, &*script).await }
    })
    .await
}

/// A host that does with each connection as told; they count from 0.
pub(crate) async fn connection_host<F: Future<Output = ()> + 'static>(
    ident: &str,
    serve: impl Fn(usize, TcpStream, ScriptedHost) -> F + 'static,
) -> ScriptedHost {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (seen, event) = Default::default();
    let (connections, ended): (Rc<Cell<usize>>, Rc<Cell<usize>>) = Default::default();
    let host = ScriptedHost {
        id: ident.into(),
        address,
        requests: seen,
        event,
        connections,
        closed_connections: ended,
    };
    let all = host.clone();
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (host, serving) = (all.clone(), serve(all.connections.get(), stream, all.clone()));
            all.connections.set(all.connections.get() + 1);
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
            HostAction::RespondOnRelease(until) => {
                let mut byte = [0];
                tokio::select! {
                    _ = until.notified() => stream.write_all(&sealed_response(&head, "held")).await.unwrap_or_default(),
                    _ = stream.read(&mut byte) => return,
                }
            }
        }
    }
}

/// Head and body by `Content-Length` or chunks (kept as they came).
pub(crate) async fn read_message(stream: &mut TcpStream) -> Option<String> {
    let (mut bytes, mut more) = (Vec::new(), [0; 4096]);
    loop {
        if let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end + 4]).into_owned();
            let chunked = header(&head, "transfer-encoding").is_some();
            let length = header(&head, "content-length").map_or(0, |length| length.parse().unwrap());
            let whole = if chunked { bytes.ends_with(b"0\r\n\r\n") } else { bytes.len() >= end + 4 + length };
            if whole {
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
    /// The number of a request that has been read.
    pub(crate) fn record_request(&self, head: &str) -> usize {
        self.requests.borrow_mut().push(head.into());
        self.event.notify_waiters();
        self.request_count() - 1
    }

    pub(crate) fn request_count(&self) -> usize {
        self.requests.borrow().len()
    }

    /// Until so many requests have been read.
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

    pub(crate) fn endpoint_update(&self, stage: EndpointState, calls: u64) -> EndpointUpdate {
        EndpointUpdate {
            id: self.id.clone(),
            service: "plain".into(),
            address: self.address.to_string(),
            zone: "north".into(),
            capacity: 4,
            state: stage,
            heartbeat_sequence: calls,
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

/// What differs between the edges of tests.
pub(crate) struct EdgeOptions {
    pub(crate) header_timeout: &'static str,
    /// Bytes that the socket of a client's connection takes while the client does not read.
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
    let mut boot = ProcessSettings {
        zone: "north".into(),
        ip_address: "127.0.0.1".into(),
        open_files: 4000,
        ..ProcessSettings::default()
    };
    // Enough that the budget never decides here; it has tests of its own.
    boot.limits.retry_ratio = 100.0;
    boot.limits.retry_window = Duration::from_secs(10);
    boot.limits.shutdown_grace = Duration::from_secs(6);
    let edge = Edge::new(boot, Logger::root(Discard, o!()));
    let clients = TcpListener::bind("127.0.0.1:0").await.unwrap();
    if let Some(bytes) = options.send_buffer {
        // Accepted sockets have the size of their listener's buffer.
        socket2::SockRef::from(&clients).set_send_buffer_size(bytes).unwrap();
    }
    let readiness = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = (clients.local_addr().unwrap(), readiness.local_addr().unwrap());
    let (news, taken) = tokio::sync::mpsc::unbounded_channel();
    coppersail_edge_proxy::start(&edge, clients, readiness, taken);
    let body = SETTINGS.replace("HEADWAIT", options.header_timeout);
    edge.apply_update(Update {
        config: Some(ConfigDocument { revision: 4, body }),
        endpoints: hosts.iter().map(|host| host.endpoint_update(EndpointState::Ready, 1)).collect(),
        ..Update::default()
    });
    TestEdge { edge, updates: news, client_address: at.0, readiness_address: at.1 }
}

impl TestEdge {
    pub(crate) fn send_assignments(&self, rows: Vec<(u32, String, u64)>) {
        let rows =
            rows.into_iter().map(|(slice, ident, number)| (slice, slice, ident, number).into()).collect();
        let slices = vec![AssignmentUpdate { service: "parted".into(), slice_count: 4, rows }];
        self.updates.send(Update { assignments: slices, ..Update::default() }).unwrap();
    }

    pub(crate) async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.client_address).await.unwrap()
    }

    /// A client whose socket holds few bytes until they are read.
    pub(crate) async fn connect_with_receive_buffer(&self, bytes: usize) -> TcpStream {
        let socket = tokio::net::TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(bytes as u32).unwrap();
        socket.connect(self.client_address).await.unwrap()
    }

    /// Until the edge has accepted so many connections that are still open.
    pub(crate) async fn wait_for_connections(&self, count: usize) {
        self.wait_for_open_connections(|open| open >= count).await;
    }

    /// Until the edge has closed all connections.
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

    /// One request on a connection of its own; everything that comes back until it closes.
    pub(crate) async fn send_raw(&self, bytes: &[u8]) -> String {
        let mut stream = self.connect().await;
        let _ = stream.write_all(bytes).await;
        let mut all = Vec::new();
        let _ = stream.read_to_end(&mut all).await;
        String::from_utf8_lossy(&all).into_owned()
    }

    pub(crate) async fn get(&self, path: &str, id: &str) -> String {
        self.send_raw(request(path, id, "Connection: close\r\n").as_bytes()).await
    }
}

pub(crate) fn request(path: &str, id: &str, more: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: A.example:80\r\nTry-Id: {id}\r\nTime-Left-Ms: 5000\r\n{more}\r\n")
}

pub(crate) fn status(answer: &str) -> u16 {
    answer.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
}
