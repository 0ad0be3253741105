//! The links to the members whose change feeds this member watches. Its long polls also serve as its
//! heartbeats. No I/O.
use crate::followers::FeedPosition;
use crate::messages::{Effect, PeerRequest};
use crate::responses::Reply;
use crate::state::State;
use coppersail_consensus::{Id, Ms, OperationId, Output};
use coppersail_peer_protocol::{Update, WatchRequest};
use coppersail_rollout::EvidenceReport;
use std::collections::{BTreeMap, BTreeSet};

/// The number of members that heartbeats go to, besides the voters and the replicas.
const HEARTBEAT_FANOUT: usize = 3;
/// Ids of polls are above this one, those of the consensus core's operations below.
const FIRST_POLL_ID: OperationId = 1 << 48;

/// The longest update that is requested from another member, in bytes. A longer one might not arrive within
/// the timeout of a poll, which also serves as the heartbeat.
const MAX_UPDATE_BYTES: u64 = 256 * 1024;

struct PeerLink {
    /// The position up to which this member has the peer's change feed.
    position: FeedPosition,
    poll_in_flight: Option<PollInFlight>,
    next_poll_at: Ms,
}

impl Default for PeerLink {
    fn default() -> PeerLink {
        let position = FeedPosition { feed_id: 0, sequence: 0 };
        PeerLink { position, poll_in_flight: None, next_poll_at: 0 }
    }
}

struct PollInFlight {
    operation_id: OperationId,
    started_at: Ms,
    /// The reports that the poll carries; they are kept for the leader if it fails.
    rollout_reports: Vec<EvidenceReport>,
}

#[derive(Default)]
pub(crate) struct PeerLinks {
    peers: BTreeSet<Id>,
    links: BTreeMap<Id, PeerLink>,
    polls_started: OperationId,
    /// Counts the selections, so that every member is selected in turn.
    selections: usize,
}

impl PeerLinks {
    /// Selects the members to poll. The link to a member that is not selected is dropped when its poll has
    /// ended.
    pub(crate) fn select_peers(&mut self, now: Ms, state: &State) {
        self.selections += 1;
        self.peers = state.core.heartbeat_targets(now, self.selections, HEARTBEAT_FANOUT);
        let peers = &self.peers;
        self.links.retain(|id, link| peers.contains(id) || link.poll_in_flight.is_some());
    }

    /// Starts all polls that are due.
    pub(crate) fn start_due_polls(&mut self, now: Ms, state: &mut State, effects: &mut Vec<Effect>) {
        for peer in self.peers.clone() {
            self.start_poll_if_due(now, state, &peer, effects);
        }
    }

    /// Starts the poll of one peer, if it is selected and its poll is due.
    pub(crate) fn start_poll_if_due(
        &mut self,
        now: Ms,
        state: &mut State,
        peer: &Id,
        effects: &mut Vec<Effect>,
    ) {
        if !self.peers.contains(peer) {
            return;
        }
        let link = self.links.entry(peer.clone()).or_default();
        if link.poll_in_flight.is_some() || now < link.next_poll_at {
            return;
        }
        self.polls_started += 1;
        let operation_id = FIRST_POLL_ID + self.polls_started;
        let request = watch_request(now, state, peer, link.position);
        let rollout_reports = request.rollout_reports.clone();
        link.poll_in_flight = Some(PollInFlight { operation_id, started_at: now, rollout_reports });
        effects.push(Effect::SendToPeer {
            operation_id,
            peer: peer.clone(),
            request: PeerRequest::Watch(Box::new(request)),
            timeout: state.timeouts.core.rpc_timeout,
        });
    }

    /// The peer to which this poll went, if the operation is a poll.
    pub(crate) fn peer_of_poll(&self, operation_id: OperationId) -> Option<Id> {
        let is_this_poll = |link: &PeerLink| {
            link.poll_in_flight.as_ref().is_some_and(|poll| poll.operation_id == operation_id)
        };
        self.links.iter().find(|(_, link)| is_this_poll(link)).map(|(id, _)| id.clone())
    }

    /// Handles the result of a poll; `update` is `None` if it has failed.
    pub(crate) fn finish_poll(
        &mut self,
        now: Ms,
        state: &mut State,
        peer: &Id,
        update: Option<Box<Update>>,
        replies: &mut Vec<Reply>,
        outputs: &mut Vec<Output>,
    ) {
        let Some(link) = self.links.get_mut(peer) else { return };
        let Some(poll) = link.poll_in_flight.take() else { return };
        let Some(update) = update else {
            link.next_poll_at = now + state.timeouts.core.heartbeat_interval / 4;
            return state.rollouts.keep_for_leader(&poll.rollout_reports);
        };
        link.position = FeedPosition { feed_id: update.feed_id, sequence: update.sequence };
        link.next_poll_at = now;
        if let Some(status) = &update.status {
            state.receive_status(now, status, Some(poll.started_at), outputs);
        }
        state.merge_update(&update);
        state.rollouts.record_as_of(poll.started_at, &update.rollouts_as_of);
        state.send_due_replies(now, replies);
    }
}

/// The request of a poll. To the leader it also carries the measurements of edges.
fn watch_request(now: Ms, state: &mut State, peer: &Id, position: FeedPosition) -> WatchRequest {
    let to_leader = state.known_leader(now) == Some(peer);
    let (mut request_counts, mut rollout_reports) = (Vec::new(), Vec::new());
    if to_leader {
        request_counts = state.assignments.take_unforwarded_counts();
        rollout_reports = state.rollouts.take_unforwarded_reports();
    }
    WatchRequest {
        edge: state.core.id.clone(),
        zone: String::new(),
        feed_id: position.feed_id,
        sequence: position.sequence,
        wait_ms: state.timeouts.core.heartbeat_interval,
        known_revision: None,
        max_bytes: Some(MAX_UPDATE_BYTES),
        request_counts,
        rollout_reports,
        status: Some(state.status_for(now, peer)),
    }
}
