//! Sends requests to other control-plane nodes.
//!
//! Each peer and kind of request has a thread with a queue and one persistent connection, so that a long poll
//! or a large snapshot does not delay other requests. A queue is bounded by time: a request that has waited
//! in it for its whole timeout fails without being sent.
use crate::members::peer_address;
use crate::node::{PeerRequest, PeerResponse};
use coppersail_consensus::{Id, Ms, OperationId, Request};
use coppersail_peer_client::PeerClient;
use std::collections::BTreeMap;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

const WORKER_STACK_BYTES: usize = 256 * 1024;

const WATCH_PATH: &str = "/follow";
const CONSENSUS_PATH: &str = "/core";

/// Called on the worker's thread with the response; `None` if the request failed.
pub(crate) type ResponseHandler = Arc<dyn Fn(OperationId, Option<PeerResponse>) + Send + Sync>;

/// A request to another node.
pub(crate) struct PeerCall {
    pub(crate) operation_id: OperationId,
    pub(crate) peer: Id,
    pub(crate) request: PeerRequest,
    /// For the time in the queue and the response together, in ms.
    pub(crate) timeout: Ms,
}

/// Requests of different kinds do not wait for each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum RequestKind {
    Watch,
    Voter,
    ReplicaWrite,
}

impl RequestKind {
    fn of(request: &PeerRequest) -> RequestKind {
        match request {
            PeerRequest::Watch(_) => RequestKind::Watch,
            PeerRequest::Consensus(Request::Voter(_)) => RequestKind::Voter,
            PeerRequest::Consensus(Request::ReplicaWrite(_)) => RequestKind::ReplicaWrite,
        }
    }
}

struct QueuedRequest {
    operation_id: OperationId,
    request: PeerRequest,
    timeout: Duration,
    queued_at: Instant,
}

/// The workers of all peers; each is started by its first request.
pub(crate) struct PeerRpcWorkers {
    /// The port on which all nodes listen for each other.
    port: u16,
    queues: Mutex<BTreeMap<(Id, RequestKind), Sender<QueuedRequest>>>,
}

impl PeerRpcWorkers {
    pub(crate) fn new(port: u16) -> PeerRpcWorkers {
        PeerRpcWorkers { port, queues: Mutex::default() }
    }

    /// Queues a request. `on_response` is called once for it: on the worker's thread, or on this one if there
    /// is no worker.
    pub(crate) fn send(&self, call: PeerCall, on_response: &ResponseHandler) {
        let key = (call.peer, RequestKind::of(&call.request));
        let queued = QueuedRequest {
            operation_id: call.operation_id,
            request: call.request,
            timeout: Duration::from_millis(call.timeout),
            queued_at: Instant::now(),
        };
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        let queue = queues
            .entry(key.clone())
            .or_insert_with(|| spawn_worker(peer_address(&key.0, self.port), on_response.clone()));
        if let Err(rejected) = queue.send(queued) {
            queues.remove(&key);
            // Releases the lock first, because the handler may send another request.
            drop(queues);
            on_response(rejected.0.operation_id, None);
        }
    }
}

/// The queue of a new worker. If its thread can't be started, the queue is closed and the first request
/// fails.
fn spawn_worker(address: String, on_response: ResponseHandler) -> Sender<QueuedRequest> {
    let (sender, receiver) = channel();
    let thread = std::thread::Builder::new().name("peer-rpc".into()).stack_size(WORKER_STACK_BYTES);
    let _ = thread.spawn(move || Worker { address, connection: None }.run(&receiver, &on_response));
    sender
}

/// A client with its persistent connection. A client's timeouts are fixed.
struct Connection {
    timeout: Duration,
    client: PeerClient,
}

struct Worker {
    address: String,
    connection: Option<Connection>,
}

impl Worker {
    fn run(mut self, queue: &Receiver<QueuedRequest>, on_response: &ResponseHandler) {
        while let Ok(queued) = queue.recv() {
            let is_expired = queued.queued_at.elapsed() >= queued.timeout;
            let response = if is_expired { None } else { self.send(&queued) };
            on_response(queued.operation_id, response);
        }
    }

    fn send(&mut self, queued: &QueuedRequest) -> Option<PeerResponse> {
        let address = self.address.clone();
        let client = self.client(queued.timeout);
        let response = match &queued.request {
            PeerRequest::Watch(watch) => {
                client.post(&address, WATCH_PATH, watch).map(|update| PeerResponse::Update(Box::new(update)))
            }
            PeerRequest::Consensus(request) => {
                client.post(&address, CONSENSUS_PATH, request).map(PeerResponse::Consensus)
            }
        };
        response.ok()
    }

    /// The client for this timeout. A change of the timeout needs a new connection.
    fn client(&mut self, timeout: Duration) -> &PeerClient {
        let connection = self
            .connection
            .take()
            .filter(|connection| connection.timeout == timeout)
            .unwrap_or_else(|| Connection { timeout, client: PeerClient::new(timeout / 2, timeout) });
        &self.connection.insert(connection).client
    }
}
