//! `coppersail-director`: the decisions on real sockets. This loop hands every event to the reducer and carries out
//! the effects that it asks for.

mod bounds;
mod counters;
mod discovery;
mod framing;
mod http;
mod listener;
mod logger;
mod net;
mod probes;
mod reducer;
mod relay;
mod timers;

use bounds::Bounds;
use coppersail_protocol::config::Config;
use reducer::{Effect, Event, Reducer};
use std::process::ExitCode;
use std::time::{Instant, SystemTime, UNIX_EPOCH};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc::channel;

/// Events under way to the reducer; when they are as many, readers wait and so do their peers.
const EVENTS_MOST: usize = 64;

struct Io {
    listener: listener::Listener,
    relay: relay::Relay,
    discovery: discovery::Discovery,
    probes: probes::Probes,
    alarm: timers::Alarm,
    accepting: bool,
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
            Effect::Log(level, text) => log::log!(level, "{text}"),
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
async fn serve(started: Instant, wall_ns: u64) -> Result<(), String> {
    // First of all, as a signal without its handler ends the program.
    let handlers = [SignalKind::user_defined1(), SignalKind::terminate(), SignalKind::hangup()].map(signal);
    let [Ok(mut print), Ok(mut stop), Ok(mut reload)] = handlers else {
        return Err("signals cannot be taken".to_string());
    };
    let in_configuration = |wrong: String| format!("configuration: {wrong}");
    let config = configured().map_err(in_configuration)?;
    let mut reducer = Reducer::new(&config, wall_ns).map_err(in_configuration)?;
    let bounds = Bounds::of(&config.limits);
    let (sender, mut events) = channel(EVENTS_MOST);
    let bound = listener::Listener::bind(config.listen, sender.clone()).await;
    let mut io = Io {
        listener: bound.map_err(|wrong| format!("configuration: field listen: {wrong}"))?,
        relay: relay::Relay::new(sender.clone()),
        discovery: discovery::Discovery::new(sender.clone(), bounds.list),
        probes: probes::Probes::new(sender, bounds.probes),
        alarm: timers::Alarm::new(started),
        accepting: true,
    };
    log::info!("{} serves", config.name);
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
            _ = reload.recv() => batch.push(Event::Reload(Box::new(configured()))),
            _ = stop.recv() => batch.push(Event::Stop),
        }
    }
}

fn run() -> Result<(), String> {
    let (started, wall) = (Instant::now(), SystemTime::now());
    let wall_ns = wall.duration_since(UNIX_EPOCH).map_or(0, |wall| wall.as_nanos() as u64);
    logger::start(started);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let served = runtime.map_err(|wrong| wrong.to_string())?.block_on(serve(started, wall_ns));
    log::logger().flush();
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
