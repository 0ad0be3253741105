//! Clients that keep their connections open and use them until the edge closes them.
use crate::backend::{Requests, ID_HEADER, WORK_HEADER};
use crate::exchange::{frame, header, read_body, read_head, Framing, Request};
use crate::observers::{Shared, LONG_PATH};
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

/// How long a client waits between two requests on a connection, as a rule and at times.
const IDLE_MS: [std::ops::Range<u64>; 2] = [0..1_000, 1_000..4_000];
/// How long a request takes at its endpoint, as a rule and at times, and the path that it goes to: what an edge that shuts down takes until it accepts no more
/// connections (2.5 s) ends before the edge does (5.7 s), and what it took a second later would not.
const WORK_MS: [std::ops::Range<u64>; 2] = [0..400, 2_400..2_900];
/// One in so many waits and requests is long.
const LONG_ONES: usize = 4;
/// The time that a client gives a request.
const TIME_LEFT_MS: u64 = 4_000;
/// Longer than any answer takes: what comes after is no answer.
const READ_TIMEOUT: Duration = Duration::from_secs(8);
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// The endpoint notes a request before the edge can know that it has come.
const NOTE_TIME: Duration = Duration::from_millis(50);
/// The path of the first revision, which every later one routes as well, and that of long requests.
const PATHS: [&str; 2] = ["/1/", LONG_PATH];

/// What came of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Exchange {
    Answered {
        closes: bool,
    },
    /// An answer to another request.
    Foreign,
    /// A success without the seal, or with another body than the endpoint sent.
    Mixed,
    /// The connection ended before an answer was complete.
    Closed,
}

/// Uses connections to an edge until the run is over.
pub(crate) fn start(
    shared: Shared,
    edge: usize,
    address: String,
    requests: Requests,
    seed: u64,
) -> JoinHandle<()> {
    spawn(move || {
        let mut random = fastrand::Rng::with_seed(seed);
        while !shared.is_over() {
            if let Ok(stream) = TcpStream::connect(&address) {
                use_connection(&shared, edge, &stream, &requests, &mut random);
            }
            sleep(RECONNECT_PAUSE);
        }
    })
}

/// Sends request after request, with pauses, until the connection ends.
fn use_connection(
    shared: &Shared,
    edge: usize,
    stream: &TcpStream,
    requests: &Requests,
    random: &mut fastrand::Rng,
) {
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(READ_TIMEOUT));
    let mut reader = BufReader::new(stream);
    while !shared.is_over() {
        let idle = IDLE_MS[length_index(random)].clone();
        sleep(Duration::from_millis(random.u64(idle)));
        let id = shared.request_id(edge, random).to_string();
        let sent = Instant::now();
        let length = length_index(random);
        let work = random.u64(WORK_MS[length].clone());
        let request = Request::random(PATHS[length], random);
        let framing = if random.bool() { Framing::Length } else { Framing::Chunks };
        requests.sent.insert(&id, request.clone());
        let exchange = exchange(&mut reader, &id, &request, framing, work);
        requests.sent.remove(&id);
        match exchange {
            Exchange::Answered { closes } => {
                shared.history().answer(!request.body.is_empty());
                if closes {
                    return;
                }
            }
            Exchange::Foreign => return shared.history().foreign_answer(edge),
            Exchange::Mixed => return shared.history().mixed_answer(edge, &id),
            Exchange::Closed => {
                sleep(NOTE_TIME);
                // One that crossed the close and reached no endpoint can be sent again.
                if requests.has_begun(&id) {
                    shared.history().lose_request(edge, &id, sent);
                }
                return;
            }
        }
    }
}

/// The index of a long wait or request, at times, or of a usual one.
fn length_index(random: &mut fastrand::Rng) -> usize {
    usize::from(random.usize(0..LONG_ONES) == 0)
}

/// Sends one request and reads its answer.
fn exchange(
    reader: &mut BufReader<&TcpStream>,
    id: &str,
    request: &Request,
    framing: Framing,
    work: u64,
) -> Exchange {
    let Request { method, path, body } = request;
    let (field, body) = frame(framing, body);
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: d.example\r\n{ID_HEADER}: {id}\r\nTime-Left-Ms: {TIME_LEFT_MS}\r\n\
         {WORK_HEADER}: {work}\r\n{field}\r\n"
    );
    if reader.get_mut().write_all(&[head.into_bytes(), body].concat()).is_err() {
        return Exchange::Closed;
    }
    read_answer(reader, id, request).unwrap_or(Exchange::Closed)
}

/// `None`: the connection ended first.
fn read_answer(reader: &mut BufReader<&TcpStream>, id: &str, request: &Request) -> Option<Exchange> {
    let head = read_head(reader)?;
    let body = if request.method == "HEAD" { Vec::new() } else { read_body(reader, &head)? };
    // An answer of the edge's own bears no id.
    if header(&head, ID_HEADER).is_some_and(|other| other != id) {
        return Some(Exchange::Foreign);
    }
    let is_success = head.first().is_some_and(|line| line.starts_with("HTTP/1.1 2"));
    let is_whole = request.method == "HEAD" || body == request.body;
    if is_success && !(is_whole && header(&head, "Server-Seal").is_some()) {
        return Some(Exchange::Mixed);
    }
    Some(Exchange::Answered { closes: header(&head, "Connection") == Some("close") })
}
