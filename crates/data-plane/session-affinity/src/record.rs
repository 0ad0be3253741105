//! The replicated state of a session: the endpoints that serve it, and its idempotent requests with their outcomes.
//! Merging two records is commutative, associative and idempotent, so that messages may arrive in any order and any
//! number of times.
use crate::ids::{Ms, NodeId};
use serde::{Deserialize, Serialize};
use std::fmt;
use thiserror::Error;

/// A session's id: 128 random bits, written as 32 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionId(pub [u64; 2]);

/// The error of parsing a text that is not a session id.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{found:?} is not a session id: expected {SESSION_ID_DIGITS} hexadecimal digits")]
pub struct ParseSessionIdError {
    /// The rejected text.
    pub found: String,
}

const SESSION_ID_DIGITS: usize = 32;

impl fmt::Display for SessionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}{:016x}", self.0[0], self.0[1])
    }
}

impl std::str::FromStr for SessionId {
    type Err = ParseSessionIdError;

    fn from_str(text: &str) -> Result<SessionId, ParseSessionIdError> {
        let invalid = || ParseSessionIdError { found: text.into() };
        if text.len() != SESSION_ID_DIGITS || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(invalid());
        }
        let (high, low) = text.split_at(SESSION_ID_DIGITS / 2);
        let parse_half = |digits: &str| u64::from_str_radix(digits, 16).map_err(|_| invalid());
        Ok(SessionId([parse_half(high)?, parse_half(low)?]))
    }
}

/// Identifies one claim of a session. No two nodes ever use the same token, nor do two starts of one node.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FencingToken {
    /// The time of the claim in milliseconds, so that a later claim usually has the higher token and succeeds in one
    /// round trip. Safety needs only that the highest token wins.
    #[serde(rename = "n")]
    pub number: u64,
    /// The claiming node.
    #[serde(rename = "by")]
    pub node: NodeId,
    /// The incarnation of that node.
    #[serde(rename = "start")]
    pub incarnation: u64,
}

/// Identifies one attempt to send a request to an endpoint. No two attempts have the same id.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "(FencingToken, u32)", into = "(FencingToken, u32)")]
pub struct AttemptId {
    /// The owner's token.
    pub fencing_token: FencingToken,
    /// The number of the attempt under that token.
    pub number: u32,
}

impl From<(FencingToken, u32)> for AttemptId {
    fn from((fencing_token, number): (FencingToken, u32)) -> AttemptId {
        AttemptId { fencing_token, number }
    }
}

impl From<AttemptId> for (FencingToken, u32) {
    fn from(id: AttemptId) -> (FencingToken, u32) {
        (id.fencing_token, id.number)
    }
}

/// An endpoint's response, to be replayed to a client that repeats the request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordedResponse {
    /// The HTTP status code.
    pub status: u16,
    /// Header names and values, in the order of the response.
    pub headers: Vec<(String, String)>,
    /// The body; Base64 on the wire.
    #[serde(with = "base64_body")]
    pub body: Vec<u8>,
}

mod base64_body {
    use base64::engine::general_purpose::STANDARD;
    use base64::Engine;
    use serde::{de::Error, Deserialize, Deserializer, Serializer};

    pub(super) fn serialize<S: Serializer>(body: &[u8], to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(&STANDARD.encode(body))
    }

    pub(super) fn deserialize<'a, D: Deserializer<'a>>(from: D) -> Result<Vec<u8>, D::Error> {
        STANDARD.decode(String::deserialize(from)?).map_err(D::Error::custom)
    }
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The endpoint executed the request and responded.
    Completed(RecordedResponse),
    /// The endpoint executed the request; the response is too long to be recorded.
    CompletedUnrecorded,
    /// The request is proven not to have been executed: no endpoint has read it, or each that did has declared that it
    /// will never execute it.
    NotExecuted,
    /// The request may have been executed.
    Unknown,
}

