//! Starts an edge and drives it until it is told to stop.
use crate::edge::Edge;
use crate::sessions::Sessions;
use crate::shutdown::shut_down;
use crate::{ingress, input_poll, readiness, watch};
use coppersail_config::ProcessSettings;
use coppersail_peer_protocol::Update;
use eyre::WrapErr;
use slog::Logger;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, SystemTime};
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::MissedTickBehavior;

/// How often expired state is dropped, and the settings file looked at.
const TICK: Duration = Duration::from_secs(1);

/// A listener that an edge needs and its settings leave out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("network.binds.{field} is left out; expected \"ip:port\"")]
pub struct MissingListener {
    field: &'static str,
}

/// Checks what an edge needs of its settings besides what every process does.
pub fn check_settings(boot: &ProcessSettings) -> Result<(), MissingListener> {
    let require = |field, value: &Option<String>| match value {
        Some(_) => Ok(()),
        None => Err(MissingListener { field }),
    };
    require("publicPlain", &boot.client_address)?;
    require("readiness", &boot.readiness_address)
}

/// Runs an edge until SIGTERM. `sessions` is the path of the operators' file for session affinity, if there is one.
pub fn run(boot: ProcessSettings, sessions: Option<String>, log: Logger) -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .on_thread_park(input_poll::record_poll)
        .build()?;
    LocalSet::new().block_on(&runtime, run_until_sigterm(boot, sessions, log))
}

async fn run_until_sigterm(boot: ProcessSettings, sessions: Option<String>, log: Logger) -> eyre::Result<()> {
    let terminate = signal(SignalKind::terminate())?;
    let hangup = signal(SignalKind::hangup())?;
    let clients = listen(boot.client_address.as_deref().unwrap_or_default())?;
    let readiness = listen(boot.readiness_address.as_deref().unwrap_or_default())?;
    let (sender, updates) = tokio::sync::mpsc::unbounded_channel();
    let edge = Edge::new(boot, log.clone());
    if let Some(path) = sessions {
        start_sessions(&edge, &path)?;
    }
    let boot = edge.settings.borrow().clone();
    watch::start(&boot, log, edge.request_counter.clone(), edge.rollouts.outbox.clone(), sender)?;
    start(&edge, clients, readiness, updates);
    handle_signals(&edge, terminate, hangup).await;
    shut_down(&edge).await;
    Ok(())
}

fn listen(address: &str) -> eyre::Result<TcpListener> {
    ingress::listen(address).wrap_err_with(|| format!("cannot listen at {address}"))
}

fn start_sessions(edge: &Rc<Edge>, path: &str) -> eyre::Result<()> {
    let boot = edge.settings.borrow().clone();
    let (sessions, address) = Sessions::from_process_settings(path, &boot, edge.log.clone())?;
    sessions.start(listen(&address)?);
    let _ = edge.sessions.set(sessions);
    Ok(())
}

/// Starts everything that runs beside the signals.
pub fn start(
    edge: &Rc<Edge>,
    clients: TcpListener,
    readiness: TcpListener,
    mut updates: UnboundedReceiver<Update>,
) {
    spawn_local(readiness::serve(edge.clone(), readiness));
    spawn_local(ingress::accept(edge.clone(), clients));
    let edge = edge.clone();
    spawn_local(async move {
        while let Some(update) = updates.recv().await {
            edge.apply_update(update);
        }
    });
}

/// Returns at SIGTERM. Meanwhile it ticks, and reads the settings again at SIGHUP or when their file changes.
async fn handle_signals(edge: &Rc<Edge>, mut terminate: Signal, mut hangup: Signal) {
    let mut modified = settings_modified();
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = terminate.recv() => return,
            _ = hangup.recv() => edge.reload_settings(),
            _ = ticks.tick() => {
                edge.tick();
                let now_modified = settings_modified();
                if now_modified != modified {
                    modified = now_modified;
                    edge.reload_settings();
                }
            }
        }
    }
}

/// When the settings file was last written to.
fn settings_modified() -> Option<SystemTime> {
    let path = PathBuf::from(std::env::var_os(coppersail_config::boot::SETTINGS_VARIABLE)?);
    std::fs::metadata(path).ok()?.modified().ok()
}
