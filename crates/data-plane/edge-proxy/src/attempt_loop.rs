//! Makes the attempts of one request until one yields a response or no further attempt is allowed.
mod endpoint_selection;

use crate::attempt::{Attempt, AttemptResult};
use crate::body::{Body, RequestBody};
use crate::edge::Edge;
use crate::request::ReceivedRequest;
use crate::response::{empty_response, unavailable, ResponseBody};
use crate::rollout::recording::AttemptRecord;
use crate::rollout::variants::AssignedVariant;
use crate::upstream_response::UpstreamResponse;
use coppersail_load_balancing::{backoff, timeouts, Ms};
use coppersail_retry::{AttemptHistory, AttemptOutcome, FinalOutcome, RejectReason, SendFailure};
use endpoint_selection::SelectionStep;
use hyper::Response;
use std::rc::Rc;
use tokio::time::Instant;

/// Maximum number of attempts of one request that reach no endpoint. Each of them uses up part of the
/// client's time.
const MAX_UNSENT_ATTEMPTS: u32 = 3;

/// `Retry-After` (ms) of a request that this edge rejects because it shuts down; another edge can take it at
/// once.
const RETRY_AFTER_ELSEWHERE_MS: Ms = 0;

/// How a request ended.
pub(crate) struct ProxiedResponse {
    pub(crate) response: Response<ResponseBody>,
    /// Why the edge generated the response itself; `None` if it is an endpoint's response.
    pub(crate) given_up: Option<FinalOutcome>,
}

impl From<UpstreamResponse> for ProxiedResponse {
    fn from(response: UpstreamResponse) -> ProxiedResponse {
        ProxiedResponse { response: response.into_response(), given_up: None }
    }
}

/// The state of a request across its attempts.
pub(crate) struct AttemptLoop<'a> {
    edge: &'a Rc<Edge>,
    request: ReceivedRequest<'a>,
    body: Body,
    history: AttemptHistory,
    /// Ids of endpoints that must not be selected again.
    excluded: Vec<Rc<str>>,
    /// The variant of the rollout; it falls back to the control group if the new version has no endpoint.
    variant: Option<AssignedVariant>,
    /// The response of an endpoint that reported an internal failure, used if no other endpoint succeeds.
    failed_response: Option<UpstreamResponse>,
    /// Whether the key had no known or reachable owner at some attempt.
    lacked_owner: bool,
    /// `Retry-After` (ms) of the last endpoint that was overloaded.
    retry_after: Option<Ms>,
    /// Numbers of the connections on which the request was sent.
    used_connections: Vec<u64>,
    /// Time (ms) of the edge's clock until which the request may wait for the owner of its key.
    owner_wait_until: Ms,
}

/// What to do after an attempt.
enum NextStep {
    Respond(UpstreamResponse),
    Retry,
    GiveUp,
}

