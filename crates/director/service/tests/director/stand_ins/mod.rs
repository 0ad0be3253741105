//! Stand-ins for the director's surroundings, written from the public pages, and a director started among them.
//! Everything listens on free loopback ports; waiting is for a condition, never for a time.

use bytes::Bytes;
use http_body_util::channel::{Channel, Sender as Body};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::convert::Infallible;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Far more than anything here takes; only a broken behaviour waits so long.
const PATIENCE: Duration = Duration::from_secs(20);

/// A state that tests wait on.
pub struct Watched<T>(Arc<(Mutex<T>, Condvar)>);

impl<T> Clone for Watched<T> {
    fn clone(&self) -> Self {
        Watched(self.0.clone())
    }
}

impl<T> Watched<T> {
    pub fn new(state: T) -> Self {
        Watched(Arc::new((Mutex::new(state), Condvar::new())))
    }

    pub fn change<R>(&self, change: impl FnOnce(&mut T) -> R) -> R {
        let result = change(&mut self.lock());
        self.0 .1.notify_all();
        result
    }

    /// Nobody else gets at the state as long as this is kept.
    pub fn hold(&self) -> impl Drop + '_ {
        self.lock()
    }

    fn lock(&self) -> MutexGuard<'_, T> {
        self.0 .0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// What `look` finds, as soon as it finds something.
    pub fn wait<R>(&self, what: &str, mut look: impl FnMut(&mut T) -> Option<R>) -> R {
        let end = Instant::now() + PATIENCE;
        let mut state = self.lock();
        loop {
            if let Some(found) = look(&mut state) {
                return found;
            }
            let left = end.saturating_duration_since(Instant::now());
            assert!(!left.is_zero(), "waited in vain: {what}");
            let waited = self.0 .1.wait_timeout(state, left.min(Duration::from_millis(50)));
            state = waited.unwrap_or_else(|poisoned| poisoned.into_inner()).0;
        }
    }
}

/// What the relay does with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deal {
    Answer,
    /// Carried out or not, and never answered.
    Silent(bool),
    Unreadable(bool),
    Break(bool),
    /// Turned away whole.
    Throttle,
    /// Stops at this order.
    Refuse(usize),
    /// Answered; then the connection ends.
    Close,
}

#[derive(Default)]
pub struct RelayState {
    /// Each call's orders and the connection it came on, as it came.
    pub calls: Vec<(usize, Vec<String>)>,
    /// What is done with the next calls; then all are answered.
    pub deals: VecDeque<Deal>,
    pub proxies: BTreeSet<u16>,
    pub slices: BTreeMap<u16, BTreeMap<String, f64>>,
    pub out: BTreeSet<String>,
    /// The least and the most lines that any table had since this was last set to none, at the end of any call.
    pub lines_seen: Option<(usize, usize)>,
    pub connections: usize,
    pub follows: usize,
    news: Vec<TcpStream>,
    pub mute: bool,
    /// Where it is now: it has moved so often. All open connections, and where they came in.
    place: usize,
    streams: Vec<(usize, TcpStream)>,
}

impl RelayState {
    /// Ends all connections that came in where it was before.
    pub fn leave_old(&mut self) {
        let old = self.streams.iter().filter(|(place, _)| *place < self.place);
        old.for_each(|(_, stream)| drop(stream.shutdown(std::net::Shutdown::Both)));
    }

    /// To all that have asked for news.
    pub fn tell(&mut self, line: &str) {
        self.news.retain_mut(|stream| stream.write_all(format!("{line}\r\n").as_bytes()).is_ok());
    }

    /// Ends all news connections.
    pub fn cut_news(&mut self) {
        self.news.drain(..).for_each(|stream| drop(stream.shutdown(std::net::Shutdown::Both)));
    }

    /// Ends the news connection that was opened first.
    pub fn cut_first_news(&mut self) {
        let _ = self.news.remove(0).shutdown(std::net::Shutdown::Both);
    }

    fn standing(&self) -> String {
        let mut text = String::from("OK\r\n");
        self.proxies.iter().for_each(|proxy| text += &format!("* hello {proxy} a 5.0 0\r\n"));
        for (slice, lines) in &self.slices {
            text += &format!("* lease {slice} 1\r\n");
            lines.iter().for_each(|(host, weight)| text += &format!("* line {slice} {host} {weight}\r\n"));
        }
        text
    }

