//! Data types of the simulation: times, events, requests and clients.
use coppersail_session_affinity::{Message, NodeId, Outcome, SessionId};

/// Microseconds since the simulation began.
pub(crate) type Micros = u64;
pub(crate) const MS: Micros = 1_000;
pub(crate) const SECOND: Micros = 1_000 * MS;
/// The Unix time at which simulations begin, in milliseconds.
pub(crate) const START_TIME: u64 = 1_700_000_000_000;
pub(crate) const NODES: u16 = 8;
pub(crate) const ZONES: u16 = 4;
pub(crate) const CLIENTS: usize = 150;
/// Clients begin no requests after this time.
pub(crate) const DURATION: Micros = 30 * SECOND;

/// How the nodes share sessions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Strategy {
    /// This package: ownership of a session moves to the node that gets its requests.
    Affinity,
    /// As `Affinity`, but unknown outcomes are reported as not executed. This is a fault that the comparison with the
    /// ledger has to detect.
    UnknownAsNotExecuted,
    /// The node where the session began serves it; other nodes forward its requests.
    Pinned,
    /// Every node gets a copy of an idempotent request before it is sent.
    FullReplication,
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
    PartitionZone { zone: u16 },
    HealNetwork,
}

/// The end of an attempt at the endpoint.
#[derive(Debug, Clone)]
pub(crate) struct AttemptEnd {
    pub(crate) node: NodeId,
    /// How many times the node had been killed when it sent the request.
    pub(crate) incarnation: u32,
    pub(crate) request: u64,
    pub(crate) outcome: Outcome,
    pub(crate) executed: bool,
}

/// A packet between two nodes.
#[derive(Debug, Clone)]
pub(crate) enum Packet {
    Affinity(Message),
    /// `Pinned`: a request that is forwarded to the session's node.
    Forward(u64),
    /// `Pinned`: the response to a forwarded request.
    ForwardedResponse(u64, Response),
    /// `FullReplication`: a request is about to be sent.
    CopyBegin {
        request: u64,
        key: RequestKey,
    },
    /// `FullReplication`: the outcome of a request; `None` if it was not executed.
    CopyEnd {
        key: RequestKey,
        state: CopyState,
    },
    CopyAck(u64),
}

/// An idempotent request by session and key.
pub(crate) type RequestKey = (SessionId, String);

/// The copy of an idempotent request's state in the strategies that serve as a comparison: `None` while it is in
/// flight, then whether it is known to have been executed.
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
    /// It arrived at another node than the session's previous request.
    pub(crate) is_takeover: bool,
    pub(crate) arrived: Micros,
    pub(crate) endpoint_time: Micros,
    /// The node that forwarded the request, if the serving node did not get it from the client.
    pub(crate) forwarded_by: Option<NodeId>,
    pub(crate) copy_acks: u32,
    pub(crate) sent: bool,
    /// The response to the client, sent once the outcome is recorded.
    pub(crate) response: Option<Response>,
}

pub(crate) struct Client {
    pub(crate) id: SessionId,
    pub(crate) created_at: u64,
    /// `Pinned`: the node that serves the session.
    pub(crate) home: NodeId,
    pub(crate) node: NodeId,
    pub(crate) last_node: Option<NodeId>,
    pub(crate) steps_left: u32,
    pub(crate) tries: u32,
    /// An earlier try of the request may have been executed.
    pub(crate) may_have_executed: bool,
    pub(crate) request: u64,
    pub(crate) key: String,
    pub(crate) idempotent: bool,
}
