//! What is kept of a session, and what sites tell each other about it.
use crate::{Ms, Place};
use serde::{Deserialize, Serialize};
use std::fmt;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id(pub [u64; 2]);

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}{:016x}", self.0[0], self.0[1])
    }
}

impl std::str::FromStr for Id {
    type Err = ();

    fn from_str(text: &str) -> Result<Id, ()> {
        if text.len() != 32 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(());
        }
        let half = |part: &str| u64::from_str_radix(part, 16).map_err(drop);
        Ok(Id([half(&text[..16])?, half(&text[16..])?]))
    }
}

/// No two sites ever claim under the same one, nor two starts of one site.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fence {
    /// The time of the claim, so that the later one is above the earlier in one round trip; safety needs only that
    /// the highest wins.
    pub n: u64,
    pub by: Place,
    pub start: u64,
}

/// The fence that a sending was opened under, and its number under that fence: no two sendings are the same.
pub type Attempt = (Fence, u32);

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Answer {
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
    Ran(Answer),
    /// It ran, with an answer that is too long to be kept.
    RanLong,
    /// Proven: no host has read it, or each that did has said that it never will run it.
    NotRun,
    Unknown,
}

/// Later ones are known better than earlier ones.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Step {
    /// It may be at a host. Whoever opened it tells the outcome before `until`; after that it is unknown.
    Open {
        until: Ms,
    },
    Unknown,
    NotRun,
    /// It ran, and its answer is no longer kept.
    Past,
    Ran(Answer),
}

/// A confirmation or deposit.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Entry {
    pub key: String,
    /// Of the request: another one under the same key is refused.
    pub print: u64,
    pub attempt: Attempt,
    pub step: Step,
    /// Since when it stands so, for how long an answer is kept.
    pub at: Ms,
}

impl Entry {
    pub fn open(&self, now: Ms) -> bool {
        matches!(self.step, Step::Open { until } if now < until)
    }

    /// What is known better replaces what is known. A later attempt stands above all of an earlier one: it was only
    /// opened because the earlier one was proven not to have run, or never stood at enough seats to be sent.
    fn better(&self, than: &Entry) -> bool {
        (self.attempt, &self.step) > (than.attempt, &than.step)
    }
}

/// What is kept of a session. Merging is in any order and any number of times.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Record {
    /// The host of each service that serves it, as of `stamp`.
    pub hosts: Vec<(String, String)>,
    pub stamp: Attempt,
    pub entries: Vec<Entry>,
}

impl Record {
    pub fn entry(&self, key: &str) -> Option<&Entry> {
        self.entries.iter().find(|entry| entry.key == key)
    }

    pub fn put(&mut self, entry: &Entry) {
        match self.entries.iter_mut().find(|held| held.key == entry.key) {
            Some(held) if entry.better(held) => *held = entry.clone(),
            Some(_) => {}
            None => self.entries.push(entry.clone()),
        }
    }

    #[cfg(test)]
    pub(crate) fn knows(&self, entry: &Entry) -> bool {
        self.entry(&entry.key).is_some_and(|held| !entry.better(held))
    }

    pub fn merge(&mut self, other: &Record) {
        if other.stamp > self.stamp {
            (self.hosts, self.stamp) = (other.hosts.clone(), other.stamp);
        }
        other.entries.iter().for_each(|entry| self.put(entry));
    }

    /// Drops answers whose time is over; that they ran is kept.
    pub fn age(&mut self, now: Ms, keep: Ms) {
        for entry in &mut self.entries {
            if matches!(entry.step, Step::Ran(_)) && entry.at + keep <= now {
                entry.step = Step::Past;
            }
        }
    }

    pub fn busy(&self, now: Ms) -> bool {
        self.entries.iter().any(|entry| entry.open(now))
    }
}

/// What sites tell each other. All but `News` and `LetGo` go between a session's claimant and one of its seats.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Msg {
    /// Promise me the session under this fence, and tell me what you have.
    Claim {
        id: Id,
        born: Ms,
        fence: Fence,
        round: u32,
    },
    Promised {
        id: Id,
        fence: Fence,
        round: u32,
        life: u64,
        former: Option<Place>,
        record: Record,
    },
    /// I may have known it, and don't any more.
    Blank {
        id: Id,
        fence: Fence,
        life: u64,
    },
    Outranked {
        id: Id,
        fence: Fence,
        promised: Fence,
    },
    /// Every place is taken by open confirmations.
    Full {
        id: Id,
        fence: Fence,
    },
    /// Since you told that you are blank, all other seats have promised me: take what they know.
    Install {
        id: Id,
        born: Ms,
        fence: Fence,
        life: u64,
        record: Record,
    },
    Write {
        id: Id,
        fence: Fence,
        life: u64,
        record: Record,
    },
    Kept {
        id: Id,
        fence: Fence,
        attempt: Attempt,
    },
    /// How a sending ended: a fact, whoever owns the session by now.
    Told {
        id: Id,
        entry: Entry,
    },
    Noted {
        id: Id,
        attempt: Attempt,
    },
    /// The same, from a seat to the owner of the day.
    News {
        id: Id,
        entry: Entry,
    },
    /// To the owner before: it is mine now.
    LetGo {
        id: Id,
        fence: Fence,
    },
}
