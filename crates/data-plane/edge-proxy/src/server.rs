//! Starts an edge and runs it until SIGTERM.
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

/// Interval at which expired state is dropped and the settings file is checked for changes.
const TICK: Duration = Duration::from_secs(1);

/// The address of a listener is missing in the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("network.binds.{field} is missing; expected \"ip:port\"")]
pub struct MissingListener {
    field: &'static str,
}

/// Checks the settings that an edge requires in addition to those of every process.
pub fn check_settings(settings: &ProcessSettings) -> Result<(), MissingListener> {
    let require = |field, value: &Option<String>| match value {
        Some(_) => Ok(()),
        None => Err(MissingListener { field }),
    };
    require("publicPlain", &settings.client_address)?;
    require("readiness", &settings.readiness_address)
}

/// Runs an edge until SIGTERM. `sessions` is the path of the settings file for session affinity, if it is
/// enabled.
pub fn run(settings: ProcessSettings, sessions: Option<String>, log: Logger) -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .on_thread_park(input_poll::record_poll)
        .build()?;
    LocalSet::new().block_on(&runtime, run_until_sigterm(settings, sessions, log))
}

async fn run_until_sigterm(
    settings: ProcessSettings,
    sessions: Option<String>,
    log: Logger,
) -> eyre::Result<()> {
    let terminate = signal(SignalKind::terminate())?;
    let hangup = signal(SignalKind::hangup())?;
    let clients = listen(settings.client_address.as_deref().unwrap_or_default())?;
    let readiness = listen(settings.readiness_address.as_deref().unwrap_or_default())?;
    let (sender, updates) = tokio::sync::mpsc::unbounded_channel();
    let edge = Edge::new(settings, log.clone());
    if let Some(path) = sessions {
        start_sessions(&edge, &path)?;
    }
    let settings = edge.settings.borrow().clone();
    watch::start(&settings, log, edge.request_counter.clone(), edge.rollouts.outbox.clone(), sender)?;
    start(&edge, clients, readiness, updates);
    handle_signals(&edge, terminate, hangup).await;
    shut_down(&edge).await;
    Ok(())
}

fn listen(address: &str) -> eyre::Result<TcpListener> {
    ingress::listen(address).wrap_err_with(|| format!("cannot listen on {address}"))
}

fn start_sessions(edge: &Rc<Edge>, path: &str) -> eyre::Result<()> {
    let settings = edge.settings.borrow().clone();
    let (sessions, address) = Sessions::from_process_settings(path, &settings, edge.log.clone())?;
    sessions.start(listen(&address)?);
    let _ = edge.sessions.set(sessions);
    Ok(())
}

/// Starts all background tasks of an edge: the listeners and the application of updates.
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

/// Runs the periodic tick and reloads the settings at SIGHUP or when their file changes. Returns at SIGTERM.
async fn handle_signals(edge: &Rc<Edge>, mut terminate: Signal, mut hangup: Signal) {
    let mut last_modified = settings_modified_at();
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = terminate.recv() => return,
            _ = hangup.recv() => edge.reload_settings(),
            _ = ticks.tick() => {
                edge.tick();
                let modified = settings_modified_at();
                if modified != last_modified {
                    last_modified = modified;
                    edge.reload_settings();
                }
            }
        }
    }
}

/// When the settings file was last modified.
fn settings_modified_at() -> Option<SystemTime> {
    let path = PathBuf::from(std::env::var_os(coppersail_config::boot::SETTINGS_VARIABLE)?);
    std::fs::metadata(path).ok()?.modified().ok()
}