    fn carry_out(&mut self, orders: &[String]) {
        for order in orders {
            match order.split(',').collect::<Vec<_>>()[..] {
                ["SET", slice, host, weight] => {
                    let weight: f64 = weight.parse().unwrap();
                    let Some(lines) = self.slices.get_mut(&slice.parse().unwrap()) else { continue };
                    _ = if weight > 0.0 { lines.insert(host.into(), weight) } else { lines.remove(host) };
                }
                ["OUT", host] => _ = self.out.insert(host.into()),
                ["IN", host] => _ = self.out.remove(host),
                ["LIMIT", ..] | ["SYNC", ..] | ["DEL", ..] => {}
                _ => panic!("no order: {order}"),
            }
        }
        // A call reaches each proxy as one message: what stands at its end is what proxies hold.
        for lines in self.slices.values().map(BTreeMap::len) {
            let (least, most) = self.lines_seen.unwrap_or((lines, lines));
            self.lines_seen = Some((least.min(lines), most.max(lines)));
        }
    }
}

/// Signs of life, quicker than the real ones so that tests are.
fn beat<S: Send + 'static>(state: Watched<S>, live: fn(&mut S) -> Option<()>) {
    std::thread::spawn(move || loop {
        std::thread::park_timeout(Duration::from_millis(200));
        state.change(live);
    });
}

/// Takes connections at this place as long as the relay is there.
fn relay(listener: TcpListener, place: usize, state: Watched<RelayState>) {
    for stream in listener.incoming().map_while(Result::ok) {
        let state = state.clone();
        std::thread::spawn(move || {
            let id = state.change(|state| {
                let kept = stream.try_clone().ok().filter(|_| state.place == place)?;
                state.streams.push((place, kept));
                state.connections += 1;
                Some(state.connections)
            });
            id.into_iter().for_each(|id| talk(id, &stream, &state));
        });
    }
}

fn talk(id: usize, stream: &TcpStream, state: &Watched<RelayState>) {
    let Ok(mut writer) = stream.try_clone() else { return };
    for line in BufReader::new(stream).lines().map_while(Result::ok) {
        if line == "follow" {
            state.change(|state| {
                state.follows += 1;
                let Ok(news) = writer.try_clone() else { return };
                if !state.mute && writer.write_all(state.standing().as_bytes()).is_ok() {
                    state.news.push(news);
                }
            });
            continue;
        }
        let Some(orders) = line.strip_prefix("txn ") else { panic!("no call: {line}") };
        let orders: Vec<String> = orders.split(';').map(str::to_string).collect();
        let deal = state.change(|state| {
            let deal = state.deals.pop_front().unwrap_or(Deal::Answer);
            let many = match deal {
                Deal::Answer | Deal::Close => orders.len(),
                Deal::Silent(done) | Deal::Unreadable(done) | Deal::Break(done) => {
                    orders.len() * done as usize
                }
                Deal::Throttle => 0,
                Deal::Refuse(at) => at.min(orders.len()),
            };
            state.carry_out(&orders[..many]);
            // Every proxy that gets a mark tells so.
            let mark = orders[..many].iter().find_map(|order| order.strip_prefix("SYNC,")?.split(',').next());
            let acks = mark.map(|mark| {
                let acks = state.proxies.iter().map(|proxy| format!("* ack {proxy} {mark} 100.0"));
                acks.collect::<Vec<_>>().join("\r\n")
            });
            acks.filter(|acks| !state.mute && !acks.is_empty()).iter().for_each(|acks| state.tell(acks));
            state.calls.push((id, orders.clone()));
            deal
        });
        let answer = match deal {
            Deal::Answer | Deal::Close => format!("OK {}\r\n", orders.len()),
            Deal::Refuse(at) => format!("OK {}\r\n", at.min(orders.len())),
            Deal::Unreadable(_) => "O\u{1}?\r\n".to_string(),
            Deal::Throttle => "Throttling\r\n".to_string(),
            Deal::Silent(_) => continue,
            Deal::Break(_) => String::new(),
        };
        let _ = writer.write_all(answer.as_bytes());
        if matches!(deal, Deal::Break(_) | Deal::Close) {
            let _ = writer.shutdown(std::net::Shutdown::Both);
            return;
        }
    }
}

