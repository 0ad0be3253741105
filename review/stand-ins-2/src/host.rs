//! A stand-in host: it sends beats, serves requests on kept connections, and notes what arrived and what ran.
use crate::http::{admin_call, Connection, Message};
use crate::run::Record;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// A request that a host ran.
#[derive(Debug, Clone)]
pub struct Run {
    pub host: String,
    pub try_id: String,
    /// The body as far as the host has read it.
    pub body: Vec<u8>,
    /// How the reading of the body ended, if it did not end well.
    pub broken_off: Option<String>,
}

/// All runs at all hosts.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// Where hosts and operators find the control side: the platform's list.
pub type AdminList = Arc<Mutex<Vec<SocketAddr>>>;

pub struct Host {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Drop for Host {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

pub struct HostSettings {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub work: Duration,
    pub heartbeat: Duration,
    /// The bytes of an answer's body.
    pub answer_bytes: usize,
    /// Requests with this beginning of the path are answered before their body is read; the host reads on later.
    pub early: Option<&'static str>,
    /// The idle time in seconds that `Keep-Alive` tells.
    pub keep_alive: u64,
}

impl Host {
    pub fn start(settings: HostSettings, admins: AdminList, runs: Runs, record: Record) -> Option<Host> {
        let listener = TcpListener::bind(settings.address).ok()?;
        listener.set_nonblocking(true).ok()?;
        let stop = Arc::new(AtomicBool::new(false));
        let settings = Arc::new(settings);
        let serving = {
            let (stop, settings, runs) = (stop.clone(), settings.clone(), runs.clone());
            std::thread::spawn(move || serve(&listener, &settings, &runs, &stop))
        };
        let beating = {
            let (stop, settings) = (stop.clone(), settings.clone());
            std::thread::spawn(move || beat(&settings, &admins, &record, &stop))
        };
        Some(Host { stop, threads: vec![serving, beating] })
    }
}

fn serve(listener: &TcpListener, settings: &Arc<HostSettings>, runs: &Runs, stop: &Arc<AtomicBool>) {
    while !stop.load(Ordering::Relaxed) {
        let Ok((stream, _)) = listener.accept() else {
            std::thread::sleep(Duration::from_millis(2));
            continue;
        };
        let _ = stream.set_nonblocking(false);
        let (settings, runs, stop) = (settings.clone(), runs.clone(), stop.clone());
        std::thread::spawn(move || serve_connection(Connection::new(stream), &settings, &runs, &stop));
    }
}

fn serve_connection(mut connection: Connection, settings: &HostSettings, runs: &Runs, stop: &AtomicBool) {
    while !stop.load(Ordering::Relaxed) {
        let Ok(mut request) = connection.read_head(Instant::now() + Duration::from_secs(8)) else { return };
        if let Some(answer) = turned_away(&request, settings) {
            let read = connection.read_body(&mut request, Instant::now() + Duration::from_secs(8));
            if read.is_err() || connection.stream.write_all(&answer).is_err() {
                return;
            }
            continue;
        }
        let early = settings.early.is_some_and(|start| request.path().starts_with(start));
        if early && connection.stream.write_all(&success(&request, settings)).is_err() {
            return;
        }
        let read = connection.read_body(&mut request, Instant::now() + Duration::from_secs(20));
        if read.is_err() && !early {
            // A request that breaks off has not run.
            return;
        }
        runs.lock().unwrap_or_else(|e| e.into_inner()).push(Run {
            host: settings.id.clone(),
            try_id: request.header("Try-Id").unwrap_or("").to_string(),
            body: request.body.clone(),
            broken_off: read.as_ref().err().map(|error| error.to_string()),
        });
        if read.is_err() {
            return;
        }
        if !early {
            std::thread::sleep(settings.work);
            if connection.stream.write_all(&success(&request, settings)).is_err() {
                return;
            }
        }
    }
}

/// The answer to a health check, or to a request that is not run.
fn turned_away(request: &Message, settings: &HostSettings) -> Option<Vec<u8>> {
    let try_id = request.header("Try-Id").unwrap_or("").to_string();
    let not_run = |status: &str| {
        format!("HTTP/1.1 {status}\r\nTry-Id: {try_id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
            .into_bytes()
    };
    if request.path() == "/wellness" {
        let answer = format!("HTTP/1.1 200 OK\r\nServer-Id: {}\r\nContent-Length: 0\r\n\r\n", settings.id);
        return Some(answer.into_bytes());
    }
    if try_id.is_empty() {
        return Some(not_run("400 Bad Request"));
    }
    if request.header("Wanted-Server").is_some_and(|id| id != settings.id) {
        return Some(not_run("421 Misdirected Request"));
    }
    None
}

/// The answer to a request that runs.
fn success(request: &Message, settings: &HostSettings) -> Vec<u8> {
    let try_id = request.header("Try-Id").unwrap_or("");
    let text = format!("{} by {}\n", request.path(), settings.id).into_bytes();
    let body: Vec<u8> = text.iter().copied().cycle().take(settings.answer_bytes.max(text.len())).collect();
    let head = format!(
        "HTTP/1.1 200 OK\r\nTry-Id: {try_id}\r\nServer-Seal: {}.{try_id}\r\nKeep-Alive: timeout={}\r\nContent-Length: {}\r\n\r\n",
        settings.id,
        settings.keep_alive,
        body.len()
    );
    let mut answer = head.into_bytes();
    answer.extend_from_slice(&body);
    answer
}

/// Sends a beat each interval to the director that answered last, and to the next one after a failure.
fn beat(settings: &HostSettings, admins: &AdminList, record: &Record, stop: &AtomicBool) {
    static TURN: AtomicU64 = AtomicU64::new(0);
    let mut turn = TURN.fetch_add(1, Ordering::Relaxed) as usize;
    let (mut target, mut acknowledged, mut count): (Option<SocketAddr>, bool, u64) = (None, false, 0);
    while !stop.load(Ordering::Relaxed) {
        let began = Instant::now();
        let list = admins.lock().unwrap_or_else(|e| e.into_inner()).clone();
        if list.is_empty() {
            std::thread::sleep(Duration::from_millis(20));
            continue;
        }
        let address = target.unwrap_or_else(|| list[turn % list.len()]);
        count += 1;
        let body = format!(
            r#"{{"backend":"{}","address":"{}","area":"{}","revision":"v1","capacity":4,"stage":"ready","warmLeft":"0ms","callCount":{count}}}"#,
            settings.service, settings.address, settings.zone
        );
        let path = format!("/servers/{}/pulse", settings.id);
        let answer = admin_call(address, "POST", &path, body.as_bytes(), Duration::from_secs(1));
        let ok = matches!(&answer, Ok(answer) if (200..300).contains(&answer.status()));
        if ok {
            let text = answer.map(|answer| answer.text()).unwrap_or_default();
            target = report_to(&text).or(Some(address));
        } else {
            target = None;
            turn += 1;
        }
        if ok != acknowledged {
            let word = if ok { "acknowledged" } else { "not acknowledged" };
            record.line(format!("host {} of {}: beat {count} is {word}", settings.id, settings.service));
            acknowledged = ok;
        }
        let pause = if ok { settings.heartbeat } else { Duration::from_millis(100) };
        while began.elapsed() < pause && !stop.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

fn report_to(body: &str) -> Option<SocketAddr> {
    let rest = &body[body.find("\"reportTo\"")? + "\"reportTo\"".len()..];
    rest.split('"').nth(1)?.parse().ok()
}
