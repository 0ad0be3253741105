//! Responses that the edge generates for requests that must run at most once, and the recording and replay of
//! endpoint responses.
use crate::attempt_loop::ProxiedResponse;
use crate::response::{empty_response, unavailable, ResponseBody, ResponseContent};
use coppersail_load_balancing::Ms;
use coppersail_retry::FinalOutcome;
use coppersail_session_affinity::{Decision, Outcome, RecordedResponse};
use hyper::header::{HeaderName, HeaderValue, CONTENT_LENGTH, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// Marks a replayed response, as is common with the `Idempotency-Key` header.
const REPLAYED: HeaderName = HeaderName::from_static("idempotent-replayed");
/// The reason why a request was not sent to an endpoint, as text. The texts are part of the wire format.
const OUTCOME: HeaderName = HeaderName::from_static("session-outcome");
/// The request id. A response carries the id of the request that it answers.
pub(super) const ATTEMPT_ID: HeaderName = HeaderName::from_static("try-id");

/// Outcome texts after which the session cannot be used any more.
const SESSION_LOST: &str = "forgotten";
const TOO_MANY_REQUESTS: &str = "spent";
/// `Retry-After` value (seconds) for a repeated request whose original is still being processed.
const IN_PROGRESS_RETRY_AFTER: &str = "1";

/// A response without a body, with the reason why the request was not sent.
pub(super) fn rejection(status: u16, reason: &'static str) -> Response<ResponseBody> {
    let mut response = empty_response(status);
    response.headers_mut().insert(OUTCOME, HeaderValue::from_static(reason));
    response
}

/// The response to a request that may or may not have run.
pub(super) fn outcome_unknown() -> Response<ResponseBody> {
    rejection(502, "unknown")
}

/// The response to a request that the affinity node decided not to send. `retry_after` returns the delay (ms)
/// after which the client may retry a request that has not run.
pub(super) fn decision_response(
    decision: Decision,
    retry_after: impl FnOnce() -> Ms,
) -> Response<ResponseBody> {
    match decision {
        Decision::Replay(recorded) => replay(recorded),
        Decision::ResponseExpired => rejection(410, "ran, the answer is no longer kept"),
        Decision::InFlight => {
            let mut response = rejection(409, "under way");
            response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static(IN_PROGRESS_RETRY_AFTER));
            response
        }
        Decision::Unknown => outcome_unknown(),
        Decision::FingerprintMismatch => rejection(422, "another request went under this key"),
        Decision::Rejected => {
            let mut response = unavailable(retry_after());
            response.headers_mut().insert(OUTCOME, HeaderValue::from_static("not run"));
            response
        }
        Decision::SessionLost => rejection(428, SESSION_LOST),
        Decision::TooManyRequests => rejection(429, TOO_MANY_REQUESTS),
    }
}

/// Whether a response ends its session, so that the client needs a new one.
pub(super) fn ends_session(response: &Response<ResponseBody>) -> bool {
    response
        .headers()
        .get(OUTCOME)
        .is_some_and(|reason| reason == SESSION_LOST || reason == TOO_MANY_REQUESTS)
}

pub(super) fn is_replay(response: &Response<ResponseBody>) -> bool {
    response.headers().contains_key(&REPLAYED)
}

/// The outcome of a request that was sent, as it is recorded for repeated requests.
pub(super) fn recorded_outcome(ProxiedResponse { response, given_up }: &ProxiedResponse) -> Outcome {
    match given_up {
        Some(FinalOutcome::Unavailable) => return Outcome::NotExecuted,
        Some(FinalOutcome::OutcomeUnknown | FinalOutcome::DeadlineExceeded) => return Outcome::Unknown,
        None => {}
    }
    let ResponseContent::Buffered(body) = &response.body().content else {
        return Outcome::CompletedUnrecorded;
    };
    let recorded_header = |(name, value): (&HeaderName, &HeaderValue)| {
        let value = value.to_str().ok()?.to_owned();
        (*name != ATTEMPT_ID && *name != CONTENT_LENGTH).then(|| (name.as_str().to_owned(), value))
    };
    Outcome::Completed(RecordedResponse {
        status: response.status().as_u16(),
        headers: response.headers().iter().filter_map(recorded_header).collect(),
        body: body.as_ref().map(|body| body.to_vec()).unwrap_or_default(),
    })
}

fn replay(recorded: RecordedResponse) -> Response<ResponseBody> {
    let length = recorded.body.len();
    let mut response = Response::new(ResponseBody::buffered(recorded.body.into()));
    *response.status_mut() = StatusCode::from_u16(recorded.status).unwrap_or(StatusCode::BAD_GATEWAY);
    for (name, value) in recorded.headers {
        if let (Ok(name), Ok(value)) = (HeaderName::try_from(name), HeaderValue::try_from(value)) {
            response.headers_mut().append(name, value);
        }
    }
    response.headers_mut().insert(CONTENT_LENGTH, HeaderValue::from(length));
    response.headers_mut().insert(REPLAYED, HeaderValue::from_static("true"));
    response
}