impl<'a> AttemptLoop<'a> {
    /// Counts the request in its service's retry budget and in the request counts by which slices are
    /// balanced.
    pub(crate) fn new(edge: &'a Rc<Edge>, request: ReceivedRequest<'a>, body: Body) -> AttemptLoop<'a> {
        let now = edge.now();
        edge.record_request(request.service, now);
        if let Some(slice) = request.key.and_then(|key| edge.registry.borrow().slice(request.service, key)) {
            edge.request_counter.count(request.service, slice);
        }
        let owner_wait = timeouts::owner_wait(request.route.latency_target, request.time_left(now));
        AttemptLoop {
            edge,
            body,
            history: AttemptHistory::default(),
            excluded: Vec::new(),
            variant: request.variant.clone(),
            failed_response: None,
            lacked_owner: false,
            retry_after: None,
            used_connections: Vec::new(),
            owner_wait_until: now + owner_wait,
            request,
        }
    }

    /// Makes attempts until one yields a response or no further attempt is allowed.
    pub(crate) async fn run(mut self) -> ProxiedResponse {
        loop {
            let now = self.edge.now();
            if !self.may_attempt(now) {
                break;
            }
            let endpoint = match self.select_endpoint(now).await {
                SelectionStep::Attempt(endpoint) => endpoint,
                SelectionStep::Reselect => continue,
                SelectionStep::GiveUp => break,
            };
            if !self.take_retry_budget(now) {
                break;
            }
            let Some(body) = self.attempt_body() else { break };
            let outcome = self.send_attempt(&endpoint, body, now).await;
            self.record_outcome(endpoint, &outcome);
            match self.next_step(outcome).await {
                NextStep::Respond(response) => return response.into(),
                NextStep::Retry => {}
                NextStep::GiveUp => break,
            }
        }
        self.final_response()
    }

    /// Whether time and attempts remain, taking the exit time of a process in shutdown into account.
    fn may_attempt(&self, now: Ms) -> bool {
        self.request.time_left(now) > 0
            && self.ends_before_process()
            && self.history.delivered < self.request.route.max_attempts.max(1)
            && self.history.unsent < MAX_UNSENT_ATTEMPTS
    }

    /// Whether the request's deadline is before the exit of the process. Late in a shutdown, an attempt could
    /// otherwise be aborted while its endpoint processes it, and the client would get no response.
    fn ends_before_process(&self) -> bool {
        self.edge.shutdown.may_begin(self.edge.instant(self.request.deadline))
    }

    /// Whether the attempt is within the retry budget, from which it is withdrawn. As long as no endpoint may
    /// have received the request, the attempt is not a retry.
    fn take_retry_budget(&self, now: Ms) -> bool {
        self.history.delivered == 0 || self.edge.withdraw_retry(self.request.service, now)
    }

    /// The body for the next attempt, or `None` if an earlier attempt already sent the beginning of a
    /// streamed body.
    fn attempt_body(&mut self) -> Option<RequestBody> {
        match &mut self.body {
            Body::Buffered(bytes) => Some(RequestBody::buffered(bytes)),
            Body::Streaming(stream) => stream.take().map(RequestBody::streaming),
        }
    }

    /// Makes one attempt.
    async fn send_attempt(
        &mut self,
        endpoint: &Rc<str>,
        body: RequestBody,
        now: Ms,
    ) -> AttemptOutcome<UpstreamResponse> {
        let sample = self.variant.as_ref().map(|variant| RolloutSample {
            sent_at: Instant::now(),
            is_latency_excluded: self.edge.record_attempt_start(variant, endpoint, now),
        });
        let attempt = Attempt {
            edge: self.edge,
            request: &self.request,
            endpoint,
            variant: self.variant.as_ref(),
            used_connections: &self.used_connections,
        };
        let AttemptResult { outcome, unsent_body, connection, retry_after } = attempt.run(body).await;
        if let Some(sample) = sample {
            self.record_rollout_sample(endpoint, &outcome, &sample);
        }
        if let (Body::Streaming(stream), Some(RequestBody::Streaming(unsent, _))) =
            (&mut self.body, unsent_body)
        {
            *stream = Some(unsent);
        }
        self.used_connections.extend(connection);
        self.retry_after = retry_after.or(self.retry_after);
        outcome
    }

    /// Records an attempt as evidence for the analysis of a rollout.
    fn record_rollout_sample(
        &self,
        endpoint: &str,
        outcome: &AttemptOutcome<UpstreamResponse>,
        sample: &RolloutSample,
    ) {
        let Some(variant) = &self.variant else { return };
        let failed =
            matches!(outcome, AttemptOutcome::Completed(response) if response.status.is_server_error());
        let route = self.request.route;
        let attempt = AttemptRecord {
            variant,
            route: &route.name,
            endpoint,
            server_error: failed,
            latency: sample.sent_at.elapsed().as_millis() as Ms,
            latency_target: route.latency_target.map_or(Ms::MAX, |target| target.as_millis() as Ms),
            latency_excluded: sample.is_latency_excluded,
        };
        self.edge.record_outcome(&attempt, outcome);
    }

    /// Records the outcome of an attempt in the request's history and in the state of its endpoint.
    fn record_outcome(&mut self, endpoint: Rc<str>, outcome: &AttemptOutcome<UpstreamResponse>) {
        self.history.record(outcome);
        match outcome {
            AttemptOutcome::NotSent(SendFailure::ConnectionClosed) => {}
            AttemptOutcome::Rejected(RejectReason::NotOwner) => {
                self.lacked_owner = true;
                let key = self.request.key.unwrap_or_default();
                let now = self.edge.now();
                self.edge.registry.borrow_mut().suspect_owner(self.request.service, key, &endpoint, now);
            }
            AttemptOutcome::Rejected(RejectReason::Overloaded) if self.request.key.is_some() => {}
            AttemptOutcome::Rejected(RejectReason::StaleAddress) => {
                self.edge.registry.borrow_mut().mark_stale_address(&endpoint, self.edge.now());
            }
            _ => self.excluded.push(endpoint),
        }
    }

    /// Decides what to do after an attempt.
    async fn next_step(&mut self, outcome: AttemptOutcome<UpstreamResponse>) -> NextStep {
        let retryable = outcome.is_retryable(self.request.route.idempotent);
        match outcome {
            AttemptOutcome::Completed(response) => NextStep::Respond(response),
            AttemptOutcome::Failed(response) if retryable && self.may_keep_failed_response() => {
                self.failed_response = Some(response);
                NextStep::Retry
            }
            AttemptOutcome::Failed(response) => NextStep::Respond(response),
            AttemptOutcome::Rejected(RejectReason::Overloaded) if self.request.key.is_some() => {
                self.wait_for_overloaded_owner().await
            }
            _ if retryable => NextStep::Retry,
            _ => NextStep::GiveUp,
        }
    }

    fn may_keep_failed_response(&self) -> bool {
        self.failed_response.is_none() && matches!(self.body, Body::Buffered(_))
    }

    /// Waits before the overloaded owner is tried again. Only the owner may process the request, and it needs
    /// time to free a slot.
    async fn wait_for_overloaded_owner(&self) -> NextStep {
        if self.edge.now() >= self.owner_wait_until {
            return NextStep::GiveUp;
        }
        tokio::time::sleep_until(self.edge.instant(self.owner_wait_until)).await;
        NextStep::Retry
    }

    /// The response to the client when no further attempt is made.
    fn final_response(self) -> ProxiedResponse {
        if let Some(response) = self.failed_response {
            return response.into();
        }
        let outcome = self.history.final_outcome();
        let response = match outcome {
            FinalOutcome::Unavailable => unavailable(self.client_backoff()),
            other => empty_response(other.status()),
        };
        ProxiedResponse { response, given_up: Some(outcome) }
    }

    /// Delay (ms) after which the client should retry.
    fn client_backoff(&self) -> Ms {
        if !self.ends_before_process() {
            return RETRY_AFTER_ELSEWHERE_MS;
        }
        let time_left = self.request.time_left(self.edge.now());
        match self.retry_after {
            Some(retry_after) => retry_after.min(time_left / 3),
            None => backoff::retry_after(time_left, self.lacked_owner, self.edge.random.borrow_mut().f64()),
        }
    }
}

/// What is recorded when an attempt that belongs to a rollout is sent.
struct RolloutSample {
    sent_at: Instant,
    /// Whether its latency says nothing about the version.
    is_latency_excluded: bool,
}
