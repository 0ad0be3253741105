//! A host of one service tells the longest possible idle time; requests at sound hosts of another service are under way.
use crate::client::{get, is_ready, next_try_id};
use crate::host::{AdminList, Host, HostSettings, Runs};
use crate::http::{request, Connection};
use crate::operator::{configuration, put};
use crate::run::{could_not_run, wait_until, Outcome, Process, Record, Site, CLIENT_PORT, READINESS_PORT};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const CLIENTS: usize = 6;
/// LOST: more than this many requests of kept connections without an answer.
const ALLOWED: usize = 3;
/// How long the sound hosts work on a request.
const WORK: Duration = Duration::from_millis(2500);

/// Two requests on a kept connection; what became of the second one.
fn client(edge: SocketAddr) -> io::Result<(String, Result<u16, String>)> {
    let mut connection = Connection::open(edge, Duration::from_secs(1))?;
    let mut ask = |path: &str| {
        let try_id = next_try_id();
        let headers = [("Host", "shop.example"), ("Try-Id", try_id.as_str()), ("Time-Left-Ms", "10000")];
        let sent = connection.stream.write_all(&request("POST", path, &headers, b"x"));
        (try_id, sent.and_then(|()| connection.read(Instant::now() + Duration::from_secs(10))))
    };
    let (_, first) = ask("/ledger/first");
    if first?.status() != 200 {
        return Err(io::Error::other("the first request of the connection is not served"));
    }
    let (try_id, second) = ask("/ledger/second");
    Ok((try_id, second.map(|answer| answer.status()).map_err(|error| error.to_string())))
}

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let site = Site::create();
    let runs: Runs = Runs::default();
    let admins: AdminList = Arc::new(Mutex::new((1..=2).map(|host| site.admin(host)).collect()));
    let mut nodes: Vec<Process> =
        vec![site.node(1, "north", true, &[1, 2]), site.node(2, "south", true, &[1, 2])];
    let mut edge = site.edge(11, "north", &[1, 2]);
    nodes.iter_mut().for_each(|process| process.start(record));
    edge.start(record);
    let host = |number: u8, service: &str, work: Duration, keep_alive: u64| {
        let settings = HostSettings {
            id: format!("i-{number}"),
            service: service.into(),
            zone: "north".into(),
            address: site.address(20 + number, 9001),
            work,
            heartbeat: Duration::from_millis(500),
            answer_bytes: 0,
            early: None,
            keep_alive,
        };
        Host::start(settings, admins.clone(), runs.clone(), record.clone())
    };
    let keep_alive = if trouble { u64::MAX } else { 8 };
    let hosts = [host(1, "ledger", WORK, 8), host(2, "ledger", WORK, 8), host(3, "shelf", Duration::from_millis(20), keep_alive)];
    if hosts.iter().any(Option::is_none) {
        return could_not_run(record, "a host can't listen");
    }
    let routes = [("shelf", "/shelf/", "repeatable", "shelf"), ("ledger", "/ledger/", "single_shot", "ledger")];
    if put(&configuration(1, &routes, &["shelf", "ledger"]), &admins, Duration::from_secs(10), record).is_none() {
        return could_not_run(record, "r1 is not acknowledged");
    }
    if !wait_until(Duration::from_secs(10), || is_ready(site.address(11, READINESS_PORT))) {
        return could_not_run(record, "the edge is not ready");
    }
    // Calm time: `inContact` since the last start.
    std::thread::sleep(Duration::from_millis(3500));
    let address = site.address(11, CLIENT_PORT);
    let clients: Vec<_> = (0..CLIENTS).map(|_| std::thread::spawn(move || client(address))).collect();
    // The second requests are under way.
    std::thread::sleep(WORK + Duration::from_millis(500));
    let seen = get(address, "shop.example", "/shelf/1", Duration::from_secs(5));
    record.line(format!("a request for the shelf, whose host tells Keep-Alive: timeout={keep_alive}, is answered {}", seen.status()));
    let (mut lost, mut begun) = (0, 0);
    for (number, client) in clients.into_iter().enumerate() {
        match client.join().unwrap_or_else(|_| Err(io::Error::other("a panic"))) {
            Ok((try_id, answer)) => {
                begun += 1;
                lost += usize::from(answer.is_err());
                let ran = runs.lock().unwrap_or_else(|e| e.into_inner()).iter().any(|run| run.try_id == try_id);
                let ran = if ran { "it ran at a sound host" } else { "it did not run" };
                record.line(format!("client {number}: {try_id} on a kept connection: {answer:?}; {ran}"));
            }
            Err(error) => record.line(format!("client {number}: {error}")),
        }
    }
    std::thread::sleep(Duration::from_millis(700));
    let ended = edge.end_status();
    record.line(format!("the edge's process: {}", ended.as_deref().unwrap_or("runs")));
    if let Some(line) = edge.log_text().lines().find(|line| line.contains("panicked")) {
        record.line(format!("log of the edge: {}", line.split(" at ").next().unwrap_or(line)));
    }
    if begun < CLIENTS {
        return could_not_run(record, "a client could not begin");
    }
    if lost > ALLOWED {
        record.line(format!("LOST is broken: {lost} requests of kept connections have no answer; {ALLOWED} are allowed"));
        return Outcome::Broken;
    }
    record.line(format!("LOST holds: {lost} requests of kept connections have no answer"));
    Outcome::Held
}
