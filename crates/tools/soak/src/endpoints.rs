//! The endpoints of a run: they report to the nodes, serve, and leave in one way or another, life after life.
use crate::backend::{Requests, Server};
use crate::drain::EMPTY;
use crate::observers::{agent, call, Shared};
use eyre::WrapErr;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

/// The setting `heartbeat`.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_300);
/// The pause after a call that was not acknowledged.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// How long an endpoint that leaves waits for an acknowledgement before it ends without one.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(5);
/// How long an endpoint serves before it leaves.
const LIFE_MS: std::ops::Range<u64> = 500..7_000;
/// How much longer than `empty` an endpoint serves after its acknowledgement, as a rule and at times.
const LINGER_MS: [std::ops::Range<u64>; 2] = [200..1_000, 2_000..7_000];
/// One in so many lingers for long.
const LONG_LINGERS: usize = 4;
/// The time without an endpoint between two lives.
const GAP_MS: std::ops::Range<u64> = 50..500;
/// More than all clients send at once.
const CAPACITY: u32 = 1_000;
const STEP: Duration = Duration::from_millis(10);

/// How an endpoint leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Departure {
    /// Its heartbeats say `emptying`; it signs off when it has served on.
    Drain,
    /// It signs off, sends no more heartbeats, and serves on.
    SignOff,
    /// It ends without a word.
    Crash,
}

impl Departure {
    fn random(random: &mut fastrand::Rng) -> Departure {
        match random.u8(0..8) {
            0 => Departure::Crash,
            1..=3 => Departure::Drain,
            _ => Departure::SignOff,
        }
    }
}

/// Where a series of lives serves.
pub(crate) struct Slot {
    pub(crate) number: usize,
    pub(crate) service: &'static str,
    /// The address of the first life; each later one has the next port.
    pub(crate) address: SocketAddr,
    /// Whether its lives end.
    pub(crate) leaves: bool,
}

/// What all endpoints of a run share.
#[derive(Clone)]
pub(crate) struct Surroundings {
    pub(crate) shared: Shared,
    pub(crate) requests: Requests,
    /// Where nodes are reached.
    pub(crate) nodes: Vec<String>,
}

/// Tells the endpoints that leave of a restart of all nodes.
#[derive(Default)]
pub(crate) struct RestartNotices(Vec<SyncSender<()>>);

impl RestartNotices {
    fn subscribe(&mut self) -> Receiver<()> {
        let (sender, receiver) = sync_channel(1);
        self.0.push(sender);
        receiver
    }

    /// All nodes have been started again.
    pub(crate) fn send(&self) {
        for sender in &self.0 {
            // One that has not taken the last notice has enough with that.
            let _ = sender.try_send(());
        }
    }
}

/// Starts the lives of a slot, which end with the run.
pub(crate) fn start(
    slot: Slot,
    surroundings: Surroundings,
    notices: &mut RestartNotices,
    seed: u64,
) -> eyre::Result<JoinHandle<()>> {
    let mut lives = Lives {
        random: fastrand::Rng::with_seed(seed),
        restarted: notices.subscribe(),
        agent: agent(),
        count: 0,
        slot,
        surroundings,
    };
    let first = lives.begin().wrap_err_with(|| format!("can't listen at {}", lives.slot.address))?;
    Ok(spawn(move || lives.run(first)))
}

struct Lives {
    random: fastrand::Rng,
    restarted: Receiver<()>,
    agent: ureq::Agent,
    count: usize,
    slot: Slot,
    surroundings: Surroundings,
}

impl Lives {
    /// Begins a life with an id and a port of its own.
    fn begin(&mut self) -> std::io::Result<Life> {
        self.count += 1;
        let id = format!("i-{}-{}", self.slot.number, self.count);
        let mut address = self.slot.address;
        address.set_port(address.port() + self.count as u16);
        let Surroundings { shared, requests, .. } = self.surroundings.clone();
        let server = Server::start(&id, address, shared, requests)?;
        let node = self.random.usize(..);
        Ok(Life { id, address, server, sequence: 0, node, report_to: None, next_heartbeat: Instant::now() })
    }

    fn run(mut self, first: Life) {
        let mut next = Some(first);
        while !self.surroundings.shared.is_over() {
            if let Some(life) = next {
                self.live(life);
            }
            sleep(Duration::from_millis(self.random.u64(GAP_MS)));
            next = self.begin().ok();
        }
    }

    /// One life from its first heartbeat to its end.
    fn live(&mut self, mut life: Life) {
        self.serve_until_departure(&mut life);
        if self.surroundings.shared.is_over() {
            return;
        }
        match Departure::random(&mut self.random) {
            Departure::Crash => {}
            Departure::Drain => {
                let acknowledged = self.announce(&mut life, |lives, life| lives.heartbeat(life, "emptying"));
                self.serve_on(&mut life, acknowledged, true);
                self.sign_off(&life);
            }
            Departure::SignOff => {
                let acknowledged = self.announce(&mut life, |lives, life| lives.sign_off(life));
                self.serve_on(&mut life, acknowledged, false);
            }
        }
        drop(life.server);
    }

