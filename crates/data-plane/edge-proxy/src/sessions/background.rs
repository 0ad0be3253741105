//! Background tasks: the periodic tick of the affinity node, the log of its counters, and the listener for
//! peers.
use super::clock::unix_millis;
use super::peer_server;
use super::service::Sessions;
use coppersail_session_affinity::{Counters, Ms};
use slog::info;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::MissedTickBehavior;

/// Interval (ms) at which the counters are logged if they have changed.
const LOG_INTERVAL_MS: Ms = 60_000;
/// Number of ticks of the node within the peer timeout (setting `wait`), which bounds the error of its
/// timeouts.
const TICKS_PER_PEER_TIMEOUT: u32 = 10;
const MIN_TICK: Duration = Duration::from_millis(1);

impl Sessions {
    /// Starts the background tasks on the current thread's local set.
    pub fn start(self: &Rc<Self>, listener: TcpListener) {
        spawn_local(tick(self.clone()));
        spawn_local(peer_server::serve(self.clone(), listener));
    }

    fn log_counters(&self, counters: &Counters) {
        let Counters {
            claims,
            takeovers,
            sessions_superseded,
            requests_pending,
            repeats_answered,
            refused,
            unknown,
            ..
        } = counters;
        info!(
            self.log,
            "session: {claims} claims, {takeovers} takeovers, {sessions_superseded} superseded, \
             {requests_pending} requests waited, {repeats_answered} repeats answered, {refused} refused, \
             {unknown} unknown outcomes, {} rejected tokens",
            self.rejected_tokens.get()
        );
    }
}

async fn tick(sessions: Rc<Sessions>) {
    let mut ticks =
        tokio::time::interval((sessions.settings.peer_timeout / TICKS_PER_PEER_TIMEOUT).max(MIN_TICK));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (mut logged, mut logged_at) = (Counters::default(), unix_millis());
    loop {
        ticks.tick().await;
        sessions.drive(|node, now| node.tick(now));
        if unix_millis() >= logged_at + LOG_INTERVAL_MS {
            let counters = sessions.node.borrow().counters();
            if counters != logged {
                sessions.log_counters(&counters);
            }
            (logged, logged_at) = (counters, unix_millis());
        }
    }
}
