//! The state of a client connection that hyper does not expose: its phase, when the phase began, and the
//! scanned head.
use crate::head_scanner::HeadScanner;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::time::Instant;

/// The phases of a connection.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum ConnectionPhase {
    /// Between requests.
    Idle,
    /// Part of a request head has arrived, or the connection is new.
    ReadingHead,
    /// A request is in flight.
    Processing,
    /// A response was handed to hyper, and the client has not read all of it yet.
    Writing,
}

/// The state shared by the socket, the request handler and the timeouts of a connection.
pub(crate) struct ConnectionState {
    phase: Cell<ConnectionPhase>,
    since: Cell<Instant>,
    opened_at: Instant,
    /// Whether the last write to the socket was pending because its send buffer is full.
    write_blocked: Cell<bool>,
    /// When the previous response was completely handed to hyper; `None` before the first one.
    idle_since: Cell<Option<Instant>>,
    scanner: RefCell<HeadScanner>,
}

impl ConnectionState {
    pub(crate) fn new() -> Rc<ConnectionState> {
        let now = Instant::now();
        Rc::new(ConnectionState {
            phase: Cell::new(ConnectionPhase::ReadingHead),
            since: Cell::new(now),
            opened_at: now,
            write_blocked: Cell::new(false),
            idle_since: Cell::new(None),
            scanner: RefCell::default(),
        })
    }

    pub(crate) fn phase(&self) -> ConnectionPhase {
        match self.phase.get() {
            // hyper still holds the rest of the response, so the connection must stay open.
            ConnectionPhase::Idle if self.write_blocked.get() => ConnectionPhase::Writing,
            phase => phase,
        }
    }

    /// When the phase began.
    pub(crate) fn since(&self) -> Instant {
        self.since.get()
    }

    pub(crate) fn opened_at(&self) -> Instant {
        self.opened_at
    }

    /// When the request in flight began, or `None` if there is none.
    pub(crate) fn request_began_at(&self) -> Option<Instant> {
        (self.phase.get() == ConnectionPhase::Processing).then(|| self.since.get())
    }

    /// When the previous response was completely handed to hyper, or `None` if there was none.
    pub(crate) fn idle_since(&self) -> Option<Instant> {
        self.idle_since.get()
    }

    fn enter(&self, phase: ConnectionPhase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
    }

    /// Records bytes that were read from the client.
    pub(crate) fn record_read(&self, bytes: &[u8]) {
        if self.phase.get() == ConnectionPhase::Processing {
            return;
        }
        if self.phase.get() == ConnectionPhase::Idle && !bytes.is_empty() {
            self.enter(ConnectionPhase::ReadingHead);
        }
        self.scanner.borrow_mut().scan(bytes);
    }

    /// Records whether the socket accepted a write of response bytes or was blocked.
    pub(crate) fn record_write(&self, blocked: bool) {
        let was_blocked = self.write_blocked.replace(blocked);
        if was_blocked && !blocked && self.phase.get() == ConnectionPhase::Idle {
            // The client is reading the response, so the timeout restarts.
            self.since.set(Instant::now());
        }
    }

    /// Called when hyper has parsed a request head. Returns the scanner of that head, and a guard whose drop
    /// ends the request.
    pub(crate) fn begin_request(self: &Rc<Self>) -> (HeadScanner, ResponseGuard) {
        self.enter(ConnectionPhase::Processing);
        (self.scanner.take(), ResponseGuard(self.clone()))
    }
}

/// Marks the connection as idle when dropped, which is when the response was completely handed to hyper or
/// abandoned.
pub(crate) struct ResponseGuard(Rc<ConnectionState>);

impl Drop for ResponseGuard {
    fn drop(&mut self) {
        self.0.enter(ConnectionPhase::Idle);
        self.0.idle_since.set(Some(self.0.since()));
    }
}
