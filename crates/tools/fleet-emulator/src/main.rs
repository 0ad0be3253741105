//! `coppersail-fleet-emulator`: the members' sockets and the windows in which they are counted.
mod line;

use coppersail_fleet_emulator::{settings, table, walk, Follower, Size, Spent, Tally};
use coppersail_peer_protocol::{RequestCounts, Update};
use coppersail_stub_backend::{Endpoint, EndpointConfig, HeartbeatResponse, NodeSelector, RedirectTarget};
use eyre::{bail, eyre, Result};
use lexopt::prelude::*;
use line::{Line, Traffic};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::time::sleep;

const USAGE: &str = "\
coppersail-fleet-emulator: many hosts or edges without the work, to see what a centre spends on each (loopback only)

coppersail-fleet-emulator hosts --centre ADDR [options]      beats to the admin address of a centre
coppersail-fleet-emulator edges --centre ADDR [options]      polls at a centre's address for directors
coppersail-fleet-emulator settings [options]                 prints a configuration for POST /settings/replace
  --centre ADDR     may be given several times; members spread over them
  --count N,N,...   members, one window each, rising (10,100,1000)
  --seconds S       length of a window (10)
  --settle S        between new members and their window (3)
  --pid PID         a process to watch; may be given several times
  --fresh           a new connection for each call
  --heartbeat MS    between the beats of a host (1000)
  --wait MS         how long a poll of an edge may be held (1000)
  --pause MS        between an answer and the next poll (0)
  --asked N         slices counted in each poll (0)
  --areas N         zones, named a0, a1, ... (3)
  --services N      services, named b0, b1, ... (10)
  --split N         how many of them are divided by key (0)
  --routes N        routes of the printed configuration (100)
  --revision N      of the printed configuration (1)
";
/// Bounds of what one process may stand for, and for how long.
const MEMBERS_MAX: usize = 20_000;
const SECONDS_MAX: u64 = 600;
/// A beat's patience; a poll's begins after the time for which it may be held.
const PATIENCE: Duration = Duration::from_secs(1);
/// How often a call is sent on by 307.
const SENT_ON: usize = 2;
/// Sockets and timers only: two threads carry thousands.
const THREADS: usize = 2;

struct Options {
    what: String,
    centres: Vec<String>,
    counts: Vec<usize>,
    seconds: u64,
    settle: u64,
    pids: Vec<u32>,
    fresh: bool,
    heartbeat: Duration,
    wait: u64,
    pause: Duration,
    asked: u32,
    areas: usize,
    size: Size,
}

fn options() -> Result<Option<Options>> {
    let size = Size { revision: 1, routes: 100, services: 10, split: 0 };
    let mut of = Options {
        what: String::new(),
        centres: Vec::new(),
        counts: vec![10, 100, 1000],
        seconds: 10,
        settle: 3,
        pids: Vec::new(),
        fresh: false,
        heartbeat: Duration::from_secs(1),
        wait: 1000,
        pause: Duration::ZERO,
        asked: 0,
        areas: 3,
        size,
    };
    let mut args = lexopt::Parser::from_env();
    while let Some(arg) = args.next()? {
        match arg {
            Value(what) if of.what.is_empty() => of.what = what.string()?,
            Long("centre") => of.centres.push(args.value()?.string()?),
            Long("count") => {
                let text = args.value()?.string()?;
                of.counts = text.split(',').map(str::parse).collect::<Result<_, _>>()?;
            }
            Long("seconds") => of.seconds = args.value()?.parse()?,
            Long("settle") => of.settle = args.value()?.parse()?,
            Long("pid") => of.pids.push(args.value()?.parse()?),
            Long("fresh") => of.fresh = true,
            Long("heartbeat") => of.heartbeat = Duration::from_millis(args.value()?.parse()?),
            Long("wait") => of.wait = args.value()?.parse()?,
            Long("pause") => of.pause = Duration::from_millis(args.value()?.parse()?),
            Long("asked") => of.asked = args.value()?.parse()?,
            Long("areas") => of.areas = args.value()?.parse()?,
            Long("services") => of.size.services = args.value()?.parse()?,
            Long("split") => of.size.split = args.value()?.parse()?,
            Long("routes") => of.size.routes = args.value()?.parse()?,
            Long("revision") => of.size.revision = args.value()?.parse()?,
            Short('h') | Long("help") => return Ok(None),
            _ => return Err(arg.unexpected().into()),
        }
    }
    let loopback = |centre: &String| centre.parse::<SocketAddr>().is_ok_and(|a| a.ip().is_loopback());
    let rising = of.counts.windows(2).all(|pair| pair[0] < pair[1]);
    match of.what.as_str() {
        "settings" => {}
        "hosts" | "edges" if of.centres.is_empty() => bail!("--centre has to be given; --help tells more"),
        "hosts" | "edges" if !of.centres.iter().all(loopback) => {
            bail!("--centre has to be a loopback address")
        }
        "hosts" | "edges" if !rising || of.counts.iter().any(|n| !(1..=MEMBERS_MAX).contains(n)) => {
            bail!("--count has to rise, from 1 to {MEMBERS_MAX} at most")
        }
        "hosts" | "edges" if of.seconds.max(of.settle) > SECONDS_MAX || of.seconds == 0 => {
            bail!("--seconds has to be 1 to {SECONDS_MAX}")
        }
        "hosts" | "edges" if of.heartbeat.is_zero() => bail!("--heartbeat has to be above 0"),
        "hosts" | "edges" => {}
        _ => return Ok(None),
    }
    Ok(Some(of))
}