#[derive(Default)]
pub struct DiscoveryState {
    /// Paths asked for.
    pub asked: Vec<String>,
    /// The first line of the next watch.
    pub first: String,
    watches: Vec<Body<Bytes>>,
    pub mute: bool,
    /// Watches opened before this one are told nothing more, as discovery has moved.
    moved_at: usize,
}

impl DiscoveryState {
    /// Ends the watches that were opened where it was before.
    pub fn leave_old(&mut self) {
        self.watches.drain(..self.moved_at.min(self.watches.len()));
    }

    pub fn tell(&mut self, line: &str) {
        let line = Bytes::from(format!("{line}\n"));
        self.watches.retain_mut(|watch| watch.try_send(hyper::body::Frame::data(line.clone())).is_ok());
    }

    /// Ends all watches.
    pub fn cut(&mut self) {
        self.watches.clear();
    }
}

#[derive(Default)]
pub struct HostState {
    /// Paths asked for.
    pub asked: Vec<String>,
    pub status: u16,
    /// So many further connections break before their answer.
    pub broken: usize,
}

type Answer = Response<BoxBody<Bytes, Infallible>>;

fn discovery_answer(path: String, state: &Watched<DiscoveryState>) -> Option<Answer> {
    let (sender, body) = Channel::new(1024);
    state.change(|state| {
        state.asked.push(path);
        state.watches.push(sender);
        if !state.mute {
            let first = state.first.clone();
            let last = state.watches.len() - 1;
            let _ = state.watches[last].try_send(hyper::body::Frame::data(Bytes::from(format!("{first}\n"))));
        }
    });
    Some(Response::new(body.boxed()))
}

fn host_answer(path: String, state: &Watched<HostState>) -> Option<Answer> {
    let status = state.change(|state| {
        state.asked.push(path);
        let sound = state.broken == 0;
        state.broken = state.broken.saturating_sub(1);
        sound.then_some(state.status)
    })?;
    let mut answer = Response::new(Full::new(Bytes::from("TEXT q=0, lat_ms=100.5")).boxed());
    *answer.status_mut() = hyper::StatusCode::from_u16(status).unwrap();
    Some(answer)
}

/// Serves HTTP on a thread of its own; without an answer the connection ends.
fn http<S: Send + 'static>(
    listener: TcpListener,
    state: Watched<S>,
    answer: fn(String, &Watched<S>) -> Option<Answer>,
) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    listener.set_nonblocking(true).unwrap();
    runtime.block_on(async move {
        let listener = tokio::net::TcpListener::from_std(listener).unwrap();
        while let Ok((stream, _)) = listener.accept().await {
            let state = state.clone();
            let service = service_fn(move |request: Request<Incoming>| {
                let answer = answer(request.uri().to_string(), &state);
                async move { answer.ok_or(std::io::Error::from(ErrorKind::ConnectionReset)) }
            });
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
    });
}

fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// A director among stand-ins.
pub struct World {
    pub relay: Watched<RelayState>,
    pub discovery: Watched<DiscoveryState>,
    pub host: Watched<HostState>,
    pub log: Watched<Vec<String>>,
    pub listen: SocketAddr,
    host_address: SocketAddr,
    folder: PathBuf,
    director: Child,
}

impl World {
    /// Three hosts in service, three proxies joined, two slices on the first host.
    pub fn start() -> Self {
        World::begin(2, None)
    }

    /// The same with so many slices, reports ten times a second, and an operators' file, in which `DIR` is the
    /// world's folder.
    pub fn operated(slices: u16, file: &str) -> Self {
        World::begin(slices, Some(file))
    }

    /// As many hosts and directors in the settings, so many proxies, of which all have joined, and slices of ours.
    pub fn fleet(hosts: usize, proxies: u16, slices: u16, limits: &str) -> Self {
        let more = move |config: String| {
            config
                .replace("\"balancers\":1", &format!("\"balancers\":{hosts}"))
                .replace("\"proxy-count\":5", &format!("\"proxy-count\":{proxies}"))
                .replace("\"slices\":2", &format!("\"slices\":{}", 4 * slices))
                .replace(
                    "\"lines-per-s\":60000.0,\"backlog\":120000.0",
                    "\"lines-per-s\":500000.0,\"backlog\":1000000.0",
                )
                .replace("\"cores\":1.0,\"memory_mb\":32,\"sockets\":256", limits)
        };
        World::among(hosts, (0..proxies).collect(), slices, None, &more)
    }

