//! Followers of the change feed: edge proxies and other members, what they have acknowledged, and their long
//! polls.
use coppersail_consensus::{Id, Ms, RequestId};
use std::collections::BTreeMap;

/// An edge counts as a follower of this member for this time after its last poll, in ms.
const LIVE_FOLLOWER_AGE: Ms = 10_000;
/// An edge counts as running for this time after any member last heard from it, in ms.
const LIVE_EDGE_AGE: Ms = 30_000;
/// A follower is forgotten after this time without a poll, in ms.
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
    /// The longest answer that it accepts, in bytes; `None` for no limit.
    pub(crate) max_bytes: Option<u64>,
}

/// An answer that was sent to a follower.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SentAnswer {
    /// The follower has applied the answer if it polls with this position.
    pub(crate) position: FeedPosition,
    /// The revision in force when it was sent.
    pub(crate) revision: Option<u64>,
}

/// A watch request that is held until something is new, or until its deadline.
pub(crate) struct LongPoll {
    pub(crate) request_id: RequestId,
    /// The name of the follower.
    pub(crate) follower: String,
    /// The position up to which the follower has the feed; it is sent back unchanged if nothing is new.
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
    last_answer: Option<SentAnswer>,
}

/// How many of the live followers have acknowledged a sequence number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Acknowledgements {
    pub(crate) acknowledged: usize,
    pub(crate) followers: usize,
}

impl Acknowledgements {
    pub(crate) fn are_complete(self) -> bool {
        self.acknowledged == self.followers
    }
}

#[derive(Default)]
pub(crate) struct Followers {
    by_name: BTreeMap<String, Follower>,
    long_polls: Vec<LongPoll>,
    /// When an edge was last heard from, by this or another member.
    edges: BTreeMap<String, Ms>,
}

impl Followers {
    /// Records a poll of a follower; its position acknowledges the previous update.
    pub(crate) fn record_poll(&mut self, now: Ms, name: &str, acknowledged_sequence: u64, is_edge: bool) {
        let last_answer = self.by_name.get(name).and_then(|follower| follower.last_answer);
        let follower = Follower { acknowledged_sequence, last_seen: now, is_edge, last_answer };
        self.by_name.insert(name.into(), follower);
    }

    /// Records an answer that is sent to a follower.
    pub(crate) fn record_answer(&mut self, name: &str, answer: SentAnswer) {
        if let Some(follower) = self.by_name.get_mut(name) {
            follower.last_answer = Some(answer);
        }
    }

    /// The last answer that was sent to a follower.
    pub(crate) fn last_answer(&self, name: &str) -> Option<SentAnswer> {
        self.by_name.get(name)?.last_answer
    }

    /// Records that an edge is running, as its poll or another member shows.
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

    /// Which followers have acknowledged this sequence number. A follower that has not polled for `timeout`
    /// (ms) does not count: it has lost contact, and knows that itself.
    pub(crate) fn acknowledgements(&self, now: Ms, sequence: u64, timeout: Ms) -> Acknowledgements {
        let live = || self.by_name.values().filter(|f| now < f.last_seen + timeout);
        let acknowledged = live().filter(|f| f.acknowledged_sequence >= sequence).count();
        Acknowledgements { acknowledged, followers: live().count() }
    }

    pub(crate) fn forget_silent(&mut self, now: Ms) {
        self.by_name.retain(|_, f| now < f.last_seen + FORGET_AFTER);
    }

    pub(crate) fn hold(&mut self, poll: LongPoll) {
        self.long_polls.push(poll);
    }

    /// Removes and returns the polls that are due, in the order of their arrival.
    pub(crate) fn take_polls(&mut self, is_due: impl Fn(&LongPoll) -> bool) -> Vec<LongPoll> {
        let (due, held) = std::mem::take(&mut self.long_polls).into_iter().partition(is_due);
        self.long_polls = held;
        due
    }
}
