//! Polls of the change feed by its followers, edge proxies and other members. They are answered at once, or
//! held as long polls.
use crate::followers::{AnswerOptions, FeedPosition, LongPoll, SentAnswer};
use crate::invariants::Violation;
use crate::members;
use crate::responses::Reply;
use crate::state::State;
use coppersail_consensus::{Ms, Output, RequestId};
use coppersail_peer_protocol::{Update, WatchRequest};

impl State {
    pub(crate) fn watch(
        &mut self,
        now: Ms,
        request: &WatchRequest,
        request_id: RequestId,
        replies: &mut Vec<Reply>,
        outputs: &mut Vec<Output>,
    ) {
        match &request.status {
            Some(status) => self.receive_status(now, status, None, outputs),
            None => self.followers.record_edge(now, request.edge.clone()),
        }
        self.receive_measurements(now, request);
        let is_this_feed = request.feed_id == self.feed.id;
        let acknowledged = if is_this_feed { request.sequence } else { 0 };
        self.followers.record_poll(now, &request.edge, acknowledged, request.status.is_none());
        let position = FeedPosition { feed_id: request.feed_id, sequence: request.sequence };
        self.check_known_revision(&request.edge, position, request.known_revision);
        let poll = LongPoll {
            request_id,
            follower: request.edge.clone(),
            position,
            options: AnswerOptions { known_revision: request.known_revision, max_bytes: request.max_bytes },
            deadline: now + request.wait_ms,
            member: request.status.as_ref().map(|status| status.id.clone()),
        };
        let is_current = is_this_feed && request.sequence == self.feed.sequence;
        if is_current && !self.must_change_member(now, &poll) {
            self.followers.hold(poll);
        } else {
            replies.push(self.poll_reply(now, &poll));
        }
    }

    /// Checks the invariant that a follower which has applied the last answer has the configuration that was
    /// then in force.
    fn check_known_revision(&mut self, follower: &str, position: FeedPosition, known: Option<u64>) {
        let Some(known) = known else { return };
        let applied = self.followers.last_answer(follower).filter(|answer| answer.position == position);
        let Some(answered) = applied.and_then(|answer| answer.revision) else { return };
        self.violations.check(known >= answered, || Violation::FollowerLacksConfig {
            follower: follower.into(),
            known,
            answered,
        });
    }

    /// Records request counts and evidence about rollouts. The leader uses them; other members forward them
    /// to it.
    fn receive_measurements(&mut self, now: Ms, request: &WatchRequest) {
        let is_leader = self.is_leader();
        self.assignments.record_requests(is_leader, &request.request_counts);
        if !request.rollout_reports.is_empty() {
            self.rollouts.record_reports(now, is_leader, &request.rollout_reports);
        }
    }

    /// Answers polls whose deadline has passed, or for which there is something new.
    pub(crate) fn answer_due_polls(&mut self, now: Ms, replies: &mut Vec<Reply>) {
        let sequence = self.feed.sequence;
        self.answer_polls(now, replies, |poll| poll.position.sequence < sequence || now >= poll.deadline);
    }

    pub(crate) fn answer_all_polls(&mut self, now: Ms, replies: &mut Vec<Reply>) {
        self.answer_polls(now, replies, |_| true);
    }

    pub(crate) fn answer_polls_of_edges(&mut self, now: Ms, replies: &mut Vec<Reply>) {
        self.answer_polls(now, replies, |poll| poll.member.is_none());
    }

    fn answer_polls(&mut self, now: Ms, replies: &mut Vec<Reply>, is_due: impl Fn(&LongPoll) -> bool) {
        for poll in self.followers.take_polls(is_due) {
            replies.push(self.poll_reply(now, &poll));
        }
    }

    /// Whether the poll is of an edge while this member is isolated: the edge must then follow another
    /// member.
    fn must_change_member(&self, now: Ms, poll: &LongPoll) -> bool {
        poll.member.is_none() && self.is_isolated(now)
    }

    fn poll_reply(&mut self, now: Ms, poll: &LongPoll) -> Reply {
        let update = if self.must_change_member(now, poll) {
            self.isolated_update(now, poll.position)
        } else {
            self.update_for(now, poll)
        };
        self.record_answer(poll, &update);
        Reply::Update(poll.request_id, Box::new(update))
    }

    fn record_answer(&mut self, poll: &LongPoll, update: &Update) {
        let position = FeedPosition { feed_id: update.feed_id, sequence: update.sequence };
        let advances =
            poll.position.feed_id != position.feed_id || poll.position.sequence < position.sequence;
        self.violations.check(advances || !update.incomplete, || Violation::PartDoesNotAdvance {
            follower: poll.follower.clone(),
            sequence: position.sequence,
        });
        // Followers do not apply the answer of an isolated node.
        let revision = self.feed.revision().filter(|_| !update.isolated);
        self.followers.record_answer(&poll.follower, SentAnswer { position, revision });
    }

    /// An update with nothing but the addresses of the members; the edge keeps its state.
    fn isolated_update(&self, now: Ms, position: FeedPosition) -> Update {
        Update {
            feed_id: position.feed_id,
            sequence: position.sequence,
            isolated: true,
            uptime_ms: now,
            control_plane_addresses: members::all_addresses(&self.core, self.peer_port),
            ..Update::default()
        }
    }

    fn update_for(&self, now: Ms, poll: &LongPoll) -> Update {
        let mut update = self.feed.updates_since(poll.position, poll.options);
        // The field says that all rollouts have been sent, so an incomplete update leaves it out.
        if self.feed.has_active_rollout() && !update.incomplete {
            let term = self.leader_term().filter(|_| self.holds_leader_lease(now));
            update.rollouts_as_of = self.rollouts.as_of(now, term);
        }
        update.isolated = self.is_isolated(now);
        update.uptime_ms = now;
        update.edge_count = self.followers.edge_count(now) as u32;
        if let Some(peer) = &poll.member {
            update.status = Some(self.status_for(now, peer));
        } else if update.is_snapshot || self.members.any_announced_after(poll.position.sequence) {
            update.control_plane_addresses = members::live_addresses(now, &self.core, self.peer_port);
        }
        update
    }
}
