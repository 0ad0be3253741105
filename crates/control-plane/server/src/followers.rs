//! Followers of the change feed: edge proxies and other members, what they have acknowledged, and their long polls.
use coppersail_consensus::{Id, Ms, RequestId};
use std::collections::BTreeMap;

/// An edge counts as a follower of this member for so long after its last poll, in ms.
const LIVE_FOLLOWER_AGE: Ms = 10_000;
/// An edge counts as running for so long after some member last heard from it, in ms.
const LIVE_EDGE_AGE: Ms = 30_000;
/// A follower is forgotten after so long without a poll, in ms.
const FORGET_AFTER: Ms = 60_000;

/// A position in the change feed of one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct FeedPosition {
    pub(crate) feed_id: u64,
    pub(crate) sequence: u64,
}

/// What a follower asks of the answer to its poll.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct AnswerOptions {
    /// The revision of the configuration that the follower has, if it says so.
    pub(crate) known_revision: Option<u64>,
    /// The longest answer that it takes, in bytes; without one all comes at once.
    pub(crate) max_bytes: Option<u64>,
}

/// An answer that a follower was given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct GivenAnswer {
    /// The follower has taken it over if it polls with this position.
    pub(crate) position: FeedPosition,
    /// The revision in force when it was given.
    pub(crate) revision: Option<u64>,
}

/// A watch request that is held until something is new, or until its deadline.
pub(crate) struct LongPoll {
    pub(crate) request_id: RequestId,
    /// The name of the follower.
    pub(crate) follower: String,
    /// What the follower has; the same is sent back to it if there is nothing to send.
    pub(crate) position: FeedPosition,
    pub(crate) options: AnswerOptions,
    pub(crate) deadline: Ms,
    /// The member that polls, if it is one.
    pub(crate) member: Option<Id>,
}

struct Follower {
    acknowledged_sequence: u64,
    last_seen: Ms,
    is_edge: bool,
    last_answer: Option<GivenAnswer>,
}

#[derive(Default)]
pub(crate) struct Followers {
    by_name: BTreeMap<String, Follower>,
    long_polls: Vec<LongPoll>,
    /// When an edge was last heard from, by this or another member.
    edges: BTreeMap<String, Ms>,
}

impl Followers {
    /// A follower has polled; the position of its poll acknowledges the update before.
    pub(crate) fn record_poll(&mut self, now: Ms, name: &str, acknowledged_sequence: u64, is_edge: bool) {
        let last_answer = self.by_name.get(name).and_then(|follower| follower.last_answer);
        let follower = Follower { acknowledged_sequence, last_seen: now, is_edge, last_answer };
        self.by_name.insert(name.into(), follower);
    }

    /// A follower is given this answer.
    pub(crate) fn record_answer(&mut self, name: &str, answer: GivenAnswer) {
        if let Some(follower) = self.by_name.get_mut(name) {
            follower.last_answer = Some(answer);
        }
    }

    /// The last answer that a follower was given.
    pub(crate) fn last_answer(&self, name: &str) -> Option<GivenAnswer> {
        self.by_name.get(name)?.last_answer
    }

    /// An edge is running, as its poll or another member says.
    pub(crate) fn record_edge(&mut self, now: Ms, name: String) {
        self.edges.insert(name, now);
    }

    pub(crate) fn edge_count(&self, now: Ms) -> usize {
        self.edges.values().filter(|last_seen| now < **last_seen + LIVE_EDGE_AGE).count()
    }

    /// The edges that poll this member.
    pub(crate) fn live_edges(&self, now: Ms) -> Vec<String> {
        let live = |follower: &Follower| follower.is_edge && now < follower.last_seen + LIVE_FOLLOWER_AGE;
        self.by_name.iter().filter(|(_, f)| live(f)).map(|(name, _)| name.clone()).collect()
    }

    /// Whether all followers have this sequence number. One that was silent for longer than `timeout` (ms) is not in
    /// contact, and knows that itself.
    pub(crate) fn have_acknowledged(&self, now: Ms, sequence: u64, timeout: Ms) -> bool {
        let mut live = self.by_name.values().filter(|f| now < f.last_seen + timeout);
        live.all(|f| f.acknowledged_sequence >= sequence)
    }

    pub(crate) fn forget_silent(&mut self, now: Ms) {
        self.by_name.retain(|_, f| now < f.last_seen + FORGET_AFTER);
    }

    pub(crate) fn hold(&mut self, poll: LongPoll) {
        self.long_polls.push(poll);
    }

    /// Takes the polls that are due out, in the order in which they came.
    pub(crate) fn take_polls(&mut self, is_due: impl Fn(&LongPoll) -> bool) -> Vec<LongPoll> {
        let (due, held) = std::mem::take(&mut self.long_polls).into_iter().partition(is_due);
        self.long_polls = held;
        due
    }
}
