//! When this thread polled its sockets for input. From that follows how long a response may have waited unread.
use std::cell::Cell;
use tokio::time::Instant;

thread_local! {
    /// The last time, and the time before that.
    static POLLED_AT: Cell<[Option<Instant>; 2]> = const { Cell::new([None; 2]) };
}

/// The thread has nothing left to do and polls its sockets for input: tokio calls this before it parks.
pub(crate) fn record_poll() {
    let [last, _] = POLLED_AT.get();
    POLLED_AT.set([Some(Instant::now()), last]);
}

/// A response to what was sent at `sent_at` has just been read: the earliest time at which it may have arrived. It had
/// not arrived at the poll before the last one; if the process was suspended, then it was after that.
pub(crate) fn earliest_arrival(sent_at: Instant) -> Instant {
    POLLED_AT.get()[1].map_or(sent_at, |polled_at| polled_at.max(sent_at))
}

#[cfg(test)]
mod tests;
