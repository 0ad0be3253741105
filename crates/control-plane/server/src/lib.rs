//! The centre: configuration, hosts and keys, on two disks before it answers. `docs/system.md` and `docs/control.md` are
//! the design. [`node::Node`] decides; what stands here carries out.
pub mod admin;
pub mod feed;
#[cfg(test)]
mod feed_tests;
pub mod lanes;
pub mod links;
pub mod muster;
#[cfg(test)]
mod muster_tests;
pub mod node;
pub mod orders;
pub mod resources;
pub mod rollouts;
pub mod state;
pub mod store;
pub mod voice;

use coppersail_config::ProcessSettings;
use coppersail_consensus::{Ms, RequestId};
use eyre::{eyre, Result};
use lanes::Lanes;
use node::{Begin, Effect, Event, Node, PeerSay};
use resources::{Resource, Taken};
use slab::Slab;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use store::Scribe;
use tiny_http::Request;

pub struct Centre {
    node: Mutex<Node>,
    /// Who waits for an answer.
    waiting: Mutex<Slab<Request>>,
    scribe: Scribe,
    lanes: Lanes,
    start: Instant,
    log: slog::Logger,
    left: (Mutex<bool>, Condvar),
}

/// A thread that panicked under a lock ends the process: see `main`.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Centre {
    pub fn start(boot: &ProcessSettings, log: slog::Logger) -> Result<Arc<Centre>> {
        let folder =
            boot.data_folder.clone().ok_or_else(|| eyre!("self.dataFolder: null, expected a folder"))?;
        let admin =
            boot.admin.clone().ok_or_else(|| eyre!("network.binds.admin: missing, expected an address"))?;
        let say = |text: &str| slog::warn!(log, "{text}");
        let (scribe, found) = Scribe::start(std::path::Path::new(&folder), say)?;
        let (port, start) = (boot.spare_ports.0, Instant::now());
        // Numbers up to 2^53 are safe in every JSON reader.
        let life = fastrand::u64(1..1 << 53);
        let (node, effects) = Node::start(1, Begin { boot: boot.clone(), found, life });
        let (node, waiting, left) = (Mutex::new(node), Mutex::default(), Default::default());
        let centre = Arc::new(Centre { node, waiting, scribe, lanes: Lanes::new(port), start, log, left });
        centre.carry(lock(&centre.node), effects);
        let c = centre.clone();
        let tick = move || loop {
            std::thread::sleep(Duration::from_millis(50));
            c.event(Event::Tick);
        };
        std::thread::Builder::new().name("tick".into()).stack_size(512 * 1024).spawn(tick)?;
        let peers: Vec<Box<dyn Resource>> = vec![Box::new(resources::Follows), Box::new(resources::Cores)];
        let calls: Vec<Box<dyn Resource>> = vec![
            Box::new(resources::Pulses),
            Box::new(resources::SignOffs),
            Box::new(resources::Configurations),
            Box::new(resources::Plans),
        ];
        serve(&centre, &format!("{}:{port}", boot.ip), peers)?;
        serve(&centre, &admin, calls)?;
        Ok(centre)
    }

    pub fn note(&self, line: &str) {
        slog::info!(self.log, "{line}");
    }

    fn now(&self) -> Ms {
        self.start.elapsed().as_millis() as Ms + 1
    }

    pub fn event(self: &Arc<Self>, event: Event) {
        let mut node = lock(&self.node);
        let (now, mut effects) = (self.now(), Vec::new());
        node.step(now, event, &mut effects);
        self.carry(node, effects);
    }

    /// Writes are handed on under the lock, as the disk is to have them in the order in which they were decided.
    fn carry(self: &Arc<Self>, node: MutexGuard<'_, Node>, effects: Vec<Effect>) {
        let mut rest = Vec::new();
        for effect in effects {
            match effect {
                Effect::Write { token, write } => {
                    let centre = self.clone();
                    let done = move |ok| centre.event(Event::Disk { token, ok });
                    self.scribe.write(write, Box::new(done));
                }
                other => rest.push(other),
            }
        }
        drop(node);
        let centre = self.clone();
        let told: lanes::Told = Arc::new(move |token, say| centre.event(Event::Told { token, say }));
        for effect in rest {
            match effect {
                Effect::Answer { caller, status, body } => self.respond(caller, status, body),
                Effect::Reply { caller, say } => {
                    let body = match say {
                        PeerSay::News(news) => serde_json::to_string(&news),
                        PeerSay::Core(say) => serde_json::to_string(&say),
                    };
                    self.respond(caller, 200, body.unwrap_or_default());
                }
                Effect::Call { token, to, call, wait } => self.lanes.send(token, to, call, wait, &told),
                Effect::Note(line) => slog::info!(self.log, "{line}"),
                Effect::Leave => {
                    *lock(&self.left.0) = true;
                    self.left.1.notify_all();
                }
                Effect::Write { .. } => {}
            }
        }
    }

    fn respond(&self, caller: RequestId, status: u16, body: String) {
        let request = lock(&self.waiting).try_remove(caller as usize);
        if let Some(request) = request {
            voice::respond(request, status, body);
        }
    }

    fn take(self: &Arc<Self>, request: Request, taken: Taken) {
        let caller = lock(&self.waiting).insert(request) as RequestId;
        self.event(match taken {
            Taken::Admin(call) => Event::Admin { caller, call },
            Taken::Peer(call) => Event::Peer { caller, call },
        });
    }

    /// The settings were read again.
    pub fn reread(self: &Arc<Self>, boot: ProcessSettings) {
        self.event(Event::Reread(Box::new(boot)));
    }

    /// It was told to end.
    pub fn term(self: &Arc<Self>) {
        self.event(Event::Term);
    }

    /// Until nothing rests on this centre any more.
    pub fn wait_to_leave(&self) {
        let left = lock(&self.left.0);
        drop(self.left.1.wait_while(left, |left| !*left).unwrap_or_else(PoisonError::into_inner));
    }
}

