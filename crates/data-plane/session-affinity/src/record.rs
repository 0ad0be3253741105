//! What is kept of a session, and what sites tell each other about it.
use crate::{Ms, NodeId};
use serde::{Deserialize, Serialize};
use std::fmt;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionId(pub [u64; 2]);

impl fmt::Display for SessionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}{:016x}", self.0[0], self.0[1])
    }
}

impl std::str::FromStr for SessionId {
    type Err = ();

    fn from_str(text: &str) -> Result<SessionId, ()> {
        if text.len() != 32 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(());
        }
        let half = |part: &str| u64::from_str_radix(part, 16).map_err(drop);
        Ok(SessionId([half(&text[..16])?, half(&text[16..])?]))
    }
}

/// No two sites ever claim under the same one, nor two starts of one site.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FencingToken {
    /// The time of the claim, so that the later one is above the earlier in one round trip; safety needs only that
    /// the highest wins.
    #[serde(rename = "n")]
    pub number: u64,
    #[serde(rename = "by")]
    pub node: NodeId,
    pub start: u64,
}

/// The fence that a sending was opened under, and its number under that fence: no two sendings are the same.
pub type AttemptId = (FencingToken, u32);

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordedResponse {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    #[serde(with = "body")]
    pub body: Vec<u8>,
}

/// A body as text, four signs for three bytes.
mod body {
    use base64::engine::general_purpose::STANDARD;
    use base64::Engine;
    use serde::{de::Error, Deserialize, Deserializer, Serializer};

    pub fn serialize<S: Serializer>(body: &[u8], to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(&STANDARD.encode(body))
    }

    pub fn deserialize<'a, D: Deserializer<'a>>(from: D) -> Result<Vec<u8>, D::Error> {
        STANDARD.decode(String::deserialize(from)?).map_err(D::Error::custom)
    }
}

/// How a sending ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Outcome {
    Ran(RecordedResponse),
    /// It ran, with an answer that is too long to be kept.
    RanLong,
    /// Proven: no host has read it, or each that did has said that it never will run it.
    NotRun,
    Unknown,
}

/// Later ones are known better than earlier ones.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum EntryState {
    /// It may be at a host. Whoever opened it tells the outcome before `until`; after that it is unknown.
    Open {
        until: Ms,
    },
    Unknown,
    NotRun,
    /// It ran, and its answer is no longer kept.
    Past,
    Ran(RecordedResponse),
}

/// A confirmation or deposit.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct IdempotencyEntry {
    pub key: String,
    /// Of the request: another one under the same key is refused.
    #[serde(rename = "print")]
    pub fingerprint: u64,
    pub attempt: AttemptId,
    #[serde(rename = "step")]
    pub state: EntryState,
    /// Since when it stands so, for how long an answer is kept.
    pub at: Ms,
}

impl IdempotencyEntry {
    pub fn open(&self, now: Ms) -> bool {
        matches!(self.state, EntryState::Open { until } if now < until)
    }

    /// What is known better replaces what is known. A later attempt stands above all of an earlier one: it was only
    /// opened because the earlier one was proven not to have run, or never stood at enough seats to be sent.
    fn better(&self, than: &IdempotencyEntry) -> bool {
        (self.attempt, &self.state) > (than.attempt, &than.state)
    }
}

/// What is kept of a session. Merging is in any order and any number of times.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionRecord {
    /// The host of each service that serves it, as of `stamp`.
    pub hosts: Vec<(String, String)>,
    pub stamp: AttemptId,
    pub entries: Vec<IdempotencyEntry>,
}

impl SessionRecord {
    pub fn entry(&self, key: &str) -> Option<&IdempotencyEntry> {
        self.entries.iter().find(|entry| entry.key == key)
    }

    pub fn put(&mut self, entry: &IdempotencyEntry) {
        match self.entries.iter_mut().find(|held| held.key == entry.key) {
            Some(held) if entry.better(held) => *held = entry.clone(),
            Some(_) => {}
            None => self.entries.push(entry.clone()),
        }
    }

    #[cfg(test)]
    pub(crate) fn knows(&self, entry: &IdempotencyEntry) -> bool {
        self.entry(&entry.key).is_some_and(|held| !entry.better(held))
    }

    pub fn merge(&mut self, other: &SessionRecord) {
        if other.stamp > self.stamp {
            (self.hosts, self.stamp) = (other.hosts.clone(), other.stamp);
        }
        other.entries.iter().for_each(|entry| self.put(entry));
    }

    /// Drops answers whose time is over; that they ran is kept.
    pub fn age(&mut self, now: Ms, keep: Ms) {
        for entry in &mut self.entries {
            if matches!(entry.state, EntryState::Ran(_)) && entry.at + keep <= now {
                entry.state = EntryState::Past;
            }
        }
    }

    pub fn busy(&self, now: Ms) -> bool {
        self.entries.iter().any(|entry| entry.open(now))
    }
}

/// What sites tell each other. All but `News` and `LetGo` go between a session's claimant and one of its seats.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Promise me the session under this fence, and tell me what you have.
    Claim {
        id: SessionId,
        born: Ms,
        fence: FencingToken,
        round: u32,
    },
    Promised {
        id: SessionId,
        fence: FencingToken,
        round: u32,
        life: u64,
        former: Option<NodeId>,
        record: SessionRecord,
    },
    /// I may have known it, and don't any more.
    Blank {
        id: SessionId,
        fence: FencingToken,
        life: u64,
    },
    Outranked {
        id: SessionId,
        fence: FencingToken,
        promised: FencingToken,
    },
    /// Every place is taken by open confirmations.
    Full {
        id: SessionId,
        fence: FencingToken,
    },
    /// Since you told that you are blank, all other seats have promised me: take what they know.
    Install {
        id: SessionId,
        born: Ms,
        fence: FencingToken,
        life: u64,
        record: SessionRecord,
    },
    Write {
        id: SessionId,
        fence: FencingToken,
        life: u64,
        record: SessionRecord,
    },
    Kept {
        id: SessionId,
        fence: FencingToken,
        attempt: AttemptId,
    },
    /// How a sending ended: a fact, whoever owns the session by now.
    Told {
        id: SessionId,
        entry: IdempotencyEntry,
    },
    Noted {
        id: SessionId,
        attempt: AttemptId,
    },
    /// The same, from a seat to the owner of the day.
    News {
        id: SessionId,
        entry: IdempotencyEntry,
    },
    /// To the owner before: it is mine now.
    LetGo {
        id: SessionId,
        fence: FencingToken,
    },
}
