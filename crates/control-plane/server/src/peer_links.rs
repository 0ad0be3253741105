//! Whom this centre follows, and the polls that are its heartbeats. No I/O.
use crate::messages::{Effect, PeerRequest};
use crate::state::{Say, State};
use coppersail_consensus::{Id, Ms, OperationId, Output};
use coppersail_peer_protocol::{RequestCounts, Update, WatchRequest};
use std::collections::{BTreeMap, BTreeSet};

/// How many others a centre's heartbeats go to, besides the witnesses and who holds the state.
const FEW: usize = 3;
/// Tokens of polls, apart from those of the core.
const POLLS: OperationId = 1 << 48;

#[derive(Default)]
struct Link {
    feed: u64,
    seq: u64,
    under_way: Option<LongPoll>,
    next_at: Ms,
}

struct LongPoll {
    token: OperationId,
    asked_at: Ms,
    evidence: Vec<coppersail_rollout::EvidenceReport>,
}

#[derive(Default)]
pub struct PeerLinks {
    wanted: BTreeSet<Id>,
    links: BTreeMap<Id, Link>,
    tokens: OperationId,
    turn: usize,
}

impl PeerLinks {
    pub fn choose(&mut self, now: Ms, state: &State) {
        self.turn += 1;
        self.wanted = state.core.heartbeat_targets(now, self.turn, FEW);
        let wanted = &self.wanted;
        self.links.retain(|id, link| wanted.contains(id) || link.under_way.is_some());
    }

    /// Starts the polls that are due, of one peer or of all.
    pub fn start(&mut self, now: Ms, state: &mut State, only: Option<&Id>, out: &mut Vec<Effect>) {
        for peer in &self.wanted {
            if only.is_some_and(|only| only != peer) {
                continue;
            }
            let link = self.links.entry(peer.clone()).or_default();
            if link.under_way.is_some() || now < link.next_at {
                continue;
            }
            let to_primary = state.primary(now) == Some(peer);
            let asked = if to_primary { std::mem::take(&mut state.asked) } else { Default::default() };
            let asked = asked
                .into_iter()
                .map(|(backend, c)| RequestCounts { service: backend, counts: c.into_iter().collect() });
            let evidence = if to_primary { state.rollouts.relay() } else { Vec::new() };
            let follow = WatchRequest {
                edge: state.core.id.clone(),
                zone: String::new(),
                feed_id: link.feed,
                sequence: link.seq,
                wait_ms: state.spans.core.heartbeat_interval,
                request_counts: asked.collect(),
                rollout_reports: evidence.clone(),
                status: Some(state.standing(now, peer)),
            };
            self.tokens += 1;
            let token = POLLS + self.tokens;
            link.under_way = Some(LongPoll { token, asked_at: now, evidence });
            let (call, wait) = (PeerRequest::Watch(Box::new(follow)), state.spans.core.rpc_timeout);
            out.push(Effect::SendToPeer { token, peer: peer.clone(), call, timeout: wait });
        }
    }

    /// Whose poll this was, if it was one.
    pub fn ended(&self, token: OperationId) -> Option<Id> {
        let of = |(id, link): (&Id, &Link)| {
            link.under_way.as_ref().is_some_and(|p| p.token == token).then(|| id.clone())
        };
        self.links.iter().find_map(of)
    }

    pub fn heard(
        &mut self,
        now: Ms,
        state: &mut State,
        peer: &Id,
        news: Option<Box<Update>>,
        say: &mut Vec<Say>,
        outs: &mut Vec<Output>,
    ) {
        let Some(link) = self.links.get_mut(peer) else { return };
        let Some(poll) = link.under_way.take() else { return };
        let Some(news) = news else {
            link.next_at = now + state.spans.core.heartbeat_interval / 4;
            return state.rollouts.put_back(poll.evidence);
        };
        (link.feed, link.seq, link.next_at) = (news.feed_id, news.sequence, now);
        if let Some(standing) = &news.status {
            state.hear(now, standing, Some(poll.asked_at), outs);
        }
        state.merge(&news);
        state.rollouts.hear(poll.asked_at, &news.rollouts_as_of);
        state.settle(now, say);
    }
}
