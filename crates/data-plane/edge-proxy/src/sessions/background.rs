//! What runs beside the requests: the node's clock, the log of its counters, and the listener for peers.
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

/// Counters are logged this often, in milliseconds, and only if they have changed.
const LOG_INTERVAL: Ms = 60_000;
/// Ticks of the node within the setting `wait`, by which its timeouts are measured.
const TICKS_PER_WAIT: u32 = 10;
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
            takeovers: crossings,
            sessions_superseded: let_go,
            requests_pending: waits,
            repeats_answered,
            refused,
            unknown,
            ..
        } = counters;
        info!(
            self.log,
            "session: {claims} claims, {crossings} taken over, {let_go} let go, {waits} waited, \
             {repeats_answered} repeats answered, {refused} refused, {unknown} unknown, {} tokens not taken",
            self.rejected_tokens.get()
        );
    }
}

async fn tick(sessions: Rc<Sessions>) {
    let mut ticks = tokio::time::interval((sessions.settings.peer_timeout / TICKS_PER_WAIT).max(MIN_TICK));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (mut logged, mut logged_at) = (Counters::default(), unix_millis());
    loop {
        ticks.tick().await;
        sessions.drive(|node, now| node.tick(now));
        if unix_millis() >= logged_at + LOG_INTERVAL {
            let counters = sessions.node.borrow().counters();
            if counters != logged {
                sessions.log_counters(&counters);
            }
            (logged, logged_at) = (counters, unix_millis());
        }
    }
}
