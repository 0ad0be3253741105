//! Operators' views: counters, and sessions without tokens, idempotency keys and bodies.
use crate::ids::Ms;
use crate::record::{EntryState, FencingToken, IdempotencyEntry, SessionId, SessionRecord};
use serde::{Deserialize, Serialize};

/// Counters since the node's start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct Counters {
    /// Claims of sessions, including retries.
    pub claims: u64,
    /// Claims that took a session over from another node.
    #[serde(rename = "crossings")]
    pub takeovers: u64,
    /// Sessions that another node took over.
    #[serde(rename = "let_go")]
    pub sessions_superseded: u64,
    /// Requests that had to wait for a claim.
    #[serde(rename = "waits")]
    pub requests_pending: u64,
    /// Requests that were sent to an endpoint.
    pub sent: u64,
    /// Repeats that were answered from the record.
    pub repeats_answered: u64,
    /// Repeats of a request that was in flight.
    #[serde(rename = "under_way")]
    pub in_flight: u64,
    /// Requests whose idempotency key was used for a different request.
    #[serde(rename = "other_body")]
    pub fingerprint_mismatches: u64,
    /// Repeats of a request whose outcome is unknown.
    pub unknown: u64,
    /// Requests that were rejected without being executed.
    pub refused: u64,
    /// Requests of sessions that too few replicas hold.
    #[serde(rename = "forgotten")]
    pub session_lost: u64,
    /// Records of sessions that were restored at a replica after a loss.
    #[serde(rename = "healed")]
    pub replicas_restored: u64,
    /// Sessions that this node evicted as a replica to make room for others.
    #[serde(rename = "dropped")]
    pub sessions_evicted: u64,
}

/// A session, as operators see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionView {
    /// The session id, 32 hexadecimal digits.
    pub id: String,
    /// Whether the node owns the session; otherwise it is a replica or a previous owner.
    pub owner: bool,
    /// The token under which the node owns the session, or that it has promised as a replica.
    #[serde(rename = "fence")]
    pub fencing_token: FencingToken,
    /// The endpoint for each service: (service, endpoint).
    #[serde(rename = "hosts")]
    pub endpoints: Vec<(String, String)>,
    /// The session's idempotent requests.
    #[serde(rename = "confirmations")]
    pub requests: Vec<RequestView>,
}

/// An idempotent request, as operators see it. On the wire it is an array of the three fields.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(String, String, Ms)", into = "(String, String, Ms)")]
pub struct RequestView {
    /// Fingerprint of the idempotency key, 16 hexadecimal digits; the key itself is not shown.
    pub key_fingerprint: String,
    /// The state of the request, in words.
    pub state: String,
    /// Time since the state was reached, in milliseconds.
    pub age_ms: Ms,
}

impl From<(String, String, Ms)> for RequestView {
    fn from((key_fingerprint, state, age_ms): (String, String, Ms)) -> RequestView {
        RequestView { key_fingerprint, state, age_ms }
    }
}

impl From<RequestView> for (String, String, Ms) {
    fn from(view: RequestView) -> (String, String, Ms) {
        (view.key_fingerprint, view.state, view.age_ms)
    }
}

impl RequestView {
    fn new(entry: &IdempotencyEntry, now: Ms) -> RequestView {
        let state = match &entry.state {
            EntryState::InFlight { deadline } if now < *deadline => "under way".into(),
            EntryState::InFlight { .. } | EntryState::Unknown => "unknown".into(),
            EntryState::NotExecuted => "not run".into(),
            EntryState::ResponseDropped => "ran, answer dropped".into(),
            EntryState::Completed(response) => format!("ran, {}", response.status),
        };
        RequestView {
            key_fingerprint: format!("{:016x}", crate::token::fingerprint(&[entry.key.as_bytes()])),
            state,
            age_ms: now.saturating_sub(entry.changed_at),
        }
    }
}

impl SessionView {
    pub(crate) fn new(
        id: SessionId,
        owner: bool,
        fencing_token: FencingToken,
        record: &SessionRecord,
        now: Ms,
    ) -> SessionView {
        let requests = record.entries.iter().map(|entry| RequestView::new(entry, now)).collect();
        SessionView {
            id: id.to_string(),
            owner,
            fencing_token,
            endpoints: record.endpoints.clone(),
            requests,
        }
    }
}
