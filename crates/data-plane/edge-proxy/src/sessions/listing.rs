//! What operators see of an edge's sessions (`gatewayctl session list`).
use super::peer_links::SentTotals;
use super::service::Sessions;
use coppersail_session_affinity::{Counters, NodeId, SessionId};
use serde::{Deserialize, Serialize};

/// The answer to `GET /sessions`. Neither tokens nor idempotency keys are in it. Its field names are wire names, and
/// fields that an older edge does not have read as zero.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct SessionListing {
    /// The edge's number in the peer sets.
    #[serde(rename = "site")]
    pub node_id: NodeId,
    /// Ids of the sessions that it owns or keeps a replica of, in order.
    pub sessions: Vec<String>,
    /// Counters since the start.
    pub counts: Counters,
    /// Tokens that were not accepted.
    #[serde(rename = "unfit")]
    pub rejected_tokens: u64,
    /// Messages to peer edges.
    pub messages: u64,
    /// Bytes of the bodies of these messages' posts.
    pub bytes: u64,
}

impl Sessions {
    /// What operators see now.
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