/// What is known of an idempotent request. The variants are ordered by how definite they are: of two states of the
/// same attempt, the greater one replaces the other.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum EntryState {
    /// The request may be at an endpoint. The owner that began the attempt reports its outcome before `deadline`;
    /// after that the outcome counts as unknown.
    #[serde(rename = "Open")]
    InFlight {
        /// Unix time in milliseconds.
        #[serde(rename = "until")]
        deadline: Ms,
    },
    /// The request may have been executed.
    Unknown,
    /// The request was not executed and may be sent again.
    #[serde(rename = "NotRun")]
    NotExecuted,
    /// The request was executed; its response is no longer kept, or was never recorded.
    #[serde(rename = "Past")]
    ResponseDropped,
    /// The request was executed, with this response.
    #[serde(rename = "Ran")]
    Completed(RecordedResponse),
}

/// An idempotent request of a session.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct IdempotencyEntry {
    /// The client's `Idempotency-Key`.
    pub key: String,
    /// The request's fingerprint. A request with the same key and another fingerprint is rejected.
    #[serde(rename = "print")]
    pub fingerprint: u64,
    /// The latest attempt.
    pub attempt: AttemptId,
    /// The state of that attempt.
    #[serde(rename = "step")]
    pub state: EntryState,
    /// When the state was reached (Unix time in milliseconds). The retention of a response counts from this time.
    #[serde(rename = "at")]
    pub changed_at: Ms,
}

impl IdempotencyEntry {
    /// Whether the request may be at an endpoint and the deadline for reporting its outcome has not passed.
    pub fn is_in_flight(&self, now: Ms) -> bool {
        matches!(self.state, EntryState::InFlight { deadline } if now < deadline)
    }

    /// A later attempt supersedes all states of an earlier one: it was begun only because the earlier one was proven
    /// not to have been executed, or was never recorded at enough replicas to be sent.
    fn supersedes(&self, other: &IdempotencyEntry) -> bool {
        (self.attempt, &self.state) > (other.attempt, &other.state)
    }
}

/// The replicated state of a session.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionRecord {
    /// The endpoint that serves the session for each service: (service, endpoint).
    #[serde(rename = "hosts")]
    pub endpoints: Vec<(String, String)>,
    /// The version of `endpoints`: of two lists the one with the higher version is valid. Versions are numbered like
    /// attempts.
    #[serde(rename = "stamp")]
    pub endpoints_version: AttemptId,
    /// The session's idempotent requests, in the order in which this node received them.
    pub entries: Vec<IdempotencyEntry>,
}

impl SessionRecord {
    /// The entry of an idempotency key.
    pub fn entry(&self, key: &str) -> Option<&IdempotencyEntry> {
        self.entries.iter().find(|entry| entry.key == key)
    }

    /// Adds an entry, unless the one that is present supersedes it.
    pub fn put(&mut self, entry: &IdempotencyEntry) {
        match self.entries.iter_mut().find(|present| present.key == entry.key) {
            Some(present) if entry.supersedes(present) => *present = entry.clone(),
            Some(_) => {}
            None => self.entries.push(entry.clone()),
        }
    }

    /// Whether adding the entry would change nothing.
    #[cfg(any(test, feature = "model-checking"))]
    pub(crate) fn includes(&self, entry: &IdempotencyEntry) -> bool {
        self.entry(&entry.key).is_some_and(|present| !entry.supersedes(present))
    }

    /// Merges the other record into this one: the newer endpoints, and of each request the superseding entry.
    pub fn merge(&mut self, other: &SessionRecord) {
        if other.endpoints_version > self.endpoints_version {
            (self.endpoints, self.endpoints_version) = (other.endpoints.clone(), other.endpoints_version);
        }
        other.entries.iter().for_each(|entry| self.put(entry));
    }

    /// Drops responses older than `retention` milliseconds. The requests remain recorded as executed.
    pub fn drop_expired_responses(&mut self, now: Ms, retention: Ms) {
        for entry in &mut self.entries {
            if matches!(entry.state, EntryState::Completed(_)) && entry.changed_at + retention <= now {
                entry.state = EntryState::ResponseDropped;
            }
        }
    }

    /// Whether one of the requests is in flight. Such a record must not be evicted.
    pub fn has_in_flight(&self, now: Ms) -> bool {
        self.entries.iter().any(|entry| entry.is_in_flight(now))
    }
}
