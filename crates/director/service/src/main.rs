//! `coppersail-director`: the decisions on real sockets. This loop hands every event to the reducer and carries out
//! the effects that it asks for.

mod control;
mod discovery;
mod history;
mod http;
mod listener;
mod logger;
mod net;
mod probes;
mod relay;
mod sheets;
mod timers;

use coppersail_director::{bounds, framing, reducer};

use bounds::Bounds;
use coppersail_changes::Version;
use coppersail_operator_config::LogForm;
use coppersail_protocol::config::Config;
use reducer::{Effect, Event, Reducer};
use std::process::ExitCode;
use std::time::{Instant, SystemTime, UNIX_EPOCH};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc::channel;
use tracing::Level;

/// Events under way to the reducer; when they are as many, readers wait and so do their peers.
const EVENTS_MOST: usize = 64;

struct Io {
    listener: listener::Listener,
    relay: relay::Relay,
    discovery: discovery::Discovery,
    probes: probes::Probes,
    alarm: timers::Alarm,
    accepting: bool,
    /// Where operators' changes are on, and as far as their file asks for these.
    control: Option<control::Control>,
    history: Option<history::Keeper>,
}

fn log(level: Level, about: Option<Version>, text: &str) {
    let change = about.map(|number| number.0);
    match level {
        Level::ERROR => tracing::error!(change, "{text}"),
        Level::WARN => tracing::warn!(change, "{text}"),
        _ => tracing::info!(change, "{text}"),
    }
}

impl Io {
    /// Carries out one effect; false: the end.
    fn carry_out(&mut self, effect: Effect) -> bool {
        match effect {
            Effect::Say(conn, bytes) => self.listener.say(conn, bytes),
            Effect::Accept(accepting) => self.accepting = accepting,
            Effect::Drop(conn) => self.listener.drop_connection(conn),
            Effect::Dial(link, address) => self.relay.dial(link, address),
            Effect::Send(link, bytes) => self.relay.send(link, bytes),
            Effect::HangUp(link) => self.relay.hang_up(link),
            Effect::Watch(link, address, path) => self.discovery.watch(link, address, path),
            Effect::Unwatch(link) => self.discovery.unwatch(link),
            Effect::Probe { host, address, path } => self.probes.start(host, address, path),
            Effect::Wake(at) => self.alarm.set(at),
            Effect::Record(record) => {
                if let Some(history) = &self.history {
                    history.keep(record);
                }
            }
            Effect::Answer(who, answer) => {
                if let Some(control) = &self.control {
                    control.answer(who, answer);
                }
            }
            Effect::Log(level, about, text) => log(level, about, &text),
            Effect::Exit => return false,
        }
        true
    }
}

/// The configuration as the file has it now, read whole before anything of it is used.
fn configured() -> Result<Config, String> {
    let path = std::env::var("EDGE_CONFIG").map_err(|_| "EDGE_CONFIG is not set".to_string())?;
    let bytes = std::fs::read(&path).map_err(|wrong| format!("EDGE_CONFIG: {wrong}"))?;
    Config::parse(&bytes).map_err(|fault| fault.to_string())
}

/// `wall_ns`: what the wall clock showed at the start.
async fn serve(started: Instant, wall_ns: u64, logger: &logger::Handle) -> Result<(), String> {
    // First of all, as a signal without its handler ends the program.
    let handlers = [SignalKind::user_defined1(), SignalKind::terminate(), SignalKind::hangup()].map(signal);
    let [Ok(mut print), Ok(mut stop), Ok(mut reload)] = handlers else {
        return Err("signals cannot be taken".to_string());
    };
    let in_configuration = |wrong: String| format!("configuration: {wrong}");
    let config = configured().map_err(in_configuration)?;
    let mut reducer = Reducer::new(&config, wall_ns).map_err(|error| in_configuration(error.to_string()))?;
    let bounds = Bounds::of(&config.limits);
    let (sender, mut events) = channel(EVENTS_MOST);
    let events_of = sender.clone();
    let bound = listener::Listener::bind(config.listen, sender.clone()).await;
    let mut io = Io {
        listener: bound.map_err(|wrong| format!("configuration: field listen: {wrong}"))?,
        relay: relay::Relay::new(sender.clone()),
        discovery: discovery::Discovery::new(sender.clone(), bounds.list),
        probes: probes::Probes::new(sender.clone(), bounds.probes),
        alarm: timers::Alarm::new(started),
        accepting: true,
        control: None,
        history: None,
    };
    let operators = std::env::var("EDGE_OPERATOR").ok();
    if let Some(path) = &operators {
        let sheet = sheets::read(path, reducer.known()).await?;
        logger.json(sheet.start.log == LogForm::Json);
        let mut records = None;
        if let Some(path) = &sheet.start.history {
            let started = history::start(path, events_of.clone())?;
            if started.torn > 0 {
                log(
                    Level::WARN,
                    None,
                    &format!("history: {} bytes of a write that was cut off are given up", started.torn),
                );
            }
            (io.history, records) = (Some(started.keeper), Some(started.records));
        }
        if let Some(path) = &sheet.start.socket {
            let bound = control::Control::bind(path, events_of.clone());
            io.control =
                Some(bound.map_err(|wrong| format!("operators' file: field control.socket: {wrong}"))?);
        }
        let effects = reducer
            .operate(&config, wall_ns, &sheet, records)
            .map_err(|wrong| format!("history: {wrong}"))?;
        effects.into_iter().for_each(|effect| _ = io.carry_out(effect));
    }
    tracing::info!("{} serves", config.name);
    // Dropped when another one takes its place: the file is read as it is last.
    let mut _reading = None;
    let mut batch = vec![Event::Time];
    loop {
        // One batch is one moment: what has come meanwhile is decided on together.
        while let Ok(event) = events.try_recv() {
            batch.push(event);
        }
        let now = io.alarm.now();
        for event in batch.drain(..).chain([Event::Settle]) {
            for effect in reducer.reduce(now, event) {
                if !io.carry_out(effect) {
                    return Ok(());
                }
            }
        }
        tokio::select! {
            event = io.listener.accept(), if io.accepting => batch.push(event),
            Some(event) = events.recv() => batch.push(event),
            _ = io.alarm.rung() => batch.push(Event::Time),
            _ = print.recv() => batch.push(Event::Count),
            _ = reload.recv() => {
                batch.push(Event::Reload(Box::new(configured())));
                if let Some(path) = operators.clone() {
                    // A template takes its time, and the director must not wait for it. One that is read again
                    // meanwhile is read anew.
                    let (known, events) = (reducer.known().clone(), events_of.clone());
                    _reading = Some(net::Task::spawn(async move {
                        let sheet = sheets::read(&path, &known).await;
                        let _ = events.send(Event::Sheet(Box::new(sheet))).await;
                    }));
                }
            }
            _ = stop.recv() => batch.push(Event::Stop),
        }
    }
}

fn run() -> Result<(), String> {
    let (started, wall) = (Instant::now(), SystemTime::now());
    let wall_ns = wall.duration_since(UNIX_EPOCH).map_or(0, |wall| wall.as_nanos() as u64);
    let logger = logger::start(started);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let served = runtime.map_err(|wrong| wrong.to_string())?.block_on(serve(started, wall_ns, &logger));
    logger.flush();
    served
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(wrong) => {
            eprintln!("coppersail-director: {wrong}");
            ExitCode::from(2)
        }
    }
}
