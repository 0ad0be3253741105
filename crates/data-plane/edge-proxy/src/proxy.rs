//! Proxies one request: buffers its body, then makes attempts.
use crate::attempt_loop::{AttemptLoop, ProxiedResponse};
use crate::body::{buffer_body, Body, BodyError};
use crate::edge::{ConfigSnapshot, Edge};
use crate::request::ReceivedRequest;
use crate::response::{close_connection, empty_response, ResponseBody};
use coppersail_load_balancing::Ms;
use hyper::body::Incoming;
use hyper::Response;
use std::rc::Rc;
use tokio::time::timeout_at;

/// Proxies a request whose body has not been read yet.
pub(crate) async fn proxy_request(
    edge: &Rc<Edge>,
    config: &ConfigSnapshot,
    request: ReceivedRequest<'_>,
    body: Incoming,
) -> Response<ResponseBody> {
    match read_request_body(edge, config, request.deadline, body).await {
        Ok(body) => proxy_buffered(edge, request, body).await.response,
        Err(error_response) => error_response,
    }
}

/// Proxies a request whose body was already read by [`read_request_body`].
pub(crate) async fn proxy_buffered(
    edge: &Rc<Edge>,
    request: ReceivedRequest<'_>,
    body: Body,
) -> ProxiedResponse {
    AttemptLoop::new(edge, request, body).run().await
}

/// Buffers a request's body up to the size limit of buffering. The error is the response to the client; the
/// connection is closed after it, since the rest of the body was not read.
pub(crate) async fn read_request_body(
    edge: &Edge,
    snapshot: &ConfigSnapshot,
    deadline: Ms,
    body: Incoming,
) -> Result<Body, Response<ResponseBody>> {
    let read = buffer_body(body, snapshot.config.client_limits.max_body_bytes);
    let status = match timeout_at(edge.instant(deadline), read).await {
        Ok(Ok(body)) => return Ok(body),
        Ok(Err(BodyError::TooLong)) => 413,
        Ok(Err(BodyError::Aborted | BodyError::DeadlineExceeded)) => 400,
        Err(_) => 408,
    };
    Err(close_connection(empty_response(status)))
}
