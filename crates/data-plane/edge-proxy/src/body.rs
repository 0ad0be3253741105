//! Bodies of requests and responses: buffered up to a size limit, streamed beyond it.
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use std::cell::Cell;
use std::collections::VecDeque;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

/// Size (bytes) up to which bodies are buffered, so that another attempt can send a request body again and no
/// truncated response is passed on. It is many times the usual body size, and memory holds a few hundred such
/// bodies.
pub(crate) const MAX_BUFFERED: usize = 256 * 1024;

/// Why a body is incomplete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum BodyError {
    /// The peer closed the connection or sent invalid framing.
    #[error("body ended before it was complete")]
    Aborted,
    #[error("body exceeds the size limit")]
    TooLong,
    #[error("deadline passed before the body was complete")]
    DeadlineExceeded,
}

/// A body after buffering: complete, or a stream that starts with the buffered part.
pub(crate) enum Body {
    /// The complete body.
    Buffered(Bytes),
    /// A body longer than [`MAX_BUFFERED`]. `None` once it was sent, because its beginning cannot be sent
    /// again.
    Streaming(Option<BodyStream>),
}

/// Reads a body to its end or up to [`MAX_BUFFERED`] bytes. A body longer than `limit` bytes is an error.
pub(crate) async fn buffer_body(mut body: Incoming, limit: u64) -> Result<Body, BodyError> {
    if body.size_hint().exact().is_some_and(|length| length > MAX_BUFFERED as u64) {
        return Ok(Body::Streaming(Some(BodyStream { buffered: VecDeque::new(), rest: body, limit })));
    }
    let (mut buffered, mut length) = (VecDeque::new(), 0);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| BodyError::Aborted)?.into_data() else { continue };
        length += data.len();
        if length as u64 > limit {
            return Err(BodyError::TooLong);
        }
        buffered.push_back(data);
        if length > MAX_BUFFERED {
            let limit = limit - length as u64;
            return Ok(Body::Streaming(Some(BodyStream { buffered, rest: body, limit })));
        }
    }
    Ok(Body::Buffered(concatenate(buffered, length)))
}

fn concatenate(mut chunks: VecDeque<Bytes>, length: usize) -> Bytes {
    if chunks.len() <= 1 {
        return chunks.pop_front().unwrap_or_default();
    }
    let mut all = BytesMut::with_capacity(length);
    chunks.iter().for_each(|chunk| all.extend_from_slice(chunk));
    all.freeze()
}

/// A body of which the beginning was read and the rest has not arrived yet.
pub(crate) struct BodyStream {
    buffered: VecDeque<Bytes>,
    rest: Incoming,
    /// Maximum number of bytes that `rest` may still yield.
    limit: u64,
}

impl BodyStream {
    pub(crate) fn poll_frame(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(chunk) = self.buffered.pop_front() {
            return Poll::Ready(Some(Ok(Frame::data(chunk))));
        }
        loop {
            let frame = match ready!(Pin::new(&mut self.rest).poll_frame(cx)) {
                None => return Poll::Ready(None),
                Some(Err(_)) => return Poll::Ready(Some(Err(BodyError::Aborted))),
                Some(Ok(frame)) => frame,
            };
            // Trailers are dropped.
            let Ok(data) = frame.into_data() else { continue };
            if data.len() as u64 > self.limit {
                return Poll::Ready(Some(Err(BodyError::TooLong)));
            }
            self.limit -= data.len() as u64;
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
    }

    fn is_end_stream(&self) -> bool {
        self.buffered.is_empty() && self.rest.is_end_stream()
    }

    /// Exact if the length is known, so that hyper aborts the message when the body is shorter.
    pub(crate) fn size_hint(&self) -> SizeHint {
        let buffered: u64 = self.buffered.iter().map(|chunk| chunk.len() as u64).sum();
        match self.rest.size_hint().exact() {
            Some(rest) => SizeHint::with_exact(buffered + rest),
            None => SizeHint::default(),
        }
    }
}

/// The body of a request that is sent to an endpoint.
pub(crate) enum RequestBody {
    Buffered(Option<Bytes>),
    Streaming(BodyStream, ReadToEnd),
}

/// A shared flag that is set once hyper has read a body to its end in order to write it.
#[derive(Clone, Default)]
pub(crate) struct ReadToEnd(Rc<Cell<bool>>);

impl RequestBody {
    /// The request body for a buffered body, which may be sent again.
    pub(crate) fn buffered(bytes: &Bytes) -> RequestBody {
        RequestBody::Buffered((!bytes.is_empty()).then(|| bytes.clone()))
    }

    /// The request body for a streamed body, which can be sent only once.
    pub(crate) fn streaming(stream: BodyStream) -> RequestBody {
        RequestBody::Streaming(stream, ReadToEnd::default())
    }

    /// Returns a function that tells, while hyper owns the body, whether hyper has read it to its end.
    pub(crate) fn read_to_end(&self) -> impl Fn() -> bool {
        let ended = match self {
            RequestBody::Buffered(_) => None,
            RequestBody::Streaming(_, ended) => Some(ended.clone()),
        };
        move || ended.as_ref().is_none_or(|ended| ended.0.get())
    }
}

impl HttpBody for RequestBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            RequestBody::Buffered(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            RequestBody::Streaming(stream, ended) => {
                let frame = stream.poll_frame(cx);
                ended.0.set(matches!(frame, Poll::Ready(None)) || stream.is_end_stream());
                frame
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            RequestBody::Buffered(bytes) => bytes.as_ref().is_none_or(|bytes| bytes.is_empty()),
            RequestBody::Streaming(stream, _) => stream.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            RequestBody::Buffered(bytes) => exact_size(bytes.as_ref()),
            RequestBody::Streaming(stream, _) => stream.size_hint(),
        }
    }
}

/// The size of a buffered body.
pub(crate) fn exact_size(bytes: Option<&Bytes>) -> SizeHint {
    SizeHint::with_exact(bytes.map_or(0, |bytes| bytes.len() as u64))
}
