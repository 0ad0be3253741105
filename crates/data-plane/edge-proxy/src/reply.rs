//! Bodies on their way: of requests to hosts, of answers to clients.
use crate::conns::{Lease, Working};
use crate::front::Done;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{HeaderValue, CONNECTION, CONTENT_LENGTH, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::cell::Cell;
use std::collections::VecDeque;
use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::time::Sleep;

/// Why a body ends before its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// The other side broke off.
    Broken,
    TooLong,
    Late,
}

impl fmt::Display for Cut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "body ended early: {self:?}")
    }
}

impl std::error::Error for Cut {}

/// Bytes already read, then those still to come.
pub struct Flow {
    pub first: VecDeque<Bytes>,
    pub rest: Incoming,
    /// Bytes that may still come.
    pub most: u64,
}

impl Flow {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        if let Some(first) = self.first.pop_front() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        loop {
            return Poll::Ready(match ready!(Pin::new(&mut self.rest).poll_frame(cx)) {
                None => None,
                Some(Err(_)) => Some(Err(Cut::Broken)),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) if data.len() as u64 > self.most => Some(Err(Cut::TooLong)),
                    Ok(data) => {
                        self.most -= data.len() as u64;
                        Some(Ok(Frame::data(data)))
                    }
                    // Trailers concern nobody further on.
                    Err(_) => continue,
                },
            });
        }
    }

    fn ended(&self) -> bool {
        self.first.is_empty() && self.rest.is_end_stream()
    }

    /// As long as the length is known: hyper keeps the count and breaks off what falls short.
    fn hint(&self) -> SizeHint {
        let waiting: u64 = self.first.iter().map(|bytes| bytes.len() as u64).sum();
        match self.rest.size_hint().exact() {
            Some(rest) => SizeHint::with_exact(waiting + rest),
            None => SizeHint::default(),
        }
    }
}

/// A request's body on its way to a host.
pub enum Sent {
    Whole(Option<Bytes>),
    /// Set once all of it was taken to be written.
    Flow(Flow, Rc<Cell<bool>>),
}

impl Sent {
    /// Tells whether all of it was taken to be written.
    pub fn taken(&self) -> impl Fn() -> bool {
        let ended = match self {
            Sent::Whole(_) => None,
            Sent::Flow(_, ended) => Some(ended.clone()),
        };
        move || ended.as_ref().is_none_or(|ended| ended.get())
    }
}

impl Body for Sent {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match self.get_mut() {
            Sent::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Sent::Flow(flow, ended) => {
                let frame = flow.poll(cx);
                ended.set(matches!(frame, Poll::Ready(None)) || flow.ended());
                frame
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Sent::Whole(bytes) => bytes.as_ref().is_none_or(|bytes| bytes.is_empty()),
            Sent::Flow(flow, _) => flow.ended(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Sent::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64)),
            Sent::Flow(flow, _) => flow.hint(),
        }
    }
}

/// An answer too long to be held whole: it is passed on as it comes.
pub struct Long {
    pub flow: Flow,
    /// The connection it comes on, for the pool once it has ended well.
    pub lease: Option<Lease>,
    pub working: Working,
    pub until: Pin<Box<Sleep>>,
}

pub enum Kind {
    Whole(Option<Bytes>),
    Long(Box<Long>),
}

/// An answer's body on its way to a client.
pub struct Reply {
    pub kind: Kind,
    /// Dropped with the body: the connection waits for its next request from then on.
    pub done: Option<Done>,
}

impl Reply {
    pub fn whole(bytes: Bytes) -> Reply {
        Reply { kind: Kind::Whole((!bytes.is_empty()).then_some(bytes)), done: None }
    }
}

impl Body for Reply {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        let long = match &mut self.get_mut().kind {
            Kind::Whole(bytes) => return Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Kind::Long(long) => long,
        };
        let frame = long.flow.poll(cx);
        match &frame {
            Poll::Pending if long.until.as_mut().poll(cx).is_ready() => Poll::Ready(Some(Err(Cut::Late))),
            Poll::Ready(None) => {
                if let Some(lease) = long.lease.take() {
                    long.working.good();
                    lease.give_back();
                }
                frame
            }
            _ => frame,
        }
    }

    fn is_end_stream(&self) -> bool {
        // A long one is only known to be whole when its end was read.
        matches!(&self.kind, Kind::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.kind {
            Kind::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64)),
            Kind::Long(long) => long.flow.hint(),
        }
    }
}

/// An answer of the edge's own.
pub fn own(status: u16) -> Response<Reply> {
    let mut answer = Response::new(Reply::whole(Bytes::new()));
    *answer.status_mut() = StatusCode::from_u16(status).expect("a status of ours");
    answer.headers_mut().insert(CONTENT_LENGTH, HeaderValue::from_static("0"));
    answer
}

/// A refusal: it has not run; come back after so many milliseconds.
pub fn later(back: coppersail_load_balancing::Ms) -> Response<Reply> {
    let mut answer = own(503);
    let text = format!("{}.{:03}", back / 1000, back % 1000);
    answer.headers_mut().insert(RETRY_AFTER, HeaderValue::from_str(&text).expect("digits"));
    answer
}

pub fn closing(mut answer: Response<Reply>) -> Response<Reply> {
    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    answer
}
