//! Handles each request that hyper has parsed: checks its head, then proxies it, by way of its session where it has one.
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

/// Time (ms) that a client is taken to have left while there is no configuration by which to read its request.
const TIME_LEFT_WITHOUT_CONFIG: Ms = 1_000;

/// The response to a request. `scanned` is what was seen of its head before hyper parsed it.
pub(crate) async fn handle(
    edge: &Rc<Edge>,
    request: Request<Incoming>,
    scanned: HeadScanner,
    client: IpAddr,
) -> Response<ResponseBody> {
    if !scanned.is_complete() {
        // It came in one piece with the request before it, so that its head was not scanned.
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

/// The response to a request that is refused by its head. Where its end is not known for sure, the connection is closed: what
/// follows might be taken for a request.
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
