//! Responses of the edge itself to requests that must run once, and the record and replay of endpoints' responses.
use crate::attempt_loop::ProxiedResponse;
use crate::response::{empty_response, unavailable, ResponseBody, ResponseContent};
use coppersail_load_balancing::Ms;
use coppersail_retry::FinalOutcome;
use coppersail_session_affinity::{Decision, Outcome, RecordedResponse};
use hyper::header::{HeaderName, HeaderValue, CONTENT_LENGTH, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// Marks a replayed response, as in the IETF's draft on `Idempotency-Key`.
const REPLAYED: HeaderName = HeaderName::from_static("idempotent-replayed");
/// Says in words why a request was not sent to an endpoint. The words are wire names.
const OUTCOME: HeaderName = HeaderName::from_static("session-outcome");
/// The id of an attempt: a response bears that of the request it answers.
pub(super) const ATTEMPT_ID: HeaderName = HeaderName::from_static("try-id");

const FORGOTTEN: &str = "forgotten";
const SPENT: &str = "spent";
/// Seconds after which a client repeats a request that is still at an endpoint.
const IN_PROGRESS_RETRY_AFTER: &str = "1";

/// A response without a body that says why the request was not sent.
pub(super) fn refusal(status: u16, reason: &'static str) -> Response<ResponseBody> {
    let mut response = empty_response(status);
    response.headers_mut().insert(OUTCOME, HeaderValue::from_static(reason));
    response
}

/// The request may or may not have run.
pub(super) fn outcome_unknown() -> Response<ResponseBody> {
    refusal(502, "unknown")
}

/// The response to a request that the affinity node decides not to send. `retry_after`: milliseconds after which the
/// client may repeat a request that has not run.
pub(super) fn decision_response(
    decision: Decision,
    retry_after: impl FnOnce() -> Ms,
) -> Response<ResponseBody> {
    match decision {
        Decision::Replay(recorded) => replay(recorded),
        Decision::ResponseExpired => refusal(410, "ran, the answer is no longer kept"),
        Decision::InFlight => {
            let mut response = refusal(409, "under way");
            response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static(IN_PROGRESS_RETRY_AFTER));
            response
        }
        Decision::Unknown => outcome_unknown(),
        Decision::FingerprintMismatch => refusal(422, "another request went under this key"),
        Decision::Rejected => {
            let mut response = unavailable(retry_after());
            response.headers_mut().insert(OUTCOME, HeaderValue::from_static("not run"));
            response
        }
        Decision::SessionLost => refusal(428, FORGOTTEN),
        Decision::TooManyRequests => refusal(429, SPENT),
    }
}

/// Whether a response ends its session, so that the client needs a new one.
pub(super) fn ends_session(response: &Response<ResponseBody>) -> bool {
    response.headers().get(OUTCOME).is_some_and(|reason| reason == FORGOTTEN || reason == SPENT)
}

pub(super) fn is_replay(response: &Response<ResponseBody>) -> bool {
    response.headers().contains_key(&REPLAYED)
}

/// What is recorded of how sending a request ended.
pub(super) fn recorded_outcome(
    ProxiedResponse { response: answer, given_up: closing }: &ProxiedResponse,
) -> Outcome {
    match closing {
        Some(FinalOutcome::Unavailable) => return Outcome::NotExecuted,
        Some(FinalOutcome::OutcomeUnknown | FinalOutcome::DeadlineExceeded) => return Outcome::Unknown,
        None => {}
    }
    let ResponseContent::Whole(body) = &answer.body().kind else { return Outcome::CompletedUnrecorded };
    let recorded_header = |(name, value): (&HeaderName, &HeaderValue)| {
        let value = value.to_str().ok()?.to_owned();
        (*name != ATTEMPT_ID && *name != CONTENT_LENGTH).then(|| (name.as_str().to_owned(), value))
    };
    Outcome::Completed(RecordedResponse {
        status: answer.status().as_u16(),
        headers: answer.headers().iter().filter_map(recorded_header).collect(),
        body: body.as_ref().map(|body| body.to_vec()).unwrap_or_default(),
    })
}

fn replay(recorded: RecordedResponse) -> Response<ResponseBody> {
    let length = recorded.body.len();
    let mut response = Response::new(ResponseBody::whole(recorded.body.into()));
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
