//! Requests of endpoints and operators: which part of the state handles which, and where a request goes that only the
//! leader may answer. No I/O.
use crate::messages::{AdminRequest, Effect};
use crate::responses::{Rejection, Reply, Response};
use crate::state::State;
use coppersail_consensus::{Ms, RequestId};

impl State {
    pub(crate) fn handle_admin_request(
        &mut self,
        now: Ms,
        request_id: RequestId,
        request: AdminRequest,
        replies: &mut Vec<Reply>,
        effects: &mut Vec<Effect>,
    ) {
        match request {
            AdminRequest::Heartbeat { endpoint_id: ident, body } => {
                self.handle_heartbeat(now, request_id, &ident, &body, replies)
            }
            AdminRequest::SignOff { endpoint_id: ident } => self.sign_off(now, request_id, &ident, replies),
            AdminRequest::ReplaceConfig { body } => {
                self.replace_config(now, request_id, body, replies, effects)
            }
            AdminRequest::ReadConfig => replies.push(Reply::Admin(request_id, self.read_config(now))),
            AdminRequest::Rollouts { post: false, path: rest, .. } => {
                replies.push(Reply::Admin(request_id, self.read_rollouts(now, &rest)))
            }
            AdminRequest::Rollouts { post: true, path: rest, body } => {
                self.change_rollout(now, request_id, &rest, &body, replies, effects)
            }
        }
    }

    /// For a request that only the leader may answer.
    pub(crate) fn redirect_to_leader(&self, now: Ms, path: &str) -> Response {
        match self.known_leader(now).filter(|_| !self.is_isolated(now)) {
            Some(leader) => Response::redirect(format!("http://{leader}{path}")),
            None => Rejection::unavailable("no primary is known").into(),
        }
    }
}
