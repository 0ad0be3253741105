//! Reads the response of an endpoint and derives the outcome of the attempt from it.
use crate::body::{buffer_body, Body, BodyError, MAX_BUFFERED};
use crate::edge::Edge;
use crate::headers::{
    closes_connection, keep_alive, optional, remove_hop_by_hop, retry_after, state_length_once, ReportedLoad,
    NOT_RUN, SERVER_ID, SERVER_SEAL, TRY_ID,
};
use crate::in_flight::InFlight;
use crate::lease::Lease;
use crate::request::ReceivedRequest;
use crate::response::{ResponseBody, StreamedResponse};
use coppersail_load_balancing::Ms;
use coppersail_response_framing::{BodyFraming, ResponseHead};
use coppersail_retry::{AttemptOutcome, IndeterminateCause, RejectReason};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, CONTENT_ENCODING, RETRY_AFTER};
use hyper::{Response, StatusCode, Version};
use std::rc::Rc;
use tokio::time::{timeout_at, Instant};

/// Statuses after which a client may retry the request. They are not passed on without the `Not-Run` header,
/// by which the endpoint states that it did not process the request.
const STATUSES_THAT_INVITE_RETRIES: [u16; 3] = [408, 429, 503];

/// The response of an endpoint: complete, or streamed after its head and the buffered beginning were checked.
pub(crate) struct UpstreamResponse {
    pub(crate) status: StatusCode,
    headers: HeaderMap,
    body: ResponseBody,
}

impl UpstreamResponse {
    pub(crate) fn into_response(self) -> Response<ResponseBody> {
        let mut response = Response::new(self.body);
        (*response.status_mut(), *response.headers_mut()) = (self.status, self.headers);
        response
    }
}

/// The outcome of an attempt that got a response.
pub(crate) struct ResponseOutcome {
    pub(crate) outcome: AttemptOutcome<UpstreamResponse>,
    /// Delay (ms) after which a rejected request may be retried, if the endpoint named one.
    pub(crate) retry_after: Option<Ms>,
}

/// A request that was sent to an endpoint and whose response has started to arrive.
pub(crate) struct Exchange<'a> {
    pub(crate) edge: &'a Rc<Edge>,
    pub(crate) request: &'a ReceivedRequest<'a>,
    pub(crate) endpoint: &'a Rc<str>,
    pub(crate) lease: Lease,
    /// When the request was sent, as a time (ms) of the edge's clock.
    pub(crate) sent_at: Ms,
    /// Expected number of requests at the endpoint when this one was sent, including it.
    pub(crate) concurrency: f32,
    /// Whether the response began before the whole request was sent.
    pub(crate) early: bool,
}