    fn begin(slices: u16, operator: Option<&str>) -> Self {
        let more = |config: String| match operator {
            None => config,
            Some(_) => config
                .replace("\"slices\":2", &format!("\"slices\":{slices}"))
                .replace("\"interval-ns\":1000000000", "\"interval-ns\":100000000"),
        };
        World::among(3, BTreeSet::from([1, 2, 3]), slices, operator, &more)
    }

    fn among(
        hosts: usize,
        proxies: BTreeSet<u16>,
        slices: u16,
        operator: Option<&str>,
        more: &dyn Fn(String) -> String,
    ) -> Self {
        let ((relay_socket, relay_at), (discovery_socket, discovery_at)) = (listener(), listener());
        let ((host_socket, host_address), (free, listen)) = (listener(), listener());
        drop(free);
        let lines = BTreeMap::from([("s-1".to_string(), 1.0)]);
        let relay_state = Watched::new(RelayState {
            proxies,
            slices: (0..slices).map(|slice| (slice, lines.clone())).collect(),
            ..RelayState::default()
        });
        let first = r#"{"version":1,"full":false,"servers":[]}"#.to_string();
        let discovery = Watched::new(DiscoveryState { first, ..DiscoveryState::default() });
        let host = Watched::new(HostState { status: 200, ..HostState::default() });
        let state = relay_state.clone();
        std::thread::spawn(move || relay(relay_socket, 0, state));
        beat(relay_state.clone(), |state| (!state.mute).then(|| state.tell("*")));
        let state = discovery.clone();
        std::thread::spawn(move || http(discovery_socket, state, discovery_answer));
        let state = host.clone();
        std::thread::spawn(move || http(host_socket, state, host_answer));
        beat(discovery.clone(), |state| (!state.mute).then(|| state.tell("")));
        let folder =
            std::env::temp_dir().join(format!("coppersail-{}-{}", std::process::id(), listen.port()));
        std::fs::create_dir_all(&folder).unwrap();
        let named = |n: usize| entry(&format!("s-{n}"), host_address, "in_service");
        let known = list(1, true, &(1..=hosts).map(named).collect::<Vec<_>>());
        let config = more(config(listen, discovery_at, relay_at, &known));
        std::fs::write(folder.join("config.json"), config).unwrap();
        if let Some(file) = operator {
            std::fs::write(folder.join("operator.json"), file.replace("DIR", &folder.display().to_string()))
                .unwrap();
        }
        let (director, log) = spawn(&folder.join("config.json"));
        World { relay: relay_state, discovery, host, log, listen, host_address, folder, director }
    }

    /// Relay and discovery are at new addresses as well; where they were, what is open stays open.
    pub fn relocate(&self) {
        let ((relay_socket, relay_at), (discovery_socket, discovery_at)) = (listener(), listener());
        let place = self.relay.change(|state| {
            state.place += 1;
            state.place
        });
        self.discovery.change(|state| state.moved_at = state.watches.len());
        let state = self.relay.clone();
        std::thread::spawn(move || relay(relay_socket, place, state));
        let state = self.discovery.clone();
        std::thread::spawn(move || http(discovery_socket, state, discovery_answer));
        self.configure(Some(&config(self.listen, discovery_at, relay_at, &list(1, true, &[]))));
    }

    /// The file holds another configuration or is gone, and the director is told so.
    pub fn configure(&self, text: Option<&str>) {
        let path = self.folder.join("config.json");
        match text {
            Some(text) => std::fs::write(path, text).unwrap(),
            None => std::fs::remove_file(path).unwrap(),
        }
        self.signal("HUP");
    }

    /// Waits until the tables are laid: every slice has its second line.
    pub fn laid() -> Self {
        let world = World::start();
        world.relay.wait("both slices have two lines", |state| {
            state.slices.values().all(|lines| lines.len() == 2).then_some(())
        });
        world
    }

    /// The operators' file holds something else, and the director is told so.
    pub fn operators_file(&self, text: &str) {
        std::fs::write(
            self.folder.join("operator.json"),
            text.replace("DIR", &self.folder.display().to_string()),
        )
        .unwrap();
        self.signal("HUP");
    }

