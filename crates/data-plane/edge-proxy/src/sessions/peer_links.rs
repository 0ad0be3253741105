//! Messages to peer edges: queues, connections, and the form of a post on the wire.
use bytes::Bytes;
use coppersail_config::SessionSettings;
use coppersail_session_affinity::{Message, NodeId};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::header::{HeaderValue, HOST};
use hyper::{Method, Request, Uri};
use hyper_util::rt::TokioIo;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use serde_json::value::{to_raw_value, RawValue};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// HTTP path of posts between edges: a wire name that edges of other builds use; it never changes with names in code.
pub(super) const MESSAGES_PATH: &str = "/sojourn";
/// Posts under way at once to one peer; messages that come meanwhile go together with the next.
const MAX_CONCURRENT_POSTS: usize = 8;
/// Messages of one post: enough that many sessions that move at once take few posts, and that the answer to all of
/// them can be held in memory.
const MAX_BATCH: usize = 16;
/// Allowance in bytes for what a record has beside its response, written as JSON.
const RECORD_OVERHEAD: usize = 4096;

/// The JSON body of a post between edges. Its field names are wire names. The answer is a JSON list of messages.
#[derive(Serialize, Deserialize)]
pub(super) struct PeerPost<M> {
    /// The sender's number in the peer sets.
    pub(super) from: NodeId,
    /// Messages of session affinity, in order.
    pub(super) msgs: Vec<M>,
}

/// Limit in bytes of a post's body and of its answer: as long as the records of a batch can be, written as text.
pub(super) fn max_body_bytes(settings: &SessionSettings) -> usize {
    MAX_BATCH * (settings.max_confirmations + 1) * (2 * settings.max_answer_bytes + RECORD_OVERHEAD)
}

/// What was sent to peers since the start.
#[derive(Clone, Copy, Default)]
pub(super) struct SentTotals {
    pub(super) messages: u64,
    /// Bytes of the posts' bodies.
    pub(super) bytes: u64,
}

#[derive(Default)]
struct PeerLink {
    idle: Vec<SendRequest<Full<Bytes>>>,
    /// Senders that take from the queue.
    senders: usize,
    queue: VecDeque<Box<RawValue>>,
}

/// Queues and connections to all peers.
pub(super) struct PeerLinks {
    node_id: NodeId,
    /// Time for one post and its answer.
    timeout: Duration,
    /// Messages queued for one peer.
    max_queued: usize,
    /// Limit of an answer, in bytes.
    max_body: usize,
    links: RefCell<FxHashMap<NodeId, PeerLink>>,
    totals: Cell<SentTotals>,
}

impl PeerLinks {
    pub(super) fn new(node_id: NodeId, timeout: Duration, max_queued: usize, max_body: usize) -> PeerLinks {
        PeerLinks {
            node_id,
            timeout,
            max_queued,
            max_body,
            links: RefCell::default(),
            totals: Cell::default(),
        }
    }

    pub(super) fn totals(&self) -> SentTotals {
        self.totals.get()
    }

    /// Queues messages for a peer. True if the caller has to start one more sender, which takes batches with
    /// [`PeerLinks::next_batch`] until there is none.
    #[must_use]
    pub(super) fn enqueue(&self, to: NodeId, messages: &[Message]) -> bool {
        let mut links = self.links.borrow_mut();
        let link = links.entry(to).or_default();
        // Beyond a message for each session that may be kept, the peer is gone: the rest are lost, which session
        // affinity tolerates.
        let free_capacity = self.max_queued.saturating_sub(link.queue.len());
        link.queue
            .extend(messages.iter().filter_map(|message| to_raw_value(message).ok()).take(free_capacity));
        let start_sender = link.senders < MAX_CONCURRENT_POSTS;
        link.senders += usize::from(start_sender);
        start_sender
    }

    /// The messages of the next post. None: nothing is queued, and the sender that asked is counted as ended.
    pub(super) fn next_batch(&self, to: NodeId) -> Option<Vec<Box<RawValue>>> {
        let mut links = self.links.borrow_mut();
        let link = links.entry(to).or_default();
        let count = link.queue.len().min(MAX_BATCH);
        if count == 0 {
            link.senders -= 1;
            return None;
        }
        Some(link.queue.drain(..count).collect())
    }

    /// Posts a batch. None: no answer came in time that could be read; the messages may have arrived all the same.
    pub(super) async fn send(
        &self,
        to: NodeId,
        address: &str,
        msgs: Vec<Box<RawValue>>,
    ) -> Option<Vec<Message>> {
        let count = msgs.len() as u64;
        let body = serde_json::to_vec(&PeerPost { from: self.node_id, msgs }).unwrap_or_default();
        let SentTotals { messages, bytes } = self.totals.get();
        self.totals.set(SentTotals { messages: messages + count, bytes: bytes + body.len() as u64 });
        timeout(self.timeout, self.exchange(to, address, body.into())).await.ok().flatten()
    }

    /// Tries kept connections first: one that the peer has closed since fails and is followed by the next. A message
    /// that arrives twice does no harm.
    async fn exchange(&self, to: NodeId, address: &str, body: Bytes) -> Option<Vec<Message>> {
        loop {
            let kept = self.links.borrow_mut().entry(to).or_default().idle.pop();
            let is_new = kept.is_none();
            let mut sender = match kept {
                Some(sender) => sender,
                None => connect(address).await?,
            };
            match sender.send_request(post_request(address, body.clone())?).await {
                Ok(response) => {
                    let body = Limited::new(response.into_body(), self.max_body).collect().await.ok()?;
                    let messages = serde_json::from_slice(&body.to_bytes()).ok()?;
                    self.links.borrow_mut().entry(to).or_default().idle.push(sender);
                    return Some(messages);
                }
                Err(_) if is_new => return None,
                Err(_) => {}
            }
        }
    }
}

async fn connect(address: &str) -> Option<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(address).await.ok()?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    spawn_local(connection);
    Some(sender)
}

fn post_request(address: &str, body: Bytes) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static(MESSAGES_PATH);
    request.headers_mut().insert(HOST, HeaderValue::from_str(address).ok()?);
    Some(request)
}
