//! A director's binary among the world's surroundings, in real time on loopback: a relay, a list, collectors and hosts on
//! sockets of their own, which say what the world says. Each director has a `Live`; the world's one thread plays on, and
//! what a director orders or probes comes back over a channel.

use crate::platform::{Places, Platform, Standing};
use coppersail::interface::*;
use std::collections::{BTreeMap, VecDeque};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// The relay's signs of life come so often.
const LIFE: Duration = Duration::from_millis(900);
/// Listeners are asked for new connections so often: far below a probe's time.
const PAUSE: Duration = Duration::from_millis(2);
/// A peer that takes nothing for so long is given up, so that it holds up nobody else.
const STALL: Duration = Duration::from_millis(500);

struct Shared {
    platform: Platform,
    standing: Standing,
    version: u64,
    list: BTreeMap<HostId, Listing>,
    addresses: BTreeMap<HostId, SocketAddr>,
    news: Vec<TcpStream>,
    watches: Vec<TcpStream>,
    /// Who waits for a host's answer.
    probes: BTreeMap<HostId, VecDeque<TcpStream>>,
    /// Every relay connection, to be broken when the store goes.
    links: Vec<TcpStream>,
    down: bool,
    orders: Sender<Vec<Order>>,
}

pub struct Live {
    shared: Arc<Mutex<Shared>>,
    over: Arc<AtomicBool>,
    orders: Receiver<Vec<Order>>,
    child: Child,
    listen: SocketAddr,
    collectors: BTreeMap<ZoneId, TcpStream>,
    folder: PathBuf,
}

fn lock(shared: &Mutex<Shared>) -> MutexGuard<'_, Shared> {
    shared.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// A director's binary that cannot be started, or does not answer.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// No port on loopback.
    #[error("listen: {0}")]
    Listen(#[source] std::io::Error),
    /// The configuration cannot be written.
    #[error("{}: {source}", folder.display())]
    Folder {
        /// The folder of the configuration and the log.
        folder: PathBuf,
        /// Why not.
        source: std::io::Error,
    },
    /// The binary cannot be run.
    #[error("{}: {source}", program.display())]
    Spawn {
        /// The binary's path.
        program: PathBuf,
        /// Why not.
        source: std::io::Error,
    },
    /// The director listened on its port at no time in the first seconds.
    #[error("{}: it takes no connection", program.display())]
    NoConnection {
        /// The binary's path.
        program: PathBuf,
    },
}

fn listener() -> Result<(TcpListener, SocketAddr), StartError> {
    let bound = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).map_err(StartError::Listen)?;
    bound.set_nonblocking(true).map_err(StartError::Listen)?;
    let at = bound.local_addr().map_err(StartError::Listen)?;
    Ok((bound, at))
}

/// Takes connections until all is over, each on a thread of its own.
fn serve(
    listener: TcpListener,
    shared: &Arc<Mutex<Shared>>,
    over: &Arc<AtomicBool>,
    talk: impl Fn(TcpStream, &Arc<Mutex<Shared>>) + Clone + Send + 'static,
) {
    let (shared, over) = (shared.clone(), over.clone());
    std::thread::spawn(move || {
        while !over.load(Ordering::Relaxed) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_write_timeout(Some(STALL));
                    let _ = stream.set_nodelay(true);
                    let (shared, talk) = (shared.clone(), talk.clone());
                    std::thread::spawn(move || talk(stream, &shared));
                }
                Err(wrong) if wrong.kind() == ErrorKind::WouldBlock => std::thread::sleep(PAUSE),
                Err(_) => return,
            }
        }
    });
}

