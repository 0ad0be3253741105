//! State that the threads of a stand-in share with a test. Tests wait for conditions on it, never for a fixed time.

use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Far longer than any condition takes to become true; reached only if the director is faulty.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// A condition is checked again after this time even if no change was notified.
const MAX_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A state behind a lock, with a notification of changes.
pub(crate) struct Shared<T>(Arc<(Mutex<T>, Condvar)>);

impl<T> Clone for Shared<T> {
    fn clone(&self) -> Self {
        Shared(self.0.clone())
    }
}

impl<T> Shared<T> {
    pub(crate) fn new(state: T) -> Self {
        Shared(Arc::new((Mutex::new(state), Condvar::new())))
    }

    /// Reads or changes the state and wakes the threads that wait for a condition.
    pub(crate) fn update<R>(&self, update: impl FnOnce(&mut T) -> R) -> R {
        let result = update(&mut self.lock());
        self.0 .1.notify_all();
        result
    }

    /// Blocks all other access to the state until the guard is dropped.
    pub(crate) fn block(&self) -> impl Drop + '_ {
        self.lock()
    }

    fn lock(&self) -> MutexGuard<'_, T> {
        self.0 .0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Waits until `find` finds something and returns that; `what` names it in the failure.
    pub(crate) fn wait_for<R>(&self, what: &str, mut find: impl FnMut(&mut T) -> Option<R>) -> R {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let mut state = self.lock();
        loop {
            if let Some(found) = find(&mut state) {
                return found;
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            assert!(!remaining.is_zero(), "timed out waiting for: {what}");
            let waited = self.0 .1.wait_timeout(state, remaining.min(MAX_CHECK_INTERVAL));
            state = waited.unwrap_or_else(|poisoned| poisoned.into_inner()).0;
        }
    }

    /// Waits until the condition holds; `what` names it in the failure.
    pub(crate) fn wait_until(&self, what: &str, mut holds: impl FnMut(&mut T) -> bool) {
        self.wait_for(what, |state| holds(state).then_some(()));
    }
}
