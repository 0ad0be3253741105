//! Header fields of the gateway's protocol (docs/gateway.md), and hop-by-hop header fields.
use coppersail_load_balancing::Ms;
use coppersail_response_framing::content_length;
use hyper::body::Body;
use hyper::header::{
    HeaderMap, HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH, HOST, TE, TRAILER, TRANSFER_ENCODING,
    UPGRADE,
};
use hyper::StatusCode;
use std::time::Duration;

/// Id of a request, the same in all of its attempts. The response repeats it.
pub(crate) const TRY_ID: HeaderName = HeaderName::from_static("try-id");
/// Time (ms) until the request's deadline.
pub(crate) const TIME_LEFT: HeaderName = HeaderName::from_static("time-left-ms");
/// Id of the endpoint for which an attempt is intended.
pub(crate) const WANTED_SERVER: HeaderName = HeaderName::from_static("wanted-server");
/// The shard key of a request to a sharded service.
pub(crate) const SHARD_KEY: HeaderName = HeaderName::from_static("shard-key");
/// Id of the endpoint that sent the response.
pub(crate) const SERVER_ID: HeaderName = HeaderName::from_static("server-id");
/// Load of the endpoint that sent the response: "running,waiting,slots".
pub(crate) const SERVER_LOAD: HeaderName = HeaderName::from_static("server-load");
/// The seal: proof that a successful response was produced by the endpoint itself.
pub(crate) const SERVER_SEAL: HeaderName = HeaderName::from_static("server-seal");
/// The endpoint's statement that it did not process the request and never will.
pub(crate) const NOT_RUN: HeaderName = HeaderName::from_static("not-run");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// `Retry-After` values (seconds) from this one upwards are ignored as implausible.
const MAX_RETRY_AFTER_S: f64 = 86_400.0;

/// Why a header field cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum HeaderError {
    #[error("header {0} is missing; expected exactly one")]
    Missing(HeaderName),
    #[error("header {0} occurs more than once; expected exactly one")]
    Repeated(HeaderName),
    #[error("invalid header value {0:?}; expected a number")]
    NotANumber(HeaderValue),
}

/// The value of a header field that may occur at most once.
pub(crate) fn optional<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> Result<Option<&'a HeaderValue>, HeaderError> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (value, None) => Ok(value),
        _ => Err(HeaderError::Repeated(name.clone())),
    }
}

/// The value of a header field that must occur exactly once.
pub(crate) fn required<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> Result<&'a HeaderValue, HeaderError> {
    optional(headers, name)?.ok_or_else(|| HeaderError::Missing(name.clone()))
}

/// Parses a header value as a number, if there is a value.
pub(crate) fn number(value: Option<&HeaderValue>) -> Result<Option<u64>, HeaderError> {
    let Some(value) = value else { return Ok(None) };
    let number = value.to_str().ok().and_then(|text| text.trim().parse().ok());
    number.map(Some).ok_or_else(|| HeaderError::NotANumber(value.clone()))
}

/// Removes the hop-by-hop fields (RFC 9110, section 7.6.1).
pub(crate) fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        // Fields that the gateway's protocol or the message framing needs cannot be removed by listing them
        // in `Connection`.
        .filter(|name| ![HOST, CONTENT_LENGTH, TRY_ID, SHARD_KEY, SERVER_SEAL].contains(name))
        .collect();
    for name in &listed {
        headers.remove(name);
    }
    for name in [CONNECTION, KEEP_ALIVE, PROXY_CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE] {
        headers.remove(name);
    }
}

/// States the framing of a message with a body (RFC 9112, section 6): by its length, or by chunks if that is not
/// known. Without such a field, hyper infers from the method of a request whether it has a body.
pub(crate) fn set_framing(headers: &mut HeaderMap, body: &impl Body) {
    match body.size_hint().exact() {
        // Whether an empty body has a length is left as the sender has it.
        Some(0) => {}
        Some(length) => {
            headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
        }
        None => {
            headers.remove(CONTENT_LENGTH);
            headers.insert(TRANSFER_ENCODING, HeaderValue::from_static("chunked"));
        }
    }
}

/// Replaces a repeated length of a well-formed response by one field, and removes it where the status allows no such
/// field (RFC 9110, section 8.6).
pub(crate) fn state_length_once(status: StatusCode, headers: &mut HeaderMap) {
    match content_length(headers) {
        Ok(Some(length)) if status != StatusCode::NO_CONTENT => {
            headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
        }
        _ => {
            headers.remove(CONTENT_LENGTH);
        }
    }
}

/// Whether the sender closes the connection after this message.
pub(crate) fn closes_connection(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).any(|option| option.trim().eq_ignore_ascii_case("close"))
}

/// The keep-alive time of the sender, if it reports one.
pub(crate) fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(&KEEP_ALIVE)?.to_str().ok()?;
    let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.parse().ok().map(Duration::from_secs)
}

/// Parses a `Retry-After` value in seconds, with or without decimals, to milliseconds.
pub(crate) fn retry_after(value: Option<&HeaderValue>) -> Option<Ms> {
    let seconds: f64 = value?.to_str().ok()?.trim().parse().ok()?;
    (0.0..MAX_RETRY_AFTER_S).contains(&seconds).then_some((seconds * 1000.0) as Ms)
}

/// The load that an endpoint reports with a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ReportedLoad {
    pub(crate) running: u32,
    pub(crate) waiting: u32,
    pub(crate) slots: u32,
}

impl ReportedLoad {
    pub(crate) fn from_headers(headers: &HeaderMap) -> Option<ReportedLoad> {
        let value = headers.get(&SERVER_LOAD)?.to_str().ok()?;
        let mut numbers = value.split(',').map(|part| part.trim().parse::<u32>());
        match (numbers.next(), numbers.next(), numbers.next()) {
            (Some(Ok(running)), Some(Ok(waiting)), Some(Ok(slots))) => {
                Some(ReportedLoad { running, waiting, slots })
            }
            _ => None,
        }
    }
}
