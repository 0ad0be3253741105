//! Requests of operators: configurations, and plans of rollouts.
use crate::invariants::Violation;
use crate::messages::Effect;
use crate::orders::{digest, OrderDecision, CONFIG_KEY};
use crate::pending_replies::{PendingReply, ReplyKind};
use crate::responses::{Rejection, Reply, Response, CONFLICTING_REVISION};
use crate::rollout_views::RolloutList;
use crate::state::State;
use crate::store::KeyValue;
use coppersail_consensus::{Ms, RequestId};
use coppersail_peer_protocol::ConfigDocument;
use coppersail_rollout::RolloutCommand;

/// How long a request of an operator waits for its commit, in timeouts of a request to a peer.
const COMMIT_WAIT_RPC_TIMEOUTS: Ms = 4;

impl State {
    /// Handles an order to replace the configuration. A revision has one content: the same content again is
    /// acknowledged, another one is refused.
    pub(crate) fn replace_config(
        &mut self,
        now: Ms,
        request_id: RequestId,
        body: String,
        replies: &mut Vec<Reply>,
        effects: &mut Vec<Effect>,
    ) {
        let config = match coppersail_config::config::parse(body.as_bytes()) {
            Ok(config) => config,
            Err(error) => {
                effects.push(Effect::Log(format!("A configuration is rejected: {error}.")));
                return replies.push(Reply::Admin(request_id, Rejection::bad_request(error).into()));
            }
        };
        if !self.holds_leader_lease(now) {
            let redirect = self.redirect_to_leader(now, "/settings/replace");
            return replies.push(Reply::Admin(request_id, redirect));
        }
        let (revision, digest) = (config.revision, digest(&body));
        let in_force = self.feed.revision();
        let (ticket, kind) = match self.orders.decide(revision, &digest, in_force) {
            OrderDecision::AlreadyCommitted => {
                return replies.push(Reply::Admin(request_id, Response::acknowledged()))
            }
            OrderDecision::Conflict => {
                let line =
                    format!("Configuration r{revision} is rejected: the revision has another content.");
                effects.push(Effect::Log(line));
                let conflict = Rejection::conflict(CONFLICTING_REVISION);
                return replies.push(Reply::Admin(request_id, conflict.into()));
            }
            OrderDecision::InProgress(ticket) => (ticket, ReplyKind::Order),
            OrderDecision::ConflictInProgress(ticket) => (ticket, ReplyKind::ConflictingOrder),
            OrderDecision::Propose | OrderDecision::ProposeWithoutEffect => {
                (self.propose_config(revision, digest, body), ReplyKind::Order)
            }
        };
        self.await_commit(now, request_id, ticket, kind);
    }

    /// Proposes an order; returns the ticket of the proposal.
    fn propose_config(&mut self, revision: u64, digest: String, body: String) -> u64 {
        let ticket = self.proposals.next_ticket();
        let newest = self.newest_revision();
        self.orders.begin(revision, digest, ticket);
        let mut writes = self.orders.writes(ticket);
        // The configuration is replaced only by a revision above the one in force and above all others in
        // progress.
        if newest.is_none_or(|newest| newest < revision) {
            self.orders.record_newest(revision);
            let document = serde_json::to_string(&ConfigDocument { revision, body }).unwrap_or_default();
            writes.push((CONFIG_KEY.into(), document));
        }
        self.proposals.submit(writes)
    }

    fn await_commit(&mut self, now: Ms, request_id: RequestId, ticket: u64, kind: ReplyKind) {
        let deadline = now + COMMIT_WAIT_RPC_TIMEOUTS * self.timeouts.core.rpc_timeout;
        let pending = PendingReply { request_id, deadline, ticket: Some(ticket), sequence: None, kind };
        self.pending_replies.push(pending);
    }

    pub(crate) fn read_config(&mut self, now: Ms) -> Response {
        if !self.holds_leader_lease(now) {
            return self.redirect_to_leader(now, "/settings/read");
        }
        self.check_config_in_force();
        match self.feed.config() {
            Some(config) => Response::ok(config.body.clone()),
            None => Rejection::not_found("no configuration yet").into(),
        }
    }

    /// Checks the invariant that the configuration that operators read is the one in the replicated state.
    fn check_config_in_force(&mut self) {
        let stored = self.core.state().get(CONFIG_KEY);
        let stored = stored.and_then(|text| serde_json::from_str::<ConfigDocument>(text).ok());
        let (read, stored) = (self.feed.config(), stored.as_ref());
        let revision = |config: Option<&ConfigDocument>| config.map(|config| config.revision);
        let (holds, read, stored) = (read == stored, revision(read), revision(stored));
        self.violations.check(holds, || Violation::ReadDiffersFromState { read, stored });
    }

    /// `GET /rollouts` and `GET /rollouts/NAME`. `path` is the part after `/rollouts`.
    pub(crate) fn read_rollouts(&self, now: Ms, path: &str) -> Response {
        if !self.holds_leader_lease(now) {
            return self.redirect_to_leader(now, &format!("/rollouts{path}"));
        }
        match path_segments(path)[..] {
            [] => Response::json(&RolloutList { rollouts: self.rollouts.views(now) }),
            [name] => match self.rollouts.view(now, name) {
                Some(view) => Response::json(&view),
                None => Rejection::not_found(format!("no plan {name}")).into(),
            },
            _ => Rejection::not_found("nothing here").into(),
        }
    }

    /// `POST /rollouts/NAME` and `POST /rollouts/NAME/COMMAND`. `path` is the part after `/rollouts`.
    pub(crate) fn change_rollout(
        &mut self,
        now: Ms,
        request_id: RequestId,
        path: &str,
        body: &str,
        replies: &mut Vec<Reply>,
        effects: &mut Vec<Effect>,
    ) {
        if !self.holds_leader_lease(now) {
            let redirect = self.redirect_to_leader(now, &format!("/rollouts{path}"));
            return replies.push(Reply::Admin(request_id, redirect));
        }
        match self.rollout_writes(now, path, body) {
            Ok(writes) => {
                // A command that changes nothing waits for the last proposal, which may have made the state
                // what the command asks for.
                let has_changed = !writes.is_empty();
                let last_ticket = self.proposals.last_ticket();
                let ticket = if has_changed { self.proposals.submit(writes) } else { last_ticket };
                self.await_commit(now, request_id, ticket, ReplyKind::Order);
            }
            Err(rejection) => {
                let is_logged = matches!(rejection.status, 400 | 409);
                let response = Response::from(rejection);
                if is_logged {
                    effects
                        .push(Effect::Log(format!("Rollout request {path} is rejected: {}.", response.body)));
                }
                replies.push(Reply::Admin(request_id, response));
            }
        }
    }

    fn rollout_writes(&mut self, now: Ms, path: &str, body: &str) -> Result<Vec<KeyValue>, Rejection> {
        match path_segments(path)[..] {
            [name] => self.rollouts.submit(now, name, body, self.config.as_ref()),
            [name, command] => match RolloutCommand::from_name(command) {
                Some(command) => self.rollouts.apply_command(now, name, command),
                None => Err(Rejection::not_found(format!("no order {command}"))),
            },
            _ => Err(Rejection::not_found("nothing here")),
        }
    }
}

fn path_segments(path: &str) -> Vec<&str> {
    path.split('/').filter(|segment| !segment.is_empty()).collect()
}
