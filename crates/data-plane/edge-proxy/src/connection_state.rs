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
}

/// Shared by the socket, the request handler and the timeouts of a connection.
pub(crate) struct ConnectionState {
    phase: Cell<ConnectionPhase>,
    since: Cell<Instant>,
    opened_at: Instant,
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
            idle_since: Cell::new(None),
            scanner: RefCell::default(),
        })
    }

    pub(crate) fn phase(&self) -> ConnectionPhase {
        self.phase.get()
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
