//! The command line.
use coppersail_fleet_emulator::ConfigSize;
use eyre::{bail, Result};
use lexopt::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;

pub(crate) const USAGE: &str = "\
coppersail-fleet-emulator: many hosts or edges without the work, to see what a centre spends on each (loopback only)

coppersail-fleet-emulator hosts --centre ADDR [options]      beats to the admin address of a centre
coppersail-fleet-emulator edges --centre ADDR [options]      polls at a centre's address for directors
coppersail-fleet-emulator settings [options]                 prints a configuration for POST /settings/replace
  --centre ADDR     may be given several times; members spread over them
  --count N,N,...   members, one window each, rising (10,100,1000)
  --seconds S       length of a window (10)
  --settle S        between new members and their window (3)
  --pid PID         a process to watch; may be given several times
  --fresh           a new connection for each call
  --heartbeat MS    between the beats of a host (1000)
  --wait MS         how long a poll of an edge may be held (1000)
  --pause MS        between an answer and the next poll (0)
  --asked N         slices counted in each poll (0)
  --areas N         zones, named a0, a1, ... (3)
  --services N      services, named b0, b1, ... (10)
  --split N         how many of them are divided by key (0)
  --routes N        routes of the printed configuration (100)
  --revision N      of the printed configuration (1)
";
/// Bounds of what one process may emulate, and for how long.
const MEMBERS_MAX: usize = 20_000;
const SECONDS_MAX: u64 = 600;

/// What a fleet consists of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MemberKind {
    Endpoint,
    Edge,
}

/// What the command line asks for.
pub(crate) enum Command {
    /// Print [`USAGE`].
    Help,
    /// Print a generated configuration.
    PrintConfig(ConfigSize),
    /// Measure a control plane with a fleet.
    Measure(MemberKind, Box<Options>),
}

pub(crate) struct Options {
    /// Addresses of control-plane nodes.
    pub(crate) control_plane: Vec<String>,
    /// Members in each window, rising.
    pub(crate) member_counts: Vec<usize>,
    /// Length of a window.
    pub(crate) window_seconds: u64,
    /// Between new members and their window.
    pub(crate) warmup_seconds: u64,
    /// Processes to observe.
    pub(crate) pids: Vec<u32>,
    /// Each call opens a new connection.
    pub(crate) fresh_connections: bool,
    pub(crate) heartbeat_interval: Duration,
    /// How long a watch request may wait for an update.
    pub(crate) watch_wait_ms: u64,
    /// Between an update and the next watch request.
    pub(crate) watch_delay: Duration,
    /// Slices with a count of requests in each watch request.
    pub(crate) counted_slices: u32,
    pub(crate) zones: usize,
    pub(crate) config_size: ConfigSize,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            control_plane: Vec::new(),
            member_counts: vec![10, 100, 1000],
            window_seconds: 10,
            warmup_seconds: 3,
            pids: Vec::new(),
            fresh_connections: false,
            heartbeat_interval: Duration::from_secs(1),
            watch_wait_ms: 1000,
            watch_delay: Duration::ZERO,
            counted_slices: 0,
            zones: 3,
            config_size: ConfigSize { revision: 1, routes: 100, services: 10, sharded_services: 0 },
        }
    }
}

/// Parses the command line of this process.
pub(crate) fn parse() -> Result<Command> {
    let mut options = Options::default();
    let mut command = String::new();
    let mut args = lexopt::Parser::from_env();
    while let Some(arg) = args.next()? {
        match arg {
            Value(name) if command.is_empty() => command = name.string()?,
            Long("centre") => options.control_plane.push(args.value()?.string()?),
            Long("count") => options.member_counts = numbers(&args.value()?.string()?)?,
            Long("seconds") => options.window_seconds = args.value()?.parse()?,
            Long("settle") => options.warmup_seconds = args.value()?.parse()?,
            Long("pid") => options.pids.push(args.value()?.parse()?),
            Long("fresh") => options.fresh_connections = true,
            Long("heartbeat") => options.heartbeat_interval = milliseconds(&mut args)?,
            Long("wait") => options.watch_wait_ms = args.value()?.parse()?,
            Long("pause") => options.watch_delay = milliseconds(&mut args)?,
            Long("asked") => options.counted_slices = args.value()?.parse()?,
            Long("areas") => options.zones = args.value()?.parse()?,
            Long("services") => options.config_size.services = args.value()?.parse()?,
            Long("split") => options.config_size.sharded_services = args.value()?.parse()?,
            Long("routes") => options.config_size.routes = args.value()?.parse()?,
            Long("revision") => options.config_size.revision = args.value()?.parse()?,
            Short('h') | Long("help") => return Ok(Command::Help),
            _ => return Err(arg.unexpected().into()),
        }
    }
    let kind = match command.as_str() {
        "settings" => return Ok(Command::PrintConfig(options.config_size)),
        "hosts" => MemberKind::Endpoint,
        "edges" => MemberKind::Edge,
        _ => return Ok(Command::Help),
    };
    validate(&options)?;
    Ok(Command::Measure(kind, Box::new(options)))
}

fn numbers(text: &str) -> Result<Vec<usize>> {
    Ok(text.split(',').map(str::parse).collect::<Result<_, _>>()?)
}

fn milliseconds(args: &mut lexopt::Parser) -> Result<Duration> {
    Ok(Duration::from_millis(args.value()?.parse()?))
}

/// Checks the options of a measurement.
fn validate(options: &Options) -> Result<()> {
    let counts = &options.member_counts;
    if options.control_plane.is_empty() {
        bail!("--centre has to be given; --help tells more");
    }
    if !options.control_plane.iter().all(|address| is_loopback(address)) {
        bail!("--centre has to be a loopback address");
    }
    let is_rising = counts.windows(2).all(|pair| pair[0] < pair[1]);
    if !is_rising || counts.iter().any(|count| !(1..=MEMBERS_MAX).contains(count)) {
        bail!("--count has to rise, from 1 to {MEMBERS_MAX} at most");
    }
    if options.window_seconds.max(options.warmup_seconds) > SECONDS_MAX || options.window_seconds == 0 {
        bail!("--seconds has to be 1 to {SECONDS_MAX}");
    }
    if options.heartbeat_interval.is_zero() {
        bail!("--heartbeat has to be above 0");
    }
    Ok(())
}

fn is_loopback(address: &str) -> bool {
    address.parse::<SocketAddr>().is_ok_and(|address| address.ip().is_loopback())
}