fn relay(mut stream: TcpStream, shared: &Arc<Mutex<Shared>>) {
    let Ok(reading) = stream.try_clone() else { return };
    {
        let mut shared = lock(shared);
        if shared.down {
            return;
        }
        shared.links.extend(stream.try_clone());
    }
    for line in BufReader::new(reading).lines().map_while(Result::ok) {
        let mut shared = lock(shared);
        if shared.down {
            return;
        }
        if line.trim() == "follow" {
            let text = shared.standing.lines(&shared.platform).join("\r\n") + "\r\n";
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
            shared.news.extend(stream.try_clone());
            continue;
        }
        let answer = match shared.platform.orders(line.trim()) {
            Ok(orders) => {
                let answer = format!("OK {}\r\n", orders.len());
                shared.standing.carry_out(&orders);
                let _ = shared.orders.send(orders);
                answer
            }
            Err(_) => "ValidationError\r\n".to_string(),
        };
        drop(shared);
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// The head of a request, read to its empty line.
fn head(stream: &TcpStream) -> bool {
    let Ok(reading) = stream.try_clone() else { return false };
    // No head is longer than this.
    let lines = BufReader::new(reading.take(4096)).lines();
    lines.map_while(Result::ok).any(|line| line.is_empty())
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn watch(mut stream: TcpStream, shared: &Arc<Mutex<Shared>>) {
    if !head(&stream) {
        return;
    }
    let mut shared = lock(shared);
    let entries: Vec<Listing> = shared.list.values().cloned().collect();
    let list = shared.platform.list(shared.version, true, &entries, &|host| shared.addresses[&host]);
    let begin = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n";
    let text = format!("{begin}{}", chunk(&(list + "\n")));
    if stream.write_all(text.as_bytes()).is_ok() {
        shared.watches.push(stream);
    }
}

impl Live {
    /// Starts the binary with the list and the tables as the first inputs tell them.
    ///
    /// # Errors
    /// [`StartError`]; a process that was started is ended.
    pub fn start(
        program: &Path,
        platform: Platform,
        seed: u64,
        inputs: &[Input],
    ) -> Result<Live, StartError> {
        let (sender, orders) = channel();
        let over = Arc::new(AtomicBool::new(false));
        let (relay_socket, relay_at) = listener()?;
        let (discovery_socket, discovery) = listener()?;
        // Free a moment ago; the director takes it next.
        let (_, listen) = listener()?;
        let zones = platform.settings.zones.len();
        let mut shared = Shared {
            platform,
            standing: Standing::default(),
            version: 0,
            list: BTreeMap::new(),
            addresses: BTreeMap::new(),
            news: vec![],
            watches: vec![],
            probes: BTreeMap::new(),
            links: vec![],
            down: false,
            orders: sender,
        };
        let mut hosts = Vec::new();
        for input in inputs {
            shared.standing.hear(input);
            if let Input::Hosts { version, entries, .. } = input {
                shared.version = *version;
                for entry in entries {
                    let (socket, at) = listener()?;
                    shared.addresses.insert(entry.host, at);
                    shared.list.insert(entry.host, entry.clone());
                    hosts.push((entry.host, socket));
                }
            }
        }
        let entries: Vec<Listing> = shared.list.values().cloned().collect();
        let known = shared.platform.list(shared.version, true, &entries, &|host| shared.addresses[&host]);
        let places = Places { listen, discovery, relay: relay_at };
        let config = shared.platform.config("lab", seed, &places, &known);
        static FOLDERS: AtomicU64 = AtomicU64::new(0);
        let number = FOLDERS.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("coppersail-live-{}-{number}", std::process::id()));
        let file = folder.join("config.json");
        let kept = std::fs::create_dir_all(&folder).and_then(|()| std::fs::write(&file, config));
        kept.map_err(|source| StartError::Folder { folder: folder.clone(), source })?;
        let shared = Arc::new(Mutex::new(shared));
        serve(relay_socket, &shared, &over, relay);
        serve(discovery_socket, &shared, &over, watch);
        for (host, socket) in hosts {
            serve(socket, &shared, &over, move |stream, shared| {
                if head(&stream) {
                    let mut shared = lock(shared);
                    shared.probes.entry(host).or_default().push_back(stream);
                    let _ = shared.orders.send(vec![Order::Probe(host)]);
                }
            });
        }
        let (alive, beating) = (shared.clone(), over.clone());
        std::thread::spawn(move || {
            while !beating.load(Ordering::Relaxed) {
                std::thread::sleep(LIFE);
                lock(&alive).tell("*");
            }
        });
        let log = std::fs::File::create(folder.join("log")).map_or(Stdio::null(), Stdio::from);
        let mut command = Command::new(program);
        command.env("EDGE_CONFIG", &file).env_remove("EDGE_OPERATOR").stderr(log).stdin(Stdio::null());
        let child =
            command.spawn().map_err(|source| StartError::Spawn { program: program.to_path_buf(), source })?;
        let mut live = Live { shared, over, orders, child, listen, collectors: BTreeMap::new(), folder };
        // It listens at once; a start takes some hundredths of a second on a busy machine.
        for _ in 0..500 {
            (0..zones as u16).for_each(|zone| live.join(ZoneId(zone)));
            if live.collectors.len() == zones {
                return Ok(live);
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Err(StartError::NoConnection { program: program.to_path_buf() })
    }

    fn join(&mut self, zone: ZoneId) {
        if self.collectors.contains_key(&zone) {
            return;
        }
        let Ok(mut stream) = TcpStream::connect_timeout(&self.listen, Duration::from_millis(100)) else {
            return;
        };
        let _ = stream.set_write_timeout(Some(STALL));
        let hello = lock(&self.shared).platform.joining(zone);
        if stream.write_all(hello.as_bytes()).is_ok() {
            self.collectors.insert(zone, stream);
        }
    }

    /// What came for the director goes out to it.
    pub fn hear(&mut self, inputs: &[Input], down: bool) {
        let mut lines: BTreeMap<ZoneId, String> = BTreeMap::new();
        let mut shared = lock(&self.shared);
        shared.relay(down);
        for input in inputs {
            shared.hear(input);
            if let Some((zone, line)) = shared.platform.collected(input) {
                *lines.entry(zone).or_default() += &line;
            }
        }
        drop(shared);
        for (zone, text) in lines {
            self.join(zone);
            let sent = self.collectors.get_mut(&zone).map(|stream| stream.write_all(text.as_bytes()));
            // Closed by the director, or stalled: it joins again with the next report.
            if !matches!(sent, Some(Ok(()))) {
                self.collectors.remove(&zone);
            }
        }
    }

    /// What it has ordered since, without waiting.
    pub fn ordered(&self) -> Vec<Order> {
        self.orders.try_iter().flatten().collect()
    }

    /// Ends it as a crash would.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.collectors.clear();
    }

    /// What it says on standard error.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }
}

/// The one place where what a `Live` holds is given back.
impl Drop for Live {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        self.kill();
        let mut shared = lock(&self.shared);
        let streams = shared.links.drain(..).collect::<Vec<_>>();
        streams.iter().for_each(|stream| drop(stream.shutdown(std::net::Shutdown::Both)));
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Shared {
    fn tell(&mut self, line: &str) {
        let text = format!("{line}\r\n");
        self.news.retain_mut(|stream| stream.write_all(text.as_bytes()).is_ok());
    }

    fn relay(&mut self, down: bool) {
        self.down = down;
        if down {
            self.news.clear();
            self.links.drain(..).for_each(|stream| drop(stream.shutdown(std::net::Shutdown::Both)));
        }
    }

    fn hear(&mut self, input: &Input) {
        self.standing.hear(input);
        if let Some(line) = self.platform.news(input) {
            self.tell(&line);
        }
        match input {
            Input::Hosts { version, entries, .. } => {
                self.version = *version;
                self.list.extend(entries.iter().map(|entry| (entry.host, entry.clone())));
                let list = self.platform.list(*version, false, entries, &|host| self.addresses[&host]);
                let text = chunk(&(list + "\n"));
                self.watches.retain_mut(|stream| stream.write_all(text.as_bytes()).is_ok());
            }
            Input::Probed { host, outcome, load, .. } => {
                let Some(mut stream) = self.probes.get_mut(host).and_then(VecDeque::pop_front) else {
                    return;
                };
                let body = Platform::load_text(load);
                let status = match outcome {
                    Outcome::Answered => "200 OK",
                    Outcome::Throttled => "503 Service Unavailable",
                    // It is held open: the director's own time for a probe runs out.
                    Outcome::TimedOut => {
                        self.probes.entry(*host).or_default();
                        std::thread::spawn(move || {
                            std::thread::sleep(Duration::from_secs(3));
                            drop(stream);
                        });
                        return;
                    }
                    // A refused connection cannot be made after it was taken; one that breaks comes nearest.
                    _ => return,
                };
                let length = body.len();
                let text = format!(
                    "HTTP/1.1 {status}\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}"
                );
                let _ = stream.write_all(text.as_bytes());
            }
            _ => {}
        }
    }
}
