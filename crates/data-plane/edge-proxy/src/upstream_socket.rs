//! The socket of a connection to an endpoint, which hyper drives while the connection pool can look at it: it knows how
//! much of the next request was written, and can still keep all of it back.
use crate::rollout::duplicates::DuplicateDetector;
use crate::socket_read::poll_read_observed;
use hyper::rt::{Read, ReadBufCursor, Write};
use socket2::SockRef;
use std::cell::RefCell;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::AsyncWrite;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// How much of the current request was written.
#[derive(Debug, Clone, Copy, PartialEq)]
enum WriteState {
    /// None of it. Writing may begin until then, unless the endpoint has sent something or closed meanwhile.
    MayBeginUntil(Instant),
    /// None of it, and none ever will be.
    Barred,
    /// Some of it, perhaps all.
    Begun,
}

/// A socket to an endpoint, with the state of the request that is written to it.
pub(crate) struct UpstreamSocket {
    stream: TcpStream,
    /// Watches for second responses, where a rollout asks for it.
    pub(crate) duplicate_detector: Option<Box<DuplicateDetector>>,
    write_state: WriteState,
    /// The socket accepted nothing when last written to.
    write_pending: bool,
}

impl UpstreamSocket {
    /// A new connection, whose first request may begin until then.
    pub(crate) fn new(stream: TcpStream, until: Instant) -> Rc<RefCell<UpstreamSocket>> {
        let write_state = WriteState::MayBeginUntil(until);
        Rc::new(RefCell::new(UpstreamSocket {
            stream,
            duplicate_detector: None,
            write_state,
            write_pending: false,
        }))
    }

    /// The next request may begin until then.
    pub(crate) fn expect_request(&mut self, until: Instant) {
        self.write_state = WriteState::MayBeginUntil(until);
    }

    /// Whether nothing has arrived, neither bytes that nobody asked for nor the end of the stream.
    pub(crate) fn is_quiet(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&self.stream).peek(&mut byte);
        matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Whether any of the request was written. If not, none of it will be any more.
    pub(crate) fn bar_unless_begun(&mut self) -> bool {
        if self.write_state != WriteState::Begun {
            self.write_state = WriteState::Barred;
        }
        self.write_state == WriteState::Begun
    }

    /// Whether bytes of the request still wait for the socket.
    pub(crate) fn is_write_pending(&self) -> bool {
        self.write_pending
    }

    /// Called right before the first byte of a request: this process may have been suspended since the connection was
    /// checked out, while the endpoint's keep-alive time ran on.
    fn check_may_write(&mut self) -> io::Result<()> {
        if let WriteState::MayBeginUntil(until) = self.write_state {
            if Instant::now() >= until || !self.is_quiet() {
                self.write_state = WriteState::Barred;
            }
        }
        if self.write_state == WriteState::Barred {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }

    fn record_write(&mut self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.write_pending = written.is_pending();
        if matches!(written, Poll::Ready(Ok(1..))) {
            self.write_state = WriteState::Begun;
        }
        written
    }
}

/// The part of a socket that hyper owns.
pub(crate) struct UpstreamIo(pub(crate) Rc<RefCell<UpstreamSocket>>);

impl Read for UpstreamIo {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        cursor: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut socket = self.0.borrow_mut();
        let UpstreamSocket { stream, duplicate_detector, .. } = &mut *socket;
        poll_read_observed(stream, cx, cursor, |bytes| {
            if let Some(duplicate_detector) = duplicate_detector {
                duplicate_detector.scan(bytes);
            }
        })
    }
}

impl Write for UpstreamIo {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let mut socket = self.0.borrow_mut();
        socket.check_may_write()?;
        let written = Pin::new(&mut socket.stream).poll_write(cx, bytes);
        socket.record_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let mut socket = self.0.borrow_mut();
        socket.check_may_write()?;
        let written = Pin::new(&mut socket.stream).poll_write_vectored(cx, bytes);
        socket.record_write(written)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests;
