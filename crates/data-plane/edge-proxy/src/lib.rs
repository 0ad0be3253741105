//! The edge: takes requests of clients and passes them to hosts.
//!
//! One thread drives all sockets; another follows a centre. Decisions are those of `coppersail-load-balancing` and `coppersail-retry`.
pub mod conns;
pub mod edge;
pub mod follow;
pub mod front;
pub mod log;
pub mod pass;
pub mod ready;
pub mod reply;
pub mod sessions;
pub mod steer;

use coppersail_config::ProcessSettings;
use coppersail_load_balancing::timeouts::ShutdownTimes;
use coppersail_peer_protocol::Update;
use edge::{Edge, Stay};
use eyre::WrapErr;
use slog::{info, Logger};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, SystemTime};
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep_until, Instant};

/// What an edge needs of its settings besides what every process does.
pub fn able(boot: &ProcessSettings) -> Result<(), String> {
    let need = |field: &str, value: &Option<String>| match value {
        Some(_) => Ok(()),
        None => Err(format!("network.binds.{field} is left out; expected \"ip:port\"")),
    };
    need("publicPlain", &boot.public_plain)?;
    need("readiness", &boot.readiness)
}

/// `sessions`: the operators' file for sessions that travel, if there is one.
pub fn run(boot: ProcessSettings, sessions: Option<String>, log: Logger) -> eyre::Result<()> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().on_thread_park(conns::look).build()?;
    LocalSet::new().block_on(&runtime, stay(boot, sessions, log))
}

async fn stay(boot: ProcessSettings, sessions: Option<String>, log: Logger) -> eyre::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut hup = signal(SignalKind::hangup())?;
    let bind = |address: &Option<String>| {
        let address = address.clone().unwrap_or_default();
        front::listen(&address).wrap_err_with(|| format!("cannot listen at {address}"))
    };
    let (clients, asked) = (bind(&boot.public_plain)?, bind(&boot.readiness)?);
    let (send, news) = tokio::sync::mpsc::unbounded_channel();
    let edge = Edge::new(boot, log.clone());
    if let Some(path) = sessions {
        let boot = edge.boot.borrow().clone();
        let (sessions, address) = sessions::Sessions::from_boot(&path, &boot, log.clone())?;
        let listener = front::listen(&address).wrap_err_with(|| format!("cannot listen at {address}"))?;
        sessions.start(listener);
        let _ = edge.sessions.set(sessions);
    }
    follow::start(&edge.boot.borrow().clone(), log, edge.tallies.clone(), edge.steer.outbox.clone(), send)?;
    start(&edge, clients, asked, news);
    let mut stamp = stamped();
    let mut second = tokio::time::interval(Duration::from_secs(1));
    second.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = hup.recv() => edge.reload(),
            _ = second.tick() => {
                edge.tick();
                // The file may change without a signal.
                let now = stamped();
                if now != stamp {
                    stamp = now;
                    edge.reload();
                }
            }
        }
    }
    leave(&edge).await;
    Ok(())
}

fn stamped() -> Option<SystemTime> {
    let path = PathBuf::from(std::env::var_os(coppersail_config::boot::VARIABLE)?);
    std::fs::metadata(path).ok()?.modified().ok()
}

/// Starts everything that runs beside the signals.
pub fn start(edge: &Rc<Edge>, clients: TcpListener, asked: TcpListener, mut news: UnboundedReceiver<Update>) {
    spawn_local(ready::answer(edge.clone(), asked));
    spawn_local(front::accept(edge.clone(), clients));
    let edge = edge.clone();
    spawn_local(async move {
        while let Some(told) = news.recv().await {
            edge.take(told);
        }
    });
}

/// Leaves in order: says so, takes connections for as long as some may come, and lets what is under way end.
pub async fn leave(edge: &Rc<Edge>) {
    let leeway = edge.boot.borrow().limits.leeway;
    let ShutdownTimes { accept_until, exit_at } = ShutdownTimes::within(leeway);
    let begun = Instant::now();
    info!(edge.log, "edge: leaving, {} connections open", edge.open.get());
    edge.stay.send_replace(Stay::Leaving);
    sleep_until(begun + accept_until).await;
    edge.stay.send_replace(Stay::Closing);
    // A look now and then is cheaper than to count in every connection's end.
    while edge.open.get() > 0 && begun.elapsed() < exit_at {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    info!(edge.log, "edge: left, {} connections cut", edge.open.get());
}
