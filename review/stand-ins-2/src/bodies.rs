//! Long request bodies: hosts that answer before they have read them, and bodies in chunks.
use crate::client::{get, is_ready, next_try_id};
use crate::host::{AdminList, Host, HostSettings, Runs};
use crate::http::{request, Connection};
use crate::operator::{configuration, put};
use crate::run::{could_not_run, wait_until, Outcome, Process, Record, Site, CLIENT_PORT, READINESS_PORT};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Two nodes, an edge and a host, with one configuration.
struct Small {
    edge: SocketAddr,
    runs: Runs,
    _processes: Vec<Process>,
    _host: Host,
    _site: Site,
}

fn start(
    record: &Record,
    sort: &str,
    answer_bytes: usize,
    early: Option<&'static str>,
) -> Result<Small, Outcome> {
    let site = Site::create();
    let runs: Runs = Runs::default();
    let admins: AdminList = Arc::new(Mutex::new((1..=2).map(|host| site.admin(host)).collect()));
    let mut processes = vec![
        site.node(1, "north", true, &[1, 2]),
        site.node(2, "south", true, &[1, 2]),
        site.edge(11, "north", &[1, 2]),
    ];
    processes.iter_mut().for_each(|process| process.start(record));
    let settings = HostSettings {
        id: "i-1".into(),
        service: "shelf".into(),
        zone: "north".into(),
        address: site.address(21, 9001),
        work: Duration::from_millis(20),
        heartbeat: Duration::from_millis(500),
        answer_bytes,
        early,
        keep_alive: 8,
    };
    let Some(host) = Host::start(settings, admins.clone(), runs.clone(), record.clone()) else {
        return Err(could_not_run(record, "the host can't listen"));
    };
    let routes = [("shelf", "/shelf/", sort, "shelf")];
    if put(&configuration(1, &routes, &["shelf"], &[]), &admins, Duration::from_secs(10), record).is_none() {
        return Err(could_not_run(record, "r1 is not acknowledged"));
    }
    let ready = site.address(11, READINESS_PORT);
    if !wait_until(Duration::from_secs(10), || is_ready(ready)) {
        return Err(could_not_run(record, "the edge is not ready"));
    }
    // Calm time: `inContact` since the last start.
    std::thread::sleep(Duration::from_millis(3500));
    let edge = site.address(11, CLIENT_PORT);
    if get(edge, "shop.example", "/shelf/calm", Duration::from_secs(5)).status() != 200 {
        return Err(could_not_run(record, "no request is served"));
    }
    Ok(Small { edge, runs, _processes: processes, _host: host, _site: site })
}

/// The bytes of an upload, its pieces and the pause between two of them: some six seconds in all.
const UPLOAD: usize = 600_000;
const PIECE: usize = 10_000;
const PAUSE: Duration = Duration::from_millis(100);
const UPLOADS: usize = 6;
/// LOST: more than this many requests of kept connections without an answer.
const ALLOWED: usize = 3;

/// What a client saw of an upload on a kept connection.
struct Upload {
    try_id: String,
    sent: usize,
    failure: Option<String>,
    complete: bool,
    seen: String,
}

fn upload(edge: SocketAddr, number: usize) -> io::Result<Upload> {
    let mut connection = Connection::open(edge, Duration::from_secs(1))?;
    let first = next_try_id();
    let headers = [("Host", "shop.example"), ("Try-Id", first.as_str()), ("Time-Left-Ms", "5000")];
    connection.stream.write_all(&request("GET", "/shelf/first", &headers, b""))?;
    let answer = connection.read(Instant::now() + Duration::from_secs(5))?;
    if answer.status() != 200 {
        return Err(io::Error::other(format!(
            "the first request of the connection gets {}",
            answer.status()
        )));
    }
    let try_id = next_try_id();
    let head = format!(
        "POST /shelf/upload/{number} HTTP/1.1\r\nHost: shop.example\r\nTry-Id: {try_id}\r\nTime-Left-Ms: 18000\r\nContent-Length: {UPLOAD}\r\n\r\n"
    );
    connection.stream.write_all(head.as_bytes())?;
    let (mut sent, mut failure) = (0, None);
    while sent < UPLOAD && failure.is_none() {
        match connection.stream.write_all(&[b'z'; PIECE]) {
            Ok(()) => sent += PIECE,
            Err(error) => failure = Some(error.to_string()),
        }
        std::thread::sleep(PAUSE);
    }
    // The answer is read once the request is sent, as by most simple clients; after a failure too.
    let deadline = Instant::now() + Duration::from_secs(6);
    let (complete, seen) = match connection.read_head(deadline) {
        Err(error) => (false, format!("no answer: {error}")),
        Ok(mut answer) => match connection.read_body(&mut answer, deadline) {
            Ok(()) => {
                (answer.status() == 200, format!("{} with {} bytes", answer.first_line, answer.body.len()))
            }
            Err(error) => {
                let length = answer.header("Content-Length").unwrap_or("?").to_string();
                (
                    false,
                    format!("{}, then {} of {length} bytes: {error}", answer.first_line, answer.body.len()),
                )
            }
        },
    };
    Ok(Upload { try_id, sent, failure, complete, seen })
}

