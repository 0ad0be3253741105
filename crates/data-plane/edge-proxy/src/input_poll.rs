//! Records when this thread polled its sockets for input, which bounds how long a response may have been
//! waiting unread.
use std::cell::Cell;
use tokio::time::Instant;

thread_local! {
    /// The times of the last poll and of the poll before it.
    static POLLED_AT: Cell<[Option<Instant>; 2]> = const { Cell::new([None; 2]) };
}

/// Records a poll. tokio calls this before the thread parks, which is when it polls the sockets for input.
pub(crate) fn record_poll() {
    let [last, _] = POLLED_AT.get();
    POLLED_AT.set([Some(Instant::now()), last]);
}

/// The earliest time at which a response that has just been read may have arrived, given that its request was
/// sent at `sent_at`. It had not arrived by the poll before the last one, because that poll would have
/// reported it. This also holds if the process was suspended between the two polls.
pub(crate) fn earliest_arrival(sent_at: Instant) -> Instant {
    POLLED_AT.get()[1].map_or(sent_at, |polled_at| polled_at.max(sent_at))
}

#[cfg(test)]
mod tests;
