//! The attempts of one request, until one brings a response or the request is given up.
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

/// Attempts of one request that reach no endpoint; each costs the client a part of its time.
const MAX_UNSENT_ATTEMPTS: u32 = 3;

/// `Retry-After` (ms) of a request that only this edge cannot take.
const RETRY_AFTER_ELSEWHERE_MS: Ms = 0;

/// How a request ended.
pub(crate) struct ProxiedResponse {
    pub(crate) response: Response<ResponseBody>,
    /// None: the response is the endpoint's own.
    pub(crate) given_up: Option<FinalOutcome>,
}

impl From<UpstreamResponse> for ProxiedResponse {
    fn from(response: UpstreamResponse) -> ProxiedResponse {
        ProxiedResponse { response: response.into_response(), given_up: None }
    }
}

/// A request between its attempts.
pub(crate) struct AttemptLoop<'a> {
    edge: &'a Rc<Edge>,
    request: ReceivedRequest<'a>,
    body: Body,
    history: AttemptHistory,
    /// Ids of endpoints that are not to be selected again.
    excluded: Vec<Rc<str>>,
    /// The variant of the rollout; it changes if the new version has no endpoint.
    variant: Option<AssignedVariant>,
    /// An endpoint's own failure, kept in case that no other does better.
    failed_response: Option<UpstreamResponse>,
    /// Whether the request had to wait for the owner of its key.
    lacked_owner: bool,
    /// In ms, as the last endpoint that was overloaded said.
    retry_after: Option<Ms>,
    /// Numbers of the connections that the request was sent on.
    used_connections: Vec<u64>,
    /// How long the request may wait for its key's owner, in ms of the edge's clock.
    owner_wait_until: Ms,
}

/// What follows from an attempt.
enum NextStep {
    Respond(UpstreamResponse),
    Retry,
    GiveUp,
}

impl<'a> AttemptLoop<'a> {
    /// Counts the request, in its service's retry budget and for the balance of shards.
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

    /// Makes attempts until one brings a response or the request is given up.
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

    /// Whether time and attempts are left, also until the end of the process.
    fn may_attempt(&self, now: Ms) -> bool {
        self.request.time_left(now) > 0
            && self.ends_before_process()
            && self.history.delivered < self.request.route.max_attempts.max(1)
            && self.history.unsent < MAX_UNSENT_ATTEMPTS
    }

    /// Late in a shutdown an attempt could be cut while its endpoint is at work, and the client would get no answer.
    fn ends_before_process(&self) -> bool {
        self.edge.shutdown.may_begin(self.edge.instant(self.request.deadline))
    }

    /// Whether the attempt is within the retry budget; the first one, and those after which no endpoint has read the
    /// request, are not retries.
    fn take_retry_budget(&self, now: Ms) -> bool {
        self.history.delivered == 0 || self.edge.withdraw_retry(self.request.service, now)
    }

    /// The body for the next attempt; none if its beginning was sent with an earlier one.
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

    /// Counts an attempt as evidence for the analysis of a rollout.
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

    /// Records what an attempt says about the request and about its endpoint.
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

    /// Decides what follows from an attempt.
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

    /// Only the owner can process the request, so that it is asked again, but not before a slot of it may be free.
    async fn wait_for_overloaded_owner(&self) -> NextStep {
        if self.edge.now() >= self.owner_wait_until {
            return NextStep::GiveUp;
        }
        tokio::time::sleep_until(self.edge.instant(self.owner_wait_until)).await;
        NextStep::Retry
    }

    /// The response of a request that is given up.
    fn final_response(self) -> ProxiedResponse {
        if let Some(response) = self.failed_response {
            return response.into();
        }
        let outcome = self.history.final_outcome();
        let answer = match outcome {
            FinalOutcome::Unavailable => unavailable(self.client_backoff()),
            other => empty_response(other.status()),
        };
        ProxiedResponse { response: answer, given_up: Some(outcome) }
    }

    /// When the client should come back, in ms.
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

/// What is noted of an attempt under a rollout when it is sent.
struct RolloutSample {
    sent_at: Instant,
    /// Its latency tells nothing about the version.
    is_latency_excluded: bool,
}