fn serve(centre: &Arc<Centre>, address: &str, all: Vec<Box<dyn Resource>>) -> Result<()> {
    let server = tiny_http::Server::http(address).map_err(|e| eyre!("{address}: {e}"))?;
    let (centre, all) = (centre.clone(), Arc::new(all));
    let run = move || loop {
        let Ok(mut request) = server.recv() else { continue };
        // Up to this much has been read already; more may be long in coming.
        if request.body_length().is_some_and(|n| n <= 1024) || request.method() == &tiny_http::Method::Get {
            let body = resources::read(&mut request);
            dispatch(&centre, &all, request, body);
        } else {
            let (centre, all) = (centre.clone(), all.clone());
            let run = move || {
                let body = resources::read(&mut request);
                dispatch(&centre, &all, request, body);
            };
            let _ = std::thread::Builder::new().stack_size(512 * 1024).spawn(run);
        }
    };
    std::thread::Builder::new().name("serve".into()).stack_size(512 * 1024).spawn(run)?;
    Ok(())
}

fn dispatch(centre: &Arc<Centre>, all: &[Box<dyn Resource>], request: Request, body: Option<String>) {
    let url = request.url().to_string();
    let path = url.split('?').next().unwrap_or("");
    let method = request.method().clone();
    let found = all.iter().find_map(|r| r.takes(&method, path).map(|part| (r, part)));
    match (found, body) {
        (Some((resource, part)), Some(body)) => match resource.read(&method, part, body) {
            Ok(taken) => centre.take(request, taken),
            Err(line) => voice::respond(request, 400, line),
        },
        (Some(_), None) => voice::respond(request, 400, "{\"why\":\"the body was cut short\"}".into()),
        (None, _) => voice::respond(request, 404, "{\"why\":\"nothing here\"}".into()),
    }
}
