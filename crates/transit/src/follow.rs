//! Follows one centre at a time, in a thread of its own.
use crate::edge::Tallies;
use crate::steer::{self, Outbox};
use course::pause;
use errand::Caller;
use slog::{info, Logger};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};
use terms::Boot;
use tidings::{Follow, News};
use tokio::sync::mpsc::UnboundedSender;

/// How long a centre may hold a poll that has nothing new.
const HELD: Duration = Duration::from_millis(700);
/// The whole call; a frozen centre costs no more than this.
const WHOLE: Duration = Duration::from_millis(1_600);
const CONNECT: Duration = Duration::from_millis(300);
/// The thread only reads and parses.
const STACK: usize = 256 * 1024;

/// Which centre is asked next.
#[derive(Debug, Default)]
pub struct Round {
    known: Vec<String>,
    named: Vec<String>,
    at: usize,
    failed: usize,
    pause: Duration,
}

impl Round {
    /// Begins with a centre that this edge's address names, so that edges spread over the centres.
    pub fn new(boot: &Boot) -> Round {
        let at = boot.ip.bytes().fold(0, |sum: usize, byte| sum * 31 % 65_521 + usize::from(byte));
        let port = boot.spare_ports.0;
        let ip = |peer: &String| peer.rsplit_once(':').map_or(peer.clone(), |(ip, _)| ip.into());
        let named = boot.known_peers.iter().map(|peer| format!("{}:{port}", ip(peer))).collect();
        Round { named, at, ..Round::default() }
    }

    fn all(&self) -> impl Iterator<Item = &String> {
        let others = self.named.iter().filter(|one| !self.known.contains(one));
        self.known.iter().chain(others)
    }

    pub fn centre(&self) -> Option<&String> {
        self.all().nth(self.at % self.all().count().max(1))
    }

    /// Takes what a centre says about centres, staying with the one followed now.
    pub fn told(&mut self, centres: &[String]) {
        if centres.is_empty() || centres == self.known {
            return;
        }
        let now = self.centre().cloned();
        self.known = centres.to_vec();
        let place = self.all().position(|one| Some(one) == now.as_ref());
        self.at = place.unwrap_or(self.at);
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
        self.pause = pause::round(self.pause);
        self.pause
    }
}

/// Starts the thread. It ends when nobody takes its news any more.
pub fn start(
    boot: &Boot,
    log: Logger,
    tallies: Arc<Tallies>,
    outbox: Arc<Outbox>,
    news: UnboundedSender<News>,
) -> eyre::Result<()> {
    let round = Round::new(boot);
    let follow = Follow {
        edge: boot.ip.clone(),
        area: boot.area.clone(),
        wait_ms: HELD.as_millis() as u64,
        ..Follow::default()
    };
    let thread = std::thread::Builder::new().name("follow".into()).stack_size(STACK);
    thread.spawn(move || run(round, follow, &log, &tallies, &outbox, &news))?;
    Ok(())
}

fn run(
    mut round: Round,
    mut follow: Follow,
    log: &Logger,
    tallies: &Tallies,
    outbox: &Outbox,
    news: &UnboundedSender<News>,
) {
    let caller = Caller::new(CONNECT, WHOLE);
    let mut touch = false;
    while !news.is_closed() {
        let Some(centre) = round.centre().cloned() else {
            info!(log, "follow: no centre is known");
            return;
        };
        follow.asked = tallies.take();
        let planned = outbox.on.load(Ordering::Relaxed);
        follow.wait_ms = if planned { steer::HELD } else { HELD }.as_millis() as u64;
        follow.evidence = if planned { outbox.take() } else { Vec::new() };
        let asked_at = Instant::now();
        let pause = match caller.post::<_, News>(&centre, "/follow", &follow) {
            Ok(mut told) => {
                told.asked_at = Some(asked_at);
                (follow.feed, follow.seq) = (told.feed, told.seq);
                round.told(&told.centres);
                let alone = told.alone;
                if !touch && !alone {
                    info!(log, "follow: in touch with {centre}");
                    touch = true;
                }
                if news.send(told).is_err() {
                    return;
                }
                if alone {
                    round.bad()
                } else {
                    round.good();
                    Duration::ZERO
                }
            }
            Err(fault) => {
                if touch {
                    info!(log, "follow: lost {centre}: {fault}");
                    touch = false;
                }
                tallies.put_back(std::mem::take(&mut follow.asked));
                outbox.put_back(std::mem::take(&mut follow.evidence));
                round.bad()
            }
        };
        if !pause.is_zero() {
            std::thread::sleep(pause);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_centre_has_its_turn_and_only_whole_rounds_pause() {
        let known_peers = vec!["10.0.0.1:99".into(), "10.0.0.2:99".into()];
        let boot = Boot { ip: "10.0.9.9".into(), spare_ports: (75, 80), known_peers, ..Boot::default() };
        let mut round = Round::new(&boot);
        let first = round.centre().unwrap().clone();
        assert!(round.bad().is_zero());
        assert_ne!(round.centre(), Some(&first));
        assert!(!round.bad().is_zero());
        round.told(&["10.0.0.7:75".into(), "10.0.0.1:75".into()]);
        assert_eq!(round.centre(), Some(&first));
        assert_eq!(round.all().count(), 3);
    }
}
