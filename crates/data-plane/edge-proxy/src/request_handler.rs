//! Handles each request that hyper has parsed: validates its head, then proxies it, through the session layer
//! if session affinity is enabled.
use crate::edge::Edge;
use crate::head_scanner::HeadScanner;
use crate::proxy::proxy_request;
use crate::request::{ReceivedRequest, RequestError};
use crate::response::{close_connection, empty_response, unavailable, ResponseBody};
use coppersail_load_balancing::{backoff, Ms};
use hyper::body::Incoming;
use hyper::{Request, Response};
use std::net::IpAddr;
use std::rc::Rc;

/// Time (ms) until the client's deadline that is assumed while there is no configuration, without which the
/// request's own deadline is not read.
const TIME_LEFT_WITHOUT_CONFIG: Ms = 1_000;

/// Returns the response to a request. `scanned` is the scanner of its head, which ran before hyper parsed the
/// head.
pub(crate) async fn handle(
    edge: &Rc<Edge>,
    request: Request<Incoming>,
    scanned: HeadScanner,
    client: IpAddr,
) -> Response<ResponseBody> {
    if !scanned.is_complete() {
        // The request was pipelined: it arrived together with the previous one, so its head was not scanned.
        return close_connection(unavailable(0));
    }
    if scanned.is_ambiguous() {
        return close_connection(empty_response(400));
    }
    let Some(snapshot) = edge.config() else {
        let random = edge.random.borrow_mut().f64();
        return unavailable(backoff::retry_after(TIME_LEFT_WITHOUT_CONFIG, false, random));
    };
    let (head, body) = request.into_parts();
    let request = match ReceivedRequest::read(edge, &snapshot, head, client) {
        Ok(request) => request,
        Err(error) => return error_response(&error),
    };
    match edge.sessions.get() {
        Some(sessions) => sessions.proxy_request(edge, &snapshot, request, body).await,
        None => proxy_request(edge, &snapshot, request, body).await,
    }
}

/// The response to a request that is rejected because of its head. If the end of the request is uncertain,
/// the connection is closed, since the bytes that follow might be parsed as another request.
fn error_response(error: &RequestError) -> Response<ResponseBody> {
    match error {
        RequestError::NoRoute => empty_response(404),
        RequestError::BodyTooLong { .. } => close_connection(empty_response(413)),
        RequestError::Header(_)
        | RequestError::Unsupported { .. }
        | RequestError::TransferCoding(_)
        | RequestError::KeyOutOfRange(_) => close_connection(empty_response(400)),
    }
}
