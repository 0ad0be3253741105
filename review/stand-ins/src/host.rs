//! A sound host: it beats, serves requests, and leaves as the pages say.
use crate::http::{call_admin, Connection, Message};
use crate::leases::Leases;
use crate::record::Record;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long an idle connection is kept; told in `Keep-Alive`.
const KEEP_ALIVE: Duration = Duration::from_secs(10);
/// How long a call to a director may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// A request that reached the host.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: f64,
    pub id: String,
    pub ran: bool,
}

pub struct HostSettings {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    /// The service is divided by key.
    pub split: bool,
    pub capacity: u32,
    pub heartbeat: Duration,
    pub work: Duration,
    pub directors: Vec<SocketAddr>,
}

pub struct Host {
    pub settings: HostSettings,
    pub record: Record,
    pub arrivals: Mutex<Vec<Arrival>>,
    /// It sends no more beats.
    silent: AtomicBool,
    /// It has said that it leaves; its answers close their connections.
    leaving: AtomicBool,
    /// It has ended.
    ended: AtomicBool,
    /// Its link to the directors is cut.
    cut_from_directors: AtomicBool,
    /// Calls over that link are refused at once while it is cut; else they get no answer.
    refused: AtomicBool,
    /// Its link to the edges is cut: connections to it are refused, and those that were open are closed.
    cut_from_edges: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    leases: Mutex<Leases>,
    beats: AtomicU64,
    /// The time of the last acknowledged beat.
    last_acknowledged: Mutex<Option<Instant>>,
    director: Mutex<SocketAddr>,
}

impl Host {
    pub fn start(settings: HostSettings, record: &Record) -> std::io::Result<Arc<Host>> {
        // Fails early if the address is in use.
        drop(TcpListener::bind(settings.address)?);
        let director = settings.directors[0];
        let host = Arc::new(Host {
            settings,
            record: record.clone(),
            arrivals: Mutex::default(),
            silent: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            cut_from_directors: AtomicBool::new(false),
            refused: AtomicBool::new(false),
            cut_from_edges: AtomicBool::new(false),
            connections: Mutex::default(),
            leases: Mutex::new(Leases::new()),
            beats: AtomicU64::new(0),
            last_acknowledged: Mutex::new(None),
            director: Mutex::new(director),
        });
        let serving = host.clone();
        thread::spawn(move || serving.listen());
        let beating = host.clone();
        thread::spawn(move || beating.beat());
        Ok(host)
    }

    pub fn last_acknowledged(&self) -> Option<Instant> {
        *self.last_acknowledged.lock().unwrap()
    }

    /// Cuts the host off from the directors, in silence, or joins it to them again.
    pub fn cut_from_directors(&self, cut: bool) {
        self.record.say(&format!("host {}: cut from the directors: {cut}", self.settings.id));
        self.cut_from_directors.store(cut, SeqCst);
    }

