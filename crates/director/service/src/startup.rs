//! The start, before the first event: reads the settings, binds the sockets and replays the change log.

use crate::adapters::{
    Adapters, AdminSocket, ChangeLogWriter, CollectorListener, DiscoveryClient, HealthProber, RelayClient,
    WakeTimer,
};
use crate::event_loop::EventLoop;
use crate::logger::{self, LogHandle};
use crate::signals::Signals;
use crate::start_error::StartError;
use crate::{config_file, operator_file_reader};
use coppersail_changes::Record;
use coppersail_director::reducer::{Event, Reducer};
use coppersail_director::resource_limits::ResourceLimits;
use coppersail_operator_config::{LogFormat, StartConfig};
use coppersail_protocol::config::Config;
use std::time::Instant;
use tokio::sync::mpsc::{channel, Sender};
use tracing::Level;

/// Holds the path of the operators' file; if it is unset, operators' changes are disabled.
const OPERATOR_FILE_VARIABLE: &str = "EDGE_OPERATOR";
/// Events queued for the reducer. While the queue is full, readers wait, which puts back pressure on their peers.
const EVENT_QUEUE_LENGTH: usize = 64;

/// Starts the director. The reducer's time counts from `started`; `wall_ns` is the wall clock's time at that moment,
/// in nanoseconds since the Unix epoch.
pub(crate) async fn start(
    started: Instant,
    wall_ns: u64,
    logger: &LogHandle,
) -> Result<EventLoop, StartError> {
    // Comes first, because a signal without a handler ends the process.
    let signals = Signals::install().map_err(StartError::Signals)?;
    let config = config_file::read().map_err(StartError::Config)?;
    let mut reducer = Reducer::new(&config, wall_ns).map_err(|error| StartError::Settings(error.into()))?;
    let (event_sender, events) = channel(EVENT_QUEUE_LENGTH);
    let mut adapters = bind_adapters(&config, started, &event_sender).await?;
    let operator_file_path = std::env::var(OPERATOR_FILE_VARIABLE).ok();
    if let Some(path) = &operator_file_path {
        let operator_file = operator_file_reader::read(path, reducer.settings_names()).await?;
        logger.set_json(operator_file.start.log == LogFormat::Json);
        let records = open_operator_adapters(&operator_file.start, &mut adapters, &event_sender)?;
        let effects = reducer
            .enable_operator_changes(&config, wall_ns, &operator_file, records)
            .map_err(|error| StartError::ChangeRecords(error.into()))?;
        for effect in effects {
            let _ = adapters.perform(effect);
        }
    }
    tracing::info!("{} serves", config.name);
    Ok(EventLoop::new(reducer, adapters, events, event_sender, signals, operator_file_path))
}

async fn bind_adapters(
    config: &Config,
    started: Instant,
    events: &Sender<Event>,
) -> Result<Adapters, StartError> {
    let limits = ResourceLimits::from_config_limits(&config.limits);
    let listener = CollectorListener::bind(config.listen, events.clone()).await;
    Ok(Adapters {
        listener: listener.map_err(StartError::Listen)?,
        relay: RelayClient::new(events.clone()),
        discovery: DiscoveryClient::new(events.clone(), limits.max_list_bytes),
        prober: HealthProber::new(events.clone(), limits.max_probes),
        timer: WakeTimer::new(started),
        is_accepting: true,
        admin_socket: None,
        change_log: None,
    })
}

/// Opens the change log and the admin socket if the operators' file names them; returns the records of the log.
fn open_operator_adapters(
    start_config: &StartConfig,
    adapters: &mut Adapters,
    events: &Sender<Event>,
) -> Result<Option<Vec<Record>>, StartError> {
    let mut records = None;
    if let Some(path) = &start_config.history {
        let opened = ChangeLogWriter::open(path, events.clone()).map_err(StartError::ChangeLog)?;
        if opened.truncated_bytes > 0 {
            let text =
                format!("history: {} bytes of an interrupted write were discarded", opened.truncated_bytes);
            logger::log(Level::WARN, None, &text);
        }
        adapters.change_log = Some(opened.writer);
        records = Some(opened.records);
    }
    if let Some(path) = &start_config.socket {
        let bound = AdminSocket::bind(path, events.clone());
        adapters.admin_socket = Some(bound.map_err(StartError::AdminSocket)?);
    }
    Ok(records)
}
