//! What the threads of the program share: the endpoint behind a lock, and its clock.
use coppersail_stub_backend::Endpoint;
use slog::Logger;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

pub(crate) struct Backend {
    endpoint: Mutex<Endpoint>,
    started_at: Instant,
    pub(crate) id: String,
    pub(crate) health_check_path: String,
    pub(crate) log: Logger,
}

impl Backend {
    pub(crate) fn new(endpoint: Endpoint, health_check_path: String, log: Logger) -> Backend {
        let id = endpoint.config().id.clone();
        Backend { endpoint: Mutex::new(endpoint), started_at: Instant::now(), id, health_check_path, log }
    }

    /// Time since the start, as the endpoint counts it.
    pub(crate) fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    pub(crate) fn endpoint(&self) -> MutexGuard<'_, Endpoint> {
        self.endpoint.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