    /// Cuts the host off from all machines, where all is refused, or joins it to them again.
    pub fn cut_from_all(&self, cut: bool) {
        self.record.say(&format!("host {}: cut from all machines: {cut}", self.settings.id));
        self.refused.store(cut, SeqCst);
        self.cut_from_directors.store(cut, SeqCst);
        self.cut_from_edges.store(cut, SeqCst);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// How many keys it holds.
    pub fn keys_held(&self) -> usize {
        self.leases.lock().unwrap().count()
    }

    fn listen(self: Arc<Host>) {
        while !self.ended.load(SeqCst) {
            thread::sleep(Duration::from_millis(2));
            if self.cut_from_edges.load(SeqCst) {
                continue;
            }
            let Ok(listener) = TcpListener::bind(self.settings.address) else { continue };
            let _ = listener.set_nonblocking(true);
            while !self.ended.load(SeqCst) && !self.cut_from_edges.load(SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                self.connections.lock().unwrap().extend(stream.try_clone());
                let host = self.clone();
                thread::spawn(move || host.serve(Connection::new(stream)));
            }
        }
    }

    fn serve(&self, mut connection: Connection) {
        let _ = connection.stream.set_read_timeout(Some(KEEP_ALIVE));
        while let Ok(Some(request)) = connection.read() {
            if self.ended.load(SeqCst) {
                return;
            }
            let response = self.respond(&request);
            if connection.write(&response).is_err() || self.leaving.load(SeqCst) || request.closes() {
                return;
            }
        }
    }

    fn respond(&self, request: &Message) -> Vec<u8> {
        let own = &self.settings.id;
        let id = request.header("try-id").unwrap_or_default().to_string();
        let wanted = request.header("wanted-server").unwrap_or(own);
        let mut parts = request.first_line.split(' ');
        let (method, path) = (parts.next().unwrap_or_default(), parts.next().unwrap_or_default());
        let key = request
            .header("shard-key")
            .and_then(|text| text.parse::<usize>().ok())
            .filter(|_| self.settings.split);
        let is_check = method == "GET" && path == "/wellness";
        let rejected = match () {
            _ if is_check => None,
            _ if id.is_empty() => Some("400 Bad Request"),
            _ if wanted != own => Some("421 Misdirected Request"),
            _ if self.settings.split && !key.is_some_and(|key| self.leases.lock().unwrap().begin(key)) => {
                Some("421 Misdirected Request")
            }
            _ => None,
        };
        if !is_check {
            let at = self.record.line(&format!(
                "host {own} gets {id} ({method} {path}, key {key:?}, wanted {wanted}): {}",
                rejected.map_or("runs it".into(), |status| format!("{status}, not run"))
            ));
            self.arrivals.lock().unwrap().push(Arrival { at, id: id.clone(), ran: rejected.is_none() });
        }
        if rejected.is_none() && !is_check {
            thread::sleep(self.settings.work);
        }
        let held = match (rejected, key) {
            (None, Some(key)) if !is_check => self.leases.lock().unwrap().finish(key),
            _ => true,
        };
        let close = if self.leaving.load(SeqCst) { "close" } else { "keep-alive" };
        let keep = KEEP_ALIVE.as_secs();
        let common = format!(
            "Connection: {close}\r\nKeep-Alive: timeout={keep}\r\nTry-Id: {id}\r\nServer-Id: {own}\r\nServer-Load: 1,0,4\r\n"
        );
        match rejected {
            Some(status) => {
                format!("HTTP/1.1 {status}\r\n{common}Not-Run: 1\r\nContent-Length: 0\r\n\r\n").into_bytes()
            }
            None if !held => {
                format!("HTTP/1.1 500 Internal Server Error\r\n{common}Content-Length: 0\r\n\r\n")
                    .into_bytes()
            }
            None if is_check && self.leaving.load(SeqCst) => {
                format!("HTTP/1.1 503 Service Unavailable\r\n{common}Content-Length: 0\r\n\r\n").into_bytes()
            }
            None => {
                let body = format!("{id} from {own}");
                let length = body.len();
                format!("HTTP/1.1 200 OK\r\n{common}Server-Seal: seal.{id}\r\nContent-Length: {length}\r\n\r\n{body}")
                    .into_bytes()
            }
        }
    }

    /// Calls the directors in turn, with a pause that grows, until one acknowledges; `None` once `go_on`
    /// says so.
    fn call_until_acknowledged(
        &self,
        path: &str,
        body: impl Fn() -> String,
        go_on: impl Fn() -> bool,
    ) -> Option<Message> {
        let mut pause = Duration::from_millis(50);
        let mut turn = 0;
        while go_on() {
            let address = *self.director.lock().unwrap();
            let cut = || self.cut_from_directors.load(SeqCst);
            if cut() && !self.refused.load(SeqCst) {
                // The call gets no answer within its time.
                thread::sleep(CALL_TIMEOUT);
            }
            let calls = || match cut() {
                true => Err(std::io::ErrorKind::NotConnected.into()),
                false => call_admin(address, "POST", path, &body(), CALL_TIMEOUT),
            };
            match calls() {
                Ok(response) if response.status() / 100 == 2 && response.body.len() <= 4096 => {
                    return Some(response)
                }
                other => {
                    let found = other.map_or_else(|error| error.to_string(), |r| r.status().to_string());
                    self.record.line(&format!(
                        "host {} gets no ack at {address} for {path}: {found}",
                        self.settings.id
                    ));
                }
            }
            let directors = &self.settings.directors;
            let at = directors.iter().position(|known| *known == address).unwrap_or(0);
            *self.director.lock().unwrap() = directors[(at + 1) % directors.len()];
            turn += 1;
            if turn % directors.len() == 0 {
                thread::sleep(pause);
                pause = (pause * 2).min(Duration::from_millis(400));
            }
        }
        None
    }

    fn beat(&self) {
        let HostSettings { id, service, address, zone, heartbeat, split, capacity, .. } = &self.settings;
        while !self.silent.load(SeqCst) {
            let sent = Mutex::new(Instant::now());
            let body = || {
                *sent.lock().unwrap() = Instant::now();
                let keys = if *split { self.leases.lock().unwrap().report() } else { String::new() };
                let count = self.beats.fetch_add(1, SeqCst) + 1;
                format!(
                    r#"{{"backend":"{service}","address":"{address}","area":"{zone}","revision":"v1","capacity":{capacity},"stage":"ready","warmLeft":"0ms","callCount":{count}{keys}}}"#
                )
            };
            let path = format!("/servers/{id}/pulse");
            if let Some(response) = self.call_until_acknowledged(&path, body, || !self.silent.load(SeqCst)) {
                let text = response.text();
                self.record.line(&format!("host {id} beat acknowledged: {text}"));
                if *split {
                    self.leases.lock().unwrap().acknowledge(*sent.lock().unwrap(), &text);
                }
                *self.last_acknowledged.lock().unwrap() = Some(Instant::now());
                let report_to = text.split("\"reportTo\":\"").nth(1).and_then(|rest| rest.split('"').next());
                if let Some(address) = report_to.and_then(|text| text.parse().ok()) {
                    *self.director.lock().unwrap() = address;
                }
            }
            let sent = *sent.lock().unwrap();
            let due = || match *split && self.leases.lock().unwrap().must_release() {
                true => sent + Duration::from_millis(80),
                false => sent + *heartbeat,
            };
            while Instant::now() < due() && !self.silent.load(SeqCst) {
                thread::sleep(Duration::from_millis(5));
            }
        }
    }

    /// Ends the beats and signs off, without having said `emptying` before. Returns the time of the
    /// acknowledgement and the director that gave it.
    pub fn sign_off(&self, limit: Duration) -> Option<(f64, SocketAddr)> {
        self.silent.store(true, SeqCst);
        self.leaving.store(true, SeqCst);
        let until = Instant::now() + limit;
        let path = format!("/servers/{}/sign-off", self.settings.id);
        self.record.say(&format!("host {} begins to sign off", self.settings.id));
        self.call_until_acknowledged(&path, String::new, || Instant::now() < until)?;
        let address = *self.director.lock().unwrap();
        Some((
            self.record.say(&format!("host {} sign-off acknowledged by {address}", self.settings.id)),
            address,
        ))
    }

    pub fn end(&self) {
        self.silent.store(true, SeqCst);
        self.ended.store(true, SeqCst);
    }
}
