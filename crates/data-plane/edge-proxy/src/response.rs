//! Responses to clients: their bodies, and the responses that the edge generates itself.
use crate::body::{exact_size, BodyError, BodyStream};
use crate::connection_state::ResponseGuard;
use crate::in_flight::InFlight;
use crate::lease::Lease;
use bytes::Bytes;
use coppersail_load_balancing::Ms;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use hyper::header::{HeaderValue, CONNECTION, CONTENT_LENGTH, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::time::Sleep;

/// A response that is too long to be buffered and is passed on as it arrives.
pub(crate) struct StreamedResponse {
    pub(crate) stream: BodyStream,
    /// The connection on which it arrives, if that may be reused; returned to the pool at the end of the
    /// body.
    pub(crate) lease: Option<Lease>,
    pub(crate) in_flight: InFlight,
    pub(crate) deadline: Pin<Box<Sleep>>,
}

impl StreamedResponse {
    fn poll_frame(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = self.stream.poll_frame(cx);
        if frame.is_pending() && self.deadline.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(Err(BodyError::DeadlineExceeded)));
        }
        if matches!(frame, Poll::Ready(None)) {
            if let Some(lease) = self.lease.take() {
                self.in_flight.record_success();
                lease.return_to_pool();
            }
        }
        frame
    }
}

/// The content of a response body.
pub(crate) enum ResponseContent {
    Buffered(Option<Bytes>),
    Streamed(Box<StreamedResponse>),
}

/// The body of a response to a client.
pub(crate) struct ResponseBody {
    pub(crate) content: ResponseContent,
    /// Dropped together with the body, which marks the client connection as idle.
    pub(crate) guard: Option<ResponseGuard>,
}

impl ResponseBody {
    pub(crate) fn buffered(bytes: Bytes) -> ResponseBody {
        ResponseBody { content: ResponseContent::Buffered((!bytes.is_empty()).then_some(bytes)), guard: None }
    }

    pub(crate) fn streamed(response: StreamedResponse) -> ResponseBody {
        ResponseBody { content: ResponseContent::Streamed(Box::new(response)), guard: None }
    }
}

impl HttpBody for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match &mut self.get_mut().content {
            ResponseContent::Buffered(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            ResponseContent::Streamed(streamed) => streamed.poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        // A streamed body is known to be complete only after its end was read.
        matches!(&self.content, ResponseContent::Buffered(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            ResponseContent::Buffered(bytes) => exact_size(bytes.as_ref()),
            ResponseContent::Streamed(streamed) => streamed.stream.size_hint(),
        }
    }
}

/// A response without a body that the edge generates itself.
pub(crate) fn empty_response(status: u16) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::buffered(Bytes::new()));
    *response.status_mut() = StatusCode::from_u16(status).expect("one of the edge's own statuses");
    response.headers_mut().insert(CONTENT_LENGTH, HeaderValue::from_static("0"));
    response
}

/// A 503 response: the request was not processed, and the client may retry it after `retry_after` ms.
pub(crate) fn unavailable(retry_after: Ms) -> Response<ResponseBody> {
    let mut response = empty_response(503);
    let seconds = format!("{}.{:03}", retry_after / 1000, retry_after % 1000);
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_str(&seconds).expect("digits"));
    response
}

/// Marks a response so that the connection is closed after it.
pub(crate) fn close_connection(mut response: Response<ResponseBody>) -> Response<ResponseBody> {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}