/// What all members share.
struct World {
    of: Options,
    born: Instant,
    tally: Mutex<Tally>,
    traffic: Arc<Traffic>,
    /// Tells idents of this run from those of another.
    run: u16,
}

impl World {
    fn now(&self) -> Duration {
        self.born.elapsed()
    }

    fn tally(&self) -> std::sync::MutexGuard<'_, Tally> {
        self.tally.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn way(&self, number: usize) -> NodeSelector {
        NodeSelector::new(self.of.centres.clone(), number)
    }

    fn area(&self, number: usize) -> String {
        format!("a{}", number % self.of.areas.max(1))
    }

    /// One call, followed where it is sent on; the body of its 2xx.
    async fn call(
        &self,
        line: &mut Line,
        target: &str,
        path: &str,
        body: Vec<u8>,
        most: Duration,
    ) -> Result<Vec<u8>> {
        let (mut target, mut path) = (target.to_string(), path.to_string());
        for _ in 0..=SENT_ON {
            if self.of.fresh {
                line.close();
            }
            let call = line.post(&target, &path, body.clone(), &self.traffic);
            let (status, location, body) = tokio::time::timeout(most, call).await??;
            match (status, location.as_deref().and_then(RedirectTarget::parse)) {
                (200..=299, _) => return Ok(body),
                (307, Some(to)) => (target, path) = (to.address.to_string(), to.path.to_string()),
                _ => bail!("answered {status}"),
            }
        }
        Err(eyre!("sent on too often"))
    }

    async fn host(self: Arc<Self>, number: usize) {
        let ident = format!("i-{:04x}{number:04x}", self.run);
        let (beats, leaves) = (format!("/servers/{ident}/pulse"), format!("/servers/{ident}/sign-off"));
        let net = (number >> 8 & 255, number & 255);
        let mut life = Endpoint::new(EndpointConfig {
            id: ident,
            service: walk::service(number, self.of.size.services),
            address: format!("127.{}.{}.{}:8080", 128 + (number >> 16 & 63), net.0, net.1),
            zone: self.area(number),
            revision: "v1".into(),
            capacity: 4,
            sharded: number % self.of.size.services.max(1) < self.of.size.split,
            heartbeat_interval: self.of.heartbeat,
            ..EndpointConfig::default()
        });
        let (mut line, mut way) = (Line::default(), self.way(number));
        // Not all at once: real hosts beat at any time.
        sleep(self.of.heartbeat.mul_f64(fastrand::f64())).await;
        while !self.traffic.over() {
            let began = self.now();
            let body = serde_json::to_vec(&life.next_heartbeat(began)).unwrap_or_default();
            let target = way.target().to_string();
            let answer = self.call(&mut line, &target, &beats, body, PATIENCE).await;
            let reply = answer.and_then(|body| Ok(HeartbeatResponse::parse(&body)?));
            match reply {
                Ok(reply) => {
                    let news = reply.leases.is_some();
                    self.tally().answered(self.now() - began, news);
                    way.record_success(reply.report_to.as_deref());
                    life.acknowledge_heartbeat(self.now(), &reply);
                }
                Err(_) => {
                    self.tally().failed += 1;
                    line.close();
                    way.record_failure();
                }
            }
            let pause = way.backoff().map_or(Duration::ZERO, |pause| self.now() + pause);
            sleep(life.heartbeat_due_at().max(pause).saturating_sub(self.now())).await;
        }
        // It goes as a host that ends in order, so that the centre is left without it.
        let _ = self.call(&mut line, way.target(), &leaves, Vec::new(), PATIENCE).await;
    }

