//! Responses to clients: their bodies, and those that the edge makes itself.
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

/// A response that is too long to be buffered: it is passed on as it arrives.
pub(crate) struct StreamedResponse {
    pub(crate) stream: BodyStream,
    /// The connection that it arrives on, where it may be used again; returned to the pool at the end of the body.
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

/// The content of a response.
pub(crate) enum ResponseContent {
    Whole(Option<Bytes>),
    Long(Box<StreamedResponse>),
}

/// The body of a response to a client.
pub(crate) struct ResponseBody {
    pub(crate) kind: ResponseContent,
    /// Dropped with the body: from then on the connection waits for its next request.
    pub(crate) guard: Option<ResponseGuard>,
}

impl ResponseBody {
    pub(crate) fn whole(bytes: Bytes) -> ResponseBody {
        ResponseBody { kind: ResponseContent::Whole((!bytes.is_empty()).then_some(bytes)), guard: None }
    }

    pub(crate) fn streamed(response: StreamedResponse) -> ResponseBody {
        ResponseBody { kind: ResponseContent::Long(Box::new(response)), guard: None }
    }
}

impl HttpBody for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match &mut self.get_mut().kind {
            ResponseContent::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            ResponseContent::Long(streamed) => streamed.poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        // A streamed one is only known to be complete when its end was read.
        matches!(&self.kind, ResponseContent::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.kind {
            ResponseContent::Whole(bytes) => exact_size(bytes.as_ref()),
            ResponseContent::Long(streamed) => streamed.stream.size_hint(),
        }
    }
}

/// A response of the edge's own, without a body.
pub(crate) fn empty_response(status: u16) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::whole(Bytes::new()));
    *response.status_mut() = StatusCode::from_u16(status).expect("one of the edge's own statuses");
    response.headers_mut().insert(CONTENT_LENGTH, HeaderValue::from_static("0"));
    response
}

/// 503: the request was not processed; the client may send it again after so many ms.
pub(crate) fn unavailable(retry_after: Ms) -> Response<ResponseBody> {
    let mut response = empty_response(503);
    let seconds = format!("{}.{:03}", retry_after / 1000, retry_after % 1000);
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_str(&seconds).expect("digits"));
    response
}

/// The connection is closed after this response.
pub(crate) fn close_connection(mut response: Response<ResponseBody>) -> Response<ResponseBody> {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}
