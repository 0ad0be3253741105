//! Support for session tests: three edges that share sessions, a client that moves between them, and its
//! requests.
use crate::stand_ins::*;
use coppersail_edge_proxy::sessions::Sessions;
use slog::{o, Discard, Logger};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

pub(crate) struct SessionEdge {
    pub(crate) test_edge: TestEdge,
    pub(crate) sessions: Rc<Sessions>,
    /// The address for peers and operators.
    pub(crate) address: String,
}

pub(crate) struct SessionEdges {
    pub(crate) edges: Vec<SessionEdge>,
    /// The folder with the key file; it is removed when dropped.
    _keys: TemporaryFolder,
}

struct TemporaryFolder(std::path::PathBuf);

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

pub(crate) async fn three_edges(name: &str, hosts: &[&ScriptedHost]) -> SessionEdges {
    let folder = std::env::temp_dir().join(format!("session-edges-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let key = folder.join("one.key");
    std::fs::write(&key, [7; 32]).unwrap();
    let (mut listeners, mut sites) = (vec![], vec![]);
    for number in 1..=3 {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        sites.push(format!("\"{number}\":\"{}\"", listener.local_addr().unwrap()));
        listeners.push(listener);
    }
    let settings = format!(
        r#"{{"header":"Session","keys":["{}"],"services":["plain"],"sites":{{"1":{{{}}}}},"routes":[
            {{"domain":"a.example","pathStart":"/once/","confirms":true}},
            {{"domain":"a.example","pathStart":"/again/"}}]}}"#,
        key.display(),
        sites.join(",")
    );
    let mut edges = vec![];
    for listener in listeners {
        let (test_edge, address) = (start_edge(hosts).await, listener.local_addr().unwrap().to_string());
        let settings = coppersail_config::SessionSettings::from_json(&settings).unwrap();
        let sessions = Sessions::new(settings, &address, true, Logger::root(Discard, o!())).unwrap();
        sessions.start(listener);
        test_edge.edge.sessions.set(sessions.clone()).ok().unwrap();
        edges.push(SessionEdge { test_edge, sessions, address });
    }
    SessionEdges { edges, _keys: TemporaryFolder(folder) }
}

/// A request that must run at most once.
pub(crate) fn confirmation(token: &str, key: &str, id: &str, body: &str) -> String {
    let session = if token.is_empty() { String::new() } else { format!("Session: {token}\r\n") };
    format!(
        "POST /once/table HTTP/1.1\r\nHost: a.example\r\nTry-Id: {id}\r\nTime-Left-Ms: 5000\r\nConnection: close\r\n\
         Idempotency-Key: {key}\r\n{session}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

impl SessionEdges {
    /// Sends a request to the edge at this index on a new connection.
    pub(crate) async fn send(&self, edge: usize, text: &str) -> String {
        self.edges[edge].test_edge.send_raw(text.as_bytes()).await
    }

    /// Returns the token of a new session.
    pub(crate) async fn token(&self) -> String {
        let response = self.send(0, &confirmation("", "k", "1", "x")).await;
        assert_eq!(status(&response), 428, "{response}");
        header(&response, "session").unwrap()
    }

    /// Returns the response to an operator's query.
    pub(crate) async fn query(&self, edge: usize, path: &str) -> String {
        let mut stream = TcpStream::connect(&self.edges[edge].address).await.unwrap();
        let head = format!("GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        stream.write_all(head.as_bytes()).await.unwrap();
        let mut response = String::new();
        stream.read_to_string(&mut response).await.unwrap();
        response
    }
}

/// Latencies of one kind of request, in the order of the requests.
pub(crate) struct LatencySeries {
    pub(crate) name: &'static str,
    pub(crate) latencies: Vec<Duration>,
}

/// Latencies of all kinds of requests, in the order in which the kinds occurred first.
#[derive(Default)]
pub(crate) struct SessionLatencies(pub(crate) Vec<LatencySeries>);

impl SessionLatencies {
    fn record(&mut self, name: &'static str, sent_at: Instant) {
        let latency = sent_at.elapsed();
        match self.0.iter_mut().find(|series| series.name == name) {
            Some(series) => series.latencies.push(latency),
            None => self.0.push(LatencySeries { name, latencies: vec![latency] }),
        }
    }
}

/// Number of steps in each session.
const STEPS: usize = 8;

/// The client of the measurement. It runs `session_count` sessions one after the other, each with two steps
/// at one edge, two at the next one, and so on. A step consists of a lookup without the session, a lookup
/// with it, a confirmation and its repeat. One more confirmation at the end of a session is the first request
/// after a change of the edge. The status of every response is checked.
pub(crate) async fn measure_session_latencies(
    edges: &SessionEdges,
    session_count: usize,
) -> SessionLatencies {
    let mut latencies = SessionLatencies::default();
    let mut connections = vec![];
    for edge in 0..2 {
        connections.push(edges.edges[edge].test_edge.connect().await);
    }
    let mut id = 0;
    for _ in 0..session_count {
        let token = edges.token().await;
        for step in 0..STEPS {
            let (edge, moved) = (step / 2 % 2, step > 1 && step % 2 == 0);
            let confirm =
                |id: usize| keep_open(&confirmation(&token, &format!("k{step}"), &id.to_string(), "a"));
            let lookup = |id: usize, more: &str| request("/again/free", &id.to_string(), more);
            let with_session = if moved { "lookup, crossing" } else { "lookup, outside" };
            for (name, text) in [
                ("lookup without a session", lookup(id + 1, "")),
                (with_session, lookup(id + 2, &format!("Session: {token}\r\n"))),
                ("confirmation, outside", confirm(id + 3)),
                ("repeat, outside", confirm(id + 4)),
            ] {
                let sent_at = Instant::now();
                let response = exchange(&mut connections[edge], &text).await;
                assert!([200, 409].contains(&status(&response)), "{response}");
                latencies.record(name, sent_at);
            }
            id += 4;
        }
        id += 1;
        let text = keep_open(&confirmation(&token, "last", &id.to_string(), "a"));
        let sent_at = Instant::now();
        assert_eq!(status(&exchange(&mut connections[0], &text).await), 200);
        latencies.record("confirmation, crossing", sent_at);
    }
    latencies
}

/// The request without the header that closes the connection.
fn keep_open(request: &str) -> String {
    request.replace("Connection: close\r\n", "")
}

async fn exchange(connection: &mut TcpStream, request: &str) -> String {
    connection.write_all(request.as_bytes()).await.unwrap();
    read_message(connection).await.unwrap()
}
