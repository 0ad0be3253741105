//! Dispatch of the requests of endpoints and operators, and the redirect of those that only the leader may
//! answer. No I/O.
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
            AdminRequest::Heartbeat { endpoint_id, body } => {
                self.handle_heartbeat(now, request_id, &endpoint_id, &body, replies)
            }
            AdminRequest::SignOff { endpoint_id } => self.sign_off(now, request_id, &endpoint_id, replies),
            AdminRequest::ReplaceConfig { body } => {
                self.replace_config(now, request_id, body, replies, effects)
            }
            AdminRequest::ReadConfig => replies.push(Reply::Admin(request_id, self.read_config(now))),
            AdminRequest::Rollouts { post: false, path, .. } => {
                replies.push(Reply::Admin(request_id, self.read_rollouts(now, &path)))
            }
            AdminRequest::Rollouts { post: true, path, body } => {
                self.change_rollout(now, request_id, &path, &body, replies, effects)
            }
        }
    }

    /// The response to a request that only the leader may answer: a redirect, or 503 if no leader is known.
    pub(crate) fn redirect_to_leader(&self, now: Ms, path: &str) -> Response {
        match self.known_leader(now).filter(|_| !self.is_isolated(now)) {
            Some(leader) => Response::redirect(format!("http://{leader}{path}")),
            None => Rejection::unavailable("no primary is known").into(),
        }
    }
}
