//! Replies that are due: each pending request is answered once its condition is met or its deadline has
//! passed.
use crate::followers::Acknowledgements;
use crate::pending_replies::{Departure, PendingReply, ReplyKind};
use crate::proposals::ProposalStatus;
use crate::responses::{
    heartbeat_response, GrantedShards, Rejection, RenewedLeases, Reply, Response, CONFLICTING_REVISION,
    NOT_COMMITTED, STATUS_OK,
};
use crate::state::State;
use coppersail_consensus::Ms;
use coppersail_peer_protocol::EndpointState;

/// Replies do not wait for a follower that has not polled for the length of a poll and this time, in ms.
const FOLLOWER_TIMEOUT: Ms = 1000;

enum Readiness {
    Waiting,
    Due,
    NotCommitted,
}

impl State {
    /// Publishes changes of assignments, answers the pending requests whose condition is met or whose
    /// deadline has passed, and then the polls of followers that are due.
    pub(crate) fn send_due_replies(&mut self, now: Ms, replies: &mut Vec<Reply>) {
        self.pending_replies.check_due = false;
        self.publish_assignments();
        for pending in self.pending_replies.take_all() {
            let response = match self.readiness(now, &pending) {
                Readiness::Waiting => {
                    self.pending_replies.push(pending);
                    continue;
                }
                Readiness::NotCommitted => Rejection::unavailable(NOT_COMMITTED).into(),
                Readiness::Due => self.final_response(now, &pending.kind),
            };
            self.record_departure_reply(now, &pending, &response);
            replies.push(Reply::Admin(pending.request_id, response));
        }
        self.publish_assignments();
        self.answer_due_polls(now, replies);
    }

    /// Sends due replies after a commit, a failed proposal or a change of leadership.
    pub(crate) fn send_replies_if_check_due(&mut self, now: Ms, replies: &mut Vec<Reply>) {
        if self.pending_replies.check_due {
            self.send_due_replies(now, replies);
        }
    }

    fn publish_assignments(&mut self) {
        if let Some(term) = self.leader_term() {
            self.assignments.publish_changes(term, &mut self.feed);
        }
    }

    fn readiness(&self, now: Ms, pending: &PendingReply) -> Readiness {
        let is_late = now >= pending.deadline;
        match pending.ticket.map_or(ProposalStatus::Committed, |ticket| self.proposals.status(ticket)) {
            ProposalStatus::Failed => return Readiness::NotCommitted,
            ProposalStatus::Pending if is_late => return Readiness::NotCommitted,
            ProposalStatus::Pending => return Readiness::Waiting,
            ProposalStatus::Committed => {}
        }
        if !is_late && (self.awaits_followers(now, pending) || self.awaits_lease_transfer(pending)) {
            return Readiness::Waiting;
        }
        Readiness::Due
    }

    fn awaits_followers(&self, now: Ms, pending: &PendingReply) -> bool {
        pending.sequence.is_some_and(|sequence| !self.acknowledgements(now, sequence).are_complete())
    }

    fn acknowledgements(&self, now: Ms, sequence: u64) -> Acknowledgements {
        let timeout = FOLLOWER_TIMEOUT + self.timeouts.core.heartbeat_interval;
        self.followers.acknowledgements(now, sequence, timeout)
    }

    /// Whether shards are being transferred to the endpoint that their owners can release before the
    /// deadline.
    fn awaits_lease_transfer(&self, pending: &PendingReply) -> bool {
        let ReplyKind::Heartbeat { endpoint, sharded_service: Some(service), .. } = &pending.kind else {
            return false;
        };
        let releases_in_time =
            |owner: &str| self.heartbeats.is_due_by(owner, pending.deadline, &self.timeouts);
        self.assignments.leases.has_pending_transfer(service, endpoint, releases_in_time)
    }

    fn final_response(&mut self, now: Ms, kind: &ReplyKind) -> Response {
        match kind {
            // The process may have been suspended since the commit. It must not acknowledge then, because
            // another leader may have been elected.
            ReplyKind::Order | ReplyKind::ConflictingOrder if !self.holds_leader_lease(now) => {
                Response::indeterminate()
            }
            ReplyKind::Order => Response::acknowledged(),
            ReplyKind::ConflictingOrder => Rejection::conflict(CONFLICTING_REVISION).into(),
            ReplyKind::Heartbeat { endpoint, sharded_service, .. } => {
                self.heartbeat_reply(now, endpoint, sharded_service.as_deref())
            }
        }
    }

    /// Logs what an endpoint that leaves is answered, and how many followers know of it by then. Those that learn of
    /// an acknowledged drain later are told so.
    fn record_departure_reply(&mut self, now: Ms, pending: &PendingReply, response: &Response) {
        let ReplyKind::Heartbeat { endpoint, departure: Some(departure), .. } = &pending.kind else { return };
        let Departure { state, announced_at } = departure;
        let Acknowledgements { acknowledged, followers } =
            self.acknowledgements(now, pending.sequence.unwrap_or(0));
        self.log_lines.push(format!(
            "Endpoint {endpoint} is answered {} as {state} after {} ms; {acknowledged} of {followers} followers know.",
            response.status,
            now - announced_at
        ));
        if *state == EndpointState::Draining && response.status == STATUS_OK {
            self.feed.mark_drain_acknowledged(endpoint);
        }
    }

    fn heartbeat_reply(&mut self, now: Ms, endpoint: &str, sharded_service: Option<&str>) -> Response {
        let may_grant = sharded_service.is_none() || self.holds_leader_lease(now);
        if self.is_isolated(now) || !may_grant {
            return Response::indeterminate();
        }
        let report_to = (!self.core.is_shutting_down()).then(|| self.core.id.clone());
        let leases = sharded_service.map(|service| self.renew_leases(now, service, endpoint));
        heartbeat_response(report_to, leases)
    }

    fn renew_leases(&mut self, now: Ms, service: &str, endpoint: &str) -> RenewedLeases {
        let waiting = self.pending_replies.waiting_endpoints();
        let about_to_report: Vec<String> =
            waiting.chain(self.heartbeats.due_soon(now, &self.timeouts)).cloned().collect();
        // The shards of a draining endpoint have to be transferred before it shuts down.
        let is_draining = self.feed.endpoint(endpoint).is_some_and(|e| e.state > EndpointState::Ready);
        let interval = self.timeouts.heartbeat_interval;
        let transfer_wait = if is_draining { interval / 2 } else { interval * 3 / 2 };
        let leases = &mut self.assignments.leases;
        let granted = leases.renew(now, service, endpoint, &about_to_report, transfer_wait);
        let shards = granted
            .into_iter()
            .map(|grant| GrantedShards(grant.from, grant.to, grant.fencing_token, grant.handover));
        RenewedLeases { shards: shards.collect(), lease_duration: leases.lease_duration() }
    }
}
