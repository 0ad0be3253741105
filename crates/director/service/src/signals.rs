//! The signals that the director handles.

use std::io;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// Handlers of all signals; a signal without a handler would end the process.
pub(crate) struct Signals {
    /// SIGUSR1: log the counters.
    pub(crate) log_counters: Signal,
    /// SIGTERM: shut down.
    pub(crate) terminate: Signal,
    /// SIGHUP: read the configuration and the operators' file again.
    pub(crate) reload: Signal,
}

impl Signals {
    /// Installs the handlers.
    pub(crate) fn install() -> io::Result<Self> {
        Ok(Signals {
            log_counters: signal(SignalKind::user_defined1())?,
            terminate: signal(SignalKind::terminate())?,
            reload: signal(SignalKind::hangup())?,
        })
    }
}
