//! The socket of a connection to an endpoint. hyper drives it, while the connection pool can inspect it: the
//! socket tracks how much of the current request was written, and can block the request as long as no byte of
//! it was written.
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
    /// Nothing was written. Writing may start until this instant, unless the endpoint sends something or
    /// closes the connection before.
    MayStartUntil(Instant),
    /// Nothing was written, and all further writes are rejected.
    Blocked,
    /// At least one byte was written.
    Started,
}

/// A socket to an endpoint, with the state of the request that is written to it.
pub(crate) struct UpstreamSocket {
    stream: TcpStream,
    /// Watches for duplicate responses, if the request belongs to a rollout.
    pub(crate) duplicate_detector: Option<Box<DuplicateDetector>>,
    write_state: WriteState,
    /// Whether the last write was pending because the socket accepted no bytes.
    write_pending: bool,
}

impl UpstreamSocket {
    /// Wraps the socket of a new connection. Its first request may start until `until`.
    pub(crate) fn new(stream: TcpStream, until: Instant) -> Rc<RefCell<UpstreamSocket>> {
        let write_state = WriteState::MayStartUntil(until);
        Rc::new(RefCell::new(UpstreamSocket {
            stream,
            duplicate_detector: None,
            write_state,
            write_pending: false,
        }))
    }

    /// Prepares the socket for the next request, which may start until `until`.
    pub(crate) fn expect_request(&mut self, until: Instant) {
        self.write_state = WriteState::MayStartUntil(until);
    }

    /// Whether the socket has no pending input: neither unsolicited bytes nor the end of the stream.
    pub(crate) fn has_no_input(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&self.stream).peek(&mut byte);
        matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Returns whether any byte of the request was written. If not, all further writes of it are blocked.
    pub(crate) fn block_unless_started(&mut self) -> bool {
        if self.write_state != WriteState::Started {
            self.write_state = WriteState::Blocked;
        }
        self.write_state == WriteState::Started
    }

    /// Whether bytes of the request are still waiting to be written.
    pub(crate) fn is_write_pending(&self) -> bool {
        self.write_pending
    }

    /// Checks before each write whether it is allowed. Before the first byte of a request, the time and the
    /// input are checked again, because this process may have been suspended since the connection was checked
    /// out, while the endpoint's keep-alive time continued to run.
    fn check_may_write(&mut self) -> io::Result<()> {
        if let WriteState::MayStartUntil(until) = self.write_state {
            if Instant::now() >= until || !self.has_no_input() {
                self.write_state = WriteState::Blocked;
            }
        }
        if self.write_state == WriteState::Blocked {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }

    fn record_write(&mut self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.write_pending = written.is_pending();
        if matches!(written, Poll::Ready(Ok(1..))) {
            self.write_state = WriteState::Started;
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