impl Exchange<'_> {
    /// Reads the response, up to the size limit of buffering.
    pub(crate) async fn read(
        mut self,
        response: Response<Incoming>,
        in_flight: &mut InFlight,
    ) -> Result<ResponseOutcome, IndeterminateCause> {
        let framing = ResponseHead::from(&response).body_framing(&self.request.method);
        let framing = framing.map_err(|_| IndeterminateCause::MalformedResponse)?;
        let (head, body) = response.into_parts();
        let (status, headers) = (head.status, head.headers);
        // A duplicate response to an earlier request may have been waiting on the connection.
        let id = optional(&headers, &TRY_ID).ok().flatten();
        if id != Some(&self.request.request_id) || status == StatusCode::SWITCHING_PROTOCOLS {
            return Err(IndeterminateCause::ForeignResponse);
        }
        self.record_load(&headers);
        self.lease.keep_alive = keep_alive(&headers);
        let reusable = head.version == Version::HTTP_11 && !closes_connection(&headers) && !self.early;
        if let Some(reason) = self.reject_reason(status, &headers) {
            in_flight.record_success();
            let retry_after = self.record_rejection(reason, &headers);
            if reusable {
                self.drain_rejection(framing, body).await;
            }
            return Ok(ResponseOutcome { outcome: AttemptOutcome::Rejected(reason), retry_after });
        }
        check_passable(status, &headers, framing)?;
        let response = self.read_body(status, headers, body, reusable, in_flight).await?;
        // A 500 or 502 is an internal failure of the endpoint, so another endpoint may succeed. After a 504
        // there is no time left for another attempt.
        let outcome = match status {
            StatusCode::INTERNAL_SERVER_ERROR | StatusCode::BAD_GATEWAY => AttemptOutcome::Failed(response),
            _ => AttemptOutcome::Completed(response),
        };
        Ok(ResponseOutcome { outcome, retry_after: None })
    }

    fn deadline(&self) -> Instant {
        self.edge.instant(self.request.deadline)
    }

    /// Why the endpoint did not process the request, or `None` if the response does not state that it did
    /// not.
    fn reject_reason(&self, status: StatusCode, headers: &HeaderMap) -> Option<RejectReason> {
        if status != StatusCode::MISDIRECTED_REQUEST {
            let is_error = status.is_client_error() || status.is_server_error();
            return (is_error && headers.contains_key(&NOT_RUN)).then_some(RejectReason::Overloaded);
        }
        let is_other_endpoint =
            headers.get(&SERVER_ID).is_some_and(|id| id.as_bytes() != self.endpoint.as_bytes());
        Some(if self.request.key.is_some() && !is_other_endpoint {
            RejectReason::NotOwner
        } else {
            RejectReason::StaleAddress
        })
    }

    /// Records the rejection if the reason is overload, and returns the retry delay (ms) that the endpoint
    /// named.
    fn record_rejection(&self, reason: RejectReason, headers: &HeaderMap) -> Option<Ms> {
        if reason != RejectReason::Overloaded {
            return None;
        }
        let now = self.edge.now();
        if let Some(endpoint) = self.edge.registry.borrow_mut().endpoint_mut(self.endpoint) {
            endpoint.load.record_rejection(now);
        }
        retry_after(headers.get(RETRY_AFTER))
    }

    /// Reads a rejection to its end, so that its connection can be reused. A rejection that is long or has no
    /// exact length is not read, so that the next attempt does not have to wait for its end.
    async fn drain_rejection(self, framing: BodyFraming, body: Incoming) {
        let is_short = match framing {
            BodyFraming::NoBody => true,
            BodyFraming::Length(length) => length <= MAX_BUFFERED as u64,
            BodyFraming::Chunked | BodyFraming::UntilClose => false,
        };
        if !is_short {
            return;
        }
        if let Ok(Ok(_)) = timeout_at(self.deadline(), buffer_body(body, MAX_BUFFERED as u64)).await {
            self.lease.return_to_pool();
        }
    }

    /// Buffers the body, or starts to stream it if it is too long.
    async fn read_body(
        self,
        status: StatusCode,
        mut headers: HeaderMap,
        body: Incoming,
        reusable: bool,
        in_flight: &mut InFlight,
    ) -> Result<UpstreamResponse, IndeterminateCause> {
        remove_hop_by_hop(&mut headers);
        state_length_once(status, &mut headers);
        let deadline = self.deadline();
        let body = match timeout_at(deadline, buffer_body(body, u64::MAX)).await {
            Ok(Ok(body)) => body,
            Ok(Err(BodyError::Aborted | BodyError::TooLong | BodyError::DeadlineExceeded)) => {
                return Err(IndeterminateCause::Truncated)
            }
            Err(_) => return Err(IndeterminateCause::Timeout),
        };
        if status.is_success() {
            self.record_latency();
        }
        let lease = reusable.then_some(self.lease);
        let body = match body {
            Body::Buffered(bytes) => {
                if let Some(lease) = lease {
                    lease.return_to_pool();
                }
                in_flight.record_success();
                ResponseBody::buffered(bytes)
            }
            Body::Streaming(stream) => ResponseBody::streamed(StreamedResponse {
                stream: stream.expect("just read"),
                lease,
                in_flight: InFlight::begin(self.edge, self.endpoint),
                deadline: Box::pin(tokio::time::sleep_until(deadline)),
            }),
        };
        Ok(UpstreamResponse { status, headers, body })
    }

    fn record_load(&self, headers: &HeaderMap) {
        let Some(ReportedLoad { running, waiting, slots }) = ReportedLoad::from_headers(headers) else {
            return;
        };
        let now = self.edge.now();
        if let Some(endpoint) = self.edge.registry.borrow_mut().endpoint_mut(self.endpoint) {
            endpoint.load.record_report(running, waiting, slots, now);
        }
    }

    fn record_latency(&self) {
        let latency = self.edge.now().saturating_sub(self.sent_at);
        let mut registry = self.edge.registry.borrow_mut();
        let service_mean = registry.service(self.request.service).map_or(0.0, |service| service.mean_latency);
        let Some(endpoint) = registry.endpoint_mut(self.endpoint) else { return };
        endpoint.load.record_latency(latency, self.concurrency, service_mean);
        let endpoint_mean = endpoint.load.mean_latency();
        if let Some(service) = registry.service_mut(self.request.service) {
            service.record_latency(endpoint_mean);
        }
    }
}

/// Checks whether a response may be passed on to the client.
fn check_passable(
    status: StatusCode,
    headers: &HeaderMap,
    framing: BodyFraming,
) -> Result<(), IndeterminateCause> {
    // These statuses must not be passed on without the endpoint's statement that it did not process the
    // request, and that statement must not accompany the response of a processed request.
    if STATUSES_THAT_INVITE_RETRIES.contains(&status.as_u16()) || headers.contains_key(&NOT_RUN) {
        return Err(IndeterminateCause::Unsealed);
    }
    let is_sealed = !status.is_success() || headers.contains_key(&SERVER_SEAL);
    if !is_sealed || headers.contains_key(CONTENT_ENCODING) {
        return Err(IndeterminateCause::Unsealed);
    }
    // A body that ends with its connection cannot be distinguished from a truncated one.
    if framing == BodyFraming::UntilClose {
        return Err(IndeterminateCause::Truncated);
    }
    Ok(())
}
