//! Tasks that end with their owner.

use std::future::Future;
use tokio::task::JoinHandle;

/// A task that runs until it ends or this is dropped; what it holds is released with it.
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
