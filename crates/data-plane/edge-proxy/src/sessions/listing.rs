//! The list of an edge's sessions that operators can query (`gatewayctl session list`).
use super::peer_links::SentTotals;
use super::service::Sessions;
use coppersail_session_affinity::{Counters, NodeId, SessionId};
use serde::{Deserialize, Serialize};

/// The response to `GET /sessions`. It contains neither tokens nor idempotency keys. The JSON field names are
/// part of the wire format, and fields that an older edge does not send are read as zero.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct SessionListing {
    /// The edge's number in the peer sets.
    #[serde(rename = "site")]
    pub node_id: NodeId,
    /// Ids of the sessions that it owns or of which it keeps a replica, in ascending order.
    pub sessions: Vec<String>,
    /// Counters since the start of the process.
    pub counts: Counters,
    /// Number of rejected tokens.
    #[serde(rename = "unfit")]
    pub rejected_tokens: u64,
    /// Number of messages sent to peer edges.
    pub messages: u64,
    /// Number of bytes in the request bodies that contained these messages.
    pub bytes: u64,
}

impl Sessions {
    /// The current list of sessions for operators.
    pub fn listing(&self) -> SessionListing {
        let node = self.node.borrow();
        let SentTotals { messages, bytes } = self.links.totals();
        SessionListing {
            node_id: self.node_id,
            sessions: node.sessions().iter().map(SessionId::to_string).collect(),
            counts: node.counters(),
            rejected_tokens: self.rejected_tokens.get(),
            messages,
            bytes,
        }
    }
}
