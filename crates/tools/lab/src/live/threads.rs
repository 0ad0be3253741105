//! Threads of the fakes: loops that accept connections and a loop that runs periodically. All end when the owner is
//! dropped.

use super::error::StartError;
use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

/// How often a listener looks for a new connection: far more often than a health check may take.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(2);
/// A peer that reads nothing for this long is given up, so that it does not hold up the others.
pub(super) const WRITE_TIMEOUT: Duration = Duration::from_millis(500);

/// A non-blocking listener on a free port of the loopback interface.
pub(super) struct LoopbackListener {
    listener: TcpListener,
    /// Where it listens.
    pub(super) address: SocketAddr,
}

impl LoopbackListener {
    /// Binds to a port that the system chooses.
    ///
    /// # Errors
    /// [`StartError::Listen`]: there is no port.
    pub(super) fn bind() -> Result<Self, StartError> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).map_err(StartError::Listen)?;
        listener.set_nonblocking(true).map_err(StartError::Listen)?;
        let address = listener.local_addr().map_err(StartError::Listen)?;
        Ok(LoopbackListener { listener, address })
    }
}

/// Tells all threads of an owner to end.
#[derive(Default)]
struct StopSignal {
    stopped: Mutex<bool>,
    changed: Condvar,
}

impl StopSignal {
    fn stop(&self) {
        *self.stopped.lock().unwrap_or_else(PoisonError::into_inner) = true;
        self.changed.notify_all();
    }

    /// Waits for the signal, up to `timeout`; whether it has come.
    fn wait(&self, timeout: Duration) -> bool {
        let stopped = self.stopped.lock().unwrap_or_else(PoisonError::into_inner);
        let waited = self.changed.wait_timeout_while(stopped, timeout, |stopped| !*stopped);
        let (stopped, _) = waited.unwrap_or_else(PoisonError::into_inner);
        *stopped
    }
}

/// Threads that end, and are waited for, when this is dropped.
#[derive(Default)]
pub(super) struct Threads {
    stop: Arc<StopSignal>,
    handles: Vec<JoinHandle<()>>,
}

impl Threads {
    /// Accepts connections and handles each on a thread of its own, which ends when its connection breaks.
    pub(super) fn accept(
        &mut self,
        listener: LoopbackListener,
        handle: impl Fn(TcpStream) + Send + Sync + 'static,
    ) {
        let stop = self.stop.clone();
        let handle = Arc::new(handle);
        self.handles.push(std::thread::spawn(move || loop {
            match listener.listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_write_timeout(Some(WRITE_TIMEOUT));
                    let _ = stream.set_nodelay(true);
                    let handle = handle.clone();
                    std::thread::spawn(move || handle(stream));
                    if stop.wait(Duration::ZERO) {
                        return;
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    if stop.wait(ACCEPT_INTERVAL) {
                        return;
                    }
                }
                Err(_) => return,
            }
        }));
    }

    /// Calls `task` at the end of each interval.
    pub(super) fn repeat(&mut self, interval: Duration, task: impl Fn() + Send + 'static) {
        let stop = self.stop.clone();
        self.handles.push(std::thread::spawn(move || {
            while !stop.wait(interval) {
                task();
            }
        }));
    }
}

impl Drop for Threads {
    fn drop(&mut self) {
        self.stop.stop();
        for handle in self.handles.drain(..) {
            // A thread that panicked has ended too.
            let _ = handle.join();
        }
    }
}