    /// Serves until it is time to leave: at a random time, or between a restart of all nodes and the next heartbeat.
    fn serve_until_departure(&mut self, life: &mut Life) {
        let mut end = Instant::now() + Duration::from_millis(self.random.u64(LIFE_MS));
        while !self.surroundings.shared.is_over() && (!self.slot.leaves || Instant::now() < end) {
            if self.restarted.try_recv().is_ok() && self.random.bool() {
                let until_heartbeat = life.next_heartbeat.saturating_duration_since(Instant::now());
                end = Instant::now() + until_heartbeat.mul_f64(self.random.f64());
            }
            self.heartbeat_if_due(life, "ready");
            sleep(STEP);
        }
    }

    fn heartbeat_if_due(&mut self, life: &mut Life, stage: &str) {
        if Instant::now() < life.next_heartbeat {
            return;
        }
        let pause = if self.heartbeat(life, stage) { HEARTBEAT_INTERVAL } else { RETRY_PAUSE };
        life.next_heartbeat = Instant::now() + pause;
    }

    /// Announces the departure until it is acknowledged, or for [`ACKNOWLEDGEMENT_TIMEOUT`]. Returns whether it was.
    fn announce(&mut self, life: &mut Life, send: impl Fn(&mut Lives, &mut Life) -> bool) -> bool {
        let shared = self.surroundings.shared.clone();
        shared.history().departures.announced += 1;
        let end = Instant::now() + ACKNOWLEDGEMENT_TIMEOUT;
        while Instant::now() < end {
            if send(self, life) {
                shared.history().departures.acknowledge(&life.id, shared.elapsed());
                return true;
            }
            sleep(RETRY_PAUSE);
        }
        shared.history().departures.unacknowledged += 1;
        false
    }

    /// Serves on after the announcement; without an acknowledgement it has waited long enough.
    fn serve_on(&mut self, life: &mut Life, acknowledged: bool, sends_heartbeats: bool) {
        if !acknowledged {
            return;
        }
        let linger = LINGER_MS[usize::from(self.random.usize(0..LONG_LINGERS) == 0)].clone();
        let end = Instant::now() + EMPTY + Duration::from_millis(self.random.u64(linger));
        life.next_heartbeat = Instant::now() + HEARTBEAT_INTERVAL;
        while Instant::now() < end && !self.surroundings.shared.is_over() {
            if sends_heartbeats {
                self.heartbeat_if_due(life, "emptying");
            }
            sleep(STEP);
        }
    }

    /// Sends a heartbeat. Returns whether it was acknowledged.
    fn heartbeat(&mut self, life: &mut Life, stage: &str) -> bool {
        let body = life.next_report(self.slot.service, stage).to_string();
        let path = format!("/servers/{}/pulse", life.id);
        let answer = call(&self.agent, &self.director(life), &path, Some(&body));
        let acknowledged = answer.as_ref().is_some_and(|(status, _)| *status == 200);
        let answer = answer.and_then(|(_, body)| serde_json::from_str::<Value>(&body).ok());
        life.report_to = answer.and_then(|answer| answer["reportTo"].as_str().map(str::to_owned));
        if !acknowledged {
            life.report_to = None;
            life.node = life.node.wrapping_add(1);
        }
        acknowledged
    }

    /// Sends a sign-off. Returns whether it was acknowledged.
    fn sign_off(&mut self, life: &Life) -> bool {
        let node = self.random.usize(0..self.surroundings.nodes.len());
        let path = format!("/servers/{}/sign-off", life.id);
        call(&self.agent, &self.surroundings.nodes[node], &path, Some(""))
            .is_some_and(|(status, _)| status == 200)
    }

    /// The node for the next heartbeat.
    fn director(&self, life: &Life) -> String {
        let nodes = &self.surroundings.nodes;
        life.report_to.clone().unwrap_or_else(|| nodes[life.node % nodes.len()].clone())
    }
}

/// An endpoint from its start to its end.
struct Life {
    id: String,
    address: SocketAddr,
    server: Server,
    sequence: u64,
    /// The node to report to, unless one has asked for reports.
    node: usize,
    report_to: Option<String>,
    next_heartbeat: Instant,
}

impl Life {
    fn next_report(&mut self, service: &str, stage: &str) -> Value {
        self.sequence += 1;
        json!({
            "backend": service, "address": self.address.to_string(), "area": "north", "revision": "v1",
            "capacity": CAPACITY, "stage": stage, "warmLeft": "0ms", "callCount": self.sequence
        })
    }
}
