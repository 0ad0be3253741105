//! The adapter around [`Node`]: threads, sockets, the disk and the clock.
//!
//! An event goes to the node under its lock, with the time; the effects that come out are carried out here.
//! This module makes no decisions.
use crate::listener::{
    self, BindError, Binding, HttpResponse, Listener, RequestHandler, Responder, SpawnError,
};
use crate::node::{Effect, Event, Node, PeerResponse, Startup};
use crate::peer_rpc::{PeerCall, PeerRpcWorkers, ResponseHandler};
use crate::resources::{self, ParsedRequest};
use crate::store::{DiskWriter, RecoveredState, WriteBatch};
use coppersail_config::ProcessSettings;
use coppersail_consensus::{Ms, OperationId, RequestId};
use slab::Slab;
use std::io;
use std::path::Path;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

/// The interval between the ticks of the node.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

const TICK_STACK_BYTES: usize = 512 * 1024;

/// How long the last responses of a node that shuts down may take to be written.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(200);

/// The limit of random incarnations: integers below it are exact in every JSON parser, also where numbers are
/// doubles.
const MAX_INCARNATION: u64 = 1 << 53;

/// The start of the node's clock, in ms. It is not 0, because a time of 0 means never.
const CLOCK_START: Ms = 1;

/// Why a node can't be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The settings name no folder for its data.
    #[error("self.dataFolder: null, expected a folder")]
    NoDataFolder,
    /// The settings name no address for endpoints and operators.
    #[error("network.binds.admin: missing, expected an address")]
    NoAdminAddress,
    /// An address can't be listened on.
    #[error(transparent)]
    Bind(#[from] BindError),
    /// A thread can't be started.
    #[error(transparent)]
    Thread(#[from] io::Error),
}

impl From<SpawnError> for StartError {
    fn from(error: SpawnError) -> StartError {
        match error {
            SpawnError::Bind(error) => error.into(),
            SpawnError::Thread(error) => error.into(),
        }
    }
}

/// A running control-plane node.
pub struct Server {
    node: Mutex<Node>,
    /// Requests that the node has not answered yet; the index is the request's id.
    pending_requests: Mutex<Slab<Responder>>,
    disk_writer: DiskWriter,
    peer_workers: PeerRpcWorkers,
    started: Instant,
    log: slog::Logger,
    exit: ExitFlag,
    /// Set once the node listens.
    listener: OnceLock<Listener>,
}

/// Set once the node has handed over its duties.
#[derive(Default)]
struct ExitFlag {
    is_set: Mutex<bool>,
    changed: Condvar,
}

impl ExitFlag {
    fn set(&self) {
        *lock(&self.is_set) = true;
        self.changed.notify_all();
    }

    fn wait(&self) {
        let is_set = lock(&self.is_set);
        let wait = self.changed.wait_while(is_set, |is_set| !*is_set);
        drop(wait.unwrap_or_else(PoisonError::into_inner));
    }
}

/// Locks a mutex. Poisoning can be ignored, because a panic in any thread ends the process (see `main.rs`).
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Server {
    /// Recovers the node from its disk, with retries until that succeeds, and starts its threads and
    /// listeners.
    ///
    /// # Errors
    /// See [`StartError`]. Threads that were already started keep running, so the caller has to exit the
    /// process.
    pub fn start(settings: &ProcessSettings, log: slog::Logger) -> Result<Arc<Server>, StartError> {
        let data_folder = settings.data_folder.as_ref().ok_or(StartError::NoDataFolder)?;
        let admin_address = settings.admin_address.as_ref().ok_or(StartError::NoAdminAddress)?;
        let log_warning = |text: &str| slog::warn!(log, "{text}");
        let (disk_writer, recovered) = DiskWriter::start(Path::new(data_folder), log_warning)?;
        let server = Server::recover(settings, recovered, disk_writer, log);
        server.spawn_ticks()?;
        let peer_address = format!("{}:{}", settings.ip_address, settings.peer_ports.0);
        let bindings = vec![
            Binding { address: peer_address, resources: resources::of_peers() },
            Binding { address: admin_address.clone(), resources: resources::of_admin() },
        ];
        let listener = listener::spawn(bindings, server.request_handler())?;
        let _ = server.listener.set(listener);
        Ok(server)
    }

    /// Starts the node's state machine and carries out its first effects.
    fn recover(
        settings: &ProcessSettings,
        recovered: RecoveredState,
        disk_writer: DiskWriter,
        log: slog::Logger,
    ) -> Arc<Server> {
        let started = Instant::now();
        let new_incarnation = fastrand::u64(1..MAX_INCARNATION);
        let startup =
            Startup { settings: settings.clone(), recovered, feed_and_disk_incarnation: new_incarnation };
        let (node, effects) = Node::start(CLOCK_START, startup);
        let server = Arc::new(Server {
            node: Mutex::new(node),
            pending_requests: Mutex::default(),
            disk_writer,
            peer_workers: PeerRpcWorkers::new(settings.peer_ports.0),
            started,
            log,
            exit: ExitFlag::default(),
            listener: OnceLock::new(),
        });
        server.carry_out_all(lock(&server.node), effects);
        server
    }

    fn spawn_ticks(self: &Arc<Self>) -> io::Result<()> {
        let server = self.clone();
        let tick = move || loop {
            std::thread::sleep(TICK_INTERVAL);
            server.submit(Event::Tick);
        };
        std::thread::Builder::new().name("tick".into()).stack_size(TICK_STACK_BYTES).spawn(tick)?;
        Ok(())
    }

    fn request_handler(self: &Arc<Self>) -> RequestHandler {
        let server = self.clone();
        Arc::new(move |request, responder| server.submit_request(request, responder))
    }

    /// Registers the responder under a new request id and passes the request to the node, which answers by
    /// that id.
    fn submit_request(self: &Arc<Self>, request: ParsedRequest, responder: Responder) {
        let request_id = lock(&self.pending_requests).insert(responder) as RequestId;
        self.submit(match request {
            ParsedRequest::Admin(request) => Event::Admin { request_id, request },
            ParsedRequest::Peer(request) => Event::Peer { request_id, request },
        });
    }

    fn submit(self: &Arc<Self>, event: Event) {
        let mut node = lock(&self.node);
        let now = self.now();
        let mut effects = Vec::new();
        node.step(now, event, &mut effects);
        self.carry_out_all(node, effects);
    }

    /// The time of the node's clock, in ms.
    fn now(&self) -> Ms {
        self.started.elapsed().as_millis() as Ms + CLOCK_START
    }

    /// Carries out effects. Writes are queued under the node's lock, so that they reach the disk in the order
    /// in which the node issued them. The other effects need no order and may block, so they follow after the
    /// lock is released.
    fn carry_out_all(self: &Arc<Self>, node: MutexGuard<'_, Node>, effects: Vec<Effect>) {
        let (writes, others): (Vec<Effect>, Vec<Effect>) =
            effects.into_iter().partition(|effect| matches!(effect, Effect::Persist { .. }));
        writes.into_iter().for_each(|write| self.carry_out(write));
        drop(node);
        others.into_iter().for_each(|effect| self.carry_out(effect));
    }

    fn carry_out(self: &Arc<Self>, effect: Effect) {
        match effect {
            Effect::Persist { operation_id, write } => self.persist(operation_id, write),
            Effect::RespondToAdmin { request_id, status, body } => self.respond(request_id, status, body),
            Effect::RespondToPeer { request_id, response } => self.respond_to_peer(request_id, &response),
            Effect::SendToPeer { operation_id, peer, request, timeout } => {
                let call = PeerCall { operation_id, peer, request, timeout };
                self.peer_workers.send(call, &self.response_handler());
            }
            Effect::Log(line) => self.log_info(&line),
            Effect::Exit => self.exit.set(),
        }
    }

    fn persist(self: &Arc<Self>, operation_id: OperationId, batch: WriteBatch) {
        let server = self.clone();
        let on_complete = move |ok| server.submit(Event::WriteFinished { operation_id, ok });
        self.disk_writer.write(batch, Box::new(on_complete));
    }

    fn response_handler(self: &Arc<Self>) -> ResponseHandler {
        let server = self.clone();
        Arc::new(move |operation_id, response| {
            server.submit(Event::PeerResponded { operation_id, response });
        })
    }

    fn respond_to_peer(&self, request_id: RequestId, response: &PeerResponse) {
        let body = match response {
            PeerResponse::Update(update) => serde_json::to_string(update),
            PeerResponse::Consensus(response) => serde_json::to_string(response),
        };
        self.respond(request_id, 200, body.unwrap_or_default());
    }

    fn respond(&self, request_id: RequestId, status: u16, body: String) {
        let responder = lock(&self.pending_requests).try_remove(request_id as usize);
        if let Some(responder) = responder {
            // The client may have disconnected.
            let _ = responder.send(HttpResponse { status, body });
        }
    }

    /// Logs a line at the level info.
    pub fn log_info(&self, line: &str) {
        slog::info!(self.log, "{line}");
    }

    /// Applies reloaded settings, as far as they can change in a running process.
    pub fn change_settings(self: &Arc<Self>, settings: ProcessSettings) {
        self.submit(Event::SettingsChanged(Box::new(settings)));
    }

    /// Begins a graceful shutdown: the node hands over its duties.
    pub fn begin_shutdown(self: &Arc<Self>) {
        self.submit(Event::Shutdown);
    }

    /// Blocks until a graceful shutdown is complete and the pending responses are written, or their timeout
    /// has passed.
    pub fn wait_for_exit(&self) {
        self.exit.wait();
        if let Some(listener) = self.listener.get() {
            listener.shut_down(RESPONSE_TIMEOUT);
        }
    }
}
