//! What there is in a night: times, events, requests, clients.
use coppersail_session_affinity::{Message, NodeId, Outcome, SessionId};

/// Microseconds since the night began.
pub(crate) type Micros = u64;
pub(crate) const MS: Micros = 1_000;
pub(crate) const SECOND: Micros = 1_000 * MS;
/// The time of day at which nights begin, in milliseconds.
pub(crate) const EVENING: u64 = 1_700_000_000_000;
pub(crate) const NODES: u16 = 8;
pub(crate) const ZONES: u16 = 4;
pub(crate) const CLIENTS: usize = 150;
pub(crate) const NIGHT: Micros = 30 * SECOND;

/// How the edges share sessions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Strategy {
    /// This package.
    Travelling,
    /// The same, at a gateway that takes an unknown outcome for one that did not run: the ledger has to see it.
    Careless,
    /// The node where the session began serves it; others forward its requests.
    Pinned,
    /// Every node has every session, and gets a copy before an idempotent request is sent.
    Everywhere,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestKind {
    Lookup,
    Idempotent,
}

#[derive(Debug, Clone)]
pub(crate) enum Event {
    ClientProceeds(usize),
    RequestArrives { client: usize, request: u64, node: NodeId },
    PacketArrives { from: NodeId, to: NodeId, packet: Packet },
    AttemptEnds(AttemptEnd),
    ResponseArrives { client: usize, request: u64, response: Response },
    ClientTimeout { client: usize, request: u64 },
    Tick(NodeId),
    Kill(NodeId),
    Start(NodeId),
    CutOff { zone: u16 },
    HealNetwork,
}

/// The end of an attempt at the endpoint.
#[derive(Debug, Clone)]
pub(crate) struct AttemptEnd {
    pub(crate) node: NodeId,
    /// How often the node had been killed when it sent the request.
    pub(crate) incarnation: u32,
    pub(crate) request: u64,
    pub(crate) outcome: Outcome,
    pub(crate) executed: bool,
}

/// What nodes send each other.
#[derive(Debug, Clone)]
pub(crate) enum Packet {
    Affinity(Message),
    /// Pinned: a request that is forwarded to the session's node.
    Forward(u64),
    /// Pinned: its response.
    ForwardedResponse(u64, Response),
    /// Everywhere: a request is about to be sent.
    CopyBegin {
        request: u64,
        key: RequestKey,
    },
    /// Everywhere: how a request ended; nothing where it was not executed.
    CopyEnd {
        key: RequestKey,
        state: CopyState,
    },
    CopyAck(u64),
}

/// An idempotent request by session and key.
pub(crate) type RequestKey = (SessionId, String);

/// What the strategies that are compared keep of an idempotent request: nothing while it is in flight, then whether
/// it is known to have been executed.
pub(crate) type CopyState = Option<bool>;

#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Response {
    Success,
    Replayed,
    NotRun,
    InFlight,
    Unknown,
    SessionLost,
}

/// A request on its way through a node.
pub(crate) struct Request {
    pub(crate) client: usize,
    pub(crate) kind: RequestKind,
    pub(crate) id: SessionId,
    pub(crate) created_at: u64,
    pub(crate) key: String,
    pub(crate) crossing: bool,
    pub(crate) arrived: Micros,
    pub(crate) endpoint_time: Micros,
    /// The node that forwarded it, if the serving node did not get it from the client.
    pub(crate) forwarded_by: Option<NodeId>,
    pub(crate) copy_acks: u32,
    pub(crate) sent: bool,
    /// What the client gets once the outcome is recorded.
    pub(crate) response: Option<Response>,
}

pub(crate) struct Client {
    pub(crate) id: SessionId,
    pub(crate) created_at: u64,
    /// Pinned: the node that serves the session.
    pub(crate) home: NodeId,
    pub(crate) node: NodeId,
    pub(crate) last_node: Option<NodeId>,
    pub(crate) steps_left: u32,
    pub(crate) tries: u32,
    /// An earlier try of the request may have been executed.
    pub(crate) in_doubt: bool,
    pub(crate) request: u64,
    pub(crate) key: String,
    pub(crate) idempotent: bool,
}