    async fn edge(self: Arc<Self>, number: usize) {
        let mut edge = Follower::new(number as u32, self.area(number), self.of.wait);
        let (mut line, mut way) = (Line::default(), self.way(number));
        let counts: Vec<(u32, u32)> = (0..self.of.asked).map(|slice| (slice, 1)).collect();
        let asked: Vec<RequestCounts> = match counts.is_empty() {
            true => Vec::new(),
            false => vec![RequestCounts { service: walk::service(0, 1), counts }],
        };
        let most = Duration::from_millis(self.of.wait) + PATIENCE;
        sleep(Duration::from_secs(1).mul_f64(fastrand::f64())).await;
        while !self.traffic.over() {
            let began = self.now();
            let body = serde_json::to_vec(&edge.poll(&asked)).unwrap_or_default();
            let target = way.target().to_string();
            let answer = self.call(&mut line, &target, "/follow", body, most).await;
            match answer.and_then(|body| Ok(serde_json::from_slice::<Update>(&body)?)) {
                Ok(news) => {
                    let new = edge.took(&news);
                    self.tally().answered(self.now() - began, new);
                    way.record_success(None);
                }
                Err(_) => {
                    self.tally().failed += 1;
                    line.close();
                    way.record_failure();
                }
            }
            sleep(way.backoff().unwrap_or_default().max(self.of.pause)).await;
        }
    }
}

fn spent(pids: &[u32]) -> Result<Vec<Spent>> {
    let read = |pid: &u32| {
        let text = |name| std::fs::read_to_string(format!("/proc/{pid}/{name}"));
        Spent::read(&text("stat")?, &text("status")?).ok_or_else(|| eyre!("process {pid} can't be read"))
    };
    pids.iter().map(read).collect()
}

async fn measure(world: Arc<World>) -> Result<()> {
    let of = &world.of;
    println!("{}", table::head(&of.pids));
    let mut members = tokio::task::JoinSet::new();
    for &count in &of.counts {
        for number in members.len()..count {
            match of.what.as_str() {
                "hosts" => members.spawn(world.clone().host(number)),
                _ => members.spawn(world.clone().edge(number)),
            };
        }
        sleep(Duration::from_secs(of.settle)).await;
        let before = spent(&of.pids)?;
        world.traffic.take();
        *world.tally() = Tally::default();
        let began = Instant::now();
        sleep(Duration::from_secs(of.seconds)).await;
        let mut tally = std::mem::take(&mut *world.tally());
        (tally.bytes_in, tally.bytes_out) = world.traffic.take();
        let pairs: Vec<_> = before.into_iter().zip(spent(&of.pids)?).collect();
        println!("{}", table::row(count, began.elapsed().as_secs_f64(), &tally, &pairs));
    }
    world.traffic.end();
    // Calls that are still out end by themselves within their patience.
    let last = of.heartbeat.max(Duration::from_millis(of.wait)) + 2 * PATIENCE;
    let _ = tokio::time::timeout(last, async { while members.join_next().await.is_some() {} }).await;
    Ok(())
}

fn run() -> Result<()> {
    let Some(of) = options()? else {
        print!("{USAGE}");
        return Ok(());
    };
    if of.what == "settings" {
        println!("{}", settings(of.size));
        return Ok(());
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(THREADS).enable_all().build()?;
    let (tally, traffic, run) = (Mutex::default(), Arc::default(), fastrand::u16(..));
    runtime.block_on(measure(Arc::new(World { of, born: Instant::now(), tally, traffic, run })))
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("coppersail-fleet-emulator: {fault:#}");
            ExitCode::from(2)
        }
    }
}
