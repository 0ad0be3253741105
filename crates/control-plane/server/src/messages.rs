//! Messages of the pure node: the events that go into [`crate::node::Node::step`] and the effects that come
//! out.
use crate::store::{RecoveredState, WriteBatch};
use coppersail_config::ProcessSettings;
use coppersail_consensus::{Id, Ms, OperationId, RequestId};
use coppersail_peer_protocol::{Update, WatchRequest};

/// The input of a node's start.
pub struct Startup {
    /// The process settings, already validated.
    pub settings: ProcessSettings,
    /// What was found in the data folder.
    pub recovered: RecoveredState,
    /// A random number from 1 to below 2^53: the incarnation of a new disk, and the id of the change feed.
    pub feed_and_disk_incarnation: u64,
}

/// An input of the node.
pub enum Event {
    /// The periodic timer, about twenty times a second.
    Tick,
    /// A request of an endpoint or an operator.
    Admin {
        /// Names the request in [`Effect::RespondToAdmin`].
        request_id: RequestId,
        /// The request.
        request: AdminRequest,
    },
    /// A request of an edge proxy or another member.
    Peer {
        /// Names the request in [`Effect::RespondToPeer`].
        request_id: RequestId,
        /// The request.
        request: PeerRequest,
    },
    /// The result of [`Effect::SendToPeer`].
    PeerResponded {
        /// The id in the effect.
        operation_id: OperationId,
        /// `None` if the request was refused, cut off, reset or not answered in time.
        response: Option<PeerResponse>,
    },
    /// The result of [`Effect::Persist`]; results come in the order of the writes.
    WriteFinished {
        /// The id in the effect.
        operation_id: OperationId,
        /// Whether the batch is on the disk.
        ok: bool,
    },
    /// SIGTERM: hand leadership over, then exit.
    Shutdown,
    /// The settings file was read again, and is valid.
    SettingsChanged(Box<ProcessSettings>),
}

/// A request of an endpoint or an operator. Bodies are JSON.
pub enum AdminRequest {
    /// `POST /servers/ID/pulse`: a heartbeat of an endpoint.
    Heartbeat {
        /// The id of the endpoint.
        endpoint_id: String,
        /// The body of the request.
        body: String,
    },
    /// `POST /servers/ID/sign-off`: an endpoint shuts down.
    SignOff {
        /// The id of the endpoint.
        endpoint_id: String,
    },
    /// `POST /settings/replace`: an order to replace the configuration.
    ReplaceConfig {
        /// The configuration.
        body: String,
    },
    /// `GET /settings/read`
    ReadConfig,
    /// `/rollouts` and the paths below it.
    Rollouts {
        /// Whether it is a POST; else it is a GET.
        post: bool,
        /// The path after `/rollouts`.
        path: String,
        /// The body of a POST.
        body: String,
    },
}

/// A request between members, or of an edge proxy to a member.
pub enum PeerRequest {
    /// A long poll of the change feed; between members it is the heartbeat as well.
    Watch(Box<WatchRequest>),
    /// A request of the consensus protocol.
    Consensus(coppersail_consensus::Request),
}

/// The response to a [`PeerRequest`].
pub enum PeerResponse {
    /// What is new in the change feed.
    Update(Box<Update>),
    /// A response of the consensus protocol.
    Consensus(coppersail_consensus::Response),
}

/// An action for the adapters; they carry out actions in order.
pub enum Effect {
    /// Answer an [`Event::Admin`].
    RespondToAdmin {
        /// The id of the request.
        request_id: RequestId,
        /// The HTTP status.
        status: u16,
        /// JSON; with status 307 the URL to redirect to.
        body: String,
    },
    /// Answer an [`Event::Peer`].
    RespondToPeer {
        /// The id of the request.
        request_id: RequestId,
        /// The response.
        response: PeerResponse,
    },
    /// Send a request to another member.
    SendToPeer {
        /// Names the operation in [`Event::PeerResponded`].
        operation_id: OperationId,
        /// The member's address for endpoints and operators, "ip:port".
        peer: Id,
        /// The request.
        request: PeerRequest,
        /// In ms.
        timeout: Ms,
    },
    /// Write a batch atomically and synced; batches are written one after the other.
    Persist {
        /// Names the operation in [`Event::WriteFinished`].
        operation_id: OperationId,
        /// The batch.
        write: WriteBatch,
    },
    /// Write a line to the log.
    Log(String),
    /// The process may end.
    Exit,
}