    pub fn folder(&self) -> &std::path::Path {
        &self.folder
    }

    /// One request on a connection of its own; the answer's fields.
    pub fn ask(&self, request: &str) -> serde_json::Value {
        let socket = self.folder.join("control.sock");
        let end = Instant::now() + PATIENCE;
        loop {
            match std::os::unix::net::UnixStream::connect(&socket) {
                Ok(mut stream) => {
                    stream.set_read_timeout(Some(PATIENCE)).unwrap();
                    stream.write_all(format!("{request}\n").as_bytes()).unwrap();
                    let mut line = String::new();
                    BufReader::new(stream).read_line(&mut line).unwrap();
                    return serde_json::from_str(&line).unwrap();
                }
                Err(_) => assert!(Instant::now() < end, "the director takes no commands"),
            }
            std::thread::yield_now();
        }
    }

    /// Submits a change; its number.
    pub fn submit(&self, base: u64, trial: f64, edits: &str) -> Result<u64, String> {
        let submission =
            format!(r#"{{"base":{base},"who":"op","why":"test","edits":{edits},"trial":{trial}}}"#);
        let answer = self.ask(&format!(r#"{{"do":"submit","submission":{submission}}}"#));
        answer["number"].as_u64().ok_or(answer["why"].to_string())
    }

    /// Waits until a change is at a stage, as its name or the name of its only field.
    pub fn staged(&self, number: u64, stage: &str) -> serde_json::Value {
        let end = Instant::now() + 2 * PATIENCE;
        loop {
            let answer = self.ask(&format!(r#"{{"do":"show","number":{number}}}"#));
            let found = &answer["stage"];
            if found == stage || found.get(stage).is_some() {
                return answer;
            }
            assert!(Instant::now() < end, "change {number} does not come to be {stage}: {answer}");
            std::thread::park_timeout(Duration::from_millis(50));
        }
    }

    pub fn connect(&self) -> Collector {
        let end = Instant::now() + PATIENCE;
        loop {
            match TcpStream::connect(self.listen) {
                Ok(stream) => {
                    stream.set_read_timeout(Some(PATIENCE)).unwrap();
                    return Collector(stream);
                }
                Err(_) => assert!(Instant::now() < end, "the director does not listen"),
            }
            std::thread::yield_now();
        }
    }

    /// A collector's connection.
    pub fn joined(&self) -> Collector {
        let before = self.counter("zones_named");
        let mut collector = self.connect();
        collector.say(br#"{"msg":"agent","az":"a"}"#);
        self.counted("zones_named", before + 1);
        collector
    }

    /// Discovery tells of a host's new state.
    pub fn list_change(&self, version: u64, id: &str, state: &str) {
        let line = list(version, false, &[entry(id, self.host_address, state)]);
        self.discovery.change(|state| {
            state.first = line.clone();
            state.tell(&line);
        });
    }

    pub fn whole_list(&self, version: u64, ids: &[&str]) -> String {
        let entries: Vec<String> = ids.iter().map(|id| entry(id, self.host_address, "in_service")).collect();
        list(version, true, &entries)
    }

    pub fn signal(&self, name: &str) {
        // The shell's own: a program of that name is not on every machine.
        let sent =
            Command::new("sh").args(["-c", &format!("kill -s {name} {}", self.director.id())]).status();
        assert!(sent.unwrap().success());
    }

    /// The counters, as asked for by signal.
    pub fn counter(&self, name: &str) -> u64 {
        let before = self.log.change(|lines| lines.len());
        self.signal("USR1");
        self.log.wait("counters", |lines| {
            let line = lines[before..].iter().find(|line| line.contains(" counters "))?;
            let at = line.split(' ').find_map(|pair| pair.strip_prefix(&format!("{name}=")));
            Some(at.unwrap_or_else(|| panic!("no counter {name}")).parse().unwrap())
        })
    }

    /// Waits until a counter has reached a figure.
    pub fn counted(&self, name: &str, least: u64) {
        let end = Instant::now() + PATIENCE;
        while self.counter(name) < least {
            assert!(Instant::now() < end, "{name} stays below {least}");
        }
    }

    pub fn logged(&self, text: &str) {
        self.log.wait(text, |lines| lines.iter().any(|line| line.contains(text)).then_some(()));
    }

    /// Open descriptors of the director.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.director.id())).unwrap().count()
    }

    /// The most memory that the director has held, in MB.
    pub fn memory(&self) -> f64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.director.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        line.trim().trim_end_matches("kB").trim().parse::<f64>().unwrap() / 1024.0
    }

    pub fn exit(&mut self) -> Option<i32> {
        let (end, mut code) = (Instant::now() + PATIENCE, None);
        while code.is_none() && Instant::now() < end {
            code = self.director.try_wait().unwrap();
            std::thread::yield_now();
        }
        code.expect("the director goes on").code()
    }

    /// Kills the director outright and starts it anew.
    pub fn restart(&mut self) {
        let _ = self.director.kill();
        let _ = self.director.wait();
        (self.director, self.log) = spawn(&self.folder.join("config.json"));
    }
}

impl Drop for World {
    fn drop(&mut self) {
        let _ = self.director.kill();
        let _ = self.director.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A connection to the director's address.
pub struct Collector(TcpStream);

impl Collector {
    pub fn say(&mut self, line: &[u8]) {
        self.0.write_all(line).unwrap();
        self.0.write_all(b"\n").unwrap();
    }

    /// Bytes without an end of line; the other side may have ended the connection.
    pub fn bytes(&mut self, bytes: &[u8]) -> bool {
        self.0.write_all(bytes).is_ok()
    }

    /// Asks for a sign of life.
    pub fn alive(&mut self) -> bool {
        let asked = self.0.write_all(b"{\"msg\":\"probe\"}\n").is_ok();
        let mut answer = [0; 16];
        asked && self.0.read_exact(&mut answer).is_ok() && &answer == b"{\"msg\":\"alive\"}\n"
    }

    /// Whether the director ends the connection, within the tests' patience.
    pub fn ended(&mut self) -> bool {
        match self.0.read(&mut [0; 16]) {
            Ok(many) => many == 0,
            // Waiting in vain is none.
            Err(wrong) => !matches!(wrong.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
        }
    }
}

pub fn entry(id: &str, address: SocketAddr, state: &str) -> String {
    format!(
        r#"{{"id":"{id}","addr":"{address}","zone":"a","kind":"m2","cell":0,"state":"{state}","weight":1.0,"started_ms":0}}"#
    )
}

pub fn list(version: u64, full: bool, entries: &[String]) -> String {
    format!(r#"{{"version":{version},"full":{full},"servers":[{}]}}"#, entries.join(","))
}

pub fn config(listen: SocketAddr, discovery: SocketAddr, relay: SocketAddr, known: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":32,"sockets":256}},"relay":{{"address":"{relay}"}},"known":{known},
        "settings":{{"me":0,"balancers":1,"discovery":"pushed","zones":["a"],"kinds":["m2"],
        "classes":[{{"name":"lookup","aim-ns":1000000000,"give-up-ns":3000000000,"worth":1.0,"semantics":"safe"}}],
        "guarantees":{{"cold-from":0.2,"fall-multiple":4.0,"ramp-time-ns":2000000000,"stop-sending-within-ns":2000000000}},
        "limits":{{"may-probe":true}},"report":{{"columns":["q","lat_ms"],"source":"piggyback"}},
        "specifics":{{"slices":2,"proxy-count":5,"lines-per-s":60000.0,"backlog":120000.0,"overhead":12.0,
        "interval-ns":1000000000,"admission":"fraction"}}}}}}"#
    )
}

/// Starts the binary; its log comes line by line.
pub fn spawn(config: &std::path::Path) -> (Child, Watched<Vec<String>>) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_coppersail-director"));
    let operator = config.with_file_name("operator.json");
    if operator.exists() {
        command.env("EDGE_OPERATOR", operator);
    }
    let mut director = command.env("EDGE_CONFIG", config).stderr(Stdio::piped()).spawn().unwrap();
    let (lines, log) = (BufReader::new(director.stderr.take().unwrap()), Watched::new(Vec::new()));
    let heard = log.clone();
    std::thread::spawn(move || {
        lines
            .lines()
            .map_while(Result::ok)
            .for_each(|line| heard.change(|lines: &mut Vec<String>| lines.push(line)));
    });
    (director, log)
}
