//! The centre: configuration, hosts and keys, on two disks before it answers. `docs/system.md` and `docs/control.md` are
//! the design. [`node::Node`] decides; what stands here carries out.
pub mod admin;
mod assignments;
mod due_replies;
mod endpoint_requests;
mod endpoints;
pub mod feed;
#[cfg(test)]
mod feed_tests;
mod followers;
mod members;
pub mod messages;
pub mod node;
mod operator_requests;
pub mod orders;
pub mod peer_links;
pub mod peer_rpc;
mod pending_replies;
pub mod placement_gate;
#[cfg(test)]
mod placement_gate_tests;
mod proposals;
mod reconciliation;
mod replication;
pub mod resources;
pub mod response_writer;
mod responses;
mod rollout_views;
pub mod rollouts;
pub mod state;
pub mod store;
mod timeouts;
mod watch;

use coppersail_config::ProcessSettings;
use coppersail_consensus::{Ms, RequestId};
use eyre::{eyre, Result};
use node::{Effect, Event, Node, PeerResponse, Startup};
use peer_rpc::PeerRpcWorkers;
use resources::{ParsedRequest, Resource};
use slab::Slab;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use store::DiskWriter;
use tiny_http::Request;

pub struct Server {
    node: Mutex<Node>,
    /// Who waits for an answer.
    waiting: Mutex<Slab<Request>>,
    scribe: DiskWriter,
    lanes: PeerRpcWorkers,
    start: Instant,
    log: slog::Logger,
    left: (Mutex<bool>, Condvar),
}

/// A thread that panicked under a lock ends the process: see `main`.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Server {
    pub fn start(boot: &ProcessSettings, log: slog::Logger) -> Result<Arc<Server>> {
        let folder =
            boot.data_folder.clone().ok_or_else(|| eyre!("self.dataFolder: null, expected a folder"))?;
        let admin =
            boot.admin.clone().ok_or_else(|| eyre!("network.binds.admin: missing, expected an address"))?;
        let say = |text: &str| slog::warn!(log, "{text}");
        let (scribe, found) = DiskWriter::start(std::path::Path::new(&folder), say)?;
        let (port, start) = (boot.spare_ports.0, Instant::now());
        // Numbers up to 2^53 are safe in every JSON reader.
        let life = fastrand::u64(1..1 << 53);
        let (node, effects) =
            Node::start(1, Startup { settings: boot.clone(), recovered: found, new_incarnation: life });
        let (node, waiting, left) = (Mutex::new(node), Mutex::default(), Default::default());
        let centre =
            Arc::new(Server { node, waiting, scribe, lanes: PeerRpcWorkers::new(port), start, log, left });
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
                Effect::Persist { token, write } => {
                    let centre = self.clone();
                    let done = move |ok| centre.event(Event::WriteFinished { token, ok });
                    self.scribe.write(write, Box::new(done));
                }
                other => rest.push(other),
            }
        }
        drop(node);
        let centre = self.clone();
        let told: peer_rpc::Told = Arc::new(move |token, say| {
            centre.event(Event::PeerResponded { operation_id: token, response: say })
        });
        for effect in rest {
            match effect {
                Effect::RespondToAdmin { caller, status, body } => self.respond(caller, status, body),
                Effect::RespondToPeer { caller, response: say } => {
                    let body = match say {
                        PeerResponse::Update(news) => serde_json::to_string(&news),
                        PeerResponse::Consensus(say) => serde_json::to_string(&say),
                    };
                    self.respond(caller, 200, body.unwrap_or_default());
                }
                Effect::SendToPeer { token, peer: to, call, timeout: wait } => {
                    self.lanes.send(token, to, call, wait, &told)
                }
                Effect::Log(line) => slog::info!(self.log, "{line}"),
                Effect::Exit => {
                    *lock(&self.left.0) = true;
                    self.left.1.notify_all();
                }
                Effect::Persist { .. } => {}
            }
        }
    }

    fn respond(&self, caller: RequestId, status: u16, body: String) {
        let request = lock(&self.waiting).try_remove(caller as usize);
        if let Some(request) = request {
            response_writer::respond(request, status, body);
        }
    }

    fn take(self: &Arc<Self>, request: Request, taken: ParsedRequest) {
        let caller = lock(&self.waiting).insert(request) as RequestId;
        self.event(match taken {
            ParsedRequest::Admin(call) => Event::Admin { request_id: caller, request: call },
            ParsedRequest::Peer(call) => Event::Peer { caller, call },
        });
    }

    /// The settings were read again.
    pub fn reread(self: &Arc<Self>, boot: ProcessSettings) {
        self.event(Event::SettingsChanged(Box::new(boot)));
    }

    /// It was told to end.
    pub fn term(self: &Arc<Self>) {
        self.event(Event::Shutdown);
    }

    /// Until nothing rests on this centre any more.
    pub fn wait_to_leave(&self) {
        let left = lock(&self.left.0);
        drop(self.left.1.wait_while(left, |left| !*left).unwrap_or_else(PoisonError::into_inner));
    }
}

fn serve(centre: &Arc<Server>, address: &str, all: Vec<Box<dyn Resource>>) -> Result<()> {
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

fn dispatch(centre: &Arc<Server>, all: &[Box<dyn Resource>], request: Request, body: Option<String>) {
    let url = request.url().to_string();
    let path = url.split('?').next().unwrap_or("");
    let method = request.method().clone();
    let found = all.iter().find_map(|r| r.takes(&method, path).map(|part| (r, part)));
    match (found, body) {
        (Some((resource, part)), Some(body)) => match resource.read(&method, part, body) {
            Ok(taken) => centre.take(request, taken),
            Err(line) => response_writer::respond(request, 400, line),
        },
        (Some(_), None) => {
            response_writer::respond(request, 400, "{\"why\":\"the body was cut short\"}".into())
        }
        (None, _) => response_writer::respond(request, 404, "{\"why\":\"nothing here\"}".into()),
    }
}
