//! Follows one centre at a time, in a thread of its own.
use crate::edge::Tallies;
use crate::steer::{self, Outbox};
use coppersail_config::ProcessSettings;
use coppersail_load_balancing::backoff;
use coppersail_peer_client::PeerClient;
use coppersail_peer_protocol::{Update, WatchRequest};
use slog::{info, Logger};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::UnboundedSender;

/// How long a centre may hold a poll that has nothing new.
const HELD: Duration = Duration::from_millis(700);
/// The whole call; a frozen centre costs no more than this.
const WHOLE: Duration = Duration::from_millis(1_600);
const CONNECT: Duration = Duration::from_millis(300);
/// A centre that is not followed yet is asked for an answer at once. It may have taken the connection and have no thread
/// for it, as after a restart, when all come together; the next one is asked as soon as one that does not take it.
const FIRST: Duration = CONNECT;
/// The thread only reads and parses.
const STACK: usize = 256 * 1024;

/// Which centre is asked next, and whose answers are taken.
#[derive(Debug, Default)]
pub struct Round {
    /// As a centre told that had a majority behind it.
    known: Vec<String>,
    /// As the settings name them.
    named: Vec<String>,
    /// Further ones of which only a centre spoke that was out of touch: good enough to be asked.
    hinted: Vec<String>,
    at: usize,
    failed: usize,
    pause: Duration,
}

impl Round {
    /// Begins with a centre that this edge's address names, so that edges spread over the centres.
    pub fn new(boot: &ProcessSettings) -> Round {
        let at = boot.ip.bytes().fold(0, |sum: usize, byte| sum * 31 % 65_521 + usize::from(byte));
        let port = boot.spare_ports.0;
        let ip = |peer: &String| peer.rsplit_once(':').map_or(peer.clone(), |(ip, _)| ip.into());
        let named = boot.known_peers.iter().map(|peer| format!("{}:{port}", ip(peer))).collect();
        Round { named, at, ..Round::default() }
    }

    fn all(&self) -> impl Iterator<Item = &String> {
        let named = self.named.iter().filter(|one| !self.known.contains(one));
        let new = |one: &&String| !self.known.contains(one) && !self.named.contains(one);
        self.known.iter().chain(named).chain(self.hinted.iter().filter(new))
    }

    pub fn centre(&self) -> Option<&String> {
        self.all().nth(self.at % self.all().count().max(1))
    }

    /// The one decision on a centre's answer. A centre that can't show a majority of the witnesses may speak of a
    /// state that others have left behind: an edge takes nothing of it, not even its place in the feed, and an edge
    /// that has heard no other is not ready. The next centre is asked instead, after the pause that is given back.
    pub fn heed(&mut self, follow: &mut WatchRequest, news: Update) -> Result<Update, Duration> {
        if news.isolated {
            if !news.control_plane_addresses.is_empty() {
                self.learn(|round| round.hinted = news.control_plane_addresses);
            }
            return Err(self.bad());
        }
        if !news.control_plane_addresses.is_empty() && news.control_plane_addresses != self.known {
            self.learn(|round| round.known = news.control_plane_addresses.clone());
        }
        (follow.feed_id, follow.sequence) = (news.feed_id, news.sequence);
        self.good();
        Ok(news)
    }

    /// Other centres come to be known; it is still the turn of the same one.
    fn learn(&mut self, change: impl FnOnce(&mut Round)) {
        let now = self.centre().cloned();
        change(self);
        let place = self.all().position(|one| Some(one) == now.as_ref());
        self.at = place.unwrap_or(self.at);
    }

    /// For how long the next centre may be silent. Where all were too slow it is longer in the next round.
    pub fn patience(&self) -> Duration {
        let rounds = self.failed / self.all().count().max(1);
        (FIRST * (1 + rounds as u32)).min(WHOLE)
    }

    pub fn good(&mut self) {
        (self.failed, self.pause) = (0, Duration::ZERO);
    }

    /// On to the next one: at once, until all of them have failed.
    pub fn bad(&mut self) -> Duration {
        self.at = self.at.wrapping_add(1);
        self.failed += 1;
        if !self.failed.is_multiple_of(self.all().count().max(1)) {
            return Duration::ZERO;
        }
        self.pause = backoff::round(self.pause);
        self.pause
    }
}

/// Starts the thread. It ends when nobody takes its news any more.
pub fn start(
    boot: &ProcessSettings,
    log: Logger,
    tallies: Arc<Tallies>,
    outbox: Arc<Outbox>,
    news: UnboundedSender<Update>,
) -> eyre::Result<()> {
    let round = Round::new(boot);
    let follow = WatchRequest {
        edge: boot.ip.clone(),
        zone: boot.area.clone(),
        wait_ms: HELD.as_millis() as u64,
        ..WatchRequest::default()
    };
    let thread = std::thread::Builder::new().name("follow".into()).stack_size(STACK);
    thread.spawn(move || run(round, follow, &log, &tallies, &outbox, &news))?;
    Ok(())
}

fn run(
    mut round: Round,
    mut follow: WatchRequest,
    log: &Logger,
    tallies: &Tallies,
    outbox: &Outbox,
    news: &UnboundedSender<Update>,
) {
    let caller = PeerClient::new(CONNECT, WHOLE);
    let mut touch = false;
    while !news.is_closed() {
        let Some(centre) = round.centre().cloned() else {
            info!(log, "follow: no centre is known");
            return;
        };
        follow.request_counts = tallies.take();
        let planned = outbox.on.load(Ordering::Relaxed);
        let held = if planned { steer::HELD } else { HELD };
        follow.wait_ms = if touch { held.as_millis() as u64 } else { 0 };
        follow.rollout_reports = if planned { outbox.take() } else { Vec::new() };
        let asked_at = Instant::now();
        let told = if touch {
            caller.post::<_, Update>(&centre, "/follow", &follow)
        } else {
            caller.post_with_response_timeout(&centre, "/follow", &follow, round.patience())
        };
        let pause = match told {
            Ok(mut told) => {
                told.requested_at = Some(asked_at);
                match round.heed(&mut follow, told) {
                    Ok(told) => {
                        if !touch {
                            info!(log, "follow: in touch with {centre}");
                            touch = true;
                        }
                        if news.send(told).is_err() {
                            return;
                        }
                        Duration::ZERO
                    }
                    Err(pause) => {
                        if touch {
                            info!(log, "follow: left {centre}: it has no majority");
                            touch = false;
                        }
                        unheard(&mut follow, tallies, outbox);
                        pause
                    }
                }
            }
            Err(fault) => {
                if touch {
                    info!(log, "follow: lost {centre}: {fault}");
                    touch = false;
                }
                unheard(&mut follow, tallies, outbox);
                round.bad()
            }
        };
        if !pause.is_zero() {
            std::thread::sleep(pause);
        }
    }
}

/// What a poll brought that no centre has taken goes with the next.
fn unheard(follow: &mut WatchRequest, tallies: &Tallies, outbox: &Outbox) {
    tallies.put_back(std::mem::take(&mut follow.request_counts));
    outbox.put_back(std::mem::take(&mut follow.rollout_reports));
}

#[cfg(test)]
#[path = "follow_tests.rs"]
mod tests;