/// LOST: a sound host answers a long upload before it has read it whole, and reads on.
pub fn early(record: &Record, trouble: bool) -> Outcome {
    let early = trouble.then_some("/shelf/upload/");
    let small = match start(record, "single_shot", 250_000, early) {
        Ok(small) => small,
        Err(outcome) => return outcome,
    };
    let clients: Vec<_> = (0..UPLOADS)
        .map(|number| {
            let edge = small.edge;
            std::thread::spawn(move || upload(edge, number))
        })
        .collect();
    let (mut lost, mut seen) = (0, 0);
    let uploads: Vec<io::Result<Upload>> = clients
        .into_iter()
        .map(|client| client.join().unwrap_or_else(|_| Err(io::Error::other("a panic"))))
        .collect();
    std::thread::sleep(Duration::from_millis(500));
    let runs = small.runs.lock().unwrap_or_else(|e| e.into_inner()).clone();
    for (number, upload) in uploads.iter().enumerate() {
        let Ok(upload) = upload else {
            record.line(format!(
                "client {number}: {}",
                upload.as_ref().err().map(|e| e.to_string()).unwrap_or_default()
            ));
            continue;
        };
        seen += 1;
        let run = runs.iter().find(|run| run.try_id == upload.try_id);
        let ran = run.map_or("never reached the host".to_string(), |run| {
            let end = run.broken_off.clone().map_or("whole".into(), |why| format!("cut off ({why})"));
            format!("ran at {}, which read {} bytes of its body, {end}", run.host, run.body.len())
        });
        record.line(format!(
            "client {number}: {} sent {} of {UPLOAD} bytes{}; saw: {}; {ran}",
            upload.try_id,
            upload.sent,
            upload.failure.as_ref().map(|why| format!(" ({why})")).unwrap_or_default(),
            upload.seen
        ));
        lost += usize::from(run.is_some() && !upload.complete);
    }
    if seen < UPLOADS {
        return could_not_run(record, "a client could not begin");
    }
    if lost > ALLOWED {
        record.line(format!("LOST is broken: {lost} requests of kept connections have no complete answer; {ALLOWED} are allowed"));
        return Outcome::Broken;
    }
    record.line(format!("LOST holds: {lost} requests of kept connections have no complete answer"));
    Outcome::Held
}

/// UNASKED: a long body in chunks reaches the host as it was sent.
pub fn chunked(record: &Record, trouble: bool) -> Outcome {
    let small = match start(record, "repeatable", 0, None) {
        Ok(small) => small,
        Err(outcome) => return outcome,
    };
    let mut changed = 0;
    for (number, method, length) in
        [(0, "GET", 100_000), (1, "POST", 300_000), (2, "GET", 300_000), (3, "GET", 1_000_000)]
    {
        let body: Vec<u8> = (0..length).map(|index| b'a' + (index % 23) as u8).collect();
        let try_id = next_try_id();
        let framing = if trouble {
            "Transfer-Encoding: chunked".to_string()
        } else {
            format!("Content-Length: {length}")
        };
        let mut bytes = format!(
            "{method} /shelf/search/{number} HTTP/1.1\r\nHost: shop.example\r\nTry-Id: {try_id}\r\nTime-Left-Ms: 8000\r\n{framing}\r\n\r\n"
        )
        .into_bytes();
        if trouble {
            for chunk in body.chunks(16_000) {
                bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
                bytes.extend_from_slice(chunk);
                bytes.extend_from_slice(b"\r\n");
            }
            bytes.extend_from_slice(b"0\r\n\r\n");
        } else {
            bytes.extend_from_slice(&body);
        }
        let answer = Connection::open(small.edge, Duration::from_secs(1)).and_then(|mut connection| {
            connection.stream.write_all(&bytes)?;
            connection.read(Instant::now() + Duration::from_secs(8))
        });
        let status = answer.map(|answer| answer.status()).unwrap_or(0);
        let runs = small.runs.lock().unwrap_or_else(|e| e.into_inner()).clone();
        let run = runs.iter().find(|run| run.try_id == try_id);
        let same = run.is_none_or(|run| run.body == body);
        changed += u32::from(!same);
        record.line(format!(
            "{try_id}: {method} with a body of {length} bytes ({framing}) is answered {status}; {}",
            run.map_or("it did not run".to_string(), |run| format!(
                "{} ran it with a body of {} bytes",
                run.host,
                run.body.len()
            ))
        ));
        if run.is_none() {
            return could_not_run(record, "a request did not run");
        }
    }
    if changed > 0 {
        record.line(format!("UNASKED is broken: {changed} requests ran with another body than was sent"));
        return Outcome::Broken;
    }
    record.line("UNASKED holds: every request ran with the body that was sent");
    Outcome::Held
}
