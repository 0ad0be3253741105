//! Tasks that are aborted when their owner is dropped.

use std::future::Future;
use tokio::task::JoinHandle;

/// Handle of a task that aborts it when dropped, which releases what the task holds.
pub(crate) struct AbortOnDropTask(JoinHandle<()>);

impl AbortOnDropTask {
    /// Starts the task on the current runtime.
    pub(crate) fn spawn(work: impl Future<Output = ()> + Send + 'static) -> Self {
        AbortOnDropTask(tokio::spawn(work))
    }
}

impl Drop for AbortOnDropTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}
