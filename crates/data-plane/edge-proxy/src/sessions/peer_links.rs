//! Messages to peer edges: queues, connections, and the wire format of a post, which is one HTTP request.
use bytes::Bytes;
use coppersail_config::SessionSettings;
use coppersail_response_framing::ResponseHead;
use coppersail_session_affinity::{Message, NodeId};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::header::{HeaderValue, HOST};
use hyper::{Method, Request, Response, StatusCode, Uri};
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

/// HTTP path of posts between edges. It is part of the wire format and must not change, since edges of other
/// versions use it.
pub(super) const MESSAGES_PATH: &str = "/sojourn";
/// Maximum number of concurrent posts to one peer. Messages that are queued in the meantime are sent with the
/// next post.
const MAX_CONCURRENT_POSTS: usize = 8;
/// Maximum number of messages in one post: enough for many sessions that move at the same time, and few
/// enough to hold the response to all of them in memory.
const MAX_BATCH: usize = 16;
/// Allowance (bytes) for the JSON text of a record in addition to its recorded response.
const RECORD_OVERHEAD: usize = 4096;

/// The JSON body of a post between edges. Its field names are part of the wire format. The response is a JSON
/// list of messages.
#[derive(Serialize, Deserialize)]
pub(super) struct PeerPost<M> {
    /// The sender's number in the peer sets.
    pub(super) from: NodeId,
    /// The messages, in the order in which they were queued.
    pub(super) msgs: Vec<M>,
}

/// Maximum size (bytes) of a post's body and of its response: the maximum size of a batch of records as JSON
/// text.
pub(super) fn max_body_bytes(settings: &SessionSettings) -> usize {
    MAX_BATCH * (settings.max_confirmations + 1) * (2 * settings.max_answer_bytes + RECORD_OVERHEAD)
}

/// Totals of what was sent to peers since the start of the process.
#[derive(Clone, Copy, Default)]
pub(super) struct SentTotals {
    pub(super) messages: u64,
    /// Number of bytes in the request bodies.
    pub(super) bytes: u64,
}

#[derive(Default)]
struct PeerLink {
    idle: Vec<SendRequest<Full<Bytes>>>,
    /// Number of sender tasks that take messages from the queue.
    senders: usize,
    queue: VecDeque<Box<RawValue>>,
}

/// Queues and connections to all peers.
pub(super) struct PeerLinks {
    node_id: NodeId,
    /// Timeout of one post, including its response.
    timeout: Duration,
    /// Maximum number of messages queued for one peer.
    max_queued: usize,
    /// Maximum size (bytes) of a response.
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

    /// Queues messages for a peer. Returns whether the caller must start another sender task, which takes
    /// batches with [`PeerLinks::next_batch`] until none is left.
    #[must_use]
    pub(super) fn enqueue(&self, to: NodeId, messages: &[Message]) -> bool {
        let mut links = self.links.borrow_mut();
        let link = links.entry(to).or_default();
        // A queue with one message for each possible session means that the peer is down. Further messages
        // are dropped, which session affinity tolerates.
        let free_capacity = self.max_queued.saturating_sub(link.queue.len());
        link.queue
            .extend(messages.iter().filter_map(|message| to_raw_value(message).ok()).take(free_capacity));
        let start_sender = link.senders < MAX_CONCURRENT_POSTS;
        link.senders += usize::from(start_sender);
        start_sender
    }

    /// Takes the messages of the next post. Returns `None` if the queue is empty; the calling sender task is
    /// then counted as ended.
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

    /// Posts a batch. Returns `None` if no valid response arrived in time; the messages may still have been
    /// delivered.
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

    /// Tries idle connections first. If one fails because the peer has closed it, the next one is tried, and
    /// finally a new connection. A message that is delivered twice has no further effect.
    async fn exchange(&self, to: NodeId, address: &str, body: Bytes) -> Option<Vec<Message>> {
        loop {
            let idle = self.links.borrow_mut().entry(to).or_default().idle.pop();
            let is_new = idle.is_none();
            let mut sender = match idle {
                Some(sender) => sender,
                None => connect(address).await?,
            };
            match sender.send_request(post_request(address, body.clone())?).await {
                Ok(response) => {
                    let messages = self.read_response(response).await?;
                    self.links.borrow_mut().entry(to).or_default().idle.push(sender);
                    return Some(messages);
                }
                Err(_) if is_new => return None,
                Err(_) => {}
            }
        }
    }

    /// Reads the messages in a response. Returns `None` unless it is a complete and well-formed success.
    async fn read_response(&self, response: Response<Incoming>) -> Option<Vec<Message>> {
        ResponseHead::from(&response).delimited_body_framing(&Method::POST).ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        let body = Limited::new(response.into_body(), self.max_body).collect().await.ok()?;
        serde_json::from_slice(&body.to_bytes()).ok()
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

#[cfg(test)]
#[path = "peer_links_tests.rs"]
mod tests;
