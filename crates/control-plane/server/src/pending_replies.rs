//! Requests of endpoints and operators whose reply waits for a commit, for acknowledgements of followers, or
//! for the release of a lease.
use coppersail_consensus::{Ms, RequestId};
use coppersail_peer_protocol::EndpointState;

/// A request that is not answered yet.
pub(crate) struct PendingReply {
    pub(crate) request_id: RequestId,
    /// The request is answered at this time at the latest, whether or not its condition is met.
    pub(crate) deadline: Ms,
    /// The proposal that has to be committed first.
    pub(crate) ticket: Option<u64>,
    /// The sequence number of the change feed that followers have to acknowledge first.
    pub(crate) sequence: Option<u64>,
    pub(crate) kind: ReplyKind,
}

/// The announcement of an endpoint that it drains or has signed off.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Departure {
    pub(crate) state: EndpointState,
    pub(crate) announced_at: Ms,
}

pub(crate) enum ReplyKind {
    /// An order that is being committed.
    Order,
    /// An order with another content for a revision that is being committed: refused once that is committed.
    ConflictingOrder,
    /// A heartbeat or a sign-off.
    Heartbeat {
        endpoint: String,
        /// What the endpoint announces, if it leaves.
        departure: Option<Departure>,
        /// The sharded service of which the endpoint renews leases.
        sharded_service: Option<String>,
    },
}

#[derive(Default)]
pub(crate) struct PendingReplies {
    replies: Vec<PendingReply>,
    /// A proposal was committed or failed, or leadership changed, since replies were last checked.
    pub(crate) check_due: bool,
}

impl PendingReplies {
    pub(crate) fn push(&mut self, reply: PendingReply) {
        self.replies.push(reply);
    }

    /// Removes and returns all replies, in the order of their requests. The caller pushes those again that
    /// still wait.
    pub(crate) fn take_all(&mut self) -> Vec<PendingReply> {
        std::mem::take(&mut self.replies)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.replies.is_empty()
    }

    pub(crate) fn any_awaits_followers(&self) -> bool {
        self.replies.iter().any(|reply| reply.sequence.is_some())
    }

    /// Endpoints whose heartbeat is waiting here for leases.
    pub(crate) fn waiting_endpoints(&self) -> impl Iterator<Item = &String> {
        self.replies.iter().filter_map(|reply| match &reply.kind {
            ReplyKind::Heartbeat { endpoint, sharded_service: Some(_), .. } => Some(endpoint),
            _ => None,
        })
    }
}
