//! What is known of a client's connection outside of hyper: its phase, since when, and the head that was scanned.
use crate::head_scanner::HeadScanner;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::time::Instant;

/// The phases of a connection.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum ConnectionPhase {
    /// Between requests.
    Idle,
    /// A head has begun, or the connection is new.
    ReadingHead,
    /// A request is in flight.
    Processing,
    /// A response was handed to hyper, and its client has not taken all of it.
    Writing,
}

/// Shared by the socket, the request handler and the timeouts of a connection.
pub(crate) struct ConnectionState {
    phase: Cell<ConnectionPhase>,
    since: Cell<Instant>,
    opened_at: Instant,
    /// Whether the socket takes no more bytes of a response for now.
    write_blocked: Cell<bool>,
    /// When the response before the current request had gone out.
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
            // hyper holds the rest of the response: the connection must stay.
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

    /// When the request in flight began, if there is one.
    pub(crate) fn request_began_at(&self) -> Option<Instant> {
        (self.phase.get() == ConnectionPhase::Processing).then(|| self.since.get())
    }

    /// When the response before the current request had gone out, if there was one.
    pub(crate) fn idle_since(&self) -> Option<Instant> {
        self.idle_since.get()
    }

    fn enter(&self, phase: ConnectionPhase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
    }

    /// Bytes were read from the client.
    pub(crate) fn record_read(&self, bytes: &[u8]) {
        if self.phase.get() == ConnectionPhase::Processing {
            return;
        }
        if self.phase.get() == ConnectionPhase::Idle && !bytes.is_empty() {
            self.enter(ConnectionPhase::ReadingHead);
        }
        self.scanner.borrow_mut().scan(bytes);
    }

    /// The socket took bytes of a response, or takes none for now.
    pub(crate) fn record_write(&self, blocked: bool) {
        let was_blocked = self.write_blocked.replace(blocked);
        if was_blocked && !blocked && self.phase.get() == ConnectionPhase::Idle {
            // The client reads: its time begins anew.
            self.since.set(Instant::now());
        }
    }

    /// hyper has parsed a head. Yields what was scanned of it, and the guard that ends the request.
    pub(crate) fn begin_request(self: &Rc<Self>) -> (HeadScanner, ResponseGuard) {
        self.enter(ConnectionPhase::Processing);
        (self.scanner.take(), ResponseGuard(self.clone()))
    }
}

/// Dropped when a response has been handed to hyper completely, or given up: the connection is idle then.
pub(crate) struct ResponseGuard(Rc<ConnectionState>);

impl Drop for ResponseGuard {
    fn drop(&mut self) {
        self.0.enter(ConnectionPhase::Idle);
        self.0.idle_since.set(Some(self.0.since()));
    }
}
